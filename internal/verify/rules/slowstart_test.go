package rules

import (
	"slices"
	"testing"
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// warmingUp returns the start of host a, which is warming up.
func warmingUp(at time.Duration) capture.Event {
	e := hostUp(at, "a", "r1")
	e.WarmingUp = true
	return e
}

// offersAt returns offers to host a at the given times.
func offersAt(times ...time.Duration) []capture.Event {
	var events []capture.Event
	for _, at := range times {
		events = append(events, offer(at, "a", "safe", uint32(at/ms)))
	}
	return events
}

func TestCheckSlowStarts(t *testing.T) {
	overloaded := capture.Event{At: 10 * ms, Type: capture.Overloaded, Host: "a"}
	checkCases(t, []capture.Event{warmingUp(5 * ms)}, []ruleCase{
		{"as many offers as allowed", offersAt(10*ms, 20*ms, 30*ms), noBreach},
		{"one more", offersAt(10*ms, 20*ms, 30*ms, 40*ms), invariant.SlowStart},
		{"one more, and the first is in the window", offersAt(10*ms, 20*ms, 30*ms, 1009*ms), invariant.SlowStart},
		{"one more, and the first is out of the window", offersAt(10*ms, 20*ms, 30*ms, 1010*ms), noBreach},
		{"one more 1ms before it is warm", offersAt(5001*ms, 5002*ms, 5003*ms, 5004*ms), invariant.SlowStart},
		{"one more when it is warm", offersAt(5001*ms, 5002*ms, 5003*ms, 5005*ms), noBreach},
		{"as many after a restart", slices.Concat(
			offersAt(10*ms, 20*ms, 30*ms), []capture.Event{warmingUp(40 * ms)}, offersAt(50*ms, 60*ms, 70*ms),
		), noBreach},
		{"one more after a restart", slices.Concat(
			offersAt(10*ms), []capture.Event{warmingUp(40 * ms)}, offersAt(50*ms, 60*ms, 70*ms, 80*ms),
		), invariant.SlowStart},
		{"one more, after a start that was warm", slices.Concat(
			[]capture.Event{hostUp(6*ms, "a", "r1")}, offersAt(10*ms, 20*ms, 30*ms, 40*ms),
		), noBreach},
		{"one more at another host", append(
			offersAt(10*ms, 20*ms, 30*ms), offer(40*ms, "b", "safe", 4), hostUp(6*ms, "b", "r1"),
		), noBreach},
		{"at a host that was never started", []capture.Event{offer(10*ms, "b", "safe", 1)}, noBreach},
		{"crashed from overload", []capture.Event{overloaded}, invariant.SlowStart},
	})
}

// A host that starts 10 tasks per second when warm, and a fifth of that at first, may be offered twice as many in a
// window of 0.5s: 2 when it starts, and 6 halfway to being warm.
func TestCheckSlowStartsLimitGrowsWithAge(t *testing.T) {
	config := testConfig()
	config.WarmStartRate, config.SlowStartMaxOffers, config.SlowStartWindow = 10, 0, 500*ms
	offers := func(at time.Duration, n int) []capture.Event {
		return append([]capture.Event{warmingUp(0)}, offersAt(slices.Repeat([]time.Duration{at}, n)...)...)
	}
	for _, c := range []struct {
		name  string
		at    time.Duration
		limit int
	}{{"at its start", 0, 2}, {"halfway", 2500 * ms, 6}, {"1ms before it is warm", 4999 * ms, 9}} {
		checkCasesWithConfig(t, config, nil, []ruleCase{
			{c.name + ", as many as allowed", offers(c.at, c.limit), noBreach},
			{c.name + ", one more", offers(c.at, c.limit+1), invariant.SlowStart},
		})
	}
}
