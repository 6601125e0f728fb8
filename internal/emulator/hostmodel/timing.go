package hostmodel

import (
	"math"
	"time"

	"forkhead/internal/protocol/hostproto"
)

// Step executes the actions that are due by now and returns the host's outputs.
func (h *Host) Step(now time.Duration) []Output {
	h.out = nil
	h.advance(now)
	return h.out
}

// never is the time of an action that is not scheduled.
const never = time.Duration(math.MaxInt64)

// Next returns the time of the next timed action, and whether there is one.
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

// next returns the time of the task's next timed action, or never.
func (t *task) next() time.Duration {
	switch t.phase {
	case hostproto.PhaseStarting:
		return timeOrNever(t.readyAt)
	case hostproto.PhaseRunning:
		return min(timeOrNever(t.endsAt), timeOrNever(t.nextNoteAt))
	}
	return never
}

// timeOrNever returns at, or never if at is 0, which means unset.
func timeOrNever(at time.Duration) time.Duration {
	if at > 0 {
		return at
	}
	return never
}

// advance executes the actions that are due by now in the order of their times, unless the host is paused.
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
		h.executeDueActions()
	}
	h.now = max(h.now, now)
}

// handleDeferred handles the deferred inputs after the end of a pause.
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

// executeDueActions executes the actions that are due at h.now.
func (h *Host) executeDueActions() {
	if len(h.queue) > 0 && h.decisionAt <= h.now {
		h.decide()
	}
	for _, t := range h.sortedTasks() {
		if h.dead {
			return
		}
		if h.tasks[t.ref] != t {
			continue // an earlier iteration has ended the task
		}
		switch {
		case t.phase == hostproto.PhaseStarting && timeOrNever(t.readyAt) <= h.now:
			h.finishStart(t)
		case t.phase == hostproto.PhaseRunning && timeOrNever(t.endsAt) <= h.now:
			h.end(t, hostproto.Done)
		case t.phase == hostproto.PhaseRunning && timeOrNever(t.nextNoteAt) <= h.now:
			h.sendNotes(t)
		}
	}
}
