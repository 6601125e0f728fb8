// Package hostsession defines the states of an attempt at its host, and of a placer's session with the host. Package
// attempt is its counterpart on the placer's side. Like that package, hostsession is pure, and its table has a
// transition for each state and input. The host emulator and the model checker use it.
package hostsession

import "forkhead/internal/scheduler/statetable"

// State is the state of an attempt at its host.
type State uint8

// The states of an attempt at its host.
const (
	Absent   State = iota // the offer was never received, or was queued when its connection ended: the task never ran
	Queued                // the offer was received and is not decided
	Starting              // the offer was accepted, and the task is being started
	Running               // the task has started
	Rejected              // the task never ran, and the placer was sent Refused
	Canceled              // the offer was withdrawn while it was queued: the task never ran
	Ended                 // the task may have run, and no longer runs
	stateCount
)

// stateNames holds the names used in traces, `explore --output json` and docs/design/attempts.md. Stored traces contain
// them, so a name stays the same when its constant is renamed; this also applies to inputNames and replyNames.
var stateNames = [stateCount]string{"Absent", "InLine", "Starting", "Running", "Refused", "Called", "Ended"}

// String returns the state's name in traces and in docs/design/attempts.md.
func (s State) String() string { return stateNames[s] }

// HoldsCapacity reports whether the attempt uses cores and memory of its host. The host lists such attempts to their
// placer when the placer connects.
func (s State) HoldsCapacity() bool { return s == Starting || s == Running }

// Input is an event that concerns an attempt at its host.
type Input uint8

// The inputs of an attempt.
const (
	Offer          Input = iota // the offer was received
	Accept                      // the host decided to accept the offer
	Reject                      // the host decided to reject the offer
	Start                       // the task has started
	Finish                      // the task ended by itself or was ended by the host
	Withdraw                    // the placer withdraws the offer
	Stop                        // the placer stops the task
	ConnectionLost              // the connection on which the offer was received ended
	Query                       // the placer queries the state of the attempt
	inputCount
)

// inputNames holds the names of the inputs; see stateNames.
var inputNames = [inputCount]string{"Offer", "Accept", "Decline", "Start", "Finish", "Withdraw", "Stop", "Lost", "Query"}

// String returns the input's name in traces and in docs/design/attempts.md.
func (i Input) String() string { return inputNames[i] }

// Reply is the message that the host sends to the placer after an input.
type Reply uint8

// The replies to inputs.
const (
	NoReply      Reply = iota
	SendRejected       // Refused: the task never ran and will not run
	SendAccepted       // Accepted
	SendRunning        // Running
	SendEnded          // Ended
	SendCanceled       // Ended, with the result that the task never ran
	replyCount
)

// replyNames holds the names of the replies; see stateNames.
var replyNames = [replyCount]string{"-", "Refused", "Accepted", "Running", "Ended", "Ended(called)"}

// String returns the reply's name in traces and in docs/design/attempts.md.
func (r Reply) String() string { return replyNames[r] }

// transition is the next state of an attempt and the reply to the input.
type transition struct {
	to    State
	reply Reply
}

// table is the complete transition function, with an entry for each state and input.
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

// settledRow returns the row of a state that no input changes. The reply is sent again to a placer that withdraws or
// queries the attempt.
func settledRow(s State, reply Reply) (row [inputCount]transition) {
	for in := range row {
		row[in] = transition{s, NoReply}
	}
	row[Withdraw], row[Query] = transition{s, reply}, transition{s, reply}
	return row
}

// Transition returns the state after an input to an attempt in state s, and the reply to the input.
func Transition(s State, in Input) (State, Reply) {
	t := table[s][in]
	return t.to, t.reply
}

// Table returns the transition function as a Markdown table. A cell holds the next state, unless it is the current one,
// and the reply.
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
