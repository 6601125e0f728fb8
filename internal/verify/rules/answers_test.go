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
		{"same outcome twice", []capture.Event{submit, outcome(50*ms, "placed"), outcome(60*ms, "placed"), end}, invariant.OneAnswer},
		{"outcomes of more tasks than were submitted", []capture.Event{
			submit, outcome(50*ms, "placed"),
			{At: 60 * ms, Type: capture.Outcome, Submission: "s", Name: "web/2", Result: "placed"},
		}, invariant.OneAnswer},
		{"at the latest allowed time", []capture.Event{submit, outcome(2010*ms, "placed"), end}, noBreach},
		{"1ms after the latest allowed time", []capture.Event{submit, outcome(2011*ms, "placed"), end}, invariant.OneAnswer},
		{"late after a disconnect", []capture.Event{submit, clientDisconnected, outcome(5*time.Second, "placed"), end}, noBreach},
		{"late, before a disconnect", []capture.Event{
			submit, outcome(5*time.Second, "placed"), disconnect(5001*ms, "s"), end,
		}, invariant.OneAnswer},
		{"unknown outcome", []capture.Event{submit, outcome(50*ms, "perhaps"), end}, invariant.OneAnswer},
		{"disconnect of an unknown submission", []capture.Event{submit, outcome(50*ms, "placed"), disconnect(60*ms, "x"), end}, noBreach},
		{"submission captured only at its placer", []capture.Event{
			submit, outcome(50*ms, "placed"), {At: 9 * ms, Type: capture.Submit, Submission: "x", AtPlacer: true}, end,
		}, noBreach},
		{"outcome of an unknown submission", []capture.Event{outcome(50*ms, "placed"), end}, invariant.OneAnswer},
		{"read again after a disconnect", []capture.Event{
			submit, outcome(50*ms, "placed"), clientDisconnected, outcome(90*ms, "placed"),
		}, noBreach},
		{"another outcome after a disconnect", []capture.Event{
			submit, outcome(50*ms, "placed"), clientDisconnected, outcome(90*ms, "failed"),
		}, invariant.OneAnswer},
		{"missing after the death of its placer", []capture.Event{submit, placerDown(60*ms, 0), end}, noBreach},
	})
}

// After a restart, a placer that keeps accepted requests may repeat an outcome or answer late.
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
		{"late, and its placer, which is not durable, was down", wasDown, invariant.OneAnswer},
	})
}

// submitTwo returns a submission of two tasks to placer 1 at 10ms, due at 1010ms.
func submitTwo(name string) capture.Event {
	return capture.Event{At: 10 * ms, Type: capture.Submit, Submission: name, Placer: 1, Count: 2, Within: time.Second}
}

// oneOutcome returns the outcome of one task of a submission, read at 20ms.
func oneOutcome(name string) capture.Event {
	return capture.Event{At: 20 * ms, Type: capture.Outcome, Submission: name, Name: "web/1", Result: "placed", Took: ms}
}

func placerDown(at time.Duration, placer int) capture.Event {
	return capture.Event{At: at, Type: capture.PlacerDown, Placer: placer}
}

// disconnect returns the event that the stream of a submission's outcomes to its client ended.
func disconnect(at time.Duration, name string) capture.Event {
	return capture.Event{At: at, Type: capture.ClientDisconnected, Submission: name}
}

// endAt returns an event that concerns no submission, to end a capture at a given time.
func endAt(at time.Duration) capture.Event {
	return capture.Event{At: at, Type: capture.PlacerUp, Placer: 9}
}

// accountsCase is a trace with the accounts of its tasks.
type accountsCase struct {
	name   string
	events []capture.Event
	want   Accounts
}

// checkAccounts checks, for each case, that the accounts are as wanted, that they cover all tasks, and that there is a
// breach if and only if a task is unanswered.
func checkAccounts(t *testing.T, cases []accountsCase) {
	t.Helper()
	for _, c := range cases {
		v := Check(c.events, testConfig())
		if v.Accounts != c.want || v.Accounts.Sum() != v.Tasks || (v.Counts[invariant.OneAnswer] > 0) != (c.want.Unanswered > 0) {
			t.Errorf("%s: accounts %+v of %d tasks, want %+v; breaches, wanted only for unanswered tasks: %+v",
				c.name, v.Accounts, v.Tasks, c.want, v.Breaches)
		}
	}
}

