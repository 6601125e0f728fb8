package rules

import (
	"slices"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

const ms = time.Millisecond

// noBreach is the rule of a ruleCase without a breach.
const noBreach = invariant.RuleCount

// ruleCase is a trace with a breach of one rule, or without a breach.
type ruleCase struct {
	name   string
	events []capture.Event
	rule   invariant.Rule
}

// checkCases checks that the events of each case, added to surroundings, breach the rule of the case once, and no other
// rule.
func checkCases(t *testing.T, surroundings []capture.Event, cases []ruleCase) {
	t.Helper()
	checkCasesWithConfig(t, testConfig(), surroundings, cases)
}

// checkCasesWithConfig is checkCases with a given config instead of testConfig.
func checkCasesWithConfig(t *testing.T, config Config, surroundings []capture.Event, cases []ruleCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			events := slices.Concat(surroundings, c.events)
			if c.rule == noBreach {
				checkBreaches(t, config, events)
			} else {
				checkBreaches(t, config, events, c.rule)
			}
		})
	}
}

// checkBreaches checks that a trace breaches each rule as often as the rule is listed in the parameter broken. A rule
// that is not listed must not be breached.
func checkBreaches(t *testing.T, config Config, events []capture.Event, broken ...invariant.Rule) {
	t.Helper()
	var want [invariant.RuleCount]int
	for _, rule := range broken {
		want[rule]++
	}
	if v := Check(events, config); v.Counts != want {
		t.Errorf("Check: breaches by rule = %v, want %v; breaches: %+v", v.Counts, want, v.Breaches)
	}
}

// testConfig returns the config of most tests, with classes named by their settings.
func testConfig() Config {
	return Config{
		Classes: map[string]Class{
			"safe":   {},
			"unsafe": {Effect: forkhead.Unsafe},
			"spread": {SpreadDomain: forkhead.CellDomain, MaxPerDomain: 1},
			"keyed, spread": {
				Effect: forkhead.Keyed, DedupWindow: 5 * time.Second, SpreadDomain: forkhead.CellDomain, MaxPerDomain: 1,
			},
			"unsafe, spread": {Effect: forkhead.Unsafe, SpreadDomain: forkhead.CellDomain, MaxPerDomain: 1},
			"keyed":          {Effect: forkhead.Keyed, DedupWindow: 5 * time.Second},
			"keyed, rack":    {Effect: forkhead.Keyed, DedupDomain: forkhead.CellDomain, DedupWindow: 5 * time.Second},
			// A safe class must ignore the deduplication settings of keyed classes.
			"safe, dedup settings": {DedupDomain: forkhead.MachineDomain, DedupWindow: time.Millisecond},
		},
		DrainGrace:           250 * time.Millisecond,
		LostAfter:            2 * time.Second,
		OwnerBackoff:         3 * time.Second,
		SlowStartDuration:    5 * time.Second,
		SlowStartInitialRate: 0.2,
		SlowStartWindow:      time.Second,
		SlowStartMaxOffers:   3,
		SlowStartOverload:    2,
		WarmStartRate:        1,
		MaxTransit:           100 * time.Millisecond,
		MaxOutcomeDelay:      time.Second,
	}
}

// testHosts returns the starts of hosts a and b in one rack and host c in another.
func testHosts() []capture.Event {
	return []capture.Event{hostUp(1, "a", "r1"), hostUp(1, "b", "r1"), hostUp(1, "c", "r2")}
}

// testPlacer returns the events of a placer that reads an endpoint list of testHosts and connects to each of them.
func testPlacer() []capture.Event {
	list := listDelivered(2*ms, "a", "b", "c")
	list.PlacerEpoch = 1
	events := atPlacer(list)
	for _, host := range []string{"a", "b", "c"} {
		events = append(events, atPlacer(
			message(3*ms, capture.Hello, host, 0),
			message(3*ms, capture.Welcome, host, 0),
		)...)
	}
	return events
}

func hostUp(at time.Duration, host, rack string) capture.Event {
	return capture.Event{At: at, Type: capture.HostUp, Host: host, Epoch: 1, Rack: rack}
}

func listDelivered(at time.Duration, ready ...string) capture.Event {
	return capture.Event{At: at, Type: capture.ListDelivered, Ready: ready}
}

// message returns a message between placer 0 and a host on the only connection between them, or the end of that
// connection. It concerns the first attempt of a request, unless request is 0.
func message(at time.Duration, kind capture.EventType, host string, request uint32) capture.Event {
	return capture.Event{
		At: at, Type: kind, Host: host, Epoch: 1, Conn: 1, PlacerEpoch: 1,
		RefEpoch: 1, Task: request, Key: uint64(request), Service: 9, Name: "p/s/1",
	}
}

// offer returns the offer of the first attempt of a request, for a task of service 9. The task's key is the request's
// number.
func offer(at time.Duration, host, class string, request uint32) capture.Event {
	e := message(at, capture.Offer, host, request)
	e.Class = class
	return e
}

// retry returns the offer of the second attempt of request 1.
func retry(at time.Duration, host, class string) capture.Event {
	e := offer(at, host, class, 1)
	e.Attempt = 1
	return e
}

// thirdAttempt returns the offer of the third attempt of request 1, at host c.
func thirdAttempt(at time.Duration, class string) capture.Event {
	e := offer(at, "c", class, 1)
	e.Attempt = 2
	return e
}

// resubmitted returns the offer of the first attempt of another request for the unsafe task of request 1, at host b.
func resubmitted(at time.Duration) capture.Event {
	e := offer(at, "b", "unsafe", 2)
	e.Key = 1
	return e
}

// ofPlacer returns e as an event of a placer's incarnation. The same incarnation also began the attempt.
func ofPlacer(placer int, epoch uint64, e capture.Event) capture.Event {
	e.Placer, e.PlacerEpoch, e.RefEpoch = placer, epoch, epoch
	return e
}

// sentBy returns e as sent by the given incarnation of its placer. Another incarnation may have begun the attempt.
func sentBy(epoch uint64, e capture.Event) capture.Event {
	e.PlacerEpoch = epoch
	return e
}

// ofService returns e as an offer of a task of another service.
func ofService(service uint64, e capture.Event) capture.Event {
	e.Service = service
	return e
}

// atPlacer marks events as captured at the placer's own sockets.
func atPlacer(events ...capture.Event) []capture.Event {
	for i := range events {
		events[i].AtPlacer = true
	}
	return events
}
