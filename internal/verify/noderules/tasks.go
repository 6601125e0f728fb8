package noderules

import (
	"time"

	"forkhead/internal/emulator/platformmodel"
	"forkhead/internal/protocol/platform"
)

// task is an offer at a host, or the task that the host runs because of it.
type task struct {
	request   *request
	placer    int
	conn      platformmodel.ConnID // connection of the offer
	offeredAt time.Duration        // when the host received the offer
	running   bool                 // the host has accepted the task
}

// hostRecord is what the checker keeps of a host.
type hostRecord struct {
	name        string                // in the endpoint list
	tasks       map[string]*task      // by ref
	upAt        time.Duration         // start of the current incarnation, if it is not the first; else 0
	slowOffers  []time.Duration       // offers during slow start from placers that knew of the start
	drainingAt  map[int]time.Duration // by placer: when it was notified that the host drains or is removed
	startKnown  map[int]time.Duration // by placer: when it was notified of the current incarnation
	notReading  int                   // number of faults in force in which the kernel receives what the host does not read
	unreachable int                   // number of faults in force in which no connection to the host can be made
	readsAgain  time.Duration         // when the last such fault ended; 0: none has
}

func newHostRecord() *hostRecord {
	return &hostRecord{tasks: map[string]*task{}, drainingAt: map[int]time.Duration{}, startKnown: map[int]time.Duration{}}
}

// backlogTime bounds the time that it takes to read what has come while a fault kept a host from reading.
const backlogTime = time.Second

// handleAtHost applies an entry that concerns a host.
func (c *checker) handleAtHost(e *entry) {
	h := c.hosts[e.Party.Number]
	switch e.Event {
	case platformmodel.RecordSent:
		c.handleSentByHost(h, e)
	case platformmodel.RecordRead:
		if e.message.Type == platform.TypeRequest {
			c.checkOfferTimes(h, e)
		}
	case platformmodel.RecordReceived:
		c.handleReceivedByHost(h, e)
	case platformmodel.RecordClosedByPlacer, platformmodel.RecordClosedByEmulator:
		h.dropOffersOf(e.Conn)
		c.giveUp(e.At, func(w withdrawal) bool { return w.conn == e.Conn })
	case platformmodel.RecordHostDown:
		h.endAll(e.At)
	case platformmodel.RecordHostUp:
		h.start(e)
	case platformmodel.RecordFaultBegan, platformmodel.RecordFaultEnded:
		h.countFault(e)
	}
}

// start resets what belongs to the earlier incarnation of a host. A machine that replaces another has its own name.
func (h *hostRecord) start(e *entry) {
	h.upAt, h.slowOffers, h.startKnown = e.At, nil, map[int]time.Duration{}
	if name := string(e.Data); name != h.name {
		h.name, h.drainingAt = name, map[int]time.Duration{}
	}
}

// countFault counts the faults in force that keep a host from reading or from being reached.
func (h *hostRecord) countFault(e *entry) {
	change := 1
	if e.Event == platformmodel.RecordFaultEnded {
		change = -1
	}
	switch e.Fault {
	case platformmodel.FaultNotReading, platformmodel.FaultHalfOpen, platformmodel.FaultZonePartition:
		h.notReading += change
		if change < 0 {
			h.readsAgain = e.At
		}
	}
	switch e.Fault {
	case platformmodel.FaultRefused, platformmodel.FaultHalfOpen, platformmodel.FaultZonePartition:
		h.unreachable += change
	}
}

// readsLate reports whether a message may have waited in the kernel before it was read, because of a fault.
func (h *hostRecord) readsLate(now time.Duration) bool {
	return h.notReading > 0 || h.readsAgain > 0 && now < h.readsAgain+backlogTime
}

func (c *checker) handleReceivedByHost(h *hostRecord, e *entry) {
	ref := e.message.Ref
	switch e.message.Type {
	case platform.TypeRequest:
		c.receiveOffer(h, e)
	case platform.TypeRelease:
		if t := h.tasks[ref]; t != nil && !t.running {
			delete(h.tasks, ref)
		}
	}
}

func (c *checker) handleSentByHost(h *hostRecord, e *entry) {
	t := h.tasks[e.message.Ref]
	if t == nil {
		return
	}
	switch e.message.Type {
	case platform.TypeBound:
		t.running, t.request.endedAt = true, 0
		h.mergeWithSameKey(t, e.message.Ref)
	case platform.TypeRelease:
		delete(h.tasks, e.message.Ref)
		switch cause := e.message.Cause; {
		case t.running && !c.runsElsewhere(e.message.Ref):
			t.request.endedAt = e.At
		case t.running:
		case cause == platform.CauseRejected || cause == platform.CauseNotSent:
			t.request.mayHaveRun = false
		}
	}
}

// runsElsewhere reports whether another host runs a task under a ref, as an answer of this one was lost.
func (c *checker) runsElsewhere(ref string) bool {
	for _, h := range c.hosts {
		if t := h.tasks[ref]; t != nil && t.running {
			return true
		}
	}
	return false
}

// mergeWithSameKey removes the other running task with the idempotency key of a task that was accepted: the host goes
// on with that one under the new ref.
func (h *hostRecord) mergeWithSameKey(accepted *task, ref string) {
	for otherRef, other := range h.tasks {
		if otherRef != ref && other.running && accepted.request.key != "" && other.request.key == accepted.request.key {
			delete(h.tasks, otherRef)
		}
	}
}

// dropOffersOf removes the undecided offers of a connection that has ended.
func (h *hostRecord) dropOffersOf(conn platformmodel.ConnID) {
	for ref, t := range h.tasks {
		if t.conn == conn && !t.running {
			delete(h.tasks, ref)
		}
	}
}

// endAll ends the tasks of a host whose process has ended.
func (h *hostRecord) endAll(now time.Duration) {
	for _, t := range h.tasks {
		if t.running {
			t.request.endedAt = now
		}
	}
	h.tasks = map[string]*task{}
}
