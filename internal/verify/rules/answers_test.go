package rules

import (
	"maps"
	"slices"
	"testing"
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

func TestCheckAnswers(t *testing.T) {
	submit := capture.Event{At: 10 * ms, Type: capture.Submit, Submission: "s", Count: 1, Within: time.Second}
	outcome := func(at time.Duration, result string) capture.Event {
		return capture.Event{At: at, Type: capture.Outcome, Submission: "s", Name: "web/1", Result: result}
	}
	clientDisconnected, end := disconnect(60*ms, "s"), endAt(time.Minute)
	checkCases(t, testHosts(), []ruleCase{
		{"one outcome", []capture.Event{submit, outcome(50*ms, "placed"), end}, noBreach},
		{"no outcome", []capture.Event{submit, end}, invariant.OneAnswer},
		{"two outcomes", []capture.Event{submit, outcome(50*ms, "refused"), outcome(60*ms, "placed"), end}, invariant.OneAnswer},
		{"late outcome", []capture.Event{submit, outcome(5*time.Second, "placed"), end}, invariant.OneAnswer},
		{"an outcome of each kind", []capture.Event{
			{At: 10 * ms, Type: capture.Submit, Submission: "s", Count: 3, Within: time.Second},
			{At: 50 * ms, Type: capture.Outcome, Submission: "s", Name: "web/1", Result: "placed"},
			{At: 50 * ms, Type: capture.Outcome, Submission: "s", Name: "web/2", Result: "refused"},
			{At: 50 * ms, Type: capture.Outcome, Submission: "s", Name: "web/3", Result: "failed"},
			end,
		}, noBreach},
		{"one outcome twice", []capture.Event{submit, outcome(50*ms, "placed"), outcome(60*ms, "placed"), end}, invariant.OneAnswer},
		{"outcomes of more tasks than were submitted", []capture.Event{
			submit, outcome(50*ms, "placed"),
			{At: 60 * ms, Type: capture.Outcome, Submission: "s", Name: "web/2", Result: "placed"},
		}, invariant.OneAnswer},
		{"as late as may be", []capture.Event{submit, outcome(2010*ms, "placed"), end}, noBreach},
		{"a moment later", []capture.Event{submit, outcome(2011*ms, "placed"), end}, invariant.OneAnswer},
		{"late after a disconnect", []capture.Event{submit, clientDisconnected, outcome(5*time.Second, "placed"), end}, noBreach},
		{"late, before a disconnect", []capture.Event{
			submit, outcome(5*time.Second, "placed"), disconnect(5001*ms, "s"), end,
		}, invariant.OneAnswer},
		{"unknown outcome", []capture.Event{submit, outcome(50*ms, "perhaps"), end}, invariant.OneAnswer},
		{"disconnect of no submission", []capture.Event{submit, outcome(50*ms, "placed"), disconnect(60*ms, "x"), end}, noBreach},
		{"submission that only its placer noted", []capture.Event{
			submit, outcome(50*ms, "placed"), {At: 9 * ms, Type: capture.Submit, Submission: "x", AtPlacer: true}, end,
		}, noBreach},
		{"outcome of no submission", []capture.Event{outcome(50*ms, "placed"), end}, invariant.OneAnswer},
		{"read again after a disconnect", []capture.Event{
			submit, outcome(50*ms, "placed"), clientDisconnected, outcome(90*ms, "placed"),
		}, noBreach},
		{"changed after a disconnect", []capture.Event{
			submit, outcome(50*ms, "placed"), clientDisconnected, outcome(90*ms, "failed"),
		}, invariant.OneAnswer},
		{"lost with its placer", []capture.Event{submit, placerDown(60*ms, 0), end}, noBreach},
	})
}

// A placer that remembers what it has accepted may repeat an outcome, or answer late, once it was down.
func TestCheckAnswersDurable(t *testing.T) {
	submit := capture.Event{At: 10 * ms, Type: capture.Submit, Submission: "s", Count: 1, Within: time.Second}
	late := capture.Event{At: 5 * time.Second, Type: capture.Outcome, Submission: "s", Name: "web/1", Result: "placed"}
	placerUp := func(at time.Duration) capture.Event { return capture.Event{At: at, Type: capture.PlacerUp} }
	end := endAt(time.Minute)
	wasDown := []capture.Event{submit, placerDown(50*ms, 0), placerUp(4 * time.Second), late, end}
	durable := testConfig()
	durable.Durable = true
	checkCasesWithConfig(t, durable, nil, []ruleCase{
		{"late, and its placer was down", wasDown, noBreach},
		{"late, and its placer was not down", []capture.Event{submit, late, end}, invariant.OneAnswer},
		{"down before the submission", []capture.Event{
			placerDown(1*ms, 0), placerUp(2 * ms),
			{At: 103 * ms, Type: capture.Submit, Submission: "s", Count: 1, Within: time.Second},
			late, end,
		}, invariant.OneAnswer},
		{"down after the outcome", []capture.Event{submit, late, placerDown(5001*ms, 0), end}, invariant.OneAnswer},
		{"missing, and its placer was down", []capture.Event{submit, placerDown(50*ms, 0), end}, invariant.OneAnswer},
	})
	checkCases(t, nil, []ruleCase{
		{"late, and its placer, which forgets, was down", wasDown, invariant.OneAnswer},
	})
}

// submitTwo is a submission of two tasks to placer 1, due at 1010ms.
func submitTwo(name string) capture.Event {
	return capture.Event{At: 10 * ms, Type: capture.Submit, Submission: name, Placer: 1, Count: 2, Within: time.Second}
}

// oneOutcome is the outcome of one task of a submission.
func oneOutcome(name string) capture.Event {
	return capture.Event{At: 20 * ms, Type: capture.Outcome, Submission: name, Name: "web/1", Result: "placed", Took: ms}
}

func placerDown(at time.Duration, placer int) capture.Event {
	return capture.Event{At: at, Type: capture.PlacerDown, Placer: placer}
}

// disconnect is the end of the stream of a submission to its client.
func disconnect(at time.Duration, name string) capture.Event {
	return capture.Event{At: at, Type: capture.ClientDisconnected, Submission: name}
}

// endAt is the last event of a capture, which concerns no submission.
func endAt(at time.Duration) capture.Event {
	return capture.Event{At: at, Type: capture.PlacerUp, Placer: 9}
}

// accountsCase is a trace with what becomes of its tasks.
type accountsCase struct {
	name   string
	events []capture.Event
	want   Accounts
}

// checkAccounts checks that each task is accounted for, and that there is a breach where one is unanswered.
func checkAccounts(t *testing.T, cases []accountsCase) {
	t.Helper()
	for _, c := range cases {
		v := Check(c.events, testConfig())
		if v.Accounts != c.want || v.Accounts.Sum() != v.Tasks || (v.Counts[invariant.OneAnswer] > 0) != (c.want.Unanswered > 0) {
			t.Errorf("%s: %+v, want %+v; %v", c.name, v.Accounts, c.want, v.Breaches)
		}
	}
}

// Only a death before its outcome was due excuses a missing one.
func TestAccounts(t *testing.T) {
	submit, answer, end := submitTwo("s"), oneOutcome("s"), endAt(time.Minute)
	resubmit := capture.Event{At: 40 * ms, Type: capture.Submit, Submission: "s"}
	checkAccounts(t, []accountsCase{
		{"died before the submission", []capture.Event{
			placerDown(9*ms, 1), submit, answer, end,
		}, Accounts{Answered: 1, Unanswered: 1}},
		{"died at the submission", []capture.Event{submit, placerDown(10*ms, 1), answer, end}, Accounts{Answered: 1, PlacerDied: 1}},
		{"died before it was due", []capture.Event{
			submit, answer, placerDown(time.Second, 1), end,
		}, Accounts{Answered: 1, PlacerDied: 1}},
		{"died when it was due", []capture.Event{submit, answer, placerDown(1010*ms, 1), end}, Accounts{Answered: 1, PlacerDied: 1}},
		{"died when it was over", []capture.Event{
			submit, answer, placerDown(1011*ms, 1), end,
		}, Accounts{Answered: 1, Unanswered: 1}},
		{"another placer's death", []capture.Event{submit, answer, placerDown(50*ms, 2), end}, Accounts{Answered: 1, Unanswered: 1}},
		{"died, and submitted again", []capture.Event{
			submit, answer, placerDown(30*ms, 1), resubmit, end,
		}, Accounts{Answered: 1, PlacerDied: 1}},
		{"disconnected, not submitted again", []capture.Event{
			submit, answer, disconnect(30*ms, "s"), end,
		}, Accounts{Answered: 1, Disconnected: 1}},
		{"disconnected, and submitted again", []capture.Event{
			submit, answer, disconnect(30*ms, "s"), resubmit, end,
		}, Accounts{Answered: 1, Unanswered: 1}},
		{"disconnected as it was submitted again", []capture.Event{
			submit, answer, disconnect(40*ms, "s"), resubmit, end,
		}, Accounts{Answered: 1, Unanswered: 1}},
		{"disconnected after it was submitted again", []capture.Event{
			submit, answer, resubmit, disconnect(41*ms, "s"), end,
		}, Accounts{Answered: 1, Disconnected: 1}},
		{"disconnected before and after it was submitted again", []capture.Event{
			submit, answer, disconnect(30*ms, "s"), resubmit, disconnect(41*ms, "s"), end,
		}, Accounts{Answered: 1, Disconnected: 1}},
		{"not due yet", []capture.Event{submit, answer}, Accounts{Answered: 1, NotDue: 1}},
		{"not due at the end", []capture.Event{submit, answer, endAt(2010 * ms)}, Accounts{Answered: 1, NotDue: 1}},
		{"due a moment before the end", []capture.Event{submit, answer, endAt(2011 * ms)}, Accounts{Answered: 1, Unanswered: 1}},
	})
}

// The accounts of two submissions add up.
func TestAccountsOfTwo(t *testing.T) {
	both, end := []capture.Event{submitTwo("s"), submitTwo("s2"), oneOutcome("s")}, endAt(time.Minute)
	with := func(events ...capture.Event) []capture.Event { return slices.Concat(both, events) }
	checkAccounts(t, []accountsCase{
		{"answered and not due yet", with(oneOutcome("s2")), Accounts{Answered: 2, NotDue: 2}},
		{"died", with(placerDown(50*ms, 1), end), Accounts{Answered: 1, PlacerDied: 3}},
		{"disconnected", with(disconnect(50*ms, "s"), disconnect(50*ms, "s2"), end), Accounts{Answered: 1, Disconnected: 3}},
		{"unanswered", with(end), Accounts{Answered: 1, Unanswered: 3}},
	})
}

// An outcome that is read twice counts once, and no more tasks are answered than were submitted.
func TestCheckCounts(t *testing.T) {
	outcome := func(at time.Duration, name, result string) capture.Event {
		return capture.Event{At: at, Type: capture.Outcome, Submission: "s", Name: name, Result: result}
	}
	v := Check([]capture.Event{
		hostUp(1, "a", "r1"), hostUp(2, "a", "r1"),
		offer(10*ms, "a", "safe", 1), message(20*ms, capture.Refused, "a", 1),
		offer(10*ms, "a", "safe", 2), message(20*ms, capture.Accepted, "a", 2),
		offer(10*ms, "a", "safe", 3), message(20*ms, capture.Refused, "a", 3),
		{At: 10 * ms, Type: capture.Submit, Submission: "s", Count: 2, Within: time.Second},
		disconnect(30*ms, "s"),
		outcome(40*ms, "web/1", "placed"), outcome(41*ms, "web/1", "placed"),
		outcome(42*ms, "web/2", "refused"), outcome(43*ms, "web/3", "placed"),
	}, testConfig())
	if want := map[string]int{"placed": 2, "refused": 1}; !maps.Equal(v.Outcomes, want) {
		t.Errorf("outcomes %v, want %v", v.Outcomes, want)
	}
	if v.Tasks != 2 || v.Accounts.Answered != 2 || v.Offers != 3 || v.Rejected != 2 || v.HostIncarnations != 2 {
		t.Errorf("%+v", v)
	}
}

// An outcome that is settled late is a breach by the least that a client can see, unless the step that settled it ran late;
// what is settled in time has MaxOutcomeDelay to be read.
func TestCheckAnswersSettledLate(t *testing.T) {
	submit := capture.Event{At: 10 * ms, Type: capture.Submit, Submission: "s", Count: 1, Within: time.Second}
	received := capture.Event{At: 9 * ms, Type: capture.Submit, Submission: "s", AtPlacer: true}
	late := func(dueAt, ranAt time.Duration) capture.Event {
		return capture.Event{At: ranAt, Type: capture.LateStep, AtPlacer: true, Within: ranAt - dueAt}
	}
	outcome := func(at, took time.Duration) capture.Event {
		return capture.Event{At: at, Type: capture.Outcome, Submission: "s", Name: "web/1", Result: "refused", Took: took}
	}
	lateStep := late(900*ms, 2500*ms)
	checkCases(t, []capture.Event{submit, received}, []ruleCase{
		{"in time", []capture.Event{outcome(1010*ms, time.Second)}, noBreach},
		{"at the end of the tolerance", []capture.Event{outcome(1010*ms, 1001*ms)}, noBreach},
		{"a nanosecond later", []capture.Event{outcome(1010*ms, 1001*ms+1)}, invariant.OneAnswer},
		{"two milliseconds late", []capture.Event{outcome(1012*ms, 1002*ms)}, invariant.OneAnswer},
		{"the step ran late", []capture.Event{lateStep, outcome(2600*ms, 2491*ms)}, noBreach},
		{"the step ran late, and its client read late", []capture.Event{lateStep, outcome(3501*ms, 2491*ms)}, invariant.OneAnswer},
		{"read late while the process stood still", []capture.Event{lateStep, outcome(3500*ms, 900*ms)}, noBreach},
		{"read late, the later of two late steps due first", []capture.Event{
			late(2000*ms, 2500*ms), late(1100*ms, 3000*ms), outcome(3900*ms, 900*ms),
		}, noBreach},
		{"read late, and a moment more", []capture.Event{lateStep, outcome(3501*ms, 900*ms)}, invariant.OneAnswer},
		{"in time, and read as late as may be", []capture.Event{outcome(2010*ms, 900*ms)}, noBreach},
		{"in time, and read late", []capture.Event{outcome(2011*ms, 900*ms)}, invariant.OneAnswer},
		{"a late step was due when the outcome was", []capture.Event{late(1009*ms, 1500*ms), outcome(1600*ms, 1491*ms)}, noBreach},
		{"a late step was due a moment after the outcome", []capture.Event{late(1010*ms, 1500*ms), outcome(1600*ms, 1491*ms)}, invariant.OneAnswer},
		{"a late step ran when the outcome was due", []capture.Event{late(900*ms, 1009*ms), outcome(1600*ms, 1491*ms)}, noBreach},
		{"a late step ran a moment before the outcome was due", []capture.Event{late(900*ms, 1008*ms), outcome(1600*ms, 1491*ms)}, invariant.OneAnswer},
		{"another placer's step ran late", []capture.Event{
			{At: 2500 * ms, Type: capture.LateStep, AtPlacer: true, Within: 1600 * ms, Placer: 1}, outcome(2600*ms, 2491*ms),
		}, invariant.OneAnswer},
		{"its placer's step ran late, not the first placer's", []capture.Event{
			{At: 10 * ms, Type: capture.Submit, Submission: "of 1", Placer: 1, Count: 1, Within: time.Second},
			{At: 9 * ms, Type: capture.Submit, Submission: "of 1", Placer: 1, AtPlacer: true},
			{At: 2500 * ms, Type: capture.LateStep, Placer: 1, AtPlacer: true, Within: 1600 * ms},
			{At: 1600 * ms, Type: capture.Outcome, Submission: "of 1", Name: "web/1", Result: "refused", Took: 1491 * ms},
		}, noBreach},
		{"its placer died when it was due", []capture.Event{
			placerDown(1009*ms, 0), outcome(1600*ms, 1491*ms),
		}, noBreach},
		{"its placer died a moment later", []capture.Event{
			placerDown(1010*ms, 0), outcome(1600*ms, 1491*ms),
		}, invariant.OneAnswer},
		{"its placer came back when it was due", []capture.Event{
			placerDown(20*ms, 0), {At: 909 * ms, Type: capture.PlacerUp}, outcome(1600*ms, 1491*ms),
		}, noBreach},
		{"its placer came back a moment earlier", []capture.Event{
			placerDown(20*ms, 0), {At: 908 * ms, Type: capture.PlacerUp}, outcome(1600*ms, 1491*ms),
		}, invariant.OneAnswer},
		{"its placer read it again later", []capture.Event{
			{At: 500 * ms, Type: capture.Submit, Submission: "s", AtPlacer: true}, late(1400*ms, 1500*ms), outcome(1600*ms, 1491*ms),
		}, invariant.OneAnswer},
	})
}

// An outcome has MaxOutcomeDelay from when it was settled, where it is noted when its placer received the submission.
func TestCheckAnswersReadLate(t *testing.T) {
	submit := capture.Event{At: 10 * ms, Type: capture.Submit, Submission: "s", Count: 1, Within: time.Second}
	received := capture.Event{At: 500 * ms, Type: capture.Submit, Submission: "s", AtPlacer: true}
	outcome := func(at, took time.Duration) capture.Event {
		return capture.Event{At: at, Type: capture.Outcome, Submission: "s", Name: "web/1", Result: "refused", Took: took}
	}
	checkCases(t, []capture.Event{submit}, []ruleCase{
		{"as late as may be", []capture.Event{received, outcome(2400*ms, 900*ms)}, noBreach},
		{"a moment later", []capture.Event{received, outcome(2401*ms, 900*ms)}, invariant.OneAnswer},
		{"settled at once, as late as may be", []capture.Event{received, outcome(2010*ms, 100*ms)}, noBreach},
		{"settled at once, a moment later", []capture.Event{received, outcome(2011*ms, 100*ms)}, invariant.OneAnswer},
		{"received in the first nanosecond, settled late", []capture.Event{
			{At: 1, Type: capture.Submit, Submission: "s", AtPlacer: true}, outcome(2011*ms, 1012*ms),
		}, invariant.OneAnswer},
		{"not noted when it was received, as late as may be", []capture.Event{outcome(2010*ms, 1500*ms)}, noBreach},
		{"not noted when it was received, a moment later", []capture.Event{outcome(2011*ms, 1500*ms)}, invariant.OneAnswer},
	})
}

// An offer that came to a host and that its placer did not note escapes what is judged at the placer's end.
func TestCheckOffersNoted(t *testing.T) {
	sent := atPlacer(offer(10*ms, "a", "safe", 1))
	held := atPlacer(message(20*ms, capture.Holds, "a", 1))
	withoutHost := offer(10*ms, "a", "safe", 1)
	withoutHost.Epoch = 0
	checkCases(t, append(testHosts(), testPlacer()...), []ruleCase{
		{"an offer that is noted", append(sent, offer(11*ms, "a", "safe", 1)), noBreach},
		{"an offer that is noted without its host's incarnation", append(
			atPlacer(withoutHost), offer(11*ms, "a", "safe", 1),
		), noBreach},
		{"an offer that its host reported", append(held, offer(11*ms, "a", "safe", 1)), noBreach},
		{"an offer of an incarnation that is not captured", []capture.Event{ofPlacer(0, 2, offer(11*ms, "a", "safe", 1))}, noBreach},
		{"an offer of an incarnation that is not captured, on an attempt of one that is", []capture.Event{
			sentBy(2, offer(11*ms, "a", "safe", 1)),
		}, noBreach},
		{"an offer of another placer, which is not captured", []capture.Event{ofPlacer(1, 1, offer(11*ms, "a", "safe", 1))}, noBreach},
		{"an offer that is not noted", append(sent, offer(11*ms, "a", "safe", 1), offer(12*ms, "b", "safe", 2)), invariant.OneAnswer},
	})
}
