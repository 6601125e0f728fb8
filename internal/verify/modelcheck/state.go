package modelcheck

import (
	"unsafe"

	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
	"forkhead/internal/scheduler/hostsession"
)

// Bounds of the arrays in a state.
const (
	maxTasks    = 3
	maxHosts    = 2
	maxAttempts = 3 // attempts of one task, over all requests and incarnations
	maxQueue    = 4 // messages in transit on one connection in one direction
)

// state is a state of the whole system: owners, placer, network and hosts. All fields are single bytes, so a state has
// no pointers and no padding and can be hashed, compared and copied as bytes. The order of the fields decides which of
// several symmetric states is the canonical one.
type state struct {
	tasks       [maxTasks]task
	hosts       [maxHosts]host
	incarnation uint8 // incarnation of the placer, counted from 0
	faults      uint8 // number of faults so far
}

// ownerState is the state of a task at its owner.
type ownerState uint8

const (
	ownerWaiting   ownerState = iota // the owner wants the task placed and has no open request
	ownerRequested                   // the owner has an open placement request
	ownerPlaced                      // the task is placed
	ownerDone                        // the owner does not want the task any more
)

// outcome is the outcome that an owner was notified of by the current incarnation of the placer.
type outcome uint8

const (
	outcomeNone outcome = iota
	outcomePlaced
	outcomeRejected
	outcomeFailed
)

type task struct {
	owner         ownerState
	outcome       outcome
	attemptCount  uint8 // attempts made so far
	requests      uint8 // requests made in the current incarnation of the placer
	lastRejected  bool  // the last request was rejected, not failed
	windowExpired bool  // hosts have forgotten the task's deduplication key
	attempts      [maxAttempts]taskAttempt
}

type taskAttempt struct {
	phase       attempt.Phase // a phase of package attempt, or forgotten
	host        uint8
	hostEpoch   uint8 // the host's epoch when the offer was written or the task adopted
	conn        uint8 // the connection on which the offer was written or the task adopted
	request     uint8 // the task's request, counted from 1
	incarnation uint8 // the placer's incarnation that made the attempt or adopted its task
}

// forgotten is the phase of an attempt that an earlier incarnation of the placer made. It is not a phase of package
// attempt.
const forgotten attempt.Phase = 7

// drainView is the placer's knowledge of a host's drain.
type drainView uint8

const (
	drainUnknown drainView = iota
	drainNotified
	drainGraceOver
)

type host struct {
	up       bool
	epoch    uint8
	draining bool

	// State at the placer.
	drainView     drainView
	connState     hostconn.State
	conn          uint8
	knownEpoch    uint8
	holdsReceived bool // the placer has received the attempts that the host lists after Welcome, and may write offers

	// State at the host.
	sessionIncarnation uint8 // the placer's incarnation
	sessionConn        uint8
	sessionOpen        bool
	attempts           [maxTasks][maxAttempts]hostsession.State

	streams [2]stream // connections, the newest first
}

// stream is a TCP connection. It may be closed at one end and still be open at the other.
type stream struct {
	conn          uint8 // 0: no stream
	incarnation   uint8 // the placer's incarnation
	placerOpen    bool
	hostOpen      bool
	broken        bool // the connection is broken: no message is delivered any more
	toHostCount   uint8
	toPlacerCount uint8
	toHost        [maxQueue]message
	toPlacer      [maxQueue]message
}

// message is a frame in transit between placer and host.
type message struct {
	kind           messageKind
	attemptOrEpoch uint8    // task<<4 | attempt; in a Welcome, the host's epoch
	listed         [2]uint8 // in a Welcome, the attempts that hold capacity at the host, one bit each
}

type messageKind uint8

const (
	helloMessage messageKind = iota + 1
	offerMessage
	withdrawMessage
	stopMessage
	queryMessage
	welcomeMessage // a Welcome and the Holds that follows it
	rejectedMessage
	runningMessage
	endedMessage
	canceledMessage
)

// messageNames are the names of messages in traces. Traces are stored, so the names stay.
var messageNames = [...]string{
	"", "Hello", "Offer", "Withdraw", "Stop", "Query", "Welcome", "Refused", "Running", "Ended", "Ended(called)",
}

func newMessage(kind messageKind, ti, ai int) message {
	return message{kind: kind, attemptOrEpoch: uint8(ti<<4 | ai)}
}

// attempt returns the indexes of the task and the attempt that a message refers to.
func (m message) attempt() (ti, ai int) {
	return int(m.attemptOrEpoch >> 4), int(m.attemptOrEpoch & 15)
}

// lists reports whether a Welcome lists an attempt.
func (m *message) lists(ti, ai int) bool {
	i, bit := listedBit(ti, ai)
	return m.listed[i]&bit != 0
}

// list adds an attempt to the ones that a Welcome lists.
func (m *message) list(ti, ai int) {
	i, bit := listedBit(ti, ai)
	m.listed[i] |= bit
}

// listedBit returns the byte and the bit of message.listed that stand for an attempt.
func listedBit(ti, ai int) (index int, bit uint8) {
	i := ti*maxAttempts + ai
	return i / 8, 1 << (i % 8)
}

// bytes returns the memory of the state, without copying it.
func (s *state) bytes() []byte {
	return unsafe.Slice((*byte)(unsafe.Pointer(s)), int(unsafe.Sizeof(*s)))
}

// attemptsMade returns the attempts of the task that have been made so far.
func (t *task) attemptsMade() []taskAttempt { return t.attempts[:t.attemptCount] }

// isKnown reports whether the placer knows the attempt. The parameter incarnation is the placer's current one.
func (a *taskAttempt) isKnown(incarnation uint8) bool {
	return a.incarnation == incarnation && a.phase != forgotten
}

// stream returns the host's stream with a connection number of a placer's incarnation, or nil.
func (h *host) stream(conn, incarnation uint8) *stream {
	for i := range h.streams {
		if s := &h.streams[i]; s.conn == conn && s.incarnation == incarnation && conn > 0 {
			return s
		}
	}
	return nil
}

// sendToHost queues a message to the host, or drops it if the host cannot receive it. It returns false if the queue is
// full.
func (s *stream) sendToHost(m message) bool {
	return s.broken || !s.hostOpen || push(&s.toHost, &s.toHostCount, m)
}

// sendToPlacer queues a message to the placer, as sendToHost does in the other direction.
func (s *stream) sendToPlacer(m message) bool {
	return s.broken || !s.placerOpen || push(&s.toPlacer, &s.toPlacerCount, m)
}

func push(queue *[maxQueue]message, count *uint8, m message) bool {
	if int(*count) == len(queue) {
		return false
	}
	queue[*count] = m
	*count++
	return true
}

// pop removes the first message of a queue and returns it. The other messages move up and the free slot is zeroed,
// because equal queues must have equal bytes.
func pop(queue *[maxQueue]message, count *uint8) message {
	m := queue[0]
	copy(queue[:], queue[1:])
	queue[maxQueue-1] = message{}
	*count--
	return m
}

// discardUndeliverable drops the messages that a closed end will not read, and clears a stream that is closed at both
// ends.
func (s *stream) discardUndeliverable() {
	if !s.placerOpen && !s.hostOpen {
		*s = stream{}
		return
	}
	if !s.hostOpen {
		s.toHost, s.toHostCount = [maxQueue]message{}, 0
	}
	if !s.placerOpen {
		s.toPlacer, s.toPlacerCount = [maxQueue]message{}, 0
	}
}
