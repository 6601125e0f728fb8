package platformconfig

import (
	"fmt"

	"forkhead"
)

// ModuleSettings converts a settings object to settings of the module. The error names the field that cannot be converted.
func ModuleSettings(in *Info) (forkhead.Settings, error) {
	s := scalarSettings(in)
	f := &in.FamilyInfo
	if len(f.MachineCores) != len(f.MachineMemory) {
		return s, fmt.Errorf("settings: %d kinds have cores, %d memory", len(f.MachineCores), len(f.MachineMemory))
	}
	for i, cores := range f.MachineCores {
		s.MachineTypes = append(s.MachineTypes, forkhead.MachineType{Cores: cores, Memory: f.MachineMemory[i]})
	}
	for i, t := range in.Tenants {
		tenant := forkhead.Tenant{Quota: t.Quota}
		if i < len(f.TenantQuotaCores) {
			tenant.QuotaCores = f.TenantQuotaCores[i]
		}
		s.Tenants = append(s.Tenants, tenant)
	}
	var err error
	s.Classes, err = moduleClasses(in)
	return s, err
}

// scalarSettings returns the settings that are not lists.
func scalarSettings(in *Info) forkhead.Settings {
	f := in.FamilyInfo
	return forkhead.Settings{
		Placers: in.Placers, Self: in.Self, Zone: in.Zone,
		MeanCores: f.MeanCores, MeanMemory: f.MeanMemory,
		CoresOvercommit: f.CoresOvercommit, MemoryOvercommit: f.MemoryOvercommit,
		BoundWhenRunning: f.BoundWhen == "running", ServiceAffinity: f.ServiceAffinity, Preemption: f.Preemption,
		NotesReportUsage: f.NotesReportUsage, NotesReportPressure: f.NotesReportPressure, ListReportsAvailable: f.ListReportsAvailable,
		ListWatched:           in.Discovery == "automatic",
		ReportsInOutcomes:     in.LoadInfo.How == "answers",
		ReportsInProbes:       in.LoadInfo.How == "probe" || in.LoadInfo.How == "answers",
		ReportsCountRequested: f.ReportCounts == "asked",
		MaxAttempts:           in.Caps.MaxAttempts, ParallelAttempts: in.Caps.ParallelAttempts,
		MayWithdraw: in.Caps.MayWithdraw, MayProbe: in.Caps.MayProbe, MayGossip: in.Caps.MayGossip,
		OwnerBackoff: Duration(f.OwnerBackoff), MaxRetryAfter: Duration(in.Caps.MaxRetryAfter),
		ConnectTimeout: Duration(in.Caps.ConnectTimeout), AnswerSlack: Duration(in.Rules.AnswerSlack),
		DrainGrace: Duration(in.Rules.DrainGrace), MaxPollInterval: Duration(in.Rules.MaxPollInterval),
		SlowStartDuration: Duration(in.Rules.SlowStartDuration), SlowStartWindow: Duration(in.Rules.SlowStartWindow), SlowStartMaxOffers: f.SlowStartMaxOffers,
		SlowStartInitialRate: in.Rules.SlowStartInitialRate, SlowStartOverload: in.Rules.SlowStartOverload,
		OverQuotaWeight: in.OverQuotaWeight,
		Costs:           moduleCosts(in),
	}
}

// moduleCosts returns the costs of the module. In the settings object, most of them are under the key deductions and
// some under the key familyInfo.
func moduleCosts(in *Info) forkhead.Costs {
	return forkhead.Costs{
		SurplusMachine: in.Costs.SurplusMachine, Migration: in.Costs.Migration, EvictionMigrations: in.FamilyInfo.EvictionMigrations,
		Rejection: in.FamilyInfo.RejectionCost, RemoteZone: in.Costs.RemoteZone, WastedWork: in.Costs.WastedWork,
		Probe: in.Costs.Probe, Gossip: in.Costs.Gossip, ListEntries: in.Costs.ListEntries,
	}
}

// moduleClasses returns the classes of the module. With an error, it returns only the classes before the one that
// cannot be converted.
func moduleClasses(in *Info) ([]forkhead.Class, error) {
	f := &in.FamilyInfo
	for _, n := range []int{
		len(f.MaxPerDomain), len(f.Priority), len(f.SpreadDomain), len(f.SaturationThreshold), len(f.DegradationRange),
		len(f.MachineTypeByClass), len(f.StartWeight),
	} {
		if n != len(in.Classes) {
			return nil, fmt.Errorf("settings: a list of familyInfo has %d entries for %d classes", n, len(in.Classes))
		}
	}
	var classes []forkhead.Class
	for i, c := range in.Classes {
		class := forkhead.Class{
			DedupWindow: Duration(c.DedupWindow), LatencyObjective: Duration(c.LatencyObjective), Weight: c.Weight, LateWeight: c.LateWeight,
			StartWeight: f.StartWeight[i], Priority: f.Priority[i], MachineType: f.MachineTypeByClass[i],
			MaxPerDomain: f.MaxPerDomain[i], SaturationThreshold: f.SaturationThreshold[i], DegradationRange: f.DegradationRange[i],
		}
		var err error
		if class.Effect, err = translate("effect", effects, c.Effect); err != nil {
			return classes, err
		}
		if class.DedupDomain, err = translate("group", domains, c.DedupDomain); err != nil {
			return classes, err
		}
		if class.SpreadDomain, err = translate("classSpread", domains, f.SpreadDomain[i]); err != nil {
			return classes, err
		}
		classes = append(classes, class)
	}
	return classes, nil
}

// effects maps the platform's names for effects to the effects.
var effects = map[string]forkhead.Effect{
	"retryable": forkhead.Safe, "dedup": forkhead.Keyed, "fragile": forkhead.Unsafe,
}

// domains maps the platform's names for domains to the domains.
var domains = map[string]forkhead.Domain{
	"": forkhead.AnyDomain, "all": forkhead.AnyDomain, "none": forkhead.AnyDomain,
	"machine": forkhead.MachineDomain, "cell": forkhead.CellDomain, "zone": forkhead.ZoneDomain,
}

// translate looks up a name of the platform in a table. An unknown name is an error. The parameter field is the key of
// the setting that contains the name, and appears in the error.
func translate[T any](field string, table map[string]T, name string) (T, error) {
	v, ok := table[name]
	if !ok {
		return v, fmt.Errorf("settings: %s: unknown word %q", field, name)
	}
	return v, nil
}
