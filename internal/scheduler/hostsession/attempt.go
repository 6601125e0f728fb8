// Package hostsession has the states of an attempt at its host, and of a placer's session with the host. It is pure and
// total, as package attempt is for the placer's side; the host emulator and the model checker run on it.
package hostsession

import "forkhead/internal/scheduler/statetable"

// State is the state of an attempt at its host.
type State uint8

// The states.
const (
	Absent   State = iota // never seen, or queued when its connection ended: it never ran
	Queued                // received and not decided
	Starting              // accepted
	Running               // its start is done
	Rejected              // it never ran, and its placer has been sent so
	Canceled              // withdrawn while it was queued: it never ran
	Ended                 // it may have run, and runs no more
	stateCount
)

// stateNames are the names in traces, `explore --output json` and docs/design/attempts.md. Stored traces hold them, so
// they stay as they are where a constant is renamed; the same goes for inputNames and replyNames.
var stateNames = [stateCount]string{"Absent", "InLine", "Starting", "Running", "Refused", "Called", "Ended"}

// String returns the state's name in traces and in docs/design/attempts.md.
func (s State) String() string { return stateNames[s] }

// HoldsCapacity reports whether the attempt takes cores and memory of its host. Such attempts are listed to their placer
// when it connects.
func (s State) HoldsCapacity() bool { return s == Starting || s == Running }

// Input is an event of an attempt at its host.
type Input uint8

// The inputs.
const (
	Offer          Input = iota // the offer was received
	Accept                      // the host decided to take it
	Reject                      // the host decided not to take it
	Start                       // the task's start is done
	Finish                      // the task ended, by itself or by the host
	Withdraw                    // the placer withdraws the offer
	Stop                        // the placer stops the task
	ConnectionLost              // the connection that the offer came on is over
	Query                       // the placer queries what became of the attempt
	inputCount
)

var inputNames = [inputCount]string{"Offer", "Accept", "Decline", "Start", "Finish", "Withdraw", "Stop", "Lost", "Query"}

// String returns the input's name in traces and in docs/design/attempts.md.
func (i Input) String() string { return inputNames[i] }

// Reply is the message that the host sends to the placer after an input.
type Reply uint8

// The replies.
const (
	NoReply      Reply = iota
	SendRejected       // Refused: it never ran and will not
	SendAccepted       // Accepted
	SendRunning        // Running
	SendEnded          // Ended
	SendCanceled       // Ended, with the cause that it never ran
	replyCount
)

var replyNames = [replyCount]string{"-", "Refused", "Accepted", "Running", "Ended", "Ended(called)"}

// String returns the reply's name in traces and in docs/design/attempts.md.
func (r Reply) String() string { return replyNames[r] }

// transition is what an input does to an attempt.
type transition struct {
	to    State
	reply Reply
}

// table is the whole transition function.
var table = [stateCount][inputCount]transition{
	Absent: {
		Offer:          {Queued, NoReply},
		Accept:         {Absent, NoReply},
		Reject:         {Absent, NoReply},
		Start:          {Absent, NoReply},
		Finish:         {Absent, NoReply},
		Withdraw:       {Absent, NoReply},
		Stop:           {Absent, NoReply},
		ConnectionLost: {Absent, NoReply},
		Query:          {Absent, SendRejected},
	},
	Queued: {
		Offer:          {Queued, NoReply},
		Accept:         {Starting, SendAccepted},
		Reject:         {Rejected, SendRejected},
		Start:          {Queued, NoReply},
		Finish:         {Queued, NoReply},
		Withdraw:       {Canceled, SendCanceled},
		Stop:           {Canceled, SendCanceled},
		ConnectionLost: {Absent, NoReply},
		Query:          {Queued, NoReply},
	},
	Starting: {
		Offer:          {Starting, NoReply},
		Accept:         {Starting, NoReply},
		Reject:         {Starting, NoReply},
		Start:          {Running, SendRunning},
		Finish:         {Ended, SendEnded},
		Withdraw:       {Ended, SendEnded},
		Stop:           {Ended, SendEnded},
		ConnectionLost: {Starting, NoReply},
		Query:          {Starting, SendAccepted},
	},
	Running: {
		Offer:          {Running, NoReply},
		Accept:         {Running, NoReply},
		Reject:         {Running, NoReply},
		Start:          {Running, NoReply},
		Finish:         {Ended, SendEnded},
		Withdraw:       {Running, SendRunning},
		Stop:           {Ended, SendEnded},
		ConnectionLost: {Running, NoReply},
		Query:          {Running, SendRunning},
	},
	Rejected: settledRow(Rejected, SendRejected),
	Canceled: settledRow(Canceled, SendCanceled),
	Ended:    settledRow(Ended, SendEnded),
}

// settledRow is the row of a state that no input changes. A placer that withdraws or queries the attempt is sent the
// reply once more.
func settledRow(s State, reply Reply) (row [inputCount]transition) {
	for in := range row {
		row[in] = transition{s, NoReply}
	}
	row[Withdraw], row[Query] = transition{s, reply}, transition{s, reply}
	return row
}

// Transition returns the state that follows an input, and the reply.
func Transition(s State, in Input) (State, Reply) {
	t := table[s][in]
	return t.to, t.reply
}

// Table returns the transition function as a Markdown table: the state that follows, unless it is the present one, and
// the reply.
func Table() string {
	return statetable.Render(stateNames[:], inputNames[:], func(in, s int) string {
		t := table[s][in]
		var reply string
		if t.reply != NoReply {
			reply = "says " + t.reply.String()
		}
		return statetable.Cell(", ", State(s), t.to, reply)
	})
}
