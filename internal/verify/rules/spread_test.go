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

// The attempt at host a counts toward the spread limit until an event such as a rejection. In each case, another offer
// goes to host b in the same rack, and the event is at the latest time at which this offer is no breach, or 1ms later.
// Most of these offers reach b at 1s.
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
		{"unanswered", []capture.Event{first, second}, invariant.Spread},
		{"after an offer of a class without a spread limit", []capture.Event{offer(9*ms, "c", "safe", 3), first, second}, invariant.Spread},
		{"in another rack", []capture.Event{first, offer(time.Second, "c", "spread", 2)}, noBreach},
		{"of another service", []capture.Event{ofService(8, first), second}, noBreach},
		{"of another placer", []capture.Event{ofPlacer(1, 1, first), second}, noBreach},
		{"rejected at the limit", []capture.Event{first, second, onFirst(1100*ms, capture.Refused)}, noBreach},
		{"rejected 1ms after the limit", []capture.Event{first, second, onFirst(1101*ms, capture.Refused)}, invariant.Spread},
		{"ended at the limit", []capture.Event{first, second, onFirst(1100*ms, capture.Ended)}, noBreach},
		{"ended 1ms after the limit", []capture.Event{first, second, onFirst(1101*ms, capture.Ended)}, invariant.Spread},
		{"canceled before it ran, at the limit", []capture.Event{first, second, canceledByHost(1100 * ms)}, noBreach},
		{"canceled before it ran, 1ms after the limit", []capture.Event{first, second, canceledByHost(1101 * ms)}, invariant.Spread},
		{"withdrawn at the limit", []capture.Event{first, second, onFirst(1100*ms, capture.Withdraw)}, noBreach},
		{"withdrawn 1ms after the limit", []capture.Event{first, second, onFirst(1101*ms, capture.Withdraw)}, invariant.Spread},
		{"host down at the limit", []capture.Event{first, second, onFirst(1100*ms, capture.HostDown)}, noBreach},
		{"host down 1ms after the limit", []capture.Event{first, second, onFirst(1101*ms, capture.HostDown)}, invariant.Spread},

		{"disconnected at the limit, not answered", []capture.Event{first, second, onFirst(1100*ms, capture.Disconnected)}, noBreach},
		{"disconnected 1ms after the limit", []capture.Event{first, second, onFirst(1101*ms, capture.Disconnected)}, invariant.Spread},
		{"bound MaxTransit before it was disconnected", []capture.Event{
			first, onFirst(200*ms, capture.Running), onFirst(300*ms, capture.Disconnected), second,
		}, invariant.Spread},
		{"bound less than MaxTransit before it was disconnected", []capture.Event{
			first, onFirst(201*ms, capture.Running), onFirst(300*ms, capture.Disconnected), second,
		}, noBreach},
		{"bound, and lost at the limit", []capture.Event{
			first, onFirst(20*ms, capture.Running), onFirst(300*ms, capture.Disconnected), offer(2200*ms, "b", "spread", 2),
		}, noBreach},
		{"bound, and lost 1ms after the limit", []capture.Event{
			first, onFirst(20*ms, capture.Running), onFirst(300*ms, capture.Disconnected), offer(2199*ms, "b", "spread", 2),
		}, invariant.Spread},
	})
	// Of two offers at the same time, each counts for the limit on the other.
	checkBreaches(t, testConfig(), slices.Concat(testHosts(), []capture.Event{
		first, offer(10*ms, "b", "spread", 2),
	}), invariant.Spread, invariant.Spread)
}

// An attempt of an earlier incarnation counts from the time at which its host has reported it to the next incarnation.
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
		{"reported MaxTransit before", []capture.Event{first, holds(900*ms, 0, 2), second}, invariant.Spread},
		{"reported less than MaxTransit before", []capture.Event{first, holds(901*ms, 0, 2), second}, noBreach},
		{"reported MaxTransit before, and again", []capture.Event{first, holds(900*ms, 0, 2), holds(950*ms, 0, 2), second}, invariant.Spread},
		{"reported to the first incarnation", []capture.Event{first, holds(900*ms, 0, 1), second}, noBreach},
		{"reported to another placer", []capture.Event{first, holds(900*ms, 1, 2), second}, noBreach},
		{"not reported, and the second is sent by the next incarnation as an attempt of the first", []capture.Event{
			first, sentBy(2, offer(time.Second, "b", "spread", 2)),
		}, invariant.Spread},
		{"reported MaxTransit before, and the second is sent by the first incarnation as an attempt of the next", []capture.Event{
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
				t.Errorf("sameDomain(%s, a, %s) = %v, want %v", domainNames[level], c.other, got, want)
			}
		}
	}
}

// The capture at the placer is checked without slack. Breaches are as short as possible, so that the slack of the
// checks at the hosts would hide them.
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
		{"its end is read 1ms after the offer", atPlacer(
			offer(10*ms, "a", "spread", 1), message(20*ms, capture.Running, "a", 1), offer(39*ms, "b", "spread", 2), ended,
		), invariant.Spread},
		{"its end is read in the step of the offer", atPlacer(
			offer(10*ms, "a", "spread", 1), message(20*ms, capture.Running, "a", 1), ended, offer(40*ms, "b", "spread", 2),
		), noBreach},
		{"of an earlier incarnation, reported in the handshake", atPlacer(held, offer(21*ms, "b", "spread", 2)), invariant.Spread},
		{"safe, unreachable until LostAfter", atPlacer(
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
		{"breach only in the capture at the hosts", append(
			atPlacer(offer(10*ms, "a", "spread", 1), message(20*ms, capture.Withdraw, "a", 1), offer(30*ms, "b", "spread", 2)),
			offer(11*ms, "a", "spread", 1), offer(31*ms, "b", "spread", 2),
		), noBreach},
		{"safe, unreachable until 1ms before LostAfter", atPlacer(
			offer(10*ms, "a", "spread", 1), message(20*ms, capture.Running, "a", 1),
			message(100*ms, capture.Disconnected, "a", 0), offer(2099*ms, "b", "spread", 2),
		), invariant.Spread},
	})
}

// A task that ends while no incarnation of its placer is connected is not reported when the next incarnation connects,
// and no longer counts. A chaos run reported a false breach that came from three such tasks.
func TestCheckSpreadsIgnoresTasksThatEndedWithoutAPlacer(t *testing.T) {
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
		t.Errorf("Check without a report to the incarnation that offers: breaches %+v, want none", v.Breaches)
	}
	if v := Check(append(before, held, next), testConfig()); v.Counts[invariant.Spread] != 1 {
		t.Errorf("Check with a report to the incarnation that offers: breaches %+v, want one of rule %v", v.Breaches, invariant.Spread)
	}
}
