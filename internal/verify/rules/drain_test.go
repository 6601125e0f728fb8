package rules

import (
	"testing"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

func TestCheckDrains(t *testing.T) {
	checkCases(t, testHosts(), []ruleCase{
		{"within the grace", []capture.Event{
			listDelivered(5*ms, "a", "b"), listDelivered(10*ms, "b"), offer(200*ms, "a", "safe", 1),
		}, noBreach},
		{"gone, after the grace", []capture.Event{
			listDelivered(5*ms, "a", "b"), listDelivered(10*ms, "b"), offer(500*ms, "a", "safe", 1),
		}, invariant.Drain},
		{"draining by the list, after the grace", []capture.Event{
			{At: 10 * ms, Type: capture.ListDelivered, Draining: []string{"a"}}, offer(500*ms, "a", "safe", 1),
		}, invariant.Drain},
		{"draining by its own message, after the grace", []capture.Event{
			{At: 10 * ms, Type: capture.Drain, Host: "a", HostDraining: true}, offer(500*ms, "a", "safe", 1),
		}, invariant.Drain},
		{"ready again", []capture.Event{
			listDelivered(5*ms, "a"), listDelivered(10 * ms), listDelivered(400*ms, "a"), offer(500*ms, "a", "safe", 1),
		}, noBreach},
	})
}

// The grace has no slack at the placer's end.
func TestCheckDrainsAtPlacer(t *testing.T) {
	gone := listDelivered(100*ms, "b", "c")
	gone.PlacerEpoch = 1
	drains := message(100*ms, capture.Drain, "a", 0)
	drains.HostDraining = true
	checkCases(t, append(testHosts(), testPlacer()...), []ruleCase{
		{"gone, at the end of the grace", atPlacer(gone, offer(350*ms, "a", "safe", 1)), noBreach},
		{"gone, a moment after the grace", atPlacer(gone, offer(351*ms, "a", "safe", 1)), invariant.Drain},
		{"draining by its own message, a moment after the grace", atPlacer(drains, offer(351*ms, "a", "safe", 1)), invariant.Drain},
	})
}
