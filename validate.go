package forkhead

import (
	"fmt"
	"math"
	"slices"
)

// check refuses settings that no decision can be based on.
func check(set *Settings) error {
	switch {
	case set.Placers < 1:
		return fmt.Errorf("settings: Placers is %d, want at least 1", set.Placers)
	case set.Self < 0 || set.Self >= set.Placers:
		return fmt.Errorf("settings: Self is %d, want 0 to %d", set.Self, set.Placers-1)
	case len(set.Classes) == 0:
		return fmt.Errorf("settings: Classes is empty")
	case len(set.Kinds) == 0:
		return fmt.Errorf("settings: Kinds is empty")
	case set.MaxAttempts < 1:
		return fmt.Errorf("settings: MaxAttempts is %d, want at least 1", set.MaxAttempts)
	}
	figures := map[string]float64{
		"MeanCores": set.MeanCores, "MeanMemory": set.MeanMemory, "AcceptCores": set.AcceptCores,
		"AcceptMemory": set.AcceptMemory, "ColdOffers": set.ColdOffers, "ColdFor": float64(set.ColdFor),
		"ColdWindow": float64(set.ColdWindow), "DrainGrace": float64(set.DrainGrace),
		"MustAskWithin": float64(set.MustAskWithin), "OwnerWait": float64(set.OwnerWait),
	}
	prices := map[string]float64{
		"Machine": set.Prices.Machine, "Move": set.Prices.Move, "Evict": set.Prices.Evict,
		"Refusal": set.Prices.Refusal, "Zone": set.Prices.Zone, "Waste": set.Prices.Waste,
		"Probe": set.Prices.Probe, "Tell": set.Prices.Tell, "List": set.Prices.List,
	}
	for name, price := range prices {
		figures["Prices."+name] = price
	}
	for i, k := range set.Kinds {
		figures[fmt.Sprintf("Kinds[%d].Cores", i)] = k.Cores
		figures[fmt.Sprintf("Kinds[%d].Memory", i)] = k.Memory
	}
	for i, c := range set.Classes {
		figures[fmt.Sprintf("Classes[%d].Calm", i)] = c.Calm
		figures[fmt.Sprintf("Classes[%d].Window", i)] = float64(c.Window)
		figures[fmt.Sprintf("Classes[%d].Most", i)] = float64(c.Most)
		if c.Kind < -1 || c.Kind >= len(set.Kinds) {
			return fmt.Errorf("Classes[%d].Kind is %d, want -1 to %d", i, c.Kind, len(set.Kinds)-1)
		}
	}
	names := make([]string, 0, len(figures))
	for name := range figures {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if v := figures[name]; !(v >= 0) || math.IsInf(v, 0) {
			return fmt.Errorf("%s is %g, want a finite number not below 0", name, v)
		}
	}
	return nil
}

// usable says whether some kind of machine could ever hold the task.
func (p *Placer) usable(t *Task) bool {
	for k, kind := range p.set.Kinds {
		if c := p.set.Classes[t.Class].Kind; c >= 0 && c != k {
			continue
		}
		if t.Cores <= kind.Cores*p.set.AcceptCores && t.Memory <= kind.Memory*p.set.AcceptMemory {
			return true
		}
	}
	return false
}
