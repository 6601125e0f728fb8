// Package hostsession holds the states of an attempt and of a placer's session at a host. It is pure
// and total, as package attempt is for the placer's side.
package hostsession

import "forkhead/internal/scheduler/statetable"

// State is what a host has of an attempt.
type State uint8

// The states.
const (
	Absent   State = iota // never seen, or in line when its connection ended: it never ran
	InLine                // not looked at
	Starting              // accepted
	Running
	Refused // it never ran, and was told so
	Called  // called off in line: it never ran
	Ended   // it may have run, and is over
	States
)

var stateNames = [States]string{"Absent", "InLine", "Starting", "Running", "Refused", "Called", "Ended"}

// String names the state.
func (s State) String() string { return stateNames[s] }

// Input is what can happen to it.
type Input uint8

// The inputs.
const (
	Offer    Input = iota // the offer came
	Accept                // looked at, and taken
	Decline               // looked at, and not taken
	Start                 // its start is done
	Finish                // it ended, by itself or by the host
	Withdraw              // its placer calls the offer off
	Stop                  // its placer ends it
	Lost                  // the connection that it came on is over
	Query                 // its placer asks what became of it
	Inputs
)

var inputNames = [Inputs]string{"Offer", "Accept", "Decline", "Start", "Finish", "Withdraw", "Stop", "Lost", "Query"}

// String names the input.
func (i Input) String() string { return inputNames[i] }

// Reply is the frame that follows.
type Reply uint8

// The replies.
const (
	Nothing Reply = iota
	SayRefused
	SayAccepted
	SayRunning
	SayEnded
	SayCalled // Ended, with the word that it never ran
	Replies
)

var replyNames = [Replies]string{"-", "Refused", "Accepted", "Running", "Ended", "Ended(called)"}

// String names the reply.
func (r Reply) String() string { return replyNames[r] }

type step struct {
	to  State
	say Reply
}

// table is the whole transition function.
var table = [States][Inputs]step{
	Absent: {
		Offer: {InLine, Nothing}, Accept: {Absent, Nothing}, Decline: {Absent, Nothing}, Start: {Absent, Nothing},
		Finish: {Absent, Nothing}, Withdraw: {Absent, Nothing}, Stop: {Absent, Nothing}, Lost: {Absent, Nothing},
		Query: {Absent, SayRefused},
	},
	InLine: {
		Offer: {InLine, Nothing}, Accept: {Starting, SayAccepted}, Decline: {Refused, SayRefused}, Start: {InLine, Nothing},
		Finish: {InLine, Nothing}, Withdraw: {Called, SayCalled}, Stop: {Called, SayCalled}, Lost: {Absent, Nothing},
		Query: {InLine, Nothing},
	},
	Starting: {
		Offer: {Starting, Nothing}, Accept: {Starting, Nothing}, Decline: {Starting, Nothing}, Start: {Running, SayRunning},
		Finish: {Ended, SayEnded}, Withdraw: {Ended, SayEnded}, Stop: {Ended, SayEnded}, Lost: {Starting, Nothing},
		Query: {Starting, SayAccepted},
	},
	Running: {
		Offer: {Running, Nothing}, Accept: {Running, Nothing}, Decline: {Running, Nothing}, Start: {Running, Nothing},
		Finish: {Ended, SayEnded}, Withdraw: {Running, SayRunning}, Stop: {Ended, SayEnded}, Lost: {Running, Nothing},
		Query: {Running, SayRunning},
	},
	Refused: settled(Refused, SayRefused),
	Called:  settled(Called, SayCalled),
	Ended:   settled(Ended, SayEnded),
}

// settled is the row of a state that nothing changes: who asks again is told again.
func settled(s State, say Reply) (row [Inputs]step) {
	for in := range row {
		row[in] = step{s, Nothing}
	}
	row[Withdraw], row[Query] = step{s, say}, step{s, say}
	return row
}

// Next is the transition function.
func Next(s State, in Input) (State, Reply) {
	t := table[s][in]
	return t.to, t.say
}

// Holds says whether the attempt takes room: it is listed when its placer greets.
func (s State) Holds() bool { return s == Starting || s == Running }

// Session is a placer's greeted connection.
type Session struct {
	Epoch uint64 // of the placer's life
	Conn  uint32
	Open  bool
}

// Verdict is what a Hello comes to.
type Verdict uint8

// The verdicts.
const (
	Welcome Verdict = iota // and an older connection is closed
	TooOld                 // a later life, or a later connection of this life, is known
)

// Greet judges a Hello against the last session of the same placer. Of two connections the later
// one counts: frames may still stand in the buffers of the older.
func Greet(last Session, epoch uint64, conn uint32) Verdict {
	if epoch < last.Epoch || last.Open && epoch == last.Epoch && conn <= last.Conn {
		return TooOld
	}
	return Welcome
}

// Table writes the transition function as rows of a page.
func Table() string {
	return statetable.Write(stateNames[:], inputNames[:], func(in, s int) string {
		t := table[s][in]
		switch {
		case t.to == State(s) && t.say == Nothing:
			return ""
		case t.say == Nothing:
			return t.to.String()
		case t.to == State(s):
			return "says " + t.say.String()
		}
		return t.to.String() + ", says " + t.say.String()
	})
}
