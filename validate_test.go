package forkhead

import (
	"math"
	"strings"
	"testing"
)

func TestNewNamesTheFieldItCannotUse(t *testing.T) {
	cases := map[string]func(*Settings){
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
		"Classes[0].MaxPerDomain ":       func(s *Settings) { s.Classes[0].MaxPerDomain = -1 },
	}
	for field, spoil := range cases {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v does not name it", field, err)
		}
	}
}

func TestTasksThatCannotBePlacedAreRefusedAtOnce(t *testing.T) {
	for name, spoil := range map[string]func(*Task){
		"too large":     func(k *Task) { k.Cores = 11 },
		"too much":      func(k *Task) { k.Memory = 21 },
		"unknown class": func(k *Task) { k.Class = 5 },
		"not a number":  func(k *Task) { k.Cores = math.NaN() },
		"infinite":      func(k *Task) { k.Memory = math.Inf(1) },
		"negative":      func(k *Task) { k.Cores = -1 },
	} {
		b := newBench(t, testSettings(), fleet(3))
		task := b.task(0, 7)
		spoil(&task)
		actions := b.step(PlacementRequest{Task: task})
		if len(actions) != 1 || len(only[Reject](actions)) != 1 {
			t.Errorf("%s: want one refusal, got %v", name, describe(actions))
		}
	}
}

func TestUnknownNewsIsPassedOver(t *testing.T) {
	b := newBench(t, testSettings(), fleet(3))
	actions := b.step(
		Bound{Task: 99}, Outcome{Task: 99, Result: OK}, Note{Task: 99, Kind: NoteCoresUsed}, RequestCanceled{Task: 99},
		Probed{Machine: 99}, Received{Data: []byte{1, 2, 3}}, TimerFired{Timer: 1<<40 | 7},
		Probed{Machine: 1, Result: OK, Report: &LoadReport{AvailableCores: math.NaN(), AvailableMemory: math.NaN()}},
		ListUpdate{Mode: ListDelta, Machines: []Machine{{ID: 50, Type: 9, State: Ready}}},
	)
	if len(actions) > 0 {
		t.Errorf("want nothing done, got %v", describe(actions))
	}
	id, _ := b.arrive(0, 7)
	b.step(Bound{Task: id, Attempt: 3}, Outcome{Task: id, Attempt: -1, Result: Rejected})
	b.step(Outcome{Task: id, Attempt: 0, Result: OK, Final: true}, Outcome{Task: id, Attempt: 0, Result: OK, Final: true})
}
