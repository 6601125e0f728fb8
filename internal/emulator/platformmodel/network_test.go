package platformmodel

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// testClasses are the classes of testNetworkConfig and ownerRig.
var testClasses = []Class{
	{Name: "safe", Effect: forkhead.Safe},
	{Name: "keyed", Effect: forkhead.Keyed, DedupWindow: 8 * time.Second},
	{Name: "unsafe", Effect: forkhead.Unsafe},
}

// testHostConfig returns the configuration of a host that decides an offer within 20 ms, or 40 ms in its slow start,
// and whose tasks run for 2 to 4 s. In its slow start it can take twice as many offers as the placers send within a
// window, since the offers of two windows can arrive together: the earlier ones may have to wait for their connection.
func testHostConfig() HostConfig {
	return HostConfig{
		Cores: 16, Memory: 16, AnswerTime: Range{time.Millisecond, 20 * time.Millisecond}, MaxQueued: 50,
		RunTime: Range{2 * time.Second, 4 * time.Second}, NoteInterval: time.Second, IdleTimeout: 30 * time.Second,
		SlowStartDuration: 3 * time.Second, SlowStartFactor: 2, SlowStartWindow: 500 * time.Millisecond, SlowStartMaxOffers: 24,
	}
}

// testCoreConfig returns the configuration of an incarnation of a placer.
func testCoreConfig(placers, placer, incarnation int, initial []platform.WatchEvent) platformcore.Config {
	class := forkhead.Class{MachineType: -1, Weight: 1, LatencyObjective: time.Second, SaturationThreshold: 1}
	settings := forkhead.Settings{
		Placers: placers, Self: placer, MachineTypes: []forkhead.MachineType{{Cores: 16, Memory: 16}}, MeanCores: 1, MeanMemory: 1,
		CoresOvercommit: 1, MemoryOvercommit: 1, ListWatched: true, ListReportsAvailable: true,
		MaxAttempts: 4, MayWithdraw: true, MayProbe: true, DrainGrace: 250 * time.Millisecond, ConnectTimeout: 250 * time.Millisecond,
		SlowStartDuration: 3 * time.Second, SlowStartWindow: 500 * time.Millisecond, SlowStartMaxOffers: 12,
		MaxPollInterval: 10 * time.Second, OwnerBackoff: time.Second,
	}
	names := platformcore.WireNames{Zones: []string{"a", "b"}, MachineTypes: []string{"std"}}
	for _, c := range testClasses {
		class.Effect, class.DedupWindow = c.Effect, c.DedupWindow
		settings.Classes = append(settings.Classes, class)
		names.Classes = append(names.Classes, c.Name)
	}
	return platformcore.Config{
		Settings: settings, Names: names, IdleTimeout: 30 * time.Second, Seed: uint64(10*placer + incarnation), InitialEvents: initial,
		MaxOwnerConnections: 20, MaxHostConnections: 40,
	}
}

// testNetworkConfig returns a platform with hosts that alternate between two zones, and one owner whose requests
// alternate between the placers and the classes, 50 ms apart.
func testNetworkConfig(placers, hosts, requests int, faults ...Fault) NetworkConfig {
	cfg := Config{Placers: placers, Faults: faults, ListDelay: 300 * time.Millisecond, Seed: 7}
	for i := range hosts {
		cfg.Hosts = append(cfg.Hosts, HostSpec{Config: testHostConfig(), Zone: []string{"a", "b"}[i%2], MachineType: "std", Cell: i, RestartAfter: time.Second})
	}
	owner := OwnerConfig{Classes: testClasses, MaxSubmissions: 6, AnswerGrace: 100 * time.Millisecond}
	for i := range requests {
		owner.Requests = append(owner.Requests, Request{
			At: time.Duration(i) * 50 * time.Millisecond, Placer: i % placers, Class: i % len(testClasses), Cores: 1, Memory: 1,
			Service: uint64(i), Timeout: 1500 * time.Millisecond, ReleaseAfter: time.Duration(i%4) * time.Second,
		})
	}
	cfg.Owners = []OwnerConfig{owner}
	return NetworkConfig{
		Emulator: cfg, Latency: time.Millisecond, ConnectTimeout: 250 * time.Millisecond, Start: time.Hour,
		Core: func(placer, incarnation int, initial []platform.WatchEvent) platformcore.Config {
			return testCoreConfig(placers, placer, incarnation, initial)
		},
	}
}

// runNetwork runs a network until each request has its final outcome, for a minute at most. It calls during, if not
// nil, at the beginning, and returns the number of requests by outcome.
func runNetwork(t *testing.T, cfg NetworkConfig, during func(*Network)) (*Network, map[Outcome]int) {
	t.Helper()
	n, err := NewNetwork(cfg)
	if err != nil {
		t.Fatalf("NewNetwork: %v", err)
	}
	if during != nil {
		during(n)
	}
	if !n.Run(time.Minute) {
		t.Errorf("seed %d, faults %+v: Run(1m) = false, want a final outcome of each request", cfg.Emulator.Seed, cfg.Emulator.Faults)
	}
	counts := map[Outcome]int{}
	for _, reports := range n.Emulator.Requests() {
		for _, r := range reports {
			counts[r.Outcome]++
			if !r.Outcome.IsFinal() {
				t.Errorf("seed %d: report after the run = %+v, want a final outcome", cfg.Emulator.Seed, r)
			}
		}
	}
	return n, counts
}

