// Package hostsession holds the states of an attempt and of a placer's session at a host. It is pure
// and total, as package attempt is for the placer's side.
package hostsession

import "forkhead/internal/scheduler/statetable"

// State is what a host has of an attempt.
type State uint8

// The states.
const (
	Absent   State = iota // never seen, or in line when its connection ended: it never ran
	Queued                // not looked at
	Starting              // accepted
	Running
	Rejected // it never ran, and was told so
	Canceled // called off in line: it never ran
	Ended    // it may have run, and is over
	StateCount
)

var stateNames = [StateCount]string{"Absent", "InLine", "Starting", "Running", "Refused", "Called", "Ended"}

// String names the state.
func (s State) String() string { return stateNames[s] }

// Input is what can happen to it.
type Input uint8

// The inputs.
const (
	Offer          Input = iota // the offer came
	Accept                      // looked at, and taken
	Reject                      // looked at, and not taken
	Start                       // its start is done
	Finish                      // it ended, by itself or by the host
	Withdraw                    // its placer calls the offer off
	Stop                        // its placer ends it
	ConnectionLost              // the connection that it came on is over
	Query                       // its placer asks what became of it
	InputCount
)

var inputNames = [InputCount]string{"Offer", "Accept", "Decline", "Start", "Finish", "Withdraw", "Stop", "Lost", "Query"}

// String names the input.
func (i Input) String() string { return inputNames[i] }

// Reply is the frame that follows.
type Reply uint8

// The replies.
const (
	NoReply Reply = iota
	SendRejected
	SendAccepted
	SendRunning
	SendEnded
	SendCanceled // Ended, with the word that it never ran
	ReplyCount
)

var replyNames = [ReplyCount]string{"-", "Refused", "Accepted", "Running", "Ended", "Ended(called)"}

// String names the reply.
func (r Reply) String() string { return replyNames[r] }

type step struct {
	to  State
	say Reply
}

// table is the whole transition function.
var table = [StateCount][InputCount]step{
	Absent: {
		Offer: {Queued, NoReply}, Accept: {Absent, NoReply}, Reject: {Absent, NoReply}, Start: {Absent, NoReply},
		Finish: {Absent, NoReply}, Withdraw: {Absent, NoReply}, Stop: {Absent, NoReply}, ConnectionLost: {Absent, NoReply},
		Query: {Absent, SendRejected},
	},
	Queued: {
		Offer: {Queued, NoReply}, Accept: {Starting, SendAccepted}, Reject: {Rejected, SendRejected}, Start: {Queued, NoReply},
		Finish: {Queued, NoReply}, Withdraw: {Canceled, SendCanceled}, Stop: {Canceled, SendCanceled}, ConnectionLost: {Absent, NoReply},
		Query: {Queued, NoReply},
	},
	Starting: {
		Offer: {Starting, NoReply}, Accept: {Starting, NoReply}, Reject: {Starting, NoReply}, Start: {Running, SendRunning},
		Finish: {Ended, SendEnded}, Withdraw: {Ended, SendEnded}, Stop: {Ended, SendEnded}, ConnectionLost: {Starting, NoReply},
		Query: {Starting, SendAccepted},
	},
	Running: {
		Offer: {Running, NoReply}, Accept: {Running, NoReply}, Reject: {Running, NoReply}, Start: {Running, NoReply},
		Finish: {Ended, SendEnded}, Withdraw: {Running, SendRunning}, Stop: {Ended, SendEnded}, ConnectionLost: {Running, NoReply},
		Query: {Running, SendRunning},
	},
	Rejected: settled(Rejected, SendRejected),
	Canceled: settled(Canceled, SendCanceled),
	Ended:    settled(Ended, SendEnded),
}

// settled is the row of a state that nothing changes: who asks again is told again.
func settled(s State, say Reply) (row [InputCount]step) {
	for in := range row {
		row[in] = step{s, NoReply}
	}
	row[Withdraw], row[Query] = step{s, say}, step{s, say}
	return row
}

// Transition is the transition function.
func Transition(s State, in Input) (State, Reply) {
	t := table[s][in]
	return t.to, t.say
}

// HoldsCapacity says whether the attempt takes room: it is listed when its placer greets.
func (s State) HoldsCapacity() bool { return s == Starting || s == Running }

// Session is a placer's greeted connection.
type Session struct {
	Epoch uint64 // of the placer's life
	Conn  uint32
	Connected  bool
}

// HelloResult is what a Hello comes to.
type HelloResult uint8

// The verdicts.
const (
	HelloAccepted HelloResult = iota // and an older connection is closed
	HelloStale                  // a later life, or a later connection of this life, is known
)

// CheckHello judges a Hello against the last session of the same placer. Of two connections the later
// one counts: frames may still stand in the buffers of the older.
func CheckHello(last Session, epoch uint64, conn uint32) HelloResult {
	if epoch < last.Epoch || last.Connected && epoch == last.Epoch && conn <= last.Conn {
		return HelloStale
	}
	return HelloAccepted
}

// Table writes the transition function as rows of a page.
func Table() string {
	return statetable.Render(stateNames[:], inputNames[:], func(in, s int) string {
		t := table[s][in]
		switch {
		case t.to == State(s) && t.say == NoReply:
			return ""
		case t.say == NoReply:
			return t.to.String()
		case t.to == State(s):
			return "says " + t.say.String()
		}
		return t.to.String() + ", says " + t.say.String()
	})
}
