package rules

import (
	"slices"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

func TestCheckSpreads(t *testing.T) {
	checkCases(t, testHosts(), []ruleCase{
		{"two racks", []capture.Event{
			offer(10*ms, "a", "spread", 1), message(20*ms, capture.Accepted, "a", 1), offer(500*ms, "c", "spread", 2),
		}, noBreach},
		{"two in one rack", []capture.Event{
			offer(10*ms, "a", "spread", 1), message(20*ms, capture.Accepted, "a", 1), offer(500*ms, "b", "spread", 2),
		}, invariant.Spread},
		{"two in one rack, one after the other", []capture.Event{
			offer(10*ms, "a", "spread", 1), message(20*ms, capture.Accepted, "a", 1), message(400*ms, capture.Ended, "a", 1),
			offer(500*ms, "b", "spread", 2),
		}, noBreach},
		{"two in one rack, one answer lost with its connection", []capture.Event{
			offer(10*ms, "a", "spread", 1), message(20*ms, capture.Accepted, "a", 1),
			message(30*ms, capture.Disconnected, "a", 0), retry(500*ms, "b", "spread"),
		}, noBreach},
		{"two in one rack, one bound and disconnected", []capture.Event{
			offer(10*ms, "a", "spread", 1), message(20*ms, capture.Running, "a", 1),
			message(300*ms, capture.Disconnected, "a", 0), offer(900*ms, "b", "spread", 2),
		}, invariant.Spread},
	})
}

// Both sides of each bound on whether the attempt at a still counts when another is offered to b, in one rack, at 1s.
func TestCheckSpreadsBounds(t *testing.T) {
	first := offer(10*ms, "a", "spread", 1)
	onFirst := func(at time.Duration, kind capture.EventType) capture.Event { return message(at, kind, "a", 1) }
	canceledByHost := func(at time.Duration) capture.Event {
		e := message(at, capture.Ended, "a", 1)
		e.Result = "called"
		return e
	}
	second := offer(time.Second, "b", "spread", 2)
	checkCases(t, testHosts(), []ruleCase{
		{"nothing came of it", []capture.Event{first, second}, invariant.Spread},
		{"after an offer that may be anywhere", []capture.Event{offer(9*ms, "c", "safe", 3), first, second}, invariant.Spread},
		{"in another rack", []capture.Event{first, offer(time.Second, "c", "spread", 2)}, noBreach},
		{"of another service", []capture.Event{ofService(8, first), second}, noBreach},
		{"of another placer", []capture.Event{ofPlacer(1, 1, first), second}, noBreach},
		{"rejected by then", []capture.Event{first, second, onFirst(1100*ms, capture.Refused)}, noBreach},
		{"rejected a moment later", []capture.Event{first, second, onFirst(1101*ms, capture.Refused)}, invariant.Spread},
		{"ended by then", []capture.Event{first, second, onFirst(1100*ms, capture.Ended)}, noBreach},
		{"ended a moment later", []capture.Event{first, second, onFirst(1101*ms, capture.Ended)}, invariant.Spread},
		{"ended before it ran by then", []capture.Event{first, second, canceledByHost(1100 * ms)}, noBreach},
		{"ended before it ran, a moment later", []capture.Event{first, second, canceledByHost(1101 * ms)}, invariant.Spread},
		{"withdrawn by then", []capture.Event{first, second, onFirst(1100*ms, capture.Withdraw)}, noBreach},
		{"withdrawn a moment later", []capture.Event{first, second, onFirst(1101*ms, capture.Withdraw)}, invariant.Spread},
		{"host down by then", []capture.Event{first, second, onFirst(1100*ms, capture.HostDown)}, noBreach},
		{"host down a moment later", []capture.Event{first, second, onFirst(1101*ms, capture.HostDown)}, invariant.Spread},

		{"disconnected by then, not answered", []capture.Event{first, second, onFirst(1100*ms, capture.Disconnected)}, noBreach},
		{"disconnected a moment later", []capture.Event{first, second, onFirst(1101*ms, capture.Disconnected)}, invariant.Spread},
		{"bound in time before it was disconnected", []capture.Event{
			first, onFirst(200*ms, capture.Running), onFirst(300*ms, capture.Disconnected), second,
		}, invariant.Spread},
		{"bound just before it was disconnected", []capture.Event{
			first, onFirst(201*ms, capture.Running), onFirst(300*ms, capture.Disconnected), second,
		}, noBreach},
		{"bound, and lost by then", []capture.Event{
			first, onFirst(20*ms, capture.Running), onFirst(300*ms, capture.Disconnected), offer(2200*ms, "b", "spread", 2),
		}, noBreach},
		{"bound, and lost a moment later", []capture.Event{
			first, onFirst(20*ms, capture.Running), onFirst(300*ms, capture.Disconnected), offer(2199*ms, "b", "spread", 2),
		}, invariant.Spread},
	})
	// Two of one time count for each other.
	checkBreaches(t, testConfig(), slices.Concat(testHosts(), []capture.Event{
		first, offer(10*ms, "b", "spread", 2),
	}), invariant.Spread, invariant.Spread)
}

// What an earlier incarnation began counts from when its host has reported it to the next one.
func TestCheckSpreadsEarlierIncarnation(t *testing.T) {
	first := offer(10*ms, "a", "spread", 1)
	holds := func(at time.Duration, placer int, epoch uint64) capture.Event {
		e := offer(at, "a", "spread", 1)
		e.Type, e.Placer, e.PlacerEpoch = capture.Holds, placer, epoch
		return e
	}
	second := ofPlacer(0, 2, offer(time.Second, "b", "spread", 2))
	checkCases(t, testHosts(), []ruleCase{
		{"not reported", []capture.Event{first, second}, noBreach},
		{"reported in time", []capture.Event{first, holds(900*ms, 0, 2), second}, invariant.Spread},
		{"reported just now", []capture.Event{first, holds(901*ms, 0, 2), second}, noBreach},
		{"reported in time and again", []capture.Event{first, holds(900*ms, 0, 2), holds(950*ms, 0, 2), second}, invariant.Spread},
		{"reported to the first incarnation", []capture.Event{first, holds(900*ms, 0, 1), second}, noBreach},
		{"reported to another placer", []capture.Event{first, holds(900*ms, 1, 2), second}, noBreach},
		{"not reported, and the second is sent by the next incarnation as an attempt of the first", []capture.Event{
			first, sentBy(2, offer(time.Second, "b", "spread", 2)),
		}, invariant.Spread},
		{"reported in time, and the second is sent by the first incarnation as an attempt of the next", []capture.Event{
			first, holds(900*ms, 0, 2), sentBy(1, second),
		}, invariant.Spread},
		{"reported, and ended", []capture.Event{
			first, holds(900*ms, 0, 2), message(950*ms, capture.Ended, "a", 1), second,
		}, noBreach},
	})
}

func TestSameDomain(t *testing.T) {
	hosts := topology{"a": {"z1", "r1"}, "b": {"z1", "r1"}, "c": {"z1", "r2"}, "d": {"z2", "r1"}, "e": {"z2", "r3"}}
	for _, c := range []struct {
		other                    string
		any, machine, cell, zone bool
	}{
		{"a", true, true, true, true},
		{"b", true, false, true, true},
		{"c", true, false, false, true},
		{"d", true, false, true, false},
		{"e", true, false, false, false},
	} {
		for level, want := range map[forkhead.Domain]bool{
			forkhead.AnyDomain: c.any, forkhead.MachineDomain: c.machine, forkhead.CellDomain: c.cell, forkhead.ZoneDomain: c.zone,
		} {
			if got := hosts.sameDomain(level, "a", c.other); got != want {
				t.Errorf("a and %s in one %s: %v", c.other, domainNames[level], got)
			}
		}
	}
}

// What a placer knew is judged with no slack: each breach is of the least size, and hides behind the slack of the other end.
func TestCheckSpreadsAtPlacer(t *testing.T) {
	held := offer(20*ms, "a", "spread", 70)
	held.Type, held.Key, held.RefEpoch, held.Result = capture.Holds, 7, 9, "running"
	ended := message(40*ms, capture.Ended, "a", 1)
	ended.Result = "done"
	checkCases(t, append(testHosts(), testPlacer()...), []ruleCase{
		{"two in one rack in one step", atPlacer(
			offer(10*ms, "a", "spread", 1), offer(10*ms, "b", "spread", 2),
		), invariant.Spread},
		{"in another rack", atPlacer(offer(10*ms, "a", "spread", 1), offer(11*ms, "c", "spread", 2)), noBreach},
		{"of another service", atPlacer(ofService(8, offer(10*ms, "a", "spread", 1)), offer(11*ms, "b", "spread", 2)), noBreach},
		{"rejected", atPlacer(
			offer(10*ms, "a", "spread", 1), message(20*ms, capture.Refused, "a", 1), offer(21*ms, "b", "spread", 2),
		), noBreach},
		{"withdrawn in the same step", atPlacer(
			offer(10*ms, "a", "spread", 1), message(30*ms, capture.Withdraw, "a", 1), offer(30*ms, "b", "spread", 2),
		), noBreach},
		{"its end is read a moment later", atPlacer(
			offer(10*ms, "a", "spread", 1), message(20*ms, capture.Running, "a", 1), offer(39*ms, "b", "spread", 2), ended,
		), invariant.Spread},
		{"its end is read just before", atPlacer(
			offer(10*ms, "a", "spread", 1), message(20*ms, capture.Running, "a", 1), ended, offer(40*ms, "b", "spread", 2),
		), noBreach},
		{"of an earlier incarnation, reported in the handshake", atPlacer(held, offer(21*ms, "b", "spread", 2)), invariant.Spread},
		{"safe, unreachable until it is lost", atPlacer(
			offer(10*ms, "a", "spread", 1), message(20*ms, capture.Running, "a", 1),
			message(100*ms, capture.Disconnected, "a", 0), offer(2100*ms, "b", "spread", 2),
		), noBreach},
		{"unsafe, unreachable for as long", atPlacer(
			offer(10*ms, "a", "unsafe, spread", 1), message(20*ms, capture.Running, "a", 1),
			message(100*ms, capture.Disconnected, "a", 0), offer(2100*ms, "b", "unsafe, spread", 2),
		), invariant.Spread},
		{"keyed, unreachable for as long", atPlacer(
			offer(10*ms, "a", "keyed, spread", 1), message(20*ms, capture.Running, "a", 1),
			message(100*ms, capture.Disconnected, "a", 0), offer(2100*ms, "b", "keyed, spread", 2),
		), invariant.Spread},
		{"judged at its placer's end only", append(
			atPlacer(offer(10*ms, "a", "spread", 1), message(20*ms, capture.Withdraw, "a", 1), offer(30*ms, "b", "spread", 2)),
			offer(11*ms, "a", "spread", 1), offer(31*ms, "b", "spread", 2),
		), noBreach},
		{"safe, a moment before it is lost", atPlacer(
			offer(10*ms, "a", "spread", 1), message(20*ms, capture.Running, "a", 1),
			message(100*ms, capture.Disconnected, "a", 0), offer(2099*ms, "b", "spread", 2),
		), invariant.Spread},
	})
}

// A task that ended while no incarnation of its placer was there to be notified is not reported when the next one connects:
// it counts no more. Found by a chaos test, where three of them made a breach of what was none.
func TestCheckSpreadsEndedUnnoticed(t *testing.T) {
	ofSecondIncarnation := func(e capture.Event) capture.Event {
		e.PlacerEpoch = 2
		return e
	}
	hello := ofSecondIncarnation(offer(4*time.Second, "a", "spread", 0))
	hello.Type = capture.Hello
	held := ofSecondIncarnation(offer(4001*ms, "a", "spread", 1))
	held.Type = capture.Holds
	next := ofSecondIncarnation(offer(5*time.Second, "b", "spread", 2))
	next.RefEpoch = 2
	before := append(testHosts(),
		offer(10*ms, "a", "spread", 1), message(20*ms, capture.Running, "a", 1),
		capture.Event{At: 50 * ms, Type: capture.PlacerDown}, hello)
	if v := Check(append(before, next), testConfig()); !v.OK() {
		t.Errorf("not reported to the incarnation that offers: %v", v.Breaches)
	}
	if v := Check(append(before, held, next), testConfig()); v.Counts[invariant.Spread] != 1 {
		t.Errorf("reported to the incarnation that offers: %v", v.Breaches)
	}
}
