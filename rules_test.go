package forkhead

import (
	"fmt"
	"testing"
	"time"
)

// neverRan are the results that prove an unbound attempt did not run.
var neverRan = map[Result]bool{Rejected: true, ConnectFailed: true, NotSent: true}

var allResults = []Result{OK, Errored, Rejected, TimedOut, ConnectFailed, Reset, Withdrawn, NotSent}

func TestFurtherAttemptsByEffectAndResult(t *testing.T) {
	cases := []struct {
		name   string
		effect Effect
		group  Domain
	}{
		{"safe", Safe, AnyDomain}, {"keyed all", Keyed, AnyDomain}, {"keyed zone", Keyed, ZoneDomain},
		{"keyed cell", Keyed, CellDomain}, {"unsafe", Unsafe, AnyDomain},
	}
	for _, c := range cases {
		for _, result := range allResults {
			t.Run(fmt.Sprintf("%s after result %d", c.name, result), func(t *testing.T) {
				set := testSettings()
				set.Classes[0].Effect, set.Classes[0].DedupDomain = c.effect, c.group
				machines := fleet(12)
				b := newBench(t, set, machines)
				id, actions := b.arrive(0, 7)
				first := b.offered(actions)
				b.now += 20 * time.Millisecond
				actions = b.step(Outcome{Task: id, Attempt: 0, Machine: first.Machine, Result: result})
				offers, refusals := only[Offer](actions), only[Reject](actions)
				if neverRan[result] {
					if len(only[Fail](actions)) > 0 {
						t.Fatalf("failed although nothing ran: %v", describe(actions))
					}
					return
				}
				if c.effect == Unsafe && (len(offers) > 0 || len(refusals) > 0 || len(only[Fail](actions)) != 1) {
					t.Fatalf("unsafe and possibly run: want one failure, got %v", describe(actions))
				}
				if c.effect == Keyed && c.group != AnyDomain {
					if len(refusals) > 0 {
						t.Fatalf("refused a keyed task that may have run: %v", describe(actions))
					}
					for _, o := range offers {
						if !sameDomain(c.group, &machine{Machine: machines[o.Machine-1]}, &machine{Machine: machines[first.Machine-1]}) {
							t.Fatalf("sent from machine %d to %d, outside its group", first.Machine, o.Machine)
						}
					}
				}
			})
		}
	}
}

func TestKeyedTaskIsNotSentAfterItsWindow(t *testing.T) {
	set := testSettings()
	set.Classes[0].Effect, set.Classes[0].DedupDomain, set.Classes[0].DedupWindow = Keyed, CellDomain, time.Second
	b := newBench(t, set, fleet(12))
	id, actions := b.arrive(0, 7)
	first := b.offered(actions)
	b.now += 2 * time.Second
	actions = b.step(Outcome{Task: id, Attempt: 0, Machine: first.Machine, Result: TimedOut})
	if len(only[Offer](actions)) > 0 || len(only[Reject](actions)) > 0 || len(only[Fail](actions)) != 1 {
		t.Fatalf("want one failure, got %v", describe(actions))
	}
}

func TestEveryTaskHasOneAnswerAtItsDeadline(t *testing.T) {
	for _, c := range []struct {
		effect Effect
		refuse bool
	}{{Safe, true}, {Unsafe, false}} {
		set := testSettings()
		set.Classes[0].Effect = c.effect
		b := newBench(t, set, fleet(3))
		id, actions := b.arrive(0, 7)
		b.offered(actions)
		var due []SetTimer
		for _, s := range only[SetTimer](actions) {
			if s.At > b.now+4*time.Second && s.At <= b.now+5*time.Second {
				due = append(due, s)
			}
		}
		if len(due) != 1 {
			t.Fatalf("want one timer just before the deadline, got %v", describe(actions))
		}
		b.now = due[0].At
		actions = b.step(TimerFired{Timer: due[0].Timer})
		refusals, failures := len(only[Reject](actions)), len(only[Fail](actions))
		if refusals+failures != 1 || (refusals == 1) != c.refuse {
			t.Errorf("effect %d with an attempt out: %d refusals, %d failures", c.effect, refusals, failures)
		}
		b.now += time.Millisecond
		late := b.step(Outcome{Task: id, Attempt: 0, Result: TimedOut}, RequestCanceled{Task: id})
		if len(only[Offer](late))+len(only[Reject](late))+len(only[Fail](late)) > 0 {
			t.Errorf("something was sent after the answer: %v", describe(late))
		}
	}
}

