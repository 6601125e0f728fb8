package cli

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"forkhead/internal/parse/settings"
	"forkhead/internal/planning/plan"
	"forkhead/internal/planning/quota"
)

// shares tells each tenant's part at each placer. Each placer of the settings has the same weight.
func (a *app) shares(s *settings.Settings, hosts []plan.Host) error {
	total := 0.0
	for i := range hosts {
		if h := &hosts[i]; h.State == "" || h.State == "ready" || h.State == "cold" {
			total += h.Cores
		}
	}
	var tenants []quota.Tenant
	for i, name := range s.Tenants {
		tenants = append(tenants, quota.Tenant{Name: name, Quota: uint64(s.Module.Tenants[i].Quota*1e6 + 0.5)})
	}
	var placers []quota.Allocation
	for i, p := range s.Placers {
		placers = append(placers, quota.Allocation{Name: fmt.Sprintf("%d (%s)", i, p.Zone), Weight: 1})
	}
	t, err := quota.NewTable(int64(total*1000+0.5), tenants, placers, nil)
	if err != nil {
		return badInput(err)
	}
	if a.output == "json" {
		for i, name := range t.Tenants {
			for j := range t.Placers {
				if err := a.json(map[string]any{"tenant": name, "placer": j, "cores": float64(t.Amounts[i][j]) / 1000}); err != nil {
					return err
				}
			}
		}
		return a.json(map[string]any{"cores": total, "free": float64(t.Unassigned) / 1000})
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "TENANT\tPLACER "+strings.Join(t.Placers, "\tPLACER ")+"\t")
	for i, name := range t.Tenants {
		fmt.Fprint(w, name)
		for _, part := range t.Amounts[i] {
			fmt.Fprintf(w, "\t%.3f", float64(part)/1000)
		}
		fmt.Fprintln(w, "\t")
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%.3f cores in all, %.3f of them nobody's\n", total, float64(t.Unassigned)/1000)
	return err
}
