package forkhead

import (
	"math"
	"strings"
	"testing"
)

func TestNewNamesInvalidField(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"Classes":                        func(s *Settings) { s.Classes = nil },
		"MachineTypes":                   func(s *Settings) { s.MachineTypes = nil },
		"Placers":                        func(s *Settings) { s.Placers = 0 },
		"Self is -1":                     func(s *Settings) { s.Self = -1 },
		"Self is 3":                      func(s *Settings) { s.Placers, s.Self = 3, 3 },
		"Placers is -2":                  func(s *Settings) { s.Placers = -2 },
		"Costs.Gossip":                   func(s *Settings) { s.Costs.Gossip = math.NaN() },
		"Costs.RemoteZone":               func(s *Settings) { s.Costs.RemoteZone = math.Inf(1) },
		"SlowStartMaxOffers is +Inf":     func(s *Settings) { s.SlowStartMaxOffers = math.Inf(1) },
		"MaxAttempts":                    func(s *Settings) { s.MaxAttempts = 0 },
		"MeanCores":                      func(s *Settings) { s.MeanCores = math.NaN() },
		"MachineTypes[0].Cores":          func(s *Settings) { s.MachineTypes[0].Cores = math.Inf(1) },
		"MachineTypes[0].Memory":         func(s *Settings) { s.MachineTypes[0].Memory = -1 },
		"Classes[0].MachineType":         func(s *Settings) { s.Classes[0].MachineType = 1 },
		"Classes[0].SaturationThreshold": func(s *Settings) { s.Classes[0].SaturationThreshold = math.NaN() },
		"SlowStartMaxOffers":             func(s *Settings) { s.SlowStartMaxOffers = -1 },
		"Classes[0].DegradationRange":    func(s *Settings) { s.Classes[0].DegradationRange = math.NaN() },
		"Classes[0].Weight":              func(s *Settings) { s.Classes[0].Weight = -1 },
		"OverQuotaWeight":                func(s *Settings) { s.OverQuotaWeight = math.Inf(1) },
		"Tenants[0].QuotaCores":          func(s *Settings) { s.Tenants = []Tenant{{QuotaCores: math.NaN()}} },
		"MaxPollInterval":                func(s *Settings) { s.ListWatched, s.MaxPollInterval = false, 0 },
		"Classes[0].MaxPerDomain ":       func(s *Settings) { s.Classes[0].MaxPerDomain = -1 },
	} {
		settings := testSettings()
		invalidate(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("New(settings with invalid %s): got error %v, want one that contains %q", field, err, field)
		}
	}
}

func TestUnplaceableTaskIsRejectedAtOnce(t *testing.T) {
	for name, invalidate := range map[string]func(*Task){
		"too many cores":  func(t *Task) { t.Cores = 11 },
		"too much memory": func(t *Task) { t.Memory = 21 },
		"unknown class":   func(t *Task) { t.Class = 5 },
		"not a number":    func(t *Task) { t.Cores = math.NaN() },
		"infinite":        func(t *Task) { t.Memory = math.Inf(1) },
		"negative":        func(t *Task) { t.Cores = -1 },
	} {
		h := newHarness(t, testSettings(), readyMachines(3))
		task := h.newTask(0, 7)
		invalidate(&task)
		actions := h.step(PlacementRequest{Task: task})
		if len(actions) != 1 || len(actionsOf[Reject](actions)) != 1 {
			t.Errorf("request of a task, %s: got actions %v, want one Reject", name, formatActions(actions))
		}
	}
}
