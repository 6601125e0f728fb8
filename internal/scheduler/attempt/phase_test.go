package attempt

import "testing"

// transitionRules are what every entry of the transition table keeps.
var transitionRules = []struct {
	text  string
	holds func(from Phase, in Input, to Phase, effect Effect) bool
}{
	{"a settled attempt stays as it is", func(from Phase, _ Input, to Phase, _ Effect) bool {
		return !from.IsSettled() || to == from
	}},
	{"of what may run only the host's word proves that it never did", func(from Phase, in Input, to Phase, _ Effect) bool {
		return !from.MayHaveRun() || from.IsSettled() || to != NeverRan || in == Rejected || in == NotListedByHost
	}},
	{"settling has an effect", func(from Phase, _ Input, to Phase, effect Effect) bool {
		return from.IsSettled() || !to.IsSettled() || effect != NoEffect
	}},
	{"what was never written has not run", func(from Phase, in Input, to Phase, _ Effect) bool {
		return from != Waiting || !to.MayHaveRun() || in == OfferWritten
	}},
	{"only what is in flight is bound, and then it is placed", func(from Phase, _ Input, to Phase, effect Effect) bool {
		return effect != ReportBound || from == InFlight && to == Placed
	}},
	{"the end of being live has an effect", func(from Phase, _ Input, to Phase, effect Effect) bool {
		return !from.IsLive() || to.IsLive() || effect != NoEffect
	}},
}

func TestTransitionRules(t *testing.T) {
	for from := range phaseCount {
		for in := range inputCount {
			to, effect := Transition(from, in)
			for _, rule := range transitionRules {
				if !rule.holds(from, in, to, effect) {
					t.Errorf("%v on %v becomes %v (%v): %s", from, in, to, effect, rule.text)
				}
			}
		}
	}
}