func TestWaitingTaskIsRefusedAtItsDeadlineWithNoMachineAtAll(t *testing.T) {
	b := newBench(t, testSettings(), nil)
	_, actions := b.arrive(0, 7)
	if len(only[Offer](actions)) > 0 {
		t.Fatalf("offered with no machine: %v", describe(actions))
	}
	b.now += 5*time.Second - deadlineMargin
	for _, s := range only[SetTimer](actions) {
		if s.At == b.now {
			if got := b.step(TimerFired{Timer: s.Timer}); len(only[Reject](got)) != 1 {
				t.Fatalf("want one refusal, got %v", describe(got))
			}
			return
		}
	}
	t.Fatal("no timer at the deadline")
}

func TestNothingIsSentToDrainingGoneOrUnlistedMachines(t *testing.T) {
	machines := fleet(4)
	draining, gone := machines[0], machines[1]
	draining.State, gone.State = Draining, Removed
	for name, update := range map[string]ListUpdate{
		"delta":          {Mode: ListDelta, Machines: []Machine{draining, gone}},
		"full list":      {Mode: ListSnapshot, Machines: []Machine{draining, machines[2], machines[3]}},
		"drains at once": {Mode: ListDelta, Machines: []Machine{draining, gone}},
	} {
		b := newBench(t, testSettings(), machines)
		b.step(update)
		for service := range uint64(40) {
			_, actions := b.arrive(0, service)
			for _, o := range only[Offer](actions) {
				if o.Machine == 1 || o.Machine == 2 {
					t.Fatalf("%s: offer to machine %d", name, o.Machine)
				}
			}
		}
	}
}

func TestColdMachineGetsOurShareOfItsBudget(t *testing.T) {
	set := testSettings()
	set.Placers, set.SlowStartMaxOffers = 4, 12
	machines := fleet(1)
	machines[0].StartedAt = time.Hour - time.Second
	machines[0].AvailableCores, machines[0].AvailableMemory = 1e6, 1e6
	set.MachineTypes[0] = MachineType{Cores: 1e6, Memory: 1e6}
	b := newBench(t, set, machines)
	var sent []time.Duration
	for i := range 400 {
		b.now += 10 * time.Millisecond
		id, actions := b.arrive(0, uint64(i))
		for _, o := range only[Offer](actions) {
			sent = append(sent, b.now)
			b.step(Outcome{Task: o.Task, Attempt: 0, Machine: o.Machine, Result: Rejected, Reason: InsufficientCores})
		}
		b.step(RequestCanceled{Task: id})
	}
	for i := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at < sent[i]+set.SlowStartWindow {
				n++
			}
		}
		if n > 3 {
			t.Fatalf("%d offers within a window, our share of 12 for 4 placers is 3", n)
		}
	}
	if len(sent) == 0 {
		t.Fatal("a cold machine was never used")
	}
}

func TestSpreadCountsAttemptsAndHandedOverTasks(t *testing.T) {
	for _, place := range []Domain{MachineDomain, CellDomain, ZoneDomain} {
		set := testSettings()
		set.Classes[0].SpreadDomain, set.Classes[0].MaxPerDomain = place, 2
		machines := fleet(12)
		b := newBench(t, set, machines)
		held := map[int]int{}
		count := func(m MachineID) int {
			e := machines[m-1]
			where := map[Domain]int{MachineDomain: int(e.ID), CellDomain: e.Cell, ZoneDomain: e.Zone}[place]
			held[where]++
			return held[where]
		}
		for _, m := range []MachineID{1, 1, 4} {
			b.step(HandedOver{Task: b.task(0, 7), Machine: m})
			count(m)
		}
		for range 40 {
			_, actions := b.arrive(0, 7)
			for _, o := range only[Offer](actions) {
				if n := count(o.Machine); n > 2 {
					t.Fatalf("place %d: an offer makes %d tasks of one service in one place", place, n)
				}
			}
		}
		total := 0
		for _, n := range held {
			total += n
		}
		if want := map[Domain]int{MachineDomain: 24, CellDomain: 8, ZoneDomain: 5}[place]; total != want {
			t.Errorf("place %d: %d tasks placed, the spread leaves room for %d", place, total, want)
		}
	}
}

