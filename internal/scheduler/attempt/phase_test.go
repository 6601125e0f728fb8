package attempt

import "testing"

// transitionRules are the rules that every entry of the transition table follows.
var transitionRules = []struct {
	text  string
	holds func(from Phase, in Input, to Phase, effect Effect) bool
}{
	{"a settled attempt stays in its phase", func(from Phase, _ Input, to Phase, _ Effect) bool {
		return !from.IsSettled() || to == from
	}},
	{"an attempt that may have run becomes NeverRan only on a report of its host", func(from Phase, in Input, to Phase, _ Effect) bool {
		return !from.MayHaveRun() || from.IsSettled() || to != NeverRan || in == Rejected || in == NotListedByHost
	}},
	{"an input that settles an attempt has an effect", func(from Phase, _ Input, to Phase, effect Effect) bool {
		return from.IsSettled() || !to.IsSettled() || effect != NoEffect
	}},
	{"an attempt may have run only after its offer was written", func(from Phase, in Input, to Phase, _ Effect) bool {
		return from != Waiting || !to.MayHaveRun() || in == OfferWritten
	}},
	{"only an attempt in flight is reported as bound, and it becomes Placed", func(from Phase, _ Input, to Phase, effect Effect) bool {
		return effect != ReportBound || from == InFlight && to == Placed
	}},
	{"a transition out of the live phases has an effect", func(from Phase, _ Input, to Phase, effect Effect) bool {
		return !from.IsLive() || to.IsLive() || effect != NoEffect
	}},
}

func TestTransitionTableFollowsRules(t *testing.T) {
	for from := range phaseCount {
		for in := range inputCount {
			to, effect := Transition(from, in)
			for _, rule := range transitionRules {
				if !rule.holds(from, in, to, effect) {
					t.Errorf("Transition(%v, %v) = %v, %v; want the rule kept: %s", from, in, to, effect, rule.text)
				}
			}
		}
	}
}
