package rules

import (
	"slices"
	"testing"
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

func TestCheckDrains(t *testing.T) {
	checkCases(t, testHosts(), []ruleCase{
		{"within the grace", []capture.Event{
			listDelivered(5*ms, "a", "b"), listDelivered(10*ms, "b"), offer(200*ms, "a", "safe", 1),
		}, noBreach},
		{"removed, after the grace", []capture.Event{
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

// The grace period begins with a host's first drain notice of a kind. Further notices of that kind do not restart the
// period unless the first one was revoked. A notice counts only for the placer that got it.
func TestCheckDrainsNotices(t *testing.T) {
	drains := func(at time.Duration, on bool) capture.Event {
		return capture.Event{At: at, Type: capture.Drain, Host: "a", HostDraining: on}
	}
	welcome := func(at time.Duration, on bool) capture.Event {
		return capture.Event{At: at, Type: capture.Welcome, Host: "a", HostDraining: on}
	}
	placerUp := func(at time.Duration, placer int) capture.Event {
		return capture.Event{At: at, Type: capture.PlacerUp, Placer: placer}
	}
	listed, removed := listDelivered(5*ms, "a", "b"), listDelivered(10*ms, "b")
	offered := offer(500*ms, "a", "safe", 1)
	checkCases(t, testHosts(), []ruleCase{
		{"removed, at the end of the grace", []capture.Event{listed, removed, offer(360*ms, "a", "safe", 1)}, noBreach},
		{"removed, 1ms after the grace", []capture.Event{listed, removed, offer(361*ms, "a", "safe", 1)}, invariant.Drain},
		{"never listed", []capture.Event{removed, offered}, noBreach},
		{"another host is removed", []capture.Event{listed, removed, offer(500*ms, "b", "safe", 1)}, noBreach},
		{"removed, missing in two lists", []capture.Event{listed, removed, listDelivered(400*ms, "b"), offered}, invariant.Drain},
		{"removed, listed as draining before", []capture.Event{
			{At: 5 * ms, Type: capture.ListDelivered, Draining: []string{"a"}}, listDelivered(400*ms, "b"), offered,
		}, invariant.Drain},
		{"removed again within the grace", []capture.Event{listed, removed, listDelivered(300*ms, "a", "b"), listDelivered(400*ms, "b"), offered}, noBreach},
		{"removed by the list of another placer", []capture.Event{ofPlacer(1, 1, listed), ofPlacer(1, 1, removed), offered}, noBreach},
		{"removed by the list of its placer", []capture.Event{
			ofPlacer(1, 1, listed), ofPlacer(1, 1, removed), ofPlacer(1, 1, offered),
		}, invariant.Drain},

		{"removed before its placer was restarted", []capture.Event{listed, removed, placerUp(50*ms, 0), offered}, noBreach},
		{"listed only before its placer was restarted", []capture.Event{
			listed, placerUp(20*ms, 0), listDelivered(30*ms, "b"), offered,
		}, noBreach},
		{"removed before another placer was restarted", []capture.Event{listed, removed, placerUp(50*ms, 1), offered}, invariant.Drain},
		{"removed before its placer, which is not the first, was restarted", []capture.Event{
			ofPlacer(1, 1, listed), ofPlacer(1, 1, removed), placerUp(50*ms, 1), ofPlacer(1, 1, offered),
		}, noBreach},

		{"drains, by two messages", []capture.Event{drains(10*ms, true), drains(400*ms, true), offered}, invariant.Drain},
		{"drains, by Welcome", []capture.Event{welcome(10*ms, true), offered}, invariant.Drain},
		{"no longer drains", []capture.Event{drains(10*ms, true), drains(20*ms, false), offered}, noBreach},
		{"no longer drains, by Welcome", []capture.Event{drains(10*ms, true), welcome(20*ms, false), offered}, noBreach},
		{"removed, and no longer drains", []capture.Event{listed, removed, drains(20*ms, false), offered}, invariant.Drain},
		{"drains, and is listed as ready", []capture.Event{drains(10*ms, true), listDelivered(20*ms, "a"), offered}, invariant.Drain},
		{"another host drains", []capture.Event{drains(10*ms, true), offer(500*ms, "b", "safe", 1)}, noBreach},
		{"drains, by its message to another placer", []capture.Event{ofPlacer(1, 1, drains(10*ms, true)), offered}, noBreach},
		{"drains, by its message to its placer", []capture.Event{
			ofPlacer(1, 1, drains(10*ms, true)), ofPlacer(1, 1, offered),
		}, invariant.Drain},
		{"drains, and its placer was restarted", []capture.Event{drains(10*ms, true), placerUp(50*ms, 0), offered}, invariant.Drain},
		{"drained before it was restarted", []capture.Event{drains(10*ms, true), hostUp(20*ms, "a", "r1"), offered}, noBreach},
		{"drains, and another host was restarted", []capture.Event{drains(10*ms, true), hostUp(20*ms, "b", "r1"), offered}, invariant.Drain},
		{"removed, and was restarted", []capture.Event{listed, removed, hostUp(20*ms, "a", "r1"), offered}, invariant.Drain},
	})
	// An offer to a host that was removed from the list and that drains as well is two breaches.
	checkBreaches(t, testConfig(), slices.Concat(testHosts(), []capture.Event{
		listed, removed, drains(20*ms, true), offered,
	}), invariant.Drain, invariant.Drain)
}

// A host is removed from the endpoint list at 10ms and reports at 30ms that it drains; the grace is 5ms.
func TestDrainNoticesOverdueReturnsAgesPastGrace(t *testing.T) {
	notices := newDrainNotices()
	for _, list := range []capture.Event{listDelivered(5*ms, "a"), listDelivered(10 * ms)} {
		notices.listDelivered(&list)
	}
	notices.hostNotified(&capture.Event{At: 30 * ms, Host: "a", HostDraining: true})
	for _, c := range []struct {
		now  time.Duration
		want []time.Duration
	}{
		{15 * ms, nil},
		{16 * ms, []time.Duration{6 * ms}},
		{35 * ms, []time.Duration{25 * ms}},
		{36 * ms, []time.Duration{26 * ms, 6 * ms}},
	} {
		if got := notices.overdue("a", c.now, 5*ms); !slices.Equal(got, c.want) {
			t.Errorf("overdue(a, %v, 5ms) = %v, want %v", c.now, got, c.want)
		}
	}
}

// In the capture at the placer, the grace is checked without slack.
func TestCheckDrainsAtPlacer(t *testing.T) {
	removed := listDelivered(100*ms, "b", "c")
	removed.PlacerEpoch = 1
	drains := message(100*ms, capture.Drain, "a", 0)
	drains.HostDraining = true
	welcome := message(100*ms, capture.Welcome, "a", 0)
	welcome.HostDraining = true
	checkCases(t, append(testHosts(), testPlacer()...), []ruleCase{
		{"removed, at the end of the grace", atPlacer(removed, offer(350*ms, "a", "safe", 1)), noBreach},
		{"removed, 1ms after the grace", atPlacer(removed, offer(351*ms, "a", "safe", 1)), invariant.Drain},
		{"draining by its own message, 1ms after the grace", atPlacer(drains, offer(351*ms, "a", "safe", 1)), invariant.Drain},
		{"draining by its own message, before its Welcome", atPlacer(
			message(50*ms, capture.Disconnected, "a", 0), drains, offer(351*ms, "a", "safe", 1),
		), noBreach},
		{"draining by its Welcome", atPlacer(welcome, offer(351*ms, "a", "safe", 1)), invariant.Drain},
		{"breach only in the capture at the host", append(
			atPlacer(offer(350*ms, "a", "safe", 1)), listDelivered(5*ms, "a"), listDelivered(6*ms), offer(400*ms, "a", "safe", 1),
		), noBreach},
	})
}