// A missing outcome is excused by the death of its placer before the outcome was due, by a client that did not submit
// again after a disconnect, or by the end of the capture.
func TestAccountsExcuseMissingOutcomes(t *testing.T) {
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
		{"died 1ms after it was due", []capture.Event{
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
		{"disconnected when it was submitted again", []capture.Event{
			submit, answer, disconnect(40*ms, "s"), resubmit, end,
		}, Accounts{Answered: 1, Unanswered: 1}},
		{"disconnected after it was submitted again", []capture.Event{
			submit, answer, resubmit, disconnect(41*ms, "s"), end,
		}, Accounts{Answered: 1, Disconnected: 1}},
		{"disconnected before and after it was submitted again", []capture.Event{
			submit, answer, disconnect(30*ms, "s"), resubmit, disconnect(41*ms, "s"), end,
		}, Accounts{Answered: 1, Disconnected: 1}},
		{"not due at the last event", []capture.Event{submit, answer}, Accounts{Answered: 1, NotDue: 1}},
		{"delay ends with the capture", []capture.Event{submit, answer, endAt(2010 * ms)}, Accounts{Answered: 1, NotDue: 1}},
		{"delay ends 1ms before the capture", []capture.Event{submit, answer, endAt(2011 * ms)}, Accounts{Answered: 1, Unanswered: 1}},
	})
}

// The accounts of two submissions are added.
func TestAccountsOfTwoSubmissionsAreAdded(t *testing.T) {
	both, end := []capture.Event{submitTwo("s"), submitTwo("s2"), oneOutcome("s")}, endAt(time.Minute)
	with := func(events ...capture.Event) []capture.Event { return slices.Concat(both, events) }
	checkAccounts(t, []accountsCase{
		{"answered, and not due", with(oneOutcome("s2")), Accounts{Answered: 2, NotDue: 2}},
		{"died", with(placerDown(50*ms, 1), end), Accounts{Answered: 1, PlacerDied: 3}},
		{"disconnected", with(disconnect(50*ms, "s"), disconnect(50*ms, "s2"), end), Accounts{Answered: 1, Disconnected: 3}},
		{"unanswered", with(end), Accounts{Answered: 1, Unanswered: 3}},
	})
}

// An outcome that is read twice counts once, and no more tasks count as answered than were submitted.
func TestCheckCountsEachOutcomeOnce(t *testing.T) {
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
		t.Errorf("Check: outcomes %v, want %v", v.Outcomes, want)
	}
	if v.Tasks != 2 || v.Accounts.Answered != 2 || v.Offers != 3 || v.Rejected != 2 || v.HostIncarnations != 2 {
		t.Errorf("Check = %+v, want 2 tasks, 2 answered, 3 offers, 2 of them rejected, and 2 incarnations of hosts", v)
	}
}

// An outcome that is decided later than decisionTolerance after its timeout is a breach, unless the step that decided
// it ran late or its placer was down. An outcome that is decided in time has MaxOutcomeDelay to be read.
func TestCheckAnswersDecidedLate(t *testing.T) {
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
		{"1ns past the tolerance", []capture.Event{outcome(1010*ms, 1001*ms+1)}, invariant.OneAnswer},
		{"two milliseconds late", []capture.Event{outcome(1012*ms, 1002*ms)}, invariant.OneAnswer},
		{"decided late by a late step", []capture.Event{lateStep, outcome(2600*ms, 2491*ms)}, noBreach},
		{"decided late by a late step, and read 1ms too late", []capture.Event{lateStep, outcome(3501*ms, 2491*ms)}, invariant.OneAnswer},
		{"read late while the process was stalled", []capture.Event{lateStep, outcome(3500*ms, 900*ms)}, noBreach},
		{"read late, the second of two late steps due first", []capture.Event{
			late(2000*ms, 2500*ms), late(1100*ms, 3000*ms), outcome(3900*ms, 900*ms),
		}, noBreach},
		{"read late, 1ms more than the stall", []capture.Event{lateStep, outcome(3501*ms, 900*ms)}, invariant.OneAnswer},
		{"decided in time, read at the latest allowed time", []capture.Event{outcome(2010*ms, 900*ms)}, noBreach},
		{"decided in time, read 1ms after the latest allowed time", []capture.Event{outcome(2011*ms, 900*ms)}, invariant.OneAnswer},
		{"a late step was due when the outcome was", []capture.Event{late(1009*ms, 1500*ms), outcome(1600*ms, 1491*ms)}, noBreach},
		{"a late step was due 1ms after the outcome", []capture.Event{late(1010*ms, 1500*ms), outcome(1600*ms, 1491*ms)}, invariant.OneAnswer},
		{"a late step ran when the outcome was due", []capture.Event{late(900*ms, 1009*ms), outcome(1600*ms, 1491*ms)}, noBreach},
		{"a late step ran 1ms before the outcome was due", []capture.Event{late(900*ms, 1008*ms), outcome(1600*ms, 1491*ms)}, invariant.OneAnswer},
		{"another placer's step ran late", []capture.Event{
			{At: 2500 * ms, Type: capture.LateStep, AtPlacer: true, Within: 1600 * ms, Placer: 1}, outcome(2600*ms, 2491*ms),
		}, invariant.OneAnswer},
		{"a step of its placer, which is not the first, ran late", []capture.Event{
			{At: 10 * ms, Type: capture.Submit, Submission: "of 1", Placer: 1, Count: 1, Within: time.Second},
			{At: 9 * ms, Type: capture.Submit, Submission: "of 1", Placer: 1, AtPlacer: true},
			{At: 2500 * ms, Type: capture.LateStep, Placer: 1, AtPlacer: true, Within: 1600 * ms},
			{At: 1600 * ms, Type: capture.Outcome, Submission: "of 1", Name: "web/1", Result: "refused", Took: 1491 * ms},
		}, noBreach},
		{"its placer died when it was due", []capture.Event{
			placerDown(1009*ms, 0), outcome(1600*ms, 1491*ms),
		}, noBreach},
		{"its placer died 1ms after it was due", []capture.Event{
			placerDown(1010*ms, 0), outcome(1600*ms, 1491*ms),
		}, invariant.OneAnswer},
		{"its placer recovered when it was due", []capture.Event{
			placerDown(20*ms, 0), {At: 909 * ms, Type: capture.PlacerUp}, outcome(1600*ms, 1491*ms),
		}, noBreach},
		{"its placer recovered 1ms before it was due", []capture.Event{
			placerDown(20*ms, 0), {At: 908 * ms, Type: capture.PlacerUp}, outcome(1600*ms, 1491*ms),
		}, invariant.OneAnswer},
		{"its placer received it again later", []capture.Event{
			{At: 500 * ms, Type: capture.Submit, Submission: "s", AtPlacer: true}, late(1400*ms, 1500*ms), outcome(1600*ms, 1491*ms),
		}, invariant.OneAnswer},
	})
}

