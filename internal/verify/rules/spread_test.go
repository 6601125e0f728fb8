package rules

import (
	"testing"
	"time"

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
