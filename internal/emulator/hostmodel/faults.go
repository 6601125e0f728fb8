package hostmodel

import (
	"time"

	"forkhead/internal/protocol/hostproto"
)

// CrashPoint is a moment at which a host can be made to crash.
type CrashPoint uint8

// The points.
const (
	NoCrash        CrashPoint = iota
	DuringDecision            // while it decides about an offer
	DuringStart               // while a task starts
	AfterBind                 // when a task runs, before it is reported
)

// Crash ends this incarnation at once.
func (h *Host) Crash() { h.dead, h.out = true, nil }

// CrashAt makes the host crash when it next comes to a point; NoCrash takes that back.
func (h *Host) CrashAt(p CrashPoint) { h.crashPoint = p }

// Hang makes the host do nothing more, with its connections open.
func (h *Host) Hang() { h.hung = true }

// Pause makes the host do nothing for a while. What comes meanwhile is handled after it.
func (h *Host) Pause(now, d time.Duration) { h.pausedUntil = max(h.pausedUntil, now+d) }

// SlowDown makes decisions, starts and service take so many times as long for a while.
func (h *Host) SlowDown(now, d time.Duration, factor float64) {
	h.slowFactor, h.slowUntil = factor, now+d
}

// RejectClass makes the host reject the offers of a class for a while.
func (h *Host) RejectClass(now, d time.Duration, class string) { h.rejectUntil[class] = now + d }

// SuppressStarts makes starts of a class that begin in a while never end.
func (h *Host) SuppressStarts(now, d time.Duration, class string) { h.suppressUntil[class] = now + d }

// Drain makes the host drain, or no longer, and returns what it does. with dismiss it ends its running tasks.
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

// crashesAt crashes the host if it is to crash at this point, and reports whether it has crashed.
func (h *Host) crashesAt(p CrashPoint) bool {
	if h.crashPoint == p {
		h.Crash()
	}
	return h.dead
}

// slowdown returns how many times as long as usual everything takes now.
func (h *Host) slowdown() float64 {
	if h.now < h.slowUntil {
		return h.slowFactor
	}
	return 1
}
