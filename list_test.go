package forkhead

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// A machine found dead, delisted and listed again was once shut out for good.
func TestMachineThatComesBackIsUsed(t *testing.T) {
	machines := fleet(1)
	b := newBench(t, testSettings(), machines)
	id, actions := b.arrive(0, 7)
	first := b.offered(actions)
	actions = b.step(Outcome{Task: id, Attempt: 0, Machine: first.Machine, Result: ConnectFailed})
	gone := machines[0]
	gone.State = Removed
	b.step(ListUpdate{Mode: ListDelta, Machines: []Machine{gone}})
	b.now += time.Minute
	for _, s := range only[SetTimer](actions) {
		b.step(TimerFired{Timer: s.Timer})
	}
	back := machines[0]
	back.StartedAt = b.now - time.Second
	b.step(ListUpdate{Mode: ListDelta, Machines: []Machine{back}})
	_, actions = b.arrive(0, 8)
	b.offered(actions)
}

func TestSubscriptionIsRenewedAfterFailures(t *testing.T) {
	set := testSettings()
	set.ListWatched = false
	p, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	now, logged := time.Hour, 0
	actions := p.Step(now, []Event{ListUpdate{Mode: ListCached}})
	if len(only[Subscribe](actions)) != 1 {
		t.Fatalf("want a subscription at the start, got %v", describe(actions))
	}
	for round := range 12 {
		actions = p.Step(now, []Event{ListUpdate{Mode: ListFailed}})
		logged += len(only[Log](actions))
		timers := only[SetTimer](actions)
		if len(timers) != 1 || timers[0].At <= now || timers[0].At > now+set.MaxPollInterval {
			t.Fatalf("round %d: want one timer within %v, got %v", round, set.MaxPollInterval, describe(actions))
		}
		now = timers[0].At
		actions = p.Step(now, []Event{TimerFired{Timer: timers[0].Timer}})
		if len(only[Subscribe](actions)) != 1 {
			t.Fatalf("round %d: not asked again", round)
		}
	}
	if logged != 1 {
		t.Errorf("%d log lines for one run of failures, want 1", logged)
	}
}

func TestPushedListIsNotAsked(t *testing.T) {
	b := newBench(t, testSettings(), fleet(3))
	if got := b.step(); len(only[Subscribe](got)) > 0 {
		t.Fatalf("asked a list that is pushed: %v", describe(got))
	}
}

func TestSuspectMachineIsProbedAndUsedOnceItAnswers(t *testing.T) {
	b := newBench(t, testSettings(), fleet(1))
	id, actions := b.arrive(0, 7)
	first := b.offered(actions)
	actions = b.step(Outcome{Task: id, Attempt: 0, Machine: first.Machine, Result: ConnectFailed})
	if len(only[Offer](actions)) > 0 {
		t.Fatal("offered again to a machine that could not be reached")
	}
	var probes []Probe
	for _, s := range only[SetTimer](actions) {
		if s.At > b.now+4*time.Second {
			continue
		}
		b.now = max(b.now, s.At)
		probes = append(probes, only[Probe](b.step(TimerFired{Timer: s.Timer}))...)
	}
	if len(probes) != 1 {
		t.Fatalf("want one probe, got %d", len(probes))
	}
	actions = b.step(Probed{Machine: first.Machine, Result: OK})
	b.now += queueRetryInterval
	actions = append(actions, b.step(ListUpdate{Mode: ListDelta})...)
	b.offered(actions)
}

// Each failed call once left one more timer behind than it took: calls doubled until the day ended.
func TestListCallsOfManyPlacersStaySpreadAndFew(t *testing.T) {
	set := testSettings()
	set.ListWatched, set.Placers = false, 470
	const busiest = 100 // calls a second of all placers together that a list service is taken to bear
	perSecond := map[time.Duration]int{}
	for self := range set.Placers {
		set.Self = self
		p, err := New(set, uint64(self))
		if err != nil {
			t.Fatal(err)
		}
		now, end, timers, calls := time.Hour, time.Hour+30*time.Second, []SetTimer(nil), 0
		events := []Event{ListUpdate{Mode: ListCached}}
		for now < end {
			actions := p.Step(now, events)
			timers = append(timers, only[SetTimer](actions)...)
			events = nil
			if len(only[Subscribe](actions)) > 0 {
				calls++
				perSecond[now.Truncate(time.Second)]++
				now += 2 * time.Second
				events = append(events, ListUpdate{Mode: ListFailed})
				continue
			}
			slices.SortFunc(timers, func(a, b SetTimer) int { return cmp.Compare(a.At, b.At) })
			if len(timers) == 0 {
				t.Fatalf("placer %d stopped asking after %d calls", self, calls)
			}
			now = max(now, timers[0].At)
			events = append(events, TimerFired{Timer: timers[0].Timer})
			timers = timers[1:]
		}
		if calls < 2 || calls > 12 {
			t.Fatalf("placer %d made %d calls in 30 s of failures", self, calls)
		}
	}
	for second, n := range perSecond {
		if n > busiest+busiest/2 {
			t.Errorf("%d calls of %d placers in the second at %v", n, set.Placers, second)
		}
	}
}
