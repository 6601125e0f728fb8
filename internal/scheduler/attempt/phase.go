package attempt

import "forkhead/internal/scheduler/statetable"

// Phase is the state of an attempt.
type Phase uint8

// The phases of an attempt.
const (
	Waiting     Phase = iota // the host is chosen and the offer not written: the connection is being made
	InFlight                 // the offer is written and unanswered: the task may have started
	Unknown                  // withdrawn, or the connection was lost: the task may have started, or may still start
	Placed                   // the host holds the task
	Unreachable              // the task was placed, but the connection is down: the task may still run
	NeverRan                 // the task is known never to have run
	Finished                 // the task may have run, and is known not to run any more
	phaseCount
)

// phaseNames holds the names used in traces, `explore --output json` and docs/design/attempts.md. Stored traces contain
// them, so a name stays the same when its constant is renamed; this also applies to inputNames and effectNames.
var phaseNames = [phaseCount]string{"Waiting", "Out", "Unknown", "Placed", "Silent", "Never", "Over"}

// String returns the phase's name in traces and in docs/design/attempts.md.
func (p Phase) String() string { return phaseNames[p] }

// IsInFlight reports whether the placer awaits an answer to the attempt, even if its offer is not written yet.
func (p Phase) IsInFlight() bool { return p == Waiting || p == InFlight }

// IsLive reports whether, as far as its placer knows, the attempt has a task on its host or may get one there. Live
// attempts count against the spread limits.
func (p Phase) IsLive() bool { return p.IsInFlight() || p == Placed || p == Unreachable }

// MayHaveRun reports whether the attempt may have started its task, or may still start it.
func (p Phase) MayHaveRun() bool { return p != Waiting && p != NeverRan }

// IsSettled reports whether the phase is final: no input changes it.
func (p Phase) IsSettled() bool { return p == NeverRan || p == Finished }

// Input is an event that concerns an attempt.
type Input uint8

// The inputs of an attempt.
const (
	OfferWritten    Input = iota // the offer was written to an open connection
	Accepted                     // the host reports that it holds the task
	Rejected                     // the host reports that the task never ran there and never will
	Ended                        // the host reports that the task ended
	ListedByHost                 // the host reconnected and lists the attempt
	NotListedByHost              // the host reconnected in the same incarnation and never received the attempt
	ConnectionLost               // the connection broke, or could not be made
	HostRestarted                // the host's incarnation ended
	Abandoned                    // the placer stopped waiting for the attempt
	Expired                      // the host was unreachable for so long that the task counts as lost
	Adopted                      // another request has taken over the task that the attempt started
	inputCount
)

// inputNames holds the names of the inputs; see phaseNames.
var inputNames = [inputCount]string{
	"Written", "Accepted", "Declined", "Ended", "Held", "Missing", "Broke", "Died", "CalledOff", "Lapsed", "Adopted",
}

// String returns the input's name in traces and in docs/design/attempts.md.
func (i Input) String() string { return inputNames[i] }

// RejectionInput returns the input that a host's Refused message stands for when the attempt is in phase p. For a
// placed or unreachable attempt, the message answers a query of the placer and states that the host does not have the
// attempt.
func RejectionInput(p Phase) Input {
	if p == Placed || p == Unreachable {
		return NotListedByHost
	}
	return Rejected
}

// Effect is the action that an input requires of the caller besides the change of phase. It has nothing to do with the
// effect of a task (safe, keyed or unsafe).
type Effect uint8

// The effects of inputs.
const (
	NoEffect            Effect = iota
	ReportBound                // the module is notified that the request is placed
	ReportRejected             // the module is notified that the host rejected the offer
	ReportConnectFailed        // the module is notified that no connection was made
	ReportWithdrawn            // the module is notified that the attempt was withdrawn
	ReportLost                 // the module is notified that no answer to the offer came, or that the task was lost
	ReportEnded                // the module is notified how the task ended
	ReportSettled              // the outcome of an unknown attempt is known now: the task's owner may act on it
	Orphaned                   // the host holds the task of an abandoned attempt: the caller adopts or stops it
	Reconnected                // the host of an unreachable attempt is connected again: there is nothing to report
	ProtocolViolation          // no host that follows the protocol causes this input: the caller closes the connection
	effectCount
)

// effectNames holds the names of the effects; see phaseNames.
var effectNames = [effectCount]string{
	"-", "Bind", "Full", "NoConnect", "Drop", "Lose", "Finish", "Settle", "Stray", "Return", "Absurd",
}

// String returns the effect's name in traces and in docs/design/attempts.md.
func (e Effect) String() string { return effectNames[e] }

// transition is the next phase of an attempt and the effect of the input.
type transition struct {
	to     Phase
	effect Effect
}