func TestOnlyOneAttemptIsOut(t *testing.T) {
	b := newBench(t, testSettings(), fleet(6))
	_, actions := b.arrive(0, 7)
	b.offered(actions)
	for range 200 {
		b.now += 20 * time.Millisecond
		var fired []Event
		for _, s := range only[SetTimer](actions) {
			fired = append(fired, TimerFired{Timer: s.Timer})
		}
		actions = b.step(fired...)
		if n := len(only[Offer](actions)); n > 0 {
			t.Fatalf("a second attempt while the first is out")
		}
	}
}

// A tenant beyond its share once kept those within theirs waiting.
func TestRoomGoesToTenantsWithinTheirShare(t *testing.T) {
	set := testSettings()
	set.Tenants, set.OverQuotaWeight = []Tenant{{Quota: 0.5, QuotaCores: 5}, {Quota: 0.5, QuotaCores: 5}}, 0.1
	b := newBench(t, set, fleet(1))
	var held []Offer
	for service := range uint64(14) {
		_, actions := b.arrive(0, service)
		for _, o := range only[Offer](actions) {
			b.step(Bound{Task: o.Task, Machine: o.Machine})
			held = append(held, o)
		}
	}
	if len(held) != 10 {
		t.Fatalf("%d tasks on a machine for ten", len(held))
	}
	task := b.task(0, 99)
	task.Tenant = 1
	b.step(PlacementRequest{Task: task})
	b.now += 100 * time.Millisecond
	actions := b.step(Outcome{Task: held[0].Task, Machine: held[0].Machine, Result: OK, Final: true})
	if got := b.offered(actions).Task; got != task.ID {
		t.Errorf("the room went to task %d, not to %d of the tenant within its share", got, task.ID)
	}
}

func TestNothingFollowsABoundTask(t *testing.T) {
	for _, effect := range []Effect{Safe, Keyed, Unsafe} {
		for _, result := range allResults {
			set := testSettings()
			set.Classes[0].Effect = effect
			b := newBench(t, set, fleet(6))
			id, actions := b.arrive(0, 7)
			on := b.offered(actions).Machine
			b.step(Bound{Task: id, Machine: on})
			b.now += 5 * time.Second
			var got []Action
			for _, s := range only[SetTimer](actions) {
				got = append(got, b.step(TimerFired{Timer: s.Timer})...)
			}
			got = append(got, b.step(Outcome{Task: id, Machine: on, Result: result, Final: true}, RequestCanceled{Task: id})...)
			if n := len(only[Offer](got)) + len(only[Reject](got)) + len(only[Fail](got)); n > 0 {
				t.Errorf("effect %d, result %d after the bind: %v", effect, result, describe(got))
			}
		}
	}
}

// A restarted placer learns of its running tasks by their being handed over.
func TestRestartedPlacerCountsWhatIsHandedBack(t *testing.T) {
	set := testSettings()
	set.Classes[0].SpreadDomain, set.Classes[0].MaxPerDomain = ZoneDomain, 1
	b := newBench(t, set, fleet(6))
	running := b.task(0, 7)
	if got := b.step(HandedOver{Task: running, Machine: 2}); len(only[Offer](got)) > 0 {
		t.Fatalf("a handed-over task was offered: %v", describe(got))
	}
	id, actions := b.arrive(0, 7)
	if len(only[Offer](actions)) > 0 {
		t.Fatal("the handed-over task was not counted")
	}
	actions = b.step(Outcome{Task: running.ID, Machine: 2, Result: OK, Final: true})
	if got := b.offered(actions); got.Task != id {
		t.Errorf("offered task %d, want the waiting %d", got.Task, id)
	}
}

// On the platform a machine once answered each offer with an error and, since errors leave its room free, drew all four
// attempts of one task after the other.
func TestMachineThatErrs(t *testing.T) {
	b := newBench(t, testSettings(), fleet(6))
	const bad = MachineID(2)
	errors := 0
	for service := range uint64(200) {
		id, actions := b.arrive(0, service)
		o := b.offered(actions)
		attempt := 0
		if o.Machine == bad {
			errors++
			attempt++
			if o = b.offered(b.step(Outcome{Task: id, Machine: bad, Result: Errored})); o.Machine == bad {
				t.Fatal("a task that erred on a machine is offered to it again")
			}
		}
		b.step(Bound{Task: id, Attempt: attempt, Machine: o.Machine}, Outcome{Task: id, Attempt: attempt, Machine: o.Machine, Final: true})
		b.now += 10 * time.Millisecond
	}
	if errors != 2 {
		t.Errorf("%d tasks erred on the machine, want 2: others took both", errors)
	}
}

