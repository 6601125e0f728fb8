package forkhead

import (
	"fmt"
	"testing"
	"time"
)

// provesNotRun has the results that prove that the task of an unbound attempt did not run.
var provesNotRun = map[Result]bool{Rejected: true, ConnectFailed: true, NotSent: true}

// allResults has all results with which an attempt ends.
var allResults = []Result{OK, Errored, Rejected, TimedOut, ConnectFailed, Reset, Withdrawn, NotSent}

func TestRetryByEffectAndResult(t *testing.T) {
	for _, class := range []struct {
		name   string
		effect Effect
		domain Domain
	}{
		{"safe", Safe, AnyDomain},
		{"keyed all", Keyed, AnyDomain},
		{"keyed zone", Keyed, ZoneDomain},
		{"keyed cell", Keyed, CellDomain},
		{"unsafe", Unsafe, AnyDomain},
	} {
		for _, result := range allResults {
			t.Run(fmt.Sprintf("%s after result %d", class.name, result), func(t *testing.T) {
				testRetry(t, class.effect, class.domain, result)
			})
		}
	}
}

// testRetry checks the placer's actions when the first attempt of a task ends with the result, 20 ms after the
// offer.
func testRetry(t *testing.T, effect Effect, domain Domain, result Result) {
	t.Helper()
	settings := testSettings()
	settings.Classes[0].Effect, settings.Classes[0].DedupDomain = effect, domain
	machines := readyMachines(12)
	h := newHarness(t, settings, machines)
	id, actions := h.request(0, 7)
	first := h.singleOffer(actions)
	h.now += 20 * time.Millisecond
	actions = h.step(Outcome{Task: id, Attempt: 0, Machine: first.Machine, Result: result})
	offers, rejections, failures := actionsOf[Offer](actions), actionsOf[Reject](actions), actionsOf[Fail](actions)
	if provesNotRun[result] {
		if len(failures) > 0 {
			t.Fatalf("actions after an attempt that did not run = %v, want no Fail", formatActions(actions))
		}
		return
	}
	if effect == Unsafe && (len(offers) > 0 || len(rejections) > 0 || len(failures) != 1) {
		t.Fatalf("actions for an unsafe task that may have run = %v, want one Fail", formatActions(actions))
	}
	if effect != Keyed || domain == AnyDomain {
		return
	}
	if len(rejections) > 0 {
		t.Fatalf("actions for a keyed task that may have run = %v, want no Reject", formatActions(actions))
	}
	for _, offer := range offers {
		firstMachine := &machine{Machine: machines[first.Machine-1]}
		nextMachine := &machine{Machine: machines[offer.Machine-1]}
		if !sameDomain(domain, nextMachine, firstMachine) {
			t.Fatalf("got a second offer to machine %d, want one in the deduplication domain of machine %d",
				offer.Machine, first.Machine)
		}
	}
}

func TestKeyedTaskIsNotRetriedAfterDedupWindow(t *testing.T) {
	settings := testSettings()
	class := &settings.Classes[0]
	class.Effect, class.DedupDomain, class.DedupWindow = Keyed, CellDomain, time.Second
	h := newHarness(t, settings, readyMachines(12))
	id, actions := h.request(0, 7)
	first := h.singleOffer(actions)
	h.now += 2 * time.Second
	actions = h.step(Outcome{Task: id, Attempt: 0, Machine: first.Machine, Result: TimedOut})
	if len(actionsOf[Offer](actions)) > 0 || len(actionsOf[Reject](actions)) > 0 || len(actionsOf[Fail](actions)) != 1 {
		t.Fatalf("actions after the deduplication window = %v, want one Fail and no Offer or Reject",
			formatActions(actions))
	}
}

func TestOnlyOneAttemptIsInFlight(t *testing.T) {
	h := newHarness(t, testSettings(), readyMachines(6))
	_, actions := h.request(0, 7)
	h.singleOffer(actions)
	for range 200 {
		h.now += 20 * time.Millisecond
		var fired []Event
		for _, timer := range actionsOf[SetTimer](actions) {
			fired = append(fired, TimerFired{Timer: timer.Timer})
		}
		actions = h.step(fired...)
		if len(actionsOf[Offer](actions)) > 0 {
			t.Fatalf("timers with an attempt in flight: got actions %v, want no Offer", formatActions(actions))
		}
	}
}

func TestBoundAttemptIsTheLast(t *testing.T) {
	for _, effect := range []Effect{Safe, Keyed, Unsafe} {
		for _, result := range allResults {
			settings := testSettings()
			settings.Classes[0].Effect = effect
			h := newHarness(t, settings, readyMachines(6))
			id, actions := h.request(0, 7)
			machine := h.singleOffer(actions).Machine
			h.step(Bound{Task: id, Machine: machine})
			h.now += 5 * time.Second
			var got []Action
			for _, timer := range actionsOf[SetTimer](actions) {
				got = append(got, h.step(TimerFired{Timer: timer.Timer})...)
			}
			end := Outcome{Task: id, Machine: machine, Result: result, Final: true}
			got = append(got, h.step(end, RequestCanceled{Task: id})...)
			if n := len(actionsOf[Offer](got)) + len(actionsOf[Reject](got)) + len(actionsOf[Fail](got)); n > 0 {
				t.Errorf("effect %d, result %d after the bind: got actions %v, want no Offer, Reject or Fail",
					effect, result, formatActions(got))
			}
		}
	}
}

func TestMigrationNeedsCapacityElsewhere(t *testing.T) {
	for n, want := range map[int]int{1: 0, 2: 1} { // wanted number of migrations, by number of machines
		h := newHarness(t, testSettings(), readyMachines(n))
		id, actions := h.request(0, 7)
		machine := h.singleOffer(actions).Machine
		h.step(Bound{Task: id, Machine: machine})
		h.now += 5 * time.Second
		got := h.step(Note{Task: id, Machine: machine, Kind: NoteServiceLevel, Amount: 0.95})
		if len(actionsOf[Stop](got)) > 0 {
			t.Errorf("%d machines, service level 0.95: got actions %v, want no Stop", n, formatActions(got))
		}
		got = h.step(Note{Task: id, Machine: machine, Kind: NoteServiceLevel, Amount: 0.2})
		if len(actionsOf[Stop](got)) != want {
			t.Errorf("%d machines, service level 0.2: got actions %v, want %d Stop", n, formatActions(got), want)
		}
	}
}

// When a machine serves its tasks poorly, every placer with a task there could migrate one of its tasks at the same time.
// All placers together may migrate only a few tasks.
func TestMigrationsOfManyPlacersStayFew(t *testing.T) {
	settings := testSettings()
	settings.MachineTypes[0] = MachineType{Cores: 100, Memory: 200}
	machines := readyMachines(2)
	for i := range machines {
		machines[i].AvailableCores, machines[i].AvailableMemory = 20, 40
	}
	migrated := 0
	for _, p := range newPlacers(t, settings, 200) {
		p.Step(time.Hour, []Event{
			ListUpdate{Mode: ListCached, Machines: machines},
			HandedOver{Task: Task{ID: 1, Service: 7, Cores: 0.4, Memory: 1}, Machine: 1},
		})
		migrated += len(actionsOf[Stop](p.Step(time.Hour+time.Second, []Event{
			Note{Task: 1, Machine: 1, Kind: NoteServiceLevel, Amount: 0.1},
		})))
	}
	if migrated < 1 || migrated > 3*maxMigrationsPerSecond {
		t.Errorf("200 placers with a task on one machine: got %d migrations, want 1 to %d",
			migrated, 3*maxMigrationsPerSecond)
	}
}
