package rules

import (
	"slices"
	"testing"
	"time"

	"forkhead/internal/protocol/capture"
)

// An attempt in a trace has the first time of each kind of event, from its own connection and its host's incarnation
// only.
func TestTraceProgressHasFirstTimes(t *testing.T) {
	onFirst := func(at time.Duration, kind capture.EventType) capture.Event { return message(at, kind, "a", 1) }
	otherHost := func(e capture.Event) capture.Event {
		e.Host = "b"
		return e
	}
	for _, c := range []struct {
		name   string
		events []capture.Event
		want   attempt
	}{
		{"no event", nil, attempt{}},
		{
			"accepted twice",
			[]capture.Event{onFirst(20*ms, capture.Accepted), onFirst(30*ms, capture.Accepted)},
			attempt{answeredAt: 20 * ms, boundAt: 20 * ms},
		},
		{
			"running twice",
			[]capture.Event{onFirst(20*ms, capture.Running), onFirst(30*ms, capture.Running)},
			attempt{answeredAt: 20 * ms, boundAt: 20 * ms},
		},
		{
			"accepted, then running",
			[]capture.Event{onFirst(20*ms, capture.Accepted), onFirst(30*ms, capture.Running)},
			attempt{answeredAt: 20 * ms, boundAt: 20 * ms},
		},
		{"withdrawn twice", []capture.Event{onFirst(20*ms, capture.Withdraw), onFirst(30*ms, capture.Withdraw)}, attempt{withdrawnAt: 20 * ms}},
		{
			"rejected twice",
			[]capture.Event{onFirst(20*ms, capture.Refused), onFirst(30*ms, capture.Refused)},
			attempt{answeredAt: 20 * ms, endedAt: 20 * ms},
		},
		{
			"accepted, and ended twice",
			[]capture.Event{onFirst(20*ms, capture.Accepted), onFirst(30*ms, capture.Ended), onFirst(40*ms, capture.Ended)},
			attempt{answeredAt: 20 * ms, boundAt: 20 * ms, endedAt: 30 * ms},
		},
		{"ended", []capture.Event{onFirst(20*ms, capture.Ended)}, attempt{answeredAt: 20 * ms, endedAt: 20 * ms}},
		{
			"disconnected twice",
			[]capture.Event{onFirst(20*ms, capture.Disconnected), onFirst(30*ms, capture.Disconnected)},
			attempt{disconnectedAt: 20 * ms},
		},
		{"another connection ended", []capture.Event{onConnection(2, 1, onFirst(20*ms, capture.Disconnected))}, attempt{}},
		{"another host disconnected", []capture.Event{otherHost(onFirst(20*ms, capture.Disconnected))}, attempt{}},
		{"host down twice", []capture.Event{onFirst(20*ms, capture.HostDown), onFirst(30*ms, capture.HostDown)}, attempt{hostDownAt: 20 * ms}},
		{"another host down", []capture.Event{otherHost(onFirst(20*ms, capture.HostDown))}, attempt{}},
		{
			"disconnected after its host was down",
			[]capture.Event{onFirst(20*ms, capture.HostDown), onFirst(30*ms, capture.Disconnected)},
			attempt{hostDownAt: 20 * ms},
		},
		{"the next incarnation down, and disconnected", []capture.Event{
			hostUp(20*ms, "a", "r1"), onFirst(30*ms, capture.Disconnected), onFirst(40*ms, capture.HostDown),
		}, attempt{}},
	} {
		events := slices.Concat(testHosts(), []capture.Event{offer(10*ms, "a", "safe", 1)}, c.events)
		checkProgress(t, c.name, newTrace(events, false), c.want)
		slices.Reverse(events) // no two events of a host have the same time
		checkProgress(t, c.name+", captured in reverse", newTrace(events, false), c.want)
	}
}

// If tasks are bound when they run, Accepted answers an attempt but doesn't bind it.
func TestTraceProgressBoundWhenRunning(t *testing.T) {
	accepted, running := message(20*ms, capture.Accepted, "a", 1), message(30*ms, capture.Running, "a", 1)
	boundWhenRunning := newTrace([]capture.Event{offer(10*ms, "a", "safe", 1), accepted, running}, true)
	checkProgress(t, "bound when it runs", boundWhenRunning, attempt{answeredAt: 20 * ms, boundAt: 30 * ms})
}

// An attempt that is offered to a host that is down belongs to no incarnation, so that a later HostDown does not
// concern it.
func TestTraceProgressIgnoresHostDownAfterOfferToDownHost(t *testing.T) {
	afterDown := newTrace([]capture.Event{
		hostUp(1*ms, "a", "r1"), message(2*ms, capture.HostDown, "a", 0), offer(10*ms, "a", "safe", 1), message(20*ms, capture.HostDown, "a", 0),
	}, false)
	checkProgress(t, "offered to a host that is down", afterDown, attempt{})
}

// checkProgress checks the times of the only attempt in a trace, which was offered at 10ms.
func checkProgress(t *testing.T, name string, trace *trace, want attempt) {
	t.Helper()
	if len(trace.attempts) != 1 {
		t.Fatalf("%s: trace has %d attempts, want 1", name, len(trace.attempts))
	}
	offered := offer(10*ms, "a", "safe", 1)
	want.attemptID, want.sender, want.connection = attemptIDOf(&offered), incarnationOf(&offered), offered.Conn
	want.key, want.service, want.name, want.class, want.offeredAt = 1, 9, "p/s/1", "safe", 10*ms
	if got := *trace.attempts[0]; got != want {
		t.Errorf("%s: attempt %+v, want %+v", name, got, want)
	}
}

func TestTraceLocations(t *testing.T) {
	up := hostUp(1, "a", "r1")
	up.Zone = "z1"
	if got, want := newTrace([]capture.Event{up}, false).locations["a"], (location{"z1", "r1"}); got != want {
		t.Errorf("location of host a = %v, want %v", got, want)
	}
}
