package cli

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"forkhead/internal/parse/settings"
	"forkhead/internal/planning/plan"
	"forkhead/internal/planning/quota"
)

const millicores = 1000 // of a core: quotas are whole numbers of them

// tenantQuota is a line of what a tenant gets at a placer.
type tenantQuota struct {
	Cores  float64 `json:"cores"`
	Placer int     `json:"placer"`
	Tenant string  `json:"tenant"`
}

// quotaTotal is the line of all hosts.
type quotaTotal struct {
	Cores float64 `json:"cores"`
	Free  float64 `json:"free"` // in no tenant's quota
}

// printQuotas writes each tenant's quota at each placer. All placers of the settings have the same weight.
func (a *app) printQuotas(s *settings.Settings, hosts []plan.Host) error {
	total := usableCores(hosts)
	var tenants []quota.Tenant
	for i, name := range s.Tenants {
		tenants = append(tenants, quota.Tenant{Name: name, Quota: uint64(s.Module.Tenants[i].Quota*quota.FullQuota + 0.5)})
	}
	var placers []quota.Allocation
	for i, p := range s.Placers {
		placers = append(placers, quota.Allocation{Name: fmt.Sprintf("%d (%s)", i, p.Zone), Weight: 1})
	}
	quotas, err := quota.NewTable(int64(total*millicores+0.5), tenants, placers, nil)
	if err != nil {
		return badInput(err)
	}
	if a.wantsJSON() {
		return a.writeQuotasJSON(quotas, total)
	}
	return a.writeQuotasText(quotas, total)
}

// usableCores adds up the cores of hosts that take tasks.
func usableCores(hosts []plan.Host) float64 {
	total := 0.0
	for i := range hosts {
		if h := &hosts[i]; h.State == "" || h.State == "ready" || h.State == "cold" {
			total += h.Cores
		}
	}
	return total
}

func (a *app) writeQuotasJSON(quotas *quota.Table, total float64) error {
	for i, tenant := range quotas.Tenants {
		for j := range quotas.Placers {
			if err := a.writeJSON(tenantQuota{Cores: cores(quotas.Amounts[i][j]), Placer: j, Tenant: tenant}); err != nil {
				return err
			}
		}
	}
	return a.writeJSON(quotaTotal{Cores: total, Free: cores(quotas.Unassigned)})
}

func (a *app) writeQuotasText(quotas *quota.Table, total float64) error {
	t := newTable(a.out, tabwriter.AlignRight, "TENANT\tPLACER "+strings.Join(quotas.Placers, "\tPLACER ")+"\t")
	for i, tenant := range quotas.Tenants {
		t.printf("%s", tenant)
		for _, part := range quotas.Amounts[i] {
			t.printf("\t%.3f", cores(part))
		}
		t.printf("\t\n")
	}
	if err := t.flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(a.out, "%.3f cores in all, %.3f of them nobody's\n", total, cores(quotas.Unassigned))
	return err
}

// cores returns a whole number of millicores in cores.
func cores(n int64) float64 { return float64(n) / millicores }
