package forkhead

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// validateSettings returns an error for settings that no decision can be based on. The error names the field,
// its value and the valid values.
func validateSettings(settings *Settings) error {
	switch {
	case settings.Placers < 1:
		return fmt.Errorf("settings: Placers is %d, want at least 1", settings.Placers)
	case settings.Self < 0 || settings.Self >= settings.Placers:
		return fmt.Errorf("settings: Self is %d, want 0 to %d", settings.Self, settings.Placers-1)
	case len(settings.Classes) == 0:
		return fmt.Errorf("settings: Classes is empty")
	case len(settings.MachineTypes) == 0:
		return fmt.Errorf("settings: MachineTypes is empty")
	case settings.MaxAttempts < 1:
		return fmt.Errorf("settings: MaxAttempts is %d, want at least 1", settings.MaxAttempts)
	case !settings.ListWatched && settings.MaxPollInterval <= 0:
		return fmt.Errorf("settings: MaxPollInterval is %v, want above 0 for a list that is polled", settings.MaxPollInterval)
	}
	for i, class := range settings.Classes {
		if class.MachineType < -1 || class.MachineType >= len(settings.MachineTypes) {
			return fmt.Errorf("Classes[%d].MachineType is %d, want -1 to %d",
				i, class.MachineType, len(settings.MachineTypes)-1)
		}
	}
	for _, amount := range settingsAmounts(settings) {
		if !(amount.value >= 0) || math.IsInf(amount.value, 0) {
			return fmt.Errorf("%s is %g, want a finite number not below 0", amount.name, amount.value)
		}
	}
	return nil
}

// namedAmount is a numeric setting with the name of its field.
type namedAmount struct {
	name  string
	value float64
}

// settingsAmounts returns the settings that must be finite and not negative, sorted by name.
func settingsAmounts(settings *Settings) []namedAmount {
	amounts := []namedAmount{
		{"MeanCores", settings.MeanCores},
		{"MeanMemory", settings.MeanMemory},
		{"CoresOvercommit", settings.CoresOvercommit},
		{"MemoryOvercommit", settings.MemoryOvercommit},
		{"SlowStartMaxOffers", settings.SlowStartMaxOffers},
		{"SlowStartDuration", float64(settings.SlowStartDuration)},
		{"SlowStartWindow", float64(settings.SlowStartWindow)},
		{"DrainGrace", float64(settings.DrainGrace)},
		{"MaxPollInterval", float64(settings.MaxPollInterval)},
		{"OwnerBackoff", float64(settings.OwnerBackoff)},
		{"OverQuotaWeight", settings.OverQuotaWeight},
		{"Costs.SurplusMachine", settings.Costs.SurplusMachine},
		{"Costs.Migration", settings.Costs.Migration},
		{"Costs.EvictionMigrations", settings.Costs.EvictionMigrations},
		{"Costs.Rejection", settings.Costs.Rejection},
		{"Costs.RemoteZone", settings.Costs.RemoteZone},
		{"Costs.WastedWork", settings.Costs.WastedWork},
		{"Costs.Probe", settings.Costs.Probe},
		{"Costs.Gossip", settings.Costs.Gossip},
		{"Costs.ListEntries", settings.Costs.ListEntries},
	}
	for i, machineType := range settings.MachineTypes {
		field := fmt.Sprintf("MachineTypes[%d]", i)
		amounts = append(amounts,
			namedAmount{field + ".Cores", machineType.Cores},
			namedAmount{field + ".Memory", machineType.Memory})
	}
	for i, class := range settings.Classes {
		field := fmt.Sprintf("Classes[%d]", i)
		amounts = append(amounts,
			namedAmount{field + ".SaturationThreshold", class.SaturationThreshold},
			namedAmount{field + ".DegradationRange", class.DegradationRange},
			namedAmount{field + ".Weight", class.Weight},
			namedAmount{field + ".DedupWindow", float64(class.DedupWindow)},
			namedAmount{field + ".MaxPerDomain", float64(class.MaxPerDomain)})
	}
	for i, tenant := range settings.Tenants {
		amounts = append(amounts, namedAmount{fmt.Sprintf("Tenants[%d].QuotaCores", i), tenant.QuotaCores})
	}
	slices.SortFunc(amounts, func(a, b namedAmount) int { return cmp.Compare(a.name, b.name) })
	return amounts
}

// isValid reports whether the task's amounts are not negative or NaN and its class is one of the configured classes.
func (p *Placer) isValid(t *Task) bool {
	return t.Class >= 0 && t.Class < len(p.settings.Classes) && t.Cores >= 0 && t.Memory >= 0
}

// isPlaceable reports whether an empty machine of some type could hold the task.
func (p *Placer) isPlaceable(t *Task) bool {
	required := p.settings.Classes[t.Class].MachineType
	for i, machineType := range p.settings.MachineTypes {
		if required >= 0 && required != i {
			continue
		}
		if t.Cores <= machineType.Cores*p.settings.CoresOvercommit &&
			t.Memory <= machineType.Memory*p.settings.MemoryOvercommit {
			return true
		}
	}
	return false
}
