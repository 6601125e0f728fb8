package hostmodel

import (
	"math"
	"time"

	"forkhead/internal/protocol/hostproto"
)

// Step lets the host do what is due by now and returns it.
func (h *Host) Step(now time.Duration) []Output {
	h.out = nil
	h.advance(now)
	return h.out
}

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// Next returns when the host has something to do by itself, if at all.
func (h *Host) Next() (time.Duration, bool) {
	if h.dead || h.hung {
		return 0, false
	}
	next := never
	if len(h.queue) > 0 {
		next = h.decisionAt
	}
	for _, t := range h.tasks {
		next = min(next, t.next())
	}
	switch {
	case len(h.deferred) > 0:
		next = h.pausedUntil
	case h.now < h.pausedUntil:
		next = max(next, h.pausedUntil)
	}
	return next, next != never
}

// next returns when the task has something to do, or never.
func (t *task) next() time.Duration {
	switch t.phase {
	case hostproto.PhaseStarting:
		return orNever(t.readyAt)
	case hostproto.PhaseRunning:
		return min(orNever(t.endsAt), orNever(t.nextNoteAt))
	}
	return never
}

// orNever returns a time that may be unset, which is 0.
func orNever(at time.Duration) time.Duration {
	if at > 0 {
		return at
	}
	return never
}

// advance does all that is due by now, in the order of its times.
func (h *Host) advance(now time.Duration) {
	for !h.dead && !h.hung {
		if now < h.pausedUntil {
			return
		}
		if len(h.deferred) > 0 {
			h.handleDeferred()
			continue
		}
		at, ok := h.Next()
		if !ok || at > now {
			break
		}
		h.now = max(h.now, at, h.pausedUntil)
		h.doDue()
	}
	h.now = max(h.now, now)
}

// handleDeferred handles, at the end of a pause, the inputs that came during it.
func (h *Host) handleDeferred() {
	h.now = max(h.now, h.pausedUntil)
	inputs := h.deferred
	h.deferred = nil
	for _, input := range inputs {
		if !h.dead {
			input()
		}
	}
}

// doDue does what is due at the present moment.
func (h *Host) doDue() {
	if len(h.queue) > 0 && h.decisionAt <= h.now {
		h.decide()
	}
	for _, t := range h.sortedTasks() {
		if h.dead {
			return
		}
		if h.tasks[t.ref] != t {
			continue // it ended with one before it
		}
		switch {
		case t.phase == hostproto.PhaseStarting && orNever(t.readyAt) <= h.now:
			h.run(t)
		case t.phase == hostproto.PhaseRunning && orNever(t.endsAt) <= h.now:
			h.end(t, hostproto.Done)
		case t.phase == hostproto.PhaseRunning && orNever(t.nextNoteAt) <= h.now:
			h.sendNotes(t)
		}
	}
}
