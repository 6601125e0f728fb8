package rules

import "testing"

// Each message is handled in each state, at 5ms.
func TestSentAttemptStateAfterEachMessage(t *testing.T) {
	const at = 5 * ms
	inState := func(state sentState) sentAttempt { return sentAttempt{state: state} }
	reappeared := sentAttempt{state: bound, reappearedAt: at}
	lostBefore := sentAttempt{state: unreachable, unreachableSince: 3 * ms}
	lostNow := sentAttempt{state: unreachable, unreachableSince: at}
	states := []sentAttempt{inState(awaitingAnswer), inState(mayRun), inState(bound), lostBefore, inState(finished)}
	for _, c := range []struct {
		name    string
		message func(*sentAttempt)
		want    []sentAttempt // the attempt after the message, for each element of states
	}{
		{
			"bound", func(a *sentAttempt) { a.onBound(at) },
			[]sentAttempt{inState(bound), reappeared, inState(bound), {state: bound, unreachableSince: 3 * ms}, inState(finished)},
		},
		{
			"finished", func(a *sentAttempt) { a.onFinished() },
			[]sentAttempt{inState(finished), inState(finished), inState(finished), {state: finished, unreachableSince: 3 * ms}, inState(finished)},
		},
		{
			"withdrawn", func(a *sentAttempt) { a.onWithdrawn() },
			[]sentAttempt{inState(mayRun), inState(mayRun), inState(bound), lostBefore, inState(finished)},
		},
		{
			"stop", func(a *sentAttempt) { a.onStop(at) },
			states,
		},
		{
			"disconnected", func(a *sentAttempt) { a.onDisconnected(at) },
			[]sentAttempt{inState(mayRun), inState(mayRun), lostNow, lostNow, inState(finished)},
		},
	} {
		for i, before := range states {
			got := before
			if c.message(&got); got != c.want[i] {
				t.Errorf("message %s on %+v: got %+v, want %+v", c.name, before, got, c.want[i])
			}
		}
	}
}

// Stop changes only an attempt that reappeared as bound in the same step.
func TestSentAttemptStopChangesOnlyReappeared(t *testing.T) {
	for _, c := range []struct {
		before sentAttempt
		want   sentState
	}{
		{sentAttempt{state: bound, reappearedAt: 5 * ms}, mayRun},
		{sentAttempt{state: bound, reappearedAt: 4 * ms}, bound},
		{sentAttempt{state: unreachable, reappearedAt: 5 * ms}, unreachable},
		{sentAttempt{state: finished, reappearedAt: 5 * ms}, finished},
	} {
		got := c.before
		if got.onStop(5 * ms); got.state != c.want {
			t.Errorf("onStop(5ms) of %+v: state %d, want %d", c.before, got.state, c.want)
		}
	}
}
