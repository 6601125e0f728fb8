package bootinfo

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
		AcceptCores: f.AcceptsCores, AcceptMemory: f.MemBooking,
		BoundWhenRunning: f.SaysYes == "running", ServicesStick: f.Sticks, Preempts: f.Displaces,
		TellsUse: f.SaysUse, TellsPressure: f.PressureNotes, ListsFree: f.ListsFree,
		ListPushed:       in.Discovery == "automatic",
		ReportsInAnswers: in.LoadInfo.How == "answers",
		ReportsInProbes:  in.LoadInfo.How == "probe" || in.LoadInfo.How == "answers",
		ReportsAsked:     f.ReportCounts == "asked",
		MaxAttempts:      in.Caps.MaxAttempts, ParallelAttempts: in.Caps.ParallelTries,
		MayWithdraw: in.Caps.Cancel, MayProbe: in.Caps.Probing, MayTell: in.Caps.Peers,
		OwnerWait: Duration(f.OwnerWait), MaxRetryAfter: Duration(in.Caps.MaxRetryAfter),
		ConnectTimeout: Duration(in.Caps.ConnectTimeout), AnswerSlack: Duration(in.Rules.AnswerSlack),
		DrainGrace: Duration(in.Rules.StopSendingWithin), MustAskWithin: Duration(in.Rules.MustAskIn),
		ColdFor: Duration(in.Rules.Cold), ColdWindow: Duration(in.Rules.Fall), ColdOffers: f.ColdSends,
		ColdFrom: in.Rules.ColdFrom, ColdMultiple: in.Rules.FallMultiple,
		OverShareWorth: in.OverShareWorth,
		Prices: forkhead.Prices{
			Machine: in.Deductions.Fleet, Move: in.Deductions.Moves, Evict: f.EvictCounts,
			Refusal: f.RefusalFee, Zone: in.Deductions.CrossZone, Waste: in.Deductions.Waste,
			Probe: in.Deductions.Probe, Tell: in.Deductions.Peer, List: in.Deductions.Discovery,
		},
	}
	if len(f.KindCores) != len(f.MemoryByKind) {
		return s, fmt.Errorf("settings: %d kinds have cores, %d memory", len(f.KindCores), len(f.MemoryByKind))
	}
	for i, cores := range f.KindCores {
		s.Kinds = append(s.Kinds, forkhead.Kind{Cores: cores, Memory: f.MemoryByKind[i]})
	}
	for i, t := range in.Tenants {
		tenant := forkhead.Tenant{Share: t.Share}
		if i < len(f.TenantQuotaCores) {
			tenant.Cores = f.TenantQuotaCores[i]
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
			Window: Duration(c.MemorySpan), Aim: Duration(c.Aim), Worth: c.Points, LateWorth: c.LateWorth,
			StartWorth: f.PromptStartS[i], Priority: f.ClassPriority[i], Kind: f.KindByClass[i],
			Most: f.ClassMost[i], Calm: f.EasyUntil[i], Fade: f.ClassFade[i],
		}
		var err error
		if class.Effect, err = lookup("effect", effects, c.Effect); err != nil {
			return err
		}
		if class.Group, err = lookup("group", places, c.Group); err != nil {
			return err
		}
		if class.Spread, err = lookup("classSpread", places, f.ClassSpread[i]); err != nil {
			return err
		}
		s.Classes = append(s.Classes, class)
	}
	return nil
}

var effects = map[string]forkhead.Effect{
	"retryable": forkhead.Safe, "dedup": forkhead.Keyed, "fragile": forkhead.Unsafe,
}

var places = map[string]forkhead.Place{
	"": forkhead.Anywhere, "all": forkhead.Anywhere, "none": forkhead.Anywhere,
	"machine": forkhead.OnMachine, "cell": forkhead.InCell, "zone": forkhead.InZone,
}

func lookup[T any](field string, table map[string]T, word string) (T, error) {
	v, ok := table[word]
	if !ok {
		return v, fmt.Errorf("settings: %s: unknown word %q", field, word)
	}
	return v, nil
}
