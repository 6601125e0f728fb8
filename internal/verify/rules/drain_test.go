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

// A notice counts from the first of its kind until it is taken back, and only for the placer that got it.
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
	listed, gone := listDelivered(5*ms, "a", "b"), listDelivered(10*ms, "b")
	offered := offer(500*ms, "a", "safe", 1)
	checkCases(t, testHosts(), []ruleCase{
		{"gone, at the end of the grace", []capture.Event{listed, gone, offer(360*ms, "a", "safe", 1)}, noBreach},
		{"gone, a moment after the grace", []capture.Event{listed, gone, offer(361*ms, "a", "safe", 1)}, invariant.Drain},
		{"not listed yet", []capture.Event{gone, offered}, noBreach},
		{"another host is gone", []capture.Event{listed, gone, offer(500*ms, "b", "safe", 1)}, noBreach},
		{"gone, by two lists", []capture.Event{listed, gone, listDelivered(400*ms, "b"), offered}, invariant.Drain},
		{"gone, having been listed as draining", []capture.Event{
			{At: 5 * ms, Type: capture.ListDelivered, Draining: []string{"a"}}, listDelivered(400*ms, "b"), offered,
		}, invariant.Drain},
		{"gone again just now", []capture.Event{listed, gone, listDelivered(300*ms, "a", "b"), listDelivered(400*ms, "b"), offered}, noBreach},
		{"gone by another placer's list", []capture.Event{ofPlacer(1, 1, listed), ofPlacer(1, 1, gone), offered}, noBreach},
		{"gone by its placer's list", []capture.Event{
			ofPlacer(1, 1, listed), ofPlacer(1, 1, gone), ofPlacer(1, 1, offered),
		}, invariant.Drain},

		{"gone, before its placer was restarted", []capture.Event{listed, gone, placerUp(50*ms, 0), offered}, noBreach},
		{"listed before its placer was restarted, not since", []capture.Event{
			listed, placerUp(20*ms, 0), listDelivered(30*ms, "b"), offered,
		}, noBreach},
		{"gone, before another placer was restarted", []capture.Event{listed, gone, placerUp(50*ms, 1), offered}, invariant.Drain},
		{"gone, before its placer, not the first, was restarted", []capture.Event{
			ofPlacer(1, 1, listed), ofPlacer(1, 1, gone), placerUp(50*ms, 1), ofPlacer(1, 1, offered),
		}, noBreach},

		{"drains, by two messages", []capture.Event{drains(10*ms, true), drains(400*ms, true), offered}, invariant.Drain},
		{"drains, by Welcome", []capture.Event{welcome(10*ms, true), offered}, invariant.Drain},
		{"drains no more", []capture.Event{drains(10*ms, true), drains(20*ms, false), offered}, noBreach},
		{"drains no more, by Welcome", []capture.Event{drains(10*ms, true), welcome(20*ms, false), offered}, noBreach},
		{"gone, and drains no more", []capture.Event{listed, gone, drains(20*ms, false), offered}, invariant.Drain},
		{"drains, and is listed as ready", []capture.Event{drains(10*ms, true), listDelivered(20*ms, "a"), offered}, invariant.Drain},
		{"another host drains", []capture.Event{drains(10*ms, true), offer(500*ms, "b", "safe", 1)}, noBreach},
		{"drains, by its message to another placer", []capture.Event{ofPlacer(1, 1, drains(10*ms, true)), offered}, noBreach},
		{"drains, by its message to its placer", []capture.Event{
			ofPlacer(1, 1, drains(10*ms, true)), ofPlacer(1, 1, offered),
		}, invariant.Drain},
		{"drains, and its placer was restarted", []capture.Event{drains(10*ms, true), placerUp(50*ms, 0), offered}, invariant.Drain},
		{"drained before it was restarted", []capture.Event{drains(10*ms, true), hostUp(20*ms, "a", "r1"), offered}, noBreach},
		{"drains, and another host was restarted", []capture.Event{drains(10*ms, true), hostUp(20*ms, "b", "r1"), offered}, invariant.Drain},
		{"gone, and was restarted", []capture.Event{listed, gone, hostUp(20*ms, "a", "r1"), offered}, invariant.Drain},
	})
	// A host that is gone, and drains as well, is two breaches.
	checkBreaches(t, testConfig(), slices.Concat(testHosts(), []capture.Event{
		listed, gone, drains(20*ms, true), offered,
	}), invariant.Drain, invariant.Drain)
}

// A host that a list leaves out at 10ms, and that says at 30ms that it drains.
func TestDrainNoticesOverdue(t *testing.T) {
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
			t.Errorf("at %v: %v, want %v", c.now, got, c.want)
		}
	}
}

// The grace has no slack at the placer's end.
func TestCheckDrainsAtPlacer(t *testing.T) {
	gone := listDelivered(100*ms, "b", "c")
	gone.PlacerEpoch = 1
	drains := message(100*ms, capture.Drain, "a", 0)
	drains.HostDraining = true
	welcome := message(100*ms, capture.Welcome, "a", 0)
	welcome.HostDraining = true
	checkCases(t, append(testHosts(), testPlacer()...), []ruleCase{
		{"gone, at the end of the grace", atPlacer(gone, offer(350*ms, "a", "safe", 1)), noBreach},
		{"gone, a moment after the grace", atPlacer(gone, offer(351*ms, "a", "safe", 1)), invariant.Drain},
		{"draining by its own message, a moment after the grace", atPlacer(drains, offer(351*ms, "a", "safe", 1)), invariant.Drain},
		{"draining by its own message, before its Welcome", atPlacer(
			message(50*ms, capture.Disconnected, "a", 0), drains, offer(351*ms, "a", "safe", 1),
		), noBreach},
		{"draining by its Welcome", atPlacer(welcome, offer(351*ms, "a", "safe", 1)), invariant.Drain},
		{"judged at its placer's end only", append(
			atPlacer(offer(350*ms, "a", "safe", 1)), listDelivered(5*ms, "a"), listDelivered(6*ms), offer(400*ms, "a", "safe", 1),
		), noBreach},
	})
}