// Without faults each request is answered once, and its task runs until it ends or its owner releases it. A second run
// has the same journal.
func TestNetworkWithoutFaultsPlacesEachRequestOnce(t *testing.T) {
	cfg := testNetworkConfig(2, 4, 80)
	n, counts := runNetwork(t, cfg, nil)
	if counts[OutcomeEnded]+counts[OutcomeReleased] != 80 || counts[OutcomeReleased] < 20 || counts[OutcomeEnded] < 20 {
		t.Errorf("number of requests by outcome = %v, want 80 ended or released, at least 20 of each", counts)
	}
	for _, r := range n.Emulator.Requests()[0] {
		if r.Unexpected != 0 || r.Answers != 1 || len(r.Refs) != 1 {
			t.Errorf("report on a request = %+v, want 1 ref, 1 answer and no unexpected message", r)
		}
	}
	again, _ := runNetwork(t, cfg, nil)
	if a, b := fmt.Sprint(n.Emulator.Journal()), fmt.Sprint(again.Emulator.Journal()); a != b {
		t.Error("journal of a second run with the same configuration differs from that of the first, want the same")
	}
}

// Under each type of fault each request gets a final outcome within a minute, at least 30 of 80 tasks end or are
// released, and no request has more answers than submissions.
func TestNetworkFinishesRequestsUnderEachFaultType(t *testing.T) {
	for fault := range faultTypeCount {
		t.Run(fault.String(), func(t *testing.T) {
			f := Fault{At: time.Second, Duration: 2 * time.Second, Type: fault, Amount: 200 * time.Millisecond}
			f.Target = Target{Kind: injectorOf(fault).kinds[0], Number: 0}
			if fault == FaultMassKill || fault == FaultMassRestart || fault == FaultMassHandOver {
				f.Target.All = true
			}
			n, counts := runNetwork(t, testNetworkConfig(2, 4, 80, f), nil)
			if done := counts[OutcomeEnded] + counts[OutcomeReleased]; done < 30 {
				t.Errorf("number of requests by outcome = %v, want at least 30 ended or released", counts)
			}
			for _, r := range n.Emulator.Requests()[0] {
				if r.Answers > len(r.Refs) {
					t.Errorf("report on a request = %+v, want at most as many answers as submissions, %d", r, len(r.Refs))
				}
			}
			t.Log(counts)
		})
	}
}

// The running tasks of a killed placer are handed over to its next incarnation, which reports their ends.
func TestNetworkRestartedPlacerReceivesHandOvers(t *testing.T) {
	n, counts := runNetwork(t, testNetworkConfig(2, 4, 80), func(n *Network) {
		n.Run(2 * time.Second)
		n.KillPlacer(1)
		n.Run(300 * time.Millisecond)
		if err := n.StartPlacer(1); err != nil {
			t.Fatalf("StartPlacer(1): %v", err)
		}
	})
	handOvers := 0
	for _, r := range n.Emulator.Requests()[0] {
		handOvers += r.HandOvers
	}
	if handOvers == 0 || counts[OutcomeEnded]+counts[OutcomeReleased] < 60 {
		t.Errorf("got %d hand-overs and numbers of requests by outcome %v, want at least 1 hand-over and at least 60 ended or released",
			handOvers, counts)
	}
	t.Log(handOvers, counts)
}

// randomFaults draws up to 8 faults. It leaves out faults after which a placer cannot learn or cannot report that a task
// is over: lost messages or half-open connections of owners, and a restart of the sequence of the endpoint log.
func randomFaults(seed uint64) []Fault {
	rng := rand.New(rand.NewPCG(seed, 9))
	var faults []Fault
	for range 1 + rng.IntN(8) {
		f := Fault{Type: FaultType(rng.IntN(int(faultTypeCount))), Amount: time.Duration(1 + rng.Int64N(int64(time.Second)))}
		if f.Type == FaultSequenceRestart {
			continue
		}
		f.At, f.Duration = time.Duration(rng.Int64N(int64(5*time.Second))), time.Duration(rng.Int64N(int64(4*time.Second)))
		kinds := injectorOf(f.Type).kinds
		if f.Type == FaultHalfOpen || f.Type == FaultCorrupted {
			kinds = onlyHosts
		}
		f.Target = Target{Kind: kinds[rng.IntN(len(kinds))], All: rng.IntN(3) == 0}
		if f.Target.Kind == HostParty {
			f.Target.Number = rng.IntN(4)
		}
		faults = append(faults, f)
	}
	return faults
}

// Under random combinations of faults, and restarts of a placer, each request gets a final outcome. Each final outcome
// occurs in some run.
func TestNetworkFinishesRequestsUnderRandomFaults(t *testing.T) {
	sum := map[Outcome]int{}
	for seed := range uint64(40) {
		cfg := testNetworkConfig(2, 4, 80, randomFaults(seed)...)
		cfg.Emulator.Seed = seed
		_, counts := runNetwork(t, cfg, func(n *Network) {
			if seed%2 == 0 {
				return
			}
			n.Run(2 * time.Second)
			n.KillPlacer(1)
			n.Run(time.Second)
			if err := n.StartPlacer(1); err != nil {
				t.Fatalf("seed %d: StartPlacer(1): %v", seed, err)
			}
		})
		for outcome, count := range counts {
			sum[outcome] += count
		}
	}
	for outcome := OutcomeEnded; outcome < outcomeCount; outcome++ {
		if sum[outcome] == 0 {
			t.Errorf("number of requests by outcome in all runs = %v, want at least one %v", sum, outcome)
		}
	}
}
