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
	maxAttempts = 3 // of one task, in all requests and incarnations
	maxQueue    = 4 // messages in transit on one connection in one direction
)

// state is a state of the whole system: owners, placer, network and hosts. It has no pointers and no padding: all fields
// are single bytes, so that it is hashed, compared and copied as bytes. The order of the fields decides which of several
// symmetric states is the canonical one.
type state struct {
	tasks       [maxTasks]task
	hosts       [maxHosts]host
	incarnation uint8 // of the placer, counted from 0
	faults      uint8 // that have happened
}

// ownerState is the state of a task at its owner.
type ownerState uint8

const (
	ownerWaiting   ownerState = iota // wants the task placed, without a request
	ownerRequested                   // has a placement request open
	ownerPlaced                      // has the task placed
	ownerDone                        // wants nothing any more
)

// outcome is what an owner was notified of, in one incarnation of the placer.
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
	attemptCount  uint8 // attempts made
	requests      uint8 // made in this incarnation of the placer
	lastRejected  bool  // its last request was rejected, not failed
	windowExpired bool  // hosts have forgotten its deduplication key
	attempts      [maxAttempts]taskAttempt
}

type taskAttempt struct {
	phase       attempt.Phase // or forgotten
	host        uint8
	hostEpoch   uint8 // when the offer was written
	conn        uint8 // on which the offer was written
	request     uint8 // of its task, counted from 1
	incarnation uint8 // of the placer that made it
}

// forgotten is the phase of an attempt that an earlier incarnation of the placer made.
const forgotten attempt.Phase = 7

// drainView is what the placer knows of a host's drain.
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

	// At the placer.
	drainView     drainView
	connState     hostconn.State
	conn          uint8
	knownEpoch    uint8
	holdsReceived bool // after Welcome: offers may be written

	// At the host.
	sessionIncarnation uint8 // of the placer
	sessionConn        uint8
	sessionOpen        bool
	attempts           [maxTasks][maxAttempts]hostsession.State

	streams [2]stream // the newest first
}

// stream is one TCP connection: it may be closed at one end and not yet at the other.
type stream struct {
	conn          uint8 // 0: no stream
	incarnation   uint8 // of the placer
	placerOpen    bool
	hostOpen      bool
	broken        bool // nothing gets through any more
	toHostCount   uint8
	toPlacerCount uint8
	toHost        [maxQueue]message
	toPlacer      [maxQueue]message
}

// message is a frame in transit between placer and host.
type message struct {
	kind           messageKind
	attemptOrEpoch uint8    // task<<4 | attempt; of a Welcome the host's epoch
	listed         [2]uint8 // of a Welcome: the attempts that hold capacity at the host, one bit each
}

type messageKind uint8

const (
	helloMessage messageKind = iota + 1
	offerMessage
	withdrawMessage
	stopMessage
	queryMessage
	welcomeMessage // with Holds, which follows it at once
	rejectedMessage
	runningMessage
	endedMessage
	canceledMessage
)

// messageNames are the names in traces, which are stored.
var messageNames = [...]string{
	"", "Hello", "Offer", "Withdraw", "Stop", "Query", "Welcome", "Refused", "Running", "Ended", "Ended(called)",
}

func newMessage(kind messageKind, ti, ai int) message {
	return message{kind: kind, attemptOrEpoch: uint8(ti<<4 | ai)}
}

// attempt returns the indexes of the task and the attempt that a message is about.
func (m message) attempt() (ti, ai int) {
	return int(m.attemptOrEpoch >> 4), int(m.attemptOrEpoch & 15)
}

// lists reports whether a Welcome lists an attempt.
func (m *message) lists(ti, ai int) bool {
	i, bit := listedBit(ti, ai)
	return m.listed[i]&bit != 0
}

func (m *message) list(ti, ai int) {
	i, bit := listedBit(ti, ai)
	m.listed[i] |= bit
}

// listedBit returns where message.listed has an attempt.
func listedBit(ti, ai int) (index int, bit uint8) {
	i := ti*maxAttempts + ai
	return i / 8, 1 << (i % 8)
}

// bytes returns the state as it lies in memory.
func (s *state) bytes() []byte {
	return unsafe.Slice((*byte)(unsafe.Pointer(s)), int(unsafe.Sizeof(*s)))
}

// attemptsMade returns the attempts of the task that were attemptsMade.
func (t *task) attemptsMade() []taskAttempt { return t.attempts[:t.attemptCount] }

// isKnown reports whether the placer's present incarnation knows the attempt.
func (a *taskAttempt) isKnown(incarnation uint8) bool {
	return a.incarnation == incarnation && a.phase != forgotten
}

// stream returns the host's stream with that number, or nil.
func (h *host) stream(conn, incarnation uint8) *stream {
	for i := range h.streams {
		if s := &h.streams[i]; s.conn == conn && s.incarnation == incarnation && conn > 0 {
			return s
		}
	}
	return nil
}

// sendToHost queues a message to the host, unless nothing gets through. It returns false if the queue is full.
func (s *stream) sendToHost(m message) bool {
	return s.broken || !s.hostOpen || push(&s.toHost, &s.toHostCount, m)
}

// sendToPlacer is sendToHost in the other direction.
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

// pop takes the first message of a queue. What is behind it moves up, and the free end is zero, as equal queues must be
// equal bytes.
func pop(queue *[maxQueue]message, count *uint8) message {
	m := queue[0]
	copy(queue[:], queue[1:])
	queue[maxQueue-1] = message{}
	*count--
	return m
}

// discardUndeliverable drops what a closed end will not read, and a stream that is closed at both ends.
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
