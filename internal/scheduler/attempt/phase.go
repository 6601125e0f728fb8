package attempt

import "forkhead/internal/scheduler/statetable"

// Phase is the state of an attempt.
type Phase uint8

// The phases.
const (
	Waiting     Phase = iota // chosen and not written: its connection is being made
	InFlight                 // written and unanswered: it may have started
	Unknown                  // withdrawn, or its connection is lost: it may have started, or may yet
	Placed                   // the host holds the task
	Unreachable              // placed, and the connection is down: it may still run
	NeverRan                 // known never to have run
	Finished                 // it may have run, and is known to run no more
	phaseCount
)

// phaseNames are the names in traces, `explore --output json` and docs/design/attempts.md. Stored traces hold them, so
// they stay as they are where a constant is renamed; the same goes for inputNames and effectNames.
var phaseNames = [phaseCount]string{"Waiting", "Out", "Unknown", "Placed", "Silent", "Never", "Over"}

// String returns the phase's name in traces and in docs/design/attempts.md.
func (p Phase) String() string { return phaseNames[p] }

// IsInFlight reports whether an answer to the attempt is awaited.
func (p Phase) IsInFlight() bool { return p == Waiting || p == InFlight }

// IsLive reports whether, as far as its placer knows, the attempt has a task on its host or may get one there. A live
// attempt counts against the spread limits.
func (p Phase) IsLive() bool { return p.IsInFlight() || p == Placed || p == Unreachable }

// MayHaveRun reports whether the attempt may have started its task, or may yet.
func (p Phase) MayHaveRun() bool { return p != Waiting && p != NeverRan }

// IsSettled reports whether nothing more can come of the attempt.
func (p Phase) IsSettled() bool { return p == NeverRan || p == Finished }

// Input is an event of an attempt.
type Input uint8

// The inputs.
const (
	OfferWritten    Input = iota // the offer was written to a live connection
	Accepted                     // the host reports that it holds the task
	Rejected                     // the host reports that the task never ran there and will not
	Ended                        // the host reports that the task ended
	ListedByHost                 // the host, reconnected, lists the attempt
	NotListedByHost              // the host, reconnected in the same incarnation, never saw the attempt
	ConnectionLost               // the connection broke, or could not be made
	HostRestarted                // the host's incarnation ended
	Abandoned                    // the placer no longer waits for the attempt
	Expired                      // unreachable for so long that the task counts as lost
	Adopted                      // another request has taken over the task that the attempt started
	inputCount
)

var inputNames = [inputCount]string{
	"Written", "Accepted", "Declined", "Ended", "Held", "Missing", "Broke", "Died", "CalledOff", "Lapsed", "Adopted",
}

// String returns the input's name in traces and in docs/design/attempts.md.
func (i Input) String() string { return inputNames[i] }

// RejectionInput returns the input that a host's Refused message is for an attempt in a phase: the answer to an offer,
// or to a query about an attempt that the placer has as placed.
func RejectionInput(p Phase) Input {
	if p == Placed || p == Unreachable {
		return NotListedByHost
	}
	return Rejected
}

// Effect is what follows from an input beside the new phase.
type Effect uint8

// The effects.
const (
	NoEffect            Effect = iota // nothing
	ReportBound                       // the module is notified that the request is placed
	ReportRejected                    // the module is notified that the host rejected the offer
	ReportConnectFailed               // the module is notified that no connection was made
	ReportWithdrawn                   // the module is notified that the attempt was withdrawn
	ReportLost                        // the module is notified that the reply broke off or the task was lost
	ReportEnded                       // the module is notified how the task ended
	ReportSettled                     // an unknown attempt is settled: the task's owner may act on it
	Orphaned                          // an abandoned attempt has its task: adopt or stop it
	Reconnected                       // an unreachable attempt is back: there is nothing to report
	ProtocolViolation                 // no host that follows the protocol sends this: its connection is closed
	effectCount
)

var effectNames = [effectCount]string{
	"-", "Bind", "Full", "NoConnect", "Drop", "Lose", "Finish", "Settle", "Stray", "Return", "Absurd",
}

// String returns the effect's name in traces and in docs/design/attempts.md.
func (e Effect) String() string { return effectNames[e] }

// transition is what an input does to an attempt.
type transition struct {
	to     Phase
	effect Effect
}

// table is the whole transition function; it has an entry for each phase and input.
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

// Transition returns the phase that follows an input, and what else comes of it.
func Transition(p Phase, in Input) (Phase, Effect) {
	t := table[p][in]
	return t.to, t.effect
}

// Table returns the transition function as a Markdown table: the phase that follows, unless it is the present one, and
// in parentheses the effect.
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
