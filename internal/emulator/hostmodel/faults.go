package hostmodel

import (
	"time"

	"forkhead/internal/protocol/hostproto"
)

// ---- Faults.

// Crash ends this life at once.
func (h *Host) Crash() { h.dead, h.out = true, nil }

// CrashAt makes the host die at the next such point.
func (h *Host) CrashAt(p CrashPoint) { h.dieAt = p }

// Hang makes the host do nothing more, with its connections open.
func (h *Host) Hang() { h.hang = true }

// Pause makes the host stand still for a while.
func (h *Host) Pause(now, d time.Duration) { h.pausedTo = max(h.pausedTo, now+d) }

// SlowDown makes starts and service take so many times as long for a while.
func (h *Host) SlowDown(now, d time.Duration, factor float64) { h.slow, h.slowTo = factor, now+d }

// RejectClass makes the host turn a class away for a while.
func (h *Host) RejectClass(now, d time.Duration, class string) { h.refuses[class] = now + d }

// SuppressStarts makes starts of a class not come for a while.
func (h *Host) SuppressStarts(now, d time.Duration, class string) { h.mutes[class] = now + d }

// Drain makes the host drain, or no more.
func (h *Host) Drain(now time.Duration, on, sendAway bool) []Output {
	return h.take(now, func() {
		h.drains = on
		for _, p := range h.sortedPeers() {
			h.send(p, hostproto.Drain{On: on})
		}
		if on && sendAway {
			for _, t := range h.sorted() {
				if t.phase == hostproto.PhaseRunning {
					h.end(t, hostproto.Dismissed)
				}
			}
		}
	})
}

func (h *Host) dies(p CrashPoint) bool {
	if h.dieAt == p {
		h.Crash()
	}
	return h.dead
}
