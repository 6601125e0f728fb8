package hostmodel

import (
	"time"

	"forkhead/internal/protocol/hostproto"
)

// CrashPoint is a point in the handling of a task at which a host can be made to crash.
type CrashPoint uint8

// The crash points.
const (
	NoCrash        CrashPoint = iota
	DuringDecision            // before the decision on an offer is made
	DuringStart               // before the start of a task begins
	AfterBind                 // when a task runs, before its placer is told
)

// Crash ends this incarnation at once and discards the outputs of the current input.
func (h *Host) Crash() { h.dead, h.out = true, nil }

// CrashAt makes the host crash when it next reaches p. NoCrash cancels it.
func (h *Host) CrashAt(p CrashPoint) { h.crashPoint = p }

// Hang makes the host ignore all inputs and execute no actions from now on. Its connections stay open.
func (h *Host) Hang() { h.hung = true }

// Pause makes the host execute no actions for d. Inputs that it receives in that time are handled afterwards.
func (h *Host) Pause(now, d time.Duration) { h.pausedUntil = max(h.pausedUntil, now+d) }

// SlowDown multiplies the time of decisions and starts by a factor, and divides the service level by the same factor.
// It lasts for d.
func (h *Host) SlowDown(now, d time.Duration, factor float64) {
	h.slowFactor, h.slowUntil = factor, now+d
}

// RejectClass makes the host reject all offers of a class for d.
func (h *Host) RejectClass(now, d time.Duration, class string) { h.rejectUntil[class] = now + d }

// SuppressStarts makes starts of tasks of a class never finish if they begin within d from now.
func (h *Host) SuppressStarts(now, d time.Duration, class string) { h.suppressUntil[class] = now + d }

// Drain starts or ends draining and returns the host's outputs. If draining starts and dismiss is set, the host also
// ends its running tasks with the result Dismissed.
func (h *Host) Drain(now time.Duration, on, dismiss bool) []Output {
	return h.handle(now, func() {
		h.draining = on
		for _, s := range h.sortedSessions() {
			h.send(s, hostproto.Drain{On: on})
		}
		if !on || !dismiss {
			return
		}
		for _, t := range h.sortedTasks() {
			if t.phase == hostproto.PhaseRunning {
				h.end(t, hostproto.Dismissed)
			}
		}
	})
}

// crashesAt crashes the host if CrashAt was called with the crash point p, and reports whether the host has crashed.
func (h *Host) crashesAt(p CrashPoint) bool {
	if h.crashPoint == p {
		h.Crash()
	}
	return h.dead
}

// slowdown returns the factor of SlowDown, or 1 if it does not apply now.
func (h *Host) slowdown() float64 {
	if h.now < h.slowUntil {
		return h.slowFactor
	}
	return 1
}
