package rules

import (
	"testing"
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

func TestCheckRepeats(t *testing.T) {
	placerDown := capture.Event{At: 20 * ms, Type: capture.PlacerDown}
	checkCases(t, testHosts(), []ruleCase{
		{"rejected, then elsewhere", []capture.Event{
			offer(10*ms, "a", "unsafe", 1), message(20*ms, capture.Refused, "a", 1), retry(30*ms, "b", "unsafe"),
		}, noBreach},
		{"two without an answer", []capture.Event{
			offer(10*ms, "a", "safe", 1), retry(30*ms, "b", "safe"),
		}, invariant.NoRepeat},
		{"safe after a disconnect", []capture.Event{
			offer(10*ms, "a", "safe", 1), message(20*ms, capture.Disconnected, "a", 0), retry(30*ms, "b", "safe"),
		}, noBreach},
		{"unsafe after a disconnect", []capture.Event{
			offer(10*ms, "a", "unsafe", 1), message(20*ms, capture.Disconnected, "a", 0), retry(30*ms, "b", "unsafe"),
		}, invariant.NoRepeat},
		{"unsafe in another request", []capture.Event{
			offer(10*ms, "a", "unsafe", 1), message(20*ms, capture.Running, "a", 1), resubmitted(3 * time.Second),
		}, invariant.NoRepeat},
		{"unsafe, its host died", []capture.Event{
			offer(10*ms, "a", "unsafe", 1),
			{At: 20 * ms, Type: capture.HostDown, Host: "a", Epoch: 1},
			resubmitted(3 * time.Second),
		}, noBreach},
		{"unsafe, its placer died", []capture.Event{
			offer(10*ms, "a", "unsafe", 1), placerDown, resubmitted(4 * time.Second),
		}, noBreach},
		{"unsafe, read when its placer was dead", []capture.Event{
			offer(30*ms, "a", "unsafe", 1),
			{At: 20 * ms, Type: capture.PlacerDown, PlacerEpoch: 1},
			resubmitted(4 * time.Second),
		}, noBreach},
		{"unsafe, its placer died just now", []capture.Event{
			offer(10*ms, "a", "unsafe", 1), placerDown, resubmitted(time.Second),
		}, invariant.NoRepeat},
		{"keyed in its window", []capture.Event{
			offer(10*ms, "a", "keyed", 1), message(20*ms, capture.Disconnected, "a", 0), retry(time.Second, "c", "keyed"),
		}, noBreach},
		{"keyed after its window", []capture.Event{
			offer(10*ms, "a", "keyed", 1), message(20*ms, capture.Disconnected, "a", 0), retry(6*time.Second, "c", "keyed"),
		}, invariant.NoRepeat},
		{"keyed in its domain", []capture.Event{
			offer(10*ms, "a", "racked", 1), message(20*ms, capture.Disconnected, "a", 0), retry(time.Second, "b", "racked"),
		}, noBreach},
		{"keyed outside its domain", []capture.Event{
			offer(10*ms, "a", "racked", 1), message(20*ms, capture.Disconnected, "a", 0), retry(time.Second, "c", "racked"),
		}, invariant.NoRepeat},
	})
}

// What a placer knew is judged with no slack: each breach is of the least size, and hides behind the slack of the other end.
func TestCheckRepeatsAtPlacer(t *testing.T) {
	checkCases(t, append(testHosts(), testPlacer()...), []ruleCase{
		{"two without an answer", atPlacer(
			offer(10*ms, "a", "safe", 1), retry(11*ms, "b", "safe"), message(12*ms, capture.Withdraw, "a", 1),
		), invariant.NoRepeat},
		{"keyed at the end of its window", atPlacer(
			offer(10*ms, "a", "keyed", 1), message(11*ms, capture.Disconnected, "a", 0), retry(5010*ms, "c", "keyed"),
		), noBreach},
		{"keyed a moment after its window", atPlacer(
			offer(10*ms, "a", "keyed", 1), message(11*ms, capture.Disconnected, "a", 0), retry(5011*ms, "c", "keyed"),
		), invariant.NoRepeat},
		{"unsafe, rejected on a connection that is over", atPlacer(
			offer(10*ms, "a", "unsafe", 1), message(11*ms, capture.Disconnected, "a", 0), message(12*ms, capture.Refused, "a", 1),
			resubmitted(13*ms),
		), invariant.NoRepeat},
		{"sent on a connection that ends in the same step", atPlacer(
			message(10*ms, capture.Disconnected, "a", 0), offer(10*ms, "a", "safe", 1), retry(10*ms, "b", "safe"),
		), noBreach},
	})
}
