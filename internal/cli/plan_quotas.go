package cli

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"forkhead/internal/parse/settings"
	"forkhead/internal/planning/plan"
	"forkhead/internal/planning/quota"
)

const millicores = 1000 // number of millicores in a core; quotas are whole numbers of millicores

// tenantQuota is the JSON output for the quota of one tenant at one placer.
type tenantQuota struct {
	Cores  float64 `json:"cores"`
	Placer int     `json:"placer"`
	Tenant string  `json:"tenant"`
}

// quotaTotal is the JSON output for the usable cores of all hosts.
type quotaTotal struct {
	Cores float64 `json:"cores"`
	Free  float64 `json:"free"` // cores that are in no tenant's quota
}

// printQuotas writes each tenant's quota at each placer. All placers in the settings get the same weight.
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
		return asInputError(err)
	}
	if a.wantsJSON() {
		return a.writeQuotasJSON(quotas, total)
	}
	return a.writeQuotasText(quotas, total)
}

// usableCores returns the total cores of the hosts that accept tasks. A host without a state counts as ready.
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
	_, err := fmt.Fprintf(a.out, "%.3f cores in all, %.3f of them in no tenant's quota\n", total, cores(quotas.Unassigned))
	return err
}

// cores converts millicores to cores.
func cores(n int64) float64 { return float64(n) / millicores }
