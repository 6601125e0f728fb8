package rules

import (
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
	clientDisconnected := capture.Event{At: 60 * ms, Type: capture.ClientDisconnected, Submission: "s"}
	end := capture.Event{At: time.Minute, Type: capture.PlacerUp, Placer: 7}
	checkCases(t, testHosts(), []ruleCase{
		{"one outcome", []capture.Event{submit, outcome(50*ms, "placed"), end}, noBreach},
		{"no outcome", []capture.Event{submit, end}, invariant.OneAnswer},
		{"two outcomes", []capture.Event{submit, outcome(50*ms, "refused"), outcome(60*ms, "placed"), end}, invariant.OneAnswer},
		{"late outcome", []capture.Event{submit, outcome(5*time.Second, "placed"), end}, invariant.OneAnswer},
		{"unknown outcome", []capture.Event{submit, outcome(50*ms, "perhaps"), end}, invariant.OneAnswer},
		{"outcome of no submission", []capture.Event{outcome(50*ms, "placed"), end}, invariant.OneAnswer},
		{"read again after a disconnect", []capture.Event{
			submit, outcome(50*ms, "placed"), clientDisconnected, outcome(90*ms, "placed"),
		}, noBreach},
		{"changed after a disconnect", []capture.Event{
			submit, outcome(50*ms, "placed"), clientDisconnected, outcome(90*ms, "failed"),
		}, invariant.OneAnswer},
		{"lost with its placer", []capture.Event{submit, {At: 60 * ms, Type: capture.PlacerDown}, end}, noBreach},
	})
}

// Each task is accounted for, and only a death before its outcome was due excuses a missing one.
func TestAccounts(t *testing.T) {
	submit := func(name string) capture.Event {
		return capture.Event{At: 10 * ms, Type: capture.Submit, Submission: name, Placer: 1, Count: 2, Within: time.Second}
	}
	outcome := func(name string) capture.Event {
		return capture.Event{At: 20 * ms, Type: capture.Outcome, Submission: name, Name: "web/1", Result: "placed", Took: ms}
	}
	placerDown := func(at time.Duration, placer int) capture.Event {
		return capture.Event{At: at, Type: capture.PlacerDown, Placer: placer}
	}
	disconnected := capture.Event{At: 30 * ms, Type: capture.ClientDisconnected, Submission: "cut"}
	resubmit := capture.Event{At: 40 * ms, Type: capture.Submit, Submission: "cut"}
	end := capture.Event{At: time.Minute, Type: capture.PlacerUp, Placer: 9}
	for name, c := range map[string]struct {
		events []capture.Event
		want   Accounts
	}{
		"died before it was due": {
			[]capture.Event{submit("s"), outcome("s"), placerDown(time.Second, 1), end},
			Accounts{Answered: 1, PlacerDied: 1},
		},
		"died when it was over": {
			[]capture.Event{submit("s"), outcome("s"), placerDown(1011*ms, 1), end},
			Accounts{Answered: 1, Unanswered: 1},
		},
		"another placer's death": {
			[]capture.Event{submit("s"), outcome("s"), placerDown(50*ms, 2), end},
			Accounts{Answered: 1, Unanswered: 1},
		},
		"disconnected, not submitted again": {
			[]capture.Event{submit("cut"), outcome("cut"), disconnected, end},
			Accounts{Answered: 1, Disconnected: 1},
		},
		"disconnected, and submitted again": {
			[]capture.Event{submit("cut"), outcome("cut"), disconnected, resubmit, end},
			Accounts{Answered: 1, Unanswered: 1},
		},
		"not due yet": {
			[]capture.Event{submit("s"), outcome("s")},
			Accounts{Answered: 1, NotDue: 1},
		},
	} {
		v := Check(c.events, testConfig())
		if v.Accounts != c.want || v.Accounts.Sum() != v.Tasks || (v.Counts[invariant.OneAnswer] > 0) != (c.want.Unanswered > 0) {
			t.Errorf("%s: %+v, want %+v; %v", name, v.Accounts, c.want, v.Breaches)
		}
	}
}

// An outcome that is settled late is a breach by the least that a client can see, unless the step that settled it ran late;
// what is settled in time has MaxOutcomeDelay to be read.
func TestCheckAnswersSettledLate(t *testing.T) {
	submit := capture.Event{At: 10 * ms, Type: capture.Submit, Submission: "s", Count: 1, Within: time.Second}
	received := capture.Event{At: 9 * ms, Type: capture.Submit, Submission: "s", AtPlacer: true}
	lateStep := capture.Event{At: 2500 * ms, Type: capture.LateStep, AtPlacer: true, Within: 1600 * ms}
	outcome := func(at, took time.Duration) capture.Event {
		return capture.Event{At: at, Type: capture.Outcome, Submission: "s", Name: "web/1", Result: "refused", Took: took}
	}
	checkCases(t, []capture.Event{submit, received}, []ruleCase{
		{"in time", []capture.Event{outcome(1010*ms, time.Second)}, noBreach},
		{"two milliseconds late", []capture.Event{outcome(1012*ms, 1002*ms)}, invariant.OneAnswer},
		{"the step ran late", []capture.Event{lateStep, outcome(2600*ms, 2491*ms)}, noBreach},
		{"the step ran late, and its client read late", []capture.Event{lateStep, outcome(3501*ms, 2491*ms)}, invariant.OneAnswer},
		{"read late while the process stood still", []capture.Event{lateStep, outcome(3500*ms, 900*ms)}, noBreach},
		{"read late, and a moment more", []capture.Event{lateStep, outcome(3501*ms, 900*ms)}, invariant.OneAnswer},
		{"in time, and read late", []capture.Event{outcome(2011*ms, 900*ms)}, invariant.OneAnswer},
	})
}

// An offer that came to a host and that its placer did not note escapes what is judged at the placer's end.
func TestCheckOffersNoted(t *testing.T) {
	sent := atPlacer(offer(10*ms, "a", "safe", 1))
	checkCases(t, append(testHosts(), testPlacer()...), []ruleCase{
		{"an offer that is not noted", append(sent, offer(11*ms, "a", "safe", 1), offer(12*ms, "b", "safe", 2)), invariant.OneAnswer},
	})
}
