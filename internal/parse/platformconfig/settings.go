package platformconfig

import (
	"fmt"
	"math"
	"time"

	"forkhead"
)

// Duration turns milliseconds into a duration of whole microseconds.
func Duration(ms float64) time.Duration {
	us := math.Round(ms * 1000)
	switch {
	case math.IsNaN(us):
		return 0
	case us > 1e15:
		us = 1e15
	case us < -1e15:
		us = -1e15
	}
	return time.Duration(us) * time.Microsecond
}

// Milliseconds is the other way.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ModuleSettings translates for the module, or says which part it cannot use.
func ModuleSettings(in *Info) (forkhead.Settings, error) {
	f := in.FamilyInfo
	s := forkhead.Settings{
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
		Costs: forkhead.Costs{
			SurplusMachine: in.Costs.SurplusMachine, Migration: in.Costs.Migration, EvictionMigrations: f.EvictionMigrations,
			Rejection: f.RejectionCost, RemoteZone: in.Costs.RemoteZone, WastedWork: in.Costs.WastedWork,
			Probe: in.Costs.Probe, Gossip: in.Costs.Gossip, ListEntries: in.Costs.ListEntries,
		},
	}
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
	return s, classes(&s, in)
}

func classes(s *forkhead.Settings, in *Info) error {
	f := in.FamilyInfo
	for _, n := range []int{
		len(f.MaxPerDomain), len(f.Priority), len(f.SpreadDomain), len(f.SaturationThreshold), len(f.DegradationRange),
		len(f.MachineTypeByClass), len(f.StartWeight),
	} {
		if n != len(in.Classes) {
			return fmt.Errorf("settings: a list of familyInfo has %d entries for %d classes", n, len(in.Classes))
		}
	}
	for i, c := range in.Classes {
		class := forkhead.Class{
			DedupWindow: Duration(c.DedupWindow), LatencyObjective: Duration(c.LatencyObjective), Weight: c.Weight, LateWeight: c.LateWeight,
			StartWeight: f.StartWeight[i], Priority: f.Priority[i], MachineType: f.MachineTypeByClass[i],
			MaxPerDomain: f.MaxPerDomain[i], SaturationThreshold: f.SaturationThreshold[i], DegradationRange: f.DegradationRange[i],
		}
		var err error
		if class.Effect, err = lookup("effect", effects, c.Effect); err != nil {
			return err
		}
		if class.DedupDomain, err = lookup("group", places, c.DedupDomain); err != nil {
			return err
		}
		if class.SpreadDomain, err = lookup("classSpread", places, f.SpreadDomain[i]); err != nil {
			return err
		}
		s.Classes = append(s.Classes, class)
	}
	return nil
}

var effects = map[string]forkhead.Effect{
	"retryable": forkhead.Safe, "dedup": forkhead.Keyed, "fragile": forkhead.Unsafe,
}

var places = map[string]forkhead.Domain{
	"": forkhead.AnyDomain, "all": forkhead.AnyDomain, "none": forkhead.AnyDomain,
	"machine": forkhead.MachineDomain, "cell": forkhead.CellDomain, "zone": forkhead.ZoneDomain,
}

func lookup[T any](field string, table map[string]T, word string) (T, error) {
	v, ok := table[word]
	if !ok {
		return v, fmt.Errorf("settings: %s: unknown word %q", field, word)
	}
	return v, nil
}