// If the capture has the time at which the placer received the submission, the outcome has MaxOutcomeDelay from its
// decision.
func TestCheckAnswersReadLate(t *testing.T) {
	submit := capture.Event{At: 10 * ms, Type: capture.Submit, Submission: "s", Count: 1, Within: time.Second}
	received := capture.Event{At: 500 * ms, Type: capture.Submit, Submission: "s", AtPlacer: true}
	outcome := func(at, took time.Duration) capture.Event {
		return capture.Event{At: at, Type: capture.Outcome, Submission: "s", Name: "web/1", Result: "refused", Took: took}
	}
	checkCases(t, []capture.Event{submit}, []ruleCase{
		{"at the latest allowed time", []capture.Event{received, outcome(2400*ms, 900*ms)}, noBreach},
		{"1ms after the latest allowed time", []capture.Event{received, outcome(2401*ms, 900*ms)}, invariant.OneAnswer},
		{"decided at once, at the latest allowed time", []capture.Event{received, outcome(2010*ms, 100*ms)}, noBreach},
		{"decided at once, 1ms after the latest allowed time", []capture.Event{received, outcome(2011*ms, 100*ms)}, invariant.OneAnswer},
		{"received in the first nanosecond, decided late", []capture.Event{
			{At: 1, Type: capture.Submit, Submission: "s", AtPlacer: true}, outcome(2011*ms, 1012*ms),
		}, invariant.OneAnswer},
		{"receipt not captured, at the latest allowed time", []capture.Event{outcome(2010*ms, 1500*ms)}, noBreach},
		{"receipt not captured, 1ms after the latest allowed time", []capture.Event{outcome(2011*ms, 1500*ms)}, invariant.OneAnswer},
	})
}

// An offer that reached a host but is missing in the capture at its placer is a breach: the checks at the placer would
// miss it.
func TestCheckOffersCapturedAtPlacer(t *testing.T) {
	sent := atPlacer(offer(10*ms, "a", "safe", 1))
	held := atPlacer(message(20*ms, capture.Holds, "a", 1))
	withoutHost := offer(10*ms, "a", "safe", 1)
	withoutHost.Epoch = 0
	checkCases(t, append(testHosts(), testPlacer()...), []ruleCase{
		{"an offer captured at its placer", append(sent, offer(11*ms, "a", "safe", 1)), noBreach},
		{"an offer captured at its placer without its host's incarnation", append(
			atPlacer(withoutHost), offer(11*ms, "a", "safe", 1),
		), noBreach},
		{"an offer of an attempt that its host reported as held", append(held, offer(11*ms, "a", "safe", 1)), noBreach},
		{"an offer of an incarnation that is not captured", []capture.Event{ofPlacer(0, 2, offer(11*ms, "a", "safe", 1))}, noBreach},
		{"an offer of an incarnation that is not captured, of an attempt of one that is", []capture.Event{
			sentBy(2, offer(11*ms, "a", "safe", 1)),
		}, noBreach},
		{"an offer of another placer, which is not captured", []capture.Event{ofPlacer(1, 1, offer(11*ms, "a", "safe", 1))}, noBreach},
		{"an offer not captured at its placer", append(sent, offer(11*ms, "a", "safe", 1), offer(12*ms, "b", "safe", 2)), invariant.OneAnswer},
	})
}
