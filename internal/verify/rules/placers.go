package rules

import (
	"math"
	"time"

	"forkhead/internal/protocol/capture"
)

// recoveryTime is how long a placer that comes back may take to answer what was due while it was down.
const recoveryTime = 100 * time.Millisecond

// placerHistory says when a placer ran.
type placerHistory struct {
	starts []time.Duration
	deaths []placerDeath
}

type placerDeath struct {
	at    time.Duration
	epoch uint64 // of the incarnation that died; 0: not noted
}

// with returns the history with one more start or death.
func (h placerHistory) with(e *capture.Event) placerHistory {
	if e.Type == capture.PlacerUp {
		h.starts = append(h.starts, e.At)
	} else {
		h.deaths = append(h.deaths, placerDeath{e.At, e.PlacerEpoch})
	}
	return h
}

// wasDown reports whether the placer was down, or recovering, at some time of an interval.
func (h placerHistory) wasDown(from, to time.Duration) bool {
	for _, death := range h.deaths {
		if death.at <= to && h.recoveredAfter(death.at) >= from {
			return true
		}
	}
	return false
}

// recoveredAfter is when the placer had recovered from a death: the end of time if it didn't come back.
func (h placerHistory) recoveredAfter(death time.Duration) time.Duration {
	for _, start := range h.starts {
		if start > death {
			return start + recoveryTime
		}
	}
	return math.MaxInt64
}

// diedWithin reports whether the placer died in an interval, its ends included.
func (h placerHistory) diedWithin(from, to time.Duration) bool {
	for _, death := range h.deaths {
		if from <= death.at && death.at <= to {
			return true
		}
	}
	return false
}

// lateStep is a step of a placer's core that ran after it was due: nothing was settled between.
type lateStep struct {
	placer       int
	dueAt, ranAt time.Duration
}

// isOverdueAt reports whether a step of a placer was overdue at a time.
func (t *trace) isOverdueAt(placer int, at time.Duration) bool {
	for _, step := range t.lateSteps {
		if step.placer == placer && step.dueAt <= at && at <= step.ranAt {
			return true
		}
	}
	return false
}

// stalledFor is how long of an interval any placer waited for a step that was due. All placers of a capture are of one
// process, so that none of it ran, nor the clients that read outcomes.
func (t *trace) stalledFor(from, to time.Duration) (sum time.Duration) {
	for _, step := range t.lateSteps {
		if end := min(step.ranAt, to); end > max(step.dueAt, from) {
			sum += end - max(step.dueAt, from)
			from = end
		}
	}
	return sum
}