// Whoever sends tasks that no machine can use must not shut out any.
func TestTaskThatErrsEverywhere(t *testing.T) {
	b := newBench(t, testSettings(), fleet(6))
	for range 20 {
		id, actions := b.arrive(0, 7)
		for attempt := 0; len(only[Offer](actions)) > 0; attempt++ {
			actions = b.step(Outcome{Task: id, Attempt: attempt, Machine: b.offered(actions).Machine, Result: Errored})
		}
	}
	seen := map[MachineID]bool{}
	for service := range uint64(200) {
		_, actions := b.arrive(0, service)
		for _, o := range only[Offer](actions) {
			seen[o.Machine] = true
		}
	}
	if len(seen) != 6 {
		t.Errorf("%d machines get tasks, want all 6", len(seen))
	}
}

// At a start the list shows the room that tasks leave which run already; they were counted once more when they were
// handed over, and all machines looked full for the first seconds.
func TestHandedOverTaskIsInTheView(t *testing.T) {
	machines := fleet(2)
	for i := range machines {
		machines[i].AvailableCores, machines[i].AvailableMemory = 3, 10 // of 10 and 20
	}
	b := newBench(t, testSettings(), machines)
	for i := range 14 {
		task := b.task(0, uint64(100+i))
		b.step(HandedOver{Task: task, Machine: machines[i%2].ID})
	}
	_, actions := b.arrive(0, 7)
	b.offered(actions)
}

// Machines in use beyond need have a price: the emptiest rest, and wake where the others have no room.
func TestEmptiestMachinesRest(t *testing.T) {
	set := testSettings()
	set.Costs.SurplusMachine = 0.15
	machines := fleet(6)
	machines[0].AvailableCores, machines[1].AvailableCores = 4, 4 // 12 of 60 asked: two machines hold it, one is spare
	b := newBench(t, set, machines)
	used, ids := map[MachineID]int{}, []TaskID{}
	place := func(n int) {
		for range n {
			id, actions := b.arrive(0, uint64(1000+len(ids)))
			for _, o := range only[Offer](actions) {
				used[o.Machine]++
				ids = append(ids, id)
				b.step(Bound{Task: id, Machine: o.Machine}, Note{Task: id, Machine: o.Machine, Kind: NoteRunning, Amount: 1})
			}
		}
	}
	place(8)
	if len(used) > 3 || used[1]+used[2] == 0 {
		t.Errorf("8 tasks go to %v, want to the two machines in use and one spare at most", used)
	}
	place(40)
	if len(used) != 6 {
		t.Errorf("48 tasks go to %v, want to all 6", used)
	}
}

// Over a long day of ever new machines those that are gone are forgotten, but for one that tasks of ours are on.
func TestGoneMachinesAreForgotten(t *testing.T) {
	b := newBench(t, testSettings(), fleet(3))
	task := b.task(0, 7)
	b.step(HandedOver{Task: task, Machine: 1})
	b.step(ListUpdate{Mode: ListDelta, Machines: []Machine{{ID: 1, State: Removed}}})
	for i := range MachineID(1000) {
		b.now += time.Second
		fresh := fleet(1)[0]
		fresh.ID = 100 + i
		b.step(ListUpdate{Mode: ListDelta, Machines: []Machine{fresh, {ID: 99 + i, State: Removed}}})
	}
	if n := len(b.p.machines); n > 70 {
		t.Errorf("%d machines are known, want the few of the last minute", n)
	}
	if b.p.machines[1] == nil {
		t.Error("a machine that holds a task is forgotten")
	}
	b.step(Outcome{Task: task.ID, Machine: 1, Result: Reset, Final: true})
}

// A fleet that is replaced loses its oldest machines first: tasks that were packed onto those were cut with them.
func TestOlderMachinesRestFirst(t *testing.T) {
	set := testSettings()
	set.Costs.SurplusMachine = 0.15
	machines := fleet(6)
	machines[0].AvailableCores, machines[1].AvailableCores = 4, 4 // the fullest, and of old
	b := newBench(t, set, nil)
	for i := 3; i < 6; i++ {
		machines[i].StartedAt = b.now - time.Minute
	}
	b.step(ListUpdate{Mode: ListSnapshot, Machines: machines})
	for service := range uint64(8) {
		_, actions := b.arrive(0, 1000+service)
		if o := b.offered(actions); o.Machine < 4 {
			t.Errorf("a task goes to machine %d, one of the old ones", o.Machine)
		}
	}
}