// table is the complete transition function, with an entry for each phase and input.
var table = [phaseCount][inputCount]transition{
	Waiting: {
		OfferWritten:    {InFlight, NoEffect},
		Accepted:        {Waiting, ProtocolViolation},
		Rejected:        {Waiting, ProtocolViolation},
		Ended:           {Waiting, ProtocolViolation},
		ListedByHost:    {Waiting, ProtocolViolation},
		NotListedByHost: {Waiting, NoEffect},
		ConnectionLost:  {NeverRan, ReportConnectFailed},
		HostRestarted:   {Waiting, NoEffect},
		Abandoned:       {NeverRan, ReportWithdrawn},
		Expired:         {Waiting, NoEffect},
		Adopted:         {Waiting, NoEffect},
	},
	InFlight: {
		OfferWritten:    {InFlight, NoEffect},
		Accepted:        {Placed, ReportBound},
		Rejected:        {NeverRan, ReportRejected},
		Ended:           {Finished, ReportEnded},
		ListedByHost:    {Placed, ReportBound},
		NotListedByHost: {InFlight, NoEffect},
		ConnectionLost:  {Unknown, ReportLost},
		HostRestarted:   {Finished, ReportLost},
		Abandoned:       {Unknown, ReportWithdrawn},
		Expired:         {InFlight, NoEffect},
		Adopted:         {InFlight, NoEffect},
	},
	Unknown: {
		OfferWritten:    {Unknown, NoEffect},
		Accepted:        {Unknown, Orphaned},
		Rejected:        {NeverRan, ReportSettled},
		Ended:           {Finished, ReportSettled},
		ListedByHost:    {Unknown, Orphaned},
		NotListedByHost: {NeverRan, ReportSettled},
		ConnectionLost:  {Unknown, NoEffect},
		HostRestarted:   {Finished, ReportSettled},
		Abandoned:       {Unknown, NoEffect},
		Expired:         {Unknown, NoEffect},
		Adopted:         {Finished, ReportSettled},
	},
	Placed: {
		OfferWritten:    {Placed, NoEffect},
		Accepted:        {Placed, NoEffect},
		Rejected:        {Placed, ProtocolViolation},
		Ended:           {Finished, ReportEnded},
		ListedByHost:    {Placed, NoEffect},
		NotListedByHost: {Finished, ReportLost},
		ConnectionLost:  {Unreachable, NoEffect},
		HostRestarted:   {Finished, ReportLost},
		Abandoned:       {Placed, NoEffect},
		Expired:         {Placed, NoEffect},
		Adopted:         {Placed, NoEffect},
	},
	Unreachable: {
		OfferWritten:    {Unreachable, NoEffect},
		Accepted:        {Placed, Reconnected},
		Rejected:        {Unreachable, ProtocolViolation},
		Ended:           {Finished, ReportEnded},
		ListedByHost:    {Placed, Reconnected},
		NotListedByHost: {Finished, ReportLost},
		ConnectionLost:  {Unreachable, NoEffect},
		HostRestarted:   {Finished, ReportLost},
		Abandoned:       {Unreachable, NoEffect},
		Expired:         {Unknown, ReportLost},
		Adopted:         {Unreachable, NoEffect},
	},
	NeverRan: {
		OfferWritten:    {NeverRan, NoEffect},
		Accepted:        {NeverRan, ProtocolViolation},
		Rejected:        {NeverRan, NoEffect},
		Ended:           {NeverRan, NoEffect},
		ListedByHost:    {NeverRan, ProtocolViolation},
		NotListedByHost: {NeverRan, NoEffect},
		ConnectionLost:  {NeverRan, NoEffect},
		HostRestarted:   {NeverRan, NoEffect},
		Abandoned:       {NeverRan, NoEffect},
		Expired:         {NeverRan, NoEffect},
		Adopted:         {NeverRan, NoEffect},
	},
	Finished: {
		OfferWritten:    {Finished, NoEffect},
		Accepted:        {Finished, NoEffect},
		Rejected:        {Finished, NoEffect},
		Ended:           {Finished, NoEffect},
		ListedByHost:    {Finished, NoEffect},
		NotListedByHost: {Finished, NoEffect},
		ConnectionLost:  {Finished, NoEffect},
		HostRestarted:   {Finished, NoEffect},
		Abandoned:       {Finished, NoEffect},
		Expired:         {Finished, NoEffect},
		Adopted:         {Finished, NoEffect},
	},
}

// Transition returns the phase after an input to an attempt in phase p, and the effect of the input.
func Transition(p Phase, in Input) (Phase, Effect) {
	t := table[p][in]
	return t.to, t.effect
}

// Table returns the transition function as a Markdown table. A cell holds the next phase, unless it is the current one,
// and the effect in parentheses.
func Table() string {
	return statetable.Render(phaseNames[:], inputNames[:], func(in, p int) string {
		t := table[p][in]
		var effect string
		if t.effect != NoEffect {
			effect = "(" + t.effect.String() + ")"
		}
		return statetable.Cell(" ", Phase(p), t.to, effect)
	})
}
