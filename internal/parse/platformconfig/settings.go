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

// Settings translates for the module, or says which part it cannot use.
func Settings(in *Info) (forkhead.Settings, error) {
	f := in.FamilyInfo
	s := forkhead.Settings{
		Placers: in.Balancers, Self: in.Me, Zone: in.Zone,
		MeanCores: f.UnitCores, MeanMemory: f.MeanMemory,
		CoresOvercommit: f.AcceptsCores, MemoryOvercommit: f.MemBooking,
		BoundWhenRunning: f.SaysYes == "running", ServiceAffinity: f.Sticks, Preemption: f.Displaces,
		NotesReportUsage: f.SaysUse, NotesReportPressure: f.PressureNotes, ListReportsAvailable: f.ListsFree,
		ListWatched:           in.Discovery == "automatic",
		ReportsInOutcomes:     in.LoadInfo.How == "answers",
		ReportsInProbes:       in.LoadInfo.How == "probe" || in.LoadInfo.How == "answers",
		ReportsCountRequested: f.ReportCounts == "asked",
		MaxAttempts:           in.Caps.MaxAttempts, ParallelAttempts: in.Caps.ParallelTries,
		MayWithdraw: in.Caps.Cancel, MayProbe: in.Caps.Probing, MayGossip: in.Caps.Peers,
		OwnerBackoff: Duration(f.OwnerWait), MaxRetryAfter: Duration(in.Caps.MaxRetryAfter),
		ConnectTimeout: Duration(in.Caps.ConnectTimeout), AnswerSlack: Duration(in.Rules.AnswerSlack),
		DrainGrace: Duration(in.Rules.StopSendingWithin), MaxPollInterval: Duration(in.Rules.MustAskIn),
		SlowStartDuration: Duration(in.Rules.Cold), SlowStartWindow: Duration(in.Rules.Fall), SlowStartMaxOffers: f.ColdSends,
		SlowStartInitialRate: in.Rules.ColdFrom, SlowStartOverload: in.Rules.FallMultiple,
		OverQuotaWeight: in.OverShareWorth,
		Costs: forkhead.Costs{
			SurplusMachine: in.Deductions.Fleet, Migration: in.Deductions.Moves, EvictionMigrations: f.EvictCounts,
			Rejection: f.RefusalFee, RemoteZone: in.Deductions.CrossZone, WastedWork: in.Deductions.Waste,
			Probe: in.Deductions.Probe, Gossip: in.Deductions.Peer, ListEntries: in.Deductions.Discovery,
		},
	}
	if len(f.KindCores) != len(f.MemoryByKind) {
		return s, fmt.Errorf("settings: %d kinds have cores, %d memory", len(f.KindCores), len(f.MemoryByKind))
	}
	for i, cores := range f.KindCores {
		s.MachineTypes = append(s.MachineTypes, forkhead.MachineType{Cores: cores, Memory: f.MemoryByKind[i]})
	}
	for i, t := range in.Tenants {
		tenant := forkhead.Tenant{Quota: t.Share}
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
		len(f.ClassMost), len(f.ClassPriority), len(f.ClassSpread), len(f.EasyUntil), len(f.ClassFade),
		len(f.KindByClass), len(f.PromptStartS),
	} {
		if n != len(in.Classes) {
			return fmt.Errorf("settings: a list of familyInfo has %d entries for %d classes", n, len(in.Classes))
		}
	}
	for i, c := range in.Classes {
		class := forkhead.Class{
			DedupWindow: Duration(c.MemorySpan), LatencyObjective: Duration(c.Aim), Weight: c.Points, LateWeight: c.LateWorth,
			StartWeight: f.PromptStartS[i], Priority: f.ClassPriority[i], MachineType: f.KindByClass[i],
			MaxPerDomain: f.ClassMost[i], SaturationThreshold: f.EasyUntil[i], DegradationRange: f.ClassFade[i],
		}
		var err error
		if class.Effect, err = lookup("effect", effects, c.Effect); err != nil {
			return err
		}
		if class.DedupDomain, err = lookup("group", places, c.Group); err != nil {
			return err
		}
		if class.SpreadDomain, err = lookup("classSpread", places, f.ClassSpread[i]); err != nil {
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
