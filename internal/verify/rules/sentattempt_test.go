package rules

import "testing"

// What each message makes of an attempt in each state. The message comes at 5ms.
func TestSentAttempt(t *testing.T) {
	const at = 5 * ms
	inState := func(state sentState) sentAttempt { return sentAttempt{state: state} }
	reappeared := sentAttempt{state: bound, reappearedAt: at}
	lostBefore := sentAttempt{state: unreachable, unreachableSince: 3 * ms}
	lostNow := sentAttempt{state: unreachable, unreachableSince: at}
	states := []sentAttempt{inState(awaitingAnswer), inState(mayRun), inState(bound), lostBefore, inState(over)}
	for _, c := range []struct {
		name    string
		message func(*sentAttempt)
		want    []sentAttempt // of each of states
	}{
		{
			"bound", func(a *sentAttempt) { a.onBound(at) },
			[]sentAttempt{inState(bound), reappeared, inState(bound), {state: bound, unreachableSince: 3 * ms}, inState(over)},
		},
		{
			"over", func(a *sentAttempt) { a.onOver() },
			[]sentAttempt{inState(over), inState(over), inState(over), {state: over, unreachableSince: 3 * ms}, inState(over)},
		},
		{
			"withdrawn", func(a *sentAttempt) { a.onWithdrawn() },
			[]sentAttempt{inState(mayRun), inState(mayRun), inState(bound), lostBefore, inState(over)},
		},
		{
			"stop", func(a *sentAttempt) { a.onStop(at) },
			states,
		},
		{
			"disconnected", func(a *sentAttempt) { a.onDisconnected(at) },
			[]sentAttempt{inState(mayRun), inState(mayRun), lostNow, lostNow, inState(over)},
		},
	} {
		for i, before := range states {
			got := before
			if c.message(&got); got != c.want[i] {
				t.Errorf("%s on %+v: %+v, want %+v", c.name, before, got, c.want[i])
			}
		}
	}
}

// A Stop ends what reappeared in its step, and nothing else.
func TestSentAttemptStop(t *testing.T) {
	for _, c := range []struct {
		before sentAttempt
		want   sentState
	}{
		{sentAttempt{state: bound, reappearedAt: 5 * ms}, mayRun},
		{sentAttempt{state: bound, reappearedAt: 4 * ms}, bound},
		{sentAttempt{state: unreachable, reappearedAt: 5 * ms}, unreachable},
		{sentAttempt{state: over, reappearedAt: 5 * ms}, over},
	} {
		got := c.before
		if got.onStop(5 * ms); got.state != c.want {
			t.Errorf("%+v: state %d, want %d", c.before, got.state, c.want)
		}
	}
}
