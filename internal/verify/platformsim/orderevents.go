package platformsim

import (
	"fmt"
	"time"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// eventKind is what happens in an order, as it is printed with a breach.
type eventKind string

// The kinds of events.
const (
	eventWait     eventKind = "wait"
	eventDeadline eventKind = "deadline" // of the request
	eventDrain    eventKind = "drain"    // of the first host

	eventOwnerDisconnected eventKind = "owner-gone"
	eventCancel            eventKind = "give-up"
	eventHandOver          eventKind = "hand-over"

	// Of a connection.
	eventEstablished  eventKind = "made"
	eventRefused      eventKind = "refused"
	eventDisconnected eventKind = "gone"

	// What a host answers to an attempt.
	eventBound    eventKind = "up"
	eventRejected eventKind = "full"
	eventFailed   eventKind = "error"
	eventEnded    eventKind = "end"
	eventReset    eventKind = "cut"
)

type orderEvent struct {
	kind    eventKind
	conn    platformcore.ConnectionID // of an event of a connection
	attempt int                       // index, of an event of an attempt
}

// String returns the event as it is printed with a breach.
func (e orderEvent) String() string {
	switch e.kind {
	case eventEstablished, eventRefused, eventDisconnected:
		return fmt.Sprintf("%s %d", e.kind, e.conn)
	case eventBound, eventRejected, eventFailed, eventEnded, eventReset:
		return fmt.Sprintf("%s %d", e.kind, e.attempt)
	}
	return string(e.kind)
}

// possibleEvents lists what can happen next.
func (o *orderRun) possibleEvents() []orderEvent {
	all := []orderEvent{{kind: eventWait}}
	all = append(all, o.ownerEvents()...)
	if o.w.now < o.r.createdAt+orderTimeout {
		all = append(all, orderEvent{kind: eventDeadline})
	}
	for _, c := range o.p.sortedConns() {
		if c.established {
			all = append(all, orderEvent{kind: eventDisconnected, conn: c.id})
		} else {
			all = append(all, orderEvent{kind: eventEstablished, conn: c.id}, orderEvent{kind: eventRefused, conn: c.id})
		}
	}
	for i, t := range o.r.attempts {
		all = append(all, attemptEvents(i, t)...)
	}
	if o.p.hostStates[1].state == platform.InService {
		all = append(all, orderEvent{kind: eventDrain})
	}
	return all
}

// ownerEvents lists what the owner can do.
func (o *orderRun) ownerEvents() []orderEvent {
	if !o.r.owner.open {
		return nil
	}
	all := []orderEvent{{kind: eventOwnerDisconnected}}
	if o.r.final == "" && !o.r.cancelSent {
		all = append(all, orderEvent{kind: eventCancel})
	}
	if o.r.answer == platform.TypeBound && o.r.final == "" {
		all = append(all, orderEvent{kind: eventHandOver})
	}
	return all
}

// attemptEvents lists what the host of an attempt can answer.
func attemptEvents(index int, t *attempt) []orderEvent {
	if t.conn.closed || t.ended {
		return nil
	}
	kinds := []eventKind{eventEnded, eventReset}
	if !t.bound {
		kinds = []eventKind{eventBound, eventRejected, eventFailed, eventEnded, eventReset}
	}
	var all []orderEvent
	for _, kind := range kinds {
		all = append(all, orderEvent{kind: kind, attempt: index})
	}
	return all
}

// apply lets an event happen.
func (o *orderRun) apply(e orderEvent) {
	switch e.kind {
	case eventWait:
		o.runUntil(o.w.now + 120*time.Millisecond)
	case eventDeadline:
		o.runUntil(o.r.createdAt + orderTimeout)
	case eventDrain:
		event := o.w.nextEvent(false, o.w.hosts[0].endpoint(platform.Terminating))
		o.p.noteEvent(event)
		o.p.step(platformcore.WatchEventReceived{Event: event})
	case eventOwnerDisconnected, eventCancel, eventHandOver:
		o.applyOwnerEvent(e.kind)
	case eventEstablished, eventRefused, eventDisconnected:
		o.applyConnEvent(e.kind, o.p.conns[e.conn])
	default:
		o.applyAttemptEvent(e.kind, o.r.attempts[e.attempt])
	}
}

func (o *orderRun) applyOwnerEvent(kind eventKind) {
	switch kind {
	case eventOwnerDisconnected:
		o.r.owner.open = false
		o.r.canceled = o.r.canceled || o.r.answer == ""
		o.p.step(platformcore.OwnerDisconnected{Owner: orderOwner})
	case eventCancel:
		o.r.cancelSent = true
		o.sendAsOwner(encodeLine(platform.TypeRelease, o.r.ref, platform.CauseOK))
		o.r.canceled = o.r.canceled || o.r.answer == ""
	case eventHandOver:
		o.sendAsOwner(o.r.handOverLine())
	}
}

// sendAsOwner sends a line of the owner to the placer.
func (o *orderRun) sendAsOwner(line string) {
	o.p.step(platformcore.OwnerData{Owner: orderOwner, Data: []byte(line)})
}

func (o *orderRun) applyConnEvent(kind eventKind, c *conn) {
	switch kind {
	case eventEstablished:
		c.established = true
		o.p.step(platformcore.HostConnected{Connection: c.id})
	case eventRefused:
		delete(o.p.conns, c.id)
		o.p.step(platformcore.DialFailed{Connection: c.id, Refused: true})
	case eventDisconnected:
		c.disconnect()
	}
}

// applyAttemptEvent notes what a host's answer makes known and sends the answer to the placer.
func (o *orderRun) applyAttemptEvent(kind eventKind, t *attempt) {
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
	o.p.step(platformcore.HostData{Connection: t.conn.id, Data: []byte(encodeLine(messageType, o.r.ref, cause))})
}
