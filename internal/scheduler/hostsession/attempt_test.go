package hostsession

import "testing"

// mayHaveRun reports whether an attempt in a state has started, or may have.
func mayHaveRun(s State) bool { return s == Starting || s == Running || s == Ended }

func isSettled(s State) bool { return s == Rejected || s == Canceled || s == Ended }

// transitionRules are what every entry of the transition table keeps.
var transitionRules = []struct {
	text  string
	holds func(from State, in Input, to State, reply Reply) bool
}{
	{"what may have run stays so", func(from State, _ Input, to State, _ Reply) bool {
		return !mayHaveRun(from) || mayHaveRun(to)
	}},
	{"only acceptance starts", func(from State, in Input, to State, _ Reply) bool {
		return mayHaveRun(from) || !mayHaveRun(to) || in == Accept
	}},
	{"no reply says of what may have run that it never did", func(_ State, _ Input, to State, reply Reply) bool {
		return !mayHaveRun(to) || reply != SendRejected && reply != SendCanceled
	}},
	{"no reply says of what never ran that it ended", func(_ State, _ Input, to State, reply Reply) bool {
		return mayHaveRun(to) || reply != SendEnded
	}},
	{"a query is answered unless the attempt is queued", func(from State, in Input, _ State, reply Reply) bool {
		return in != Query || from == Queued || reply != NoReply
	}},
	{"a settled attempt stays as it is", func(from State, _ Input, to State, _ Reply) bool {
		return !isSettled(from) || to == from
	}},
}

func TestTransitionRules(t *testing.T) {
	for from := range stateCount {
		for in := range inputCount {
			to, reply := Transition(from, in)
			for _, rule := range transitionRules {
				if !rule.holds(from, in, to, reply) {
					t.Errorf("%v on %v becomes %v, replies %v: %s", from, in, to, reply, rule.text)
				}
			}
		}
	}
}
