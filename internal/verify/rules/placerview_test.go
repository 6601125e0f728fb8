package rules

import (
	"slices"
	"testing"
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// onConnection returns e as a message on another connection, with an incarnation of its host.
func onConnection(connection, hostEpoch uint64, e capture.Event) capture.Event {
	e.Conn, e.Epoch = connection, hostEpoch
	return e
}

// reconnect returns the end of host a's first connection at 20ms and the events of its second one, established at 30ms.
func reconnect(hostEpoch uint64) []capture.Event {
	return []capture.Event{
		message(20*ms, capture.Disconnected, "a", 0),
		onConnection(2, hostEpoch, message(25*ms, capture.Hello, "a", 0)),
		onConnection(2, hostEpoch, message(30*ms, capture.Welcome, "a", 0)),
	}
}

// listRead returns e as an endpoint list that the placer of testPlacer reads.
func listRead(e capture.Event) capture.Event {
	e.PlacerEpoch = 1
	return e
}

// finishedCase has events of unsafe request 1 at host a. Its task is then offered to host b, which is a breach unless
// the attempt at host a has finished.
type finishedCase struct {
	name     string
	events   []capture.Event
	finished bool
}

// checkFinished checks, for each case, whether the attempt at host a has finished.
func checkFinished(t *testing.T, cases []finishedCase) {
	t.Helper()
	var ruleCases []ruleCase
	for _, c := range cases {
		rule := noBreach
		if !c.finished {
			rule = invariant.NoRepeat
		}
		ruleCases = append(ruleCases, ruleCase{c.name, atPlacer(append(c.events, resubmitted(60*ms))...), rule})
	}
	checkCases(t, append(testHosts(), testPlacer()...), ruleCases)
}

// A message counts only on the established connection to its host, and a new incarnation of a host finishes its attempts.
func TestPlacerViewConnections(t *testing.T) {
	unsafe := offer(10*ms, "a", "unsafe", 1)
	rejected := message(40*ms, capture.Refused, "a", 1)
	disconnected := message(20*ms, capture.Disconnected, "a", 0)
	hello := onConnection(2, 1, message(25*ms, capture.Hello, "a", 0))
	welcome := func(connection, hostEpoch uint64) capture.Event {
		return onConnection(connection, hostEpoch, message(30*ms, capture.Welcome, "a", 0))
	}
	held := onConnection(2, 1, message(40*ms, capture.Holds, "a", 1))
	laterOffer := onConnection(2, 2, offer(40*ms, "a", "unsafe", 1))
	checkFinished(t, []finishedCase{
		{"no event", []capture.Event{unsafe}, false},
		{"rejected", []capture.Event{unsafe, rejected}, true},
		{"rejected on another connection", []capture.Event{unsafe, onConnection(2, 1, rejected)}, false},
		{"rejected on the next connection", slices.Concat(
			[]capture.Event{unsafe}, reconnect(1), []capture.Event{onConnection(2, 1, rejected)},
		), true},
		{"rejected on the connection before", slices.Concat([]capture.Event{unsafe}, reconnect(1), []capture.Event{rejected}), false},
		{"rejected before Welcome", []capture.Event{unsafe, disconnected, hello, onConnection(2, 1, rejected)}, false},
		{"rejected after Welcome of the connection before", []capture.Event{
			unsafe, disconnected, hello, welcome(1, 1), onConnection(2, 1, rejected),
		}, false},
		{"rejected after Welcome of an earlier incarnation", []capture.Event{
			unsafe, disconnected, hello, welcome(2, 0), onConnection(2, 1, rejected),
		}, false},
		{"held on the next connection", slices.Concat([]capture.Event{unsafe}, reconnect(1), []capture.Event{held}), false},
		{"rejected after another connection ended", []capture.Event{
			unsafe, onConnection(9, 1, disconnected), rejected,
		}, true},

		{"Welcome of the same incarnation", slices.Concat([]capture.Event{unsafe}, reconnect(1)), false},
		{"Welcome of the next incarnation", slices.Concat([]capture.Event{unsafe}, reconnect(2)), true},
		{"Welcome of another host's next incarnation", slices.Concat(
			[]capture.Event{offer(10*ms, "c", "unsafe", 1)}, reconnect(2),
		), false},
		{"offered to the next incarnation, whose Welcome comes again", slices.Concat(reconnect(2), []capture.Event{
			laterOffer,
			onConnection(2, 2, message(50*ms, capture.Disconnected, "a", 0)),
			onConnection(3, 2, message(51*ms, capture.Hello, "a", 0)),
			onConnection(3, 2, message(52*ms, capture.Welcome, "a", 0)),
		}), false},
	})
}

// An attempt has finished when its host has left the endpoint list and is disconnected.
func TestPlacerViewListedHosts(t *testing.T) {
	unsafe, disconnected := offer(10*ms, "a", "unsafe", 1), message(20*ms, capture.Disconnected, "a", 0)
	list := func(ready ...string) capture.Event { return listRead(listDelivered(15*ms, ready...)) }
	draining := list("b", "c")
	draining.Draining = []string{"a"}
	checkFinished(t, []finishedCase{
		{"removed and connected", []capture.Event{unsafe, list("b", "c")}, false},
		{"removed, then disconnected", []capture.Event{unsafe, list("b", "c"), disconnected}, true},
		{"disconnected, then removed", []capture.Event{unsafe, disconnected, listRead(listDelivered(21*ms, "b", "c"))}, true},
		{"removed, then another host disconnected", []capture.Event{
			unsafe, list("b", "c"), message(20*ms, capture.Disconnected, "c", 0),
		}, false},
		{"disconnected, then another host removed", []capture.Event{
			unsafe, disconnected, listRead(listDelivered(21*ms, "a", "b")),
		}, false},
		{"another host disconnected and removed", []capture.Event{
			unsafe, message(20*ms, capture.Disconnected, "c", 0), listRead(listDelivered(21*ms, "a", "b")),
		}, false},
		{"draining by the list, and disconnected", []capture.Event{unsafe, draining, disconnected}, false},
		{"draining by the list, removed, and disconnected", []capture.Event{
			unsafe, draining, disconnected, listRead(listDelivered(21*ms, "b", "c")),
		}, true},
		{"removed and listed again, then disconnected", []capture.Event{unsafe, list("b", "c"), list("a", "b", "c"), disconnected}, false},
	})
	// No host counts as removed before the first list.
	connected := atPlacer(message(3*ms, capture.Hello, "a", 0), message(3*ms, capture.Welcome, "a", 0))
	checkCases(t, append(testHosts(), connected...), []ruleCase{
		{"disconnected, before the first list", atPlacer(unsafe, disconnected, resubmitted(60*ms)), invariant.NoRepeat},
	})
}

// Each case has messages about the attempt of safe request 1 at host a. The request's next attempt is at host c, which
// is a breach if the first attempt is still unanswered.
func TestPlacerViewAwaitsAnswer(t *testing.T) {
	safe := offer(10*ms, "a", "safe", 1)
	next := retry(60*ms, "c", "safe")
	accepted, running := message(40*ms, capture.Accepted, "a", 1), message(50*ms, capture.Running, "a", 1)
	otherDisconnected := message(20*ms, capture.Disconnected, "b", 0)
	surroundings := append(testHosts(), testPlacer()...)
	checkCases(t, surroundings, []ruleCase{
		{"accepted", atPlacer(safe, accepted, next), noBreach},
		{"disconnected", atPlacer(safe, message(20*ms, capture.Disconnected, "a", 0), next), noBreach},
		{"another host disconnected", atPlacer(safe, otherDisconnected, next), invariant.NoRepeat},
		{"another connection ended", atPlacer(
			safe, onConnection(9, 1, message(20*ms, capture.Disconnected, "a", 0)), next,
		), invariant.NoRepeat},
		{"stopped", atPlacer(safe, message(20*ms, capture.Stop, "a", 1), next), invariant.NoRepeat},
		{"messages on an attempt that was never sent", atPlacer(
			message(20*ms, capture.Withdraw, "a", 1), message(20*ms, capture.Stop, "a", 1), accepted, safe, next,
		), noBreach},
	})
	checkCases(t, surroundings, []ruleCase{
		{"another is withdrawn", atPlacer(safe, message(20*ms, capture.Withdraw, "a", 2), next), invariant.NoRepeat},
	})
	config := testConfig()
	config.BoundWhenRunning = true
	checkCasesWithConfig(t, config, surroundings, []ruleCase{
		{"accepted, and bound when it runs", atPlacer(safe, accepted, next), invariant.NoRepeat},
		{"running, and bound when it runs", atPlacer(safe, accepted, running, next), noBreach},
	})
}

// Each case has messages about the attempt of request 1 at host a. Another task of the same service is then offered to
// host b, which is a breach if the task of request 1 counts as placed.
func TestPlacerViewPlaced(t *testing.T) {
	first := offer(10*ms, "a", "spread", 1)
	onFirst := func(at time.Duration, kind capture.EventType) capture.Event { return message(at, kind, "a", 1) }
	held := func(request uint32, phase string) capture.Event {
		e := onConnection(2, 1, offer(40*ms, "a", "spread", request))
		e.Type, e.Result = capture.Holds, phase
		return e
	}
	stop := func(at time.Duration, request uint32) capture.Event {
		return onConnection(2, 1, message(at, capture.Stop, "a", request))
	}
	other := offer(60*ms, "b", "spread", 2)
	withdrawn := []capture.Event{first, onFirst(20*ms, capture.Withdraw)}
	withSecond := func(events ...capture.Event) []capture.Event { return slices.Concat(reconnect(1), events) }
	var cases []ruleCase
	for _, c := range []struct {
		name   string
		events []capture.Event
		placed bool
	}{
		{"withdrawn", withdrawn, false},
		{"withdrawn, and runs", append(withdrawn[:2:2], onFirst(40*ms, capture.Running)), true},
		{"withdrawn, runs, and stopped in the same step", append(withdrawn[:2:2], onFirst(40*ms, capture.Running), onFirst(40*ms, capture.Stop)), false},
		{"withdrawn, runs, and stopped later", append(withdrawn[:2:2], onFirst(40*ms, capture.Running), onFirst(41*ms, capture.Stop)), true},
		{"runs, and stopped in the same step", []capture.Event{first, onFirst(40*ms, capture.Running), onFirst(40*ms, capture.Stop)}, true},
		{"disconnected", slices.Concat([]capture.Event{first}, reconnect(1)), false},
		{"disconnected, and held", slices.Concat([]capture.Event{first}, reconnect(1), []capture.Event{held(1, "running")}), true},
		{"disconnected, and held but queued", slices.Concat([]capture.Event{first}, reconnect(1), []capture.Event{held(1, phaseQueued)}), false},
		{"of an earlier incarnation, held", withSecond(held(70, "running")), true},
		{"of an earlier incarnation, held but queued", withSecond(held(70, phaseQueued)), false},
		{"of an earlier incarnation, held on the connection before", withSecond(onConnection(1, 1, held(70, "running"))), false},
		{"of an earlier incarnation, held, and stopped in the same step", withSecond(held(70, "running"), stop(40*ms, 70)), false},
		{"of an earlier incarnation, held, and stopped later", withSecond(held(70, "running"), stop(41*ms, 70)), true},
		{"of an earlier incarnation, held, and ended", withSecond(
			held(70, "running"), onConnection(2, 1, message(41*ms, capture.Ended, "a", 70)),
		), false},
	} {
		rule := noBreach
		if c.placed {
			rule = invariant.Spread
		}
		cases = append(cases, ruleCase{c.name, atPlacer(append(c.events, other)...), rule})
	}
	checkCases(t, append(testHosts(), testPlacer()...), cases)
}
