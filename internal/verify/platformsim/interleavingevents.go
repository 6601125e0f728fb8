package platformsim

import (
	"fmt"
	"time"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// eventKind is the kind of an event in an interleaving. Its value is the name that is printed with a breach.
type eventKind string

// waitTime is the time by which eventWait advances the clock. It is at least as long as the core's shortest delays,
// minRedialBackoff and probeRetryAfter, and short enough that several waits fit in requestTimeout.
const waitTime = 120 * time.Millisecond

// The kinds of events.
const (
	eventWait     eventKind = "wait"
	eventDeadline eventKind = "deadline" // the request's deadline passes
	eventDrain    eventKind = "drain"    // the first host drains

	eventOwnerDisconnected eventKind = "owner-gone"
	eventCancel            eventKind = "give-up"
	eventHandOver          eventKind = "hand-over"

	// Events of a connection to a host.
	eventEstablished  eventKind = "made"
	eventRefused      eventKind = "refused"
	eventDisconnected eventKind = "gone"

	// Messages of a host about an attempt.
	eventBound    eventKind = "up"
	eventRejected eventKind = "full"
	eventFailed   eventKind = "error"
	eventEnded    eventKind = "end"
	eventReset    eventKind = "cut"
)

// interleavingEvent is one event of an interleaving.
type interleavingEvent struct {
	kind    eventKind
	conn    platformcore.ConnectionID // the connection, for events of a connection
	attempt int                       // the index of the attempt, for messages about an attempt
}

// String returns the event as it is printed with a breach.
func (e interleavingEvent) String() string {
	switch e.kind {
	case eventEstablished, eventRefused, eventDisconnected:
		return fmt.Sprintf("%s %d", e.kind, e.conn)
	case eventBound, eventRejected, eventFailed, eventEnded, eventReset:
		return fmt.Sprintf("%s %d", e.kind, e.attempt)
	}
	return string(e.kind)
}

// possibleEvents returns the events that can happen next.
func (run *interleavingRun) possibleEvents() []interleavingEvent {
	all := []interleavingEvent{{kind: eventWait}}
	all = append(all, run.ownerEvents()...)
	if run.w.now < run.r.createdAt+requestTimeout {
		all = append(all, interleavingEvent{kind: eventDeadline})
	}
	for _, c := range run.p.sortedConns() {
		if c.established {
			all = append(all, interleavingEvent{kind: eventDisconnected, conn: c.id})
		} else {
			all = append(all, interleavingEvent{kind: eventEstablished, conn: c.id}, interleavingEvent{kind: eventRefused, conn: c.id})
		}
	}
	for i, t := range run.r.attempts {
		all = append(all, attemptEvents(i, t)...)
	}
	if run.p.hostStates[1].state == platform.InService {
		all = append(all, interleavingEvent{kind: eventDrain})
	}
	return all
}

// ownerEvents returns the possible events of the owner.
func (run *interleavingRun) ownerEvents() []interleavingEvent {
	if !run.r.owner.open {
		return nil
	}
	all := []interleavingEvent{{kind: eventOwnerDisconnected}}
	if run.r.finalMessage == "" && !run.r.cancelSent {
		all = append(all, interleavingEvent{kind: eventCancel})
	}
	if run.r.answer == platform.TypeBound && run.r.finalMessage == "" {
		all = append(all, interleavingEvent{kind: eventHandOver})
	}
	return all
}

// attemptEvents returns the messages that the host of an attempt can send about it.
func attemptEvents(index int, t *attempt) []interleavingEvent {
	if t.conn.closed || t.ended {
		return nil
	}
	kinds := []eventKind{eventEnded, eventReset}
	if !t.bound {
		kinds = []eventKind{eventBound, eventRejected, eventFailed, eventEnded, eventReset}
	}
	var all []interleavingEvent
	for _, kind := range kinds {
		all = append(all, interleavingEvent{kind: kind, attempt: index})
	}
	return all
}

// apply makes an event happen.
func (run *interleavingRun) apply(e interleavingEvent) {
	switch e.kind {
	case eventWait:
		run.runUntil(run.w.now + waitTime)
	case eventDeadline:
		run.runUntil(run.r.createdAt + requestTimeout)
	case eventDrain:
		event := run.w.nextEvent(false, run.w.hosts[0].endpoint(platform.Terminating))
		run.p.recordEvent(event)
		run.p.step(platformcore.WatchEventReceived{Event: event})
	case eventOwnerDisconnected, eventCancel, eventHandOver:
		run.applyOwnerEvent(e.kind)
	case eventEstablished, eventRefused, eventDisconnected:
		run.applyConnEvent(e.kind, run.p.conns[e.conn])
	default:
		run.applyAttemptEvent(e.kind, run.r.attempts[e.attempt])
	}
}

// applyOwnerEvent makes an event of the owner happen.
func (run *interleavingRun) applyOwnerEvent(kind eventKind) {
	switch kind {
	case eventOwnerDisconnected:
		run.r.owner.open = false
		run.r.canceled = run.r.canceled || run.r.answer == ""
		run.p.step(platformcore.OwnerDisconnected{Owner: run.r.owner.id})
	case eventCancel:
		run.r.cancelSent = true
		run.sendAsOwner(encodeLine(platform.TypeRelease, run.r.ref, platform.CauseOK))
		run.r.canceled = run.r.canceled || run.r.answer == ""
	case eventHandOver:
		run.r.owner = run.owner
		run.sendAsOwner(run.r.handOverLine())
	}
}

// sendAsOwner passes a line from the owner to the placer.
func (run *interleavingRun) sendAsOwner(line string) {
	run.p.step(platformcore.OwnerData{Owner: requestOwner, Data: []byte(line)})
}

// applyConnEvent makes an event of a connection to a host happen.
func (run *interleavingRun) applyConnEvent(kind eventKind, c *conn) {
	switch kind {
	case eventEstablished:
		c.established = true
		run.p.step(platformcore.HostConnected{Connection: c.id})
	case eventRefused:
		delete(run.p.conns, c.id)
		run.p.step(platformcore.DialFailed{Connection: c.id, Refused: true})
	case eventDisconnected:
		c.disconnect(true)
	}
}

// applyAttemptEvent records what a host's message implies for an attempt and passes the message to the placer.
func (run *interleavingRun) applyAttemptEvent(kind eventKind, t *attempt) {
	messageType, cause := platform.TypeRelease, platform.NoCause
	switch kind {
	case eventBound:
		messageType = platform.TypeBound
		t.bound = true
		t.knownBound = t.knownBound || !t.knownOver
	case eventRejected:
		cause = platform.CauseRejected
		t.knownNotRun, t.knownOver = true, true
	case eventFailed, eventEnded, eventReset:
		cause = map[eventKind]platform.Cause{
			eventFailed: platform.CauseFailed, eventEnded: platform.CauseOK, eventReset: platform.CauseReset,
		}[kind]
		t.knownOver, t.cause = true, cause
	}
	t.ended = cause != platform.NoCause
	run.p.step(platformcore.HostData{Connection: t.conn.id, Data: []byte(encodeLine(messageType, run.r.ref, cause))})
}
