package hostsession

import "testing"

// mayHaveRun reports whether the task of an attempt in state s may have started.
func mayHaveRun(s State) bool { return s == Starting || s == Running || s == Ended }

func isSettled(s State) bool { return s == Rejected || s == Canceled || s == Ended }

// transitionRules are the rules that every entry of the transition table follows.
var transitionRules = []struct {
	text  string
	holds func(from State, in Input, to State, reply Reply) bool
}{
	{"an attempt that may have run stays one that may have run", func(from State, _ Input, to State, _ Reply) bool {
		return !mayHaveRun(from) || mayHaveRun(to)
	}},
	{"an attempt may have run only after it was accepted", func(from State, in Input, to State, _ Reply) bool {
		return mayHaveRun(from) || !mayHaveRun(to) || in == Accept
	}},
	{"no reply says of an attempt that may have run that it never ran", func(_ State, _ Input, to State, reply Reply) bool {
		return !mayHaveRun(to) || reply != SendRejected && reply != SendCanceled
	}},
	{"no reply says of an attempt that never ran that it ended", func(_ State, _ Input, to State, reply Reply) bool {
		return mayHaveRun(to) || reply != SendEnded
	}},
	{"a query is answered unless the attempt is queued", func(from State, in Input, _ State, reply Reply) bool {
		return in != Query || from == Queued || reply != NoReply
	}},
	{"a settled attempt stays in its state", func(from State, _ Input, to State, _ Reply) bool {
		return !isSettled(from) || to == from
	}},
}

func TestTransitionTableFollowsRules(t *testing.T) {
	for from := range stateCount {
		for in := range inputCount {
			to, reply := Transition(from, in)
			for _, rule := range transitionRules {
				if !rule.holds(from, in, to, reply) {
					t.Errorf("Transition(%v, %v) = %v, %v; want the rule kept: %s", from, in, to, reply, rule.text)
				}
			}
		}
	}
}
