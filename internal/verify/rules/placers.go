package rules

import (
	"math"
	"time"

	"forkhead/internal/protocol/capture"
)

// recoveryTime is the time that a restarted placer may take to answer requests that were due while it was down.
const recoveryTime = 100 * time.Millisecond

// placerHistory holds the starts and deaths of a placer.
type placerHistory struct {
	starts []time.Duration
	deaths []placerDeath
}

type placerDeath struct {
	at    time.Duration
	epoch uint64 // of the incarnation that died; 0 if not captured
}

// with returns the history with one more start or death, which it takes from an event.
func (h placerHistory) with(e *capture.Event) placerHistory {
	if e.Type == capture.PlacerUp {
		h.starts = append(h.starts, e.At)
	} else {
		h.deaths = append(h.deaths, placerDeath{e.At, e.PlacerEpoch})
	}
	return h
}

// wasDown reports whether the placer was down or recovering at any time of an interval.
func (h placerHistory) wasDown(from, to time.Duration) bool {
	for _, death := range h.deaths {
		if death.at <= to && h.recoveredAfter(death.at) >= from {
			return true
		}
	}
	return false
}

// recoveredAfter returns the time at which the placer had recovered from a death, or the largest duration if it didn't
// restart.
func (h placerHistory) recoveredAfter(death time.Duration) time.Duration {
	for _, start := range h.starts {
		if start > death {
			return start + recoveryTime
		}
	}
	return math.MaxInt64
}

// diedWithin reports whether the placer died in a closed interval.
func (h placerHistory) diedWithin(from, to time.Duration) bool {
	for _, death := range h.deaths {
		if from <= death.at && death.at <= to {
			return true
		}
	}
	return false
}

// lateStep is a step of a placer's core that ran after it was due. The core decided nothing between the time at which
// the step was due and the time at which it ran.
type lateStep struct {
	placer       int
	dueAt, ranAt time.Duration
}

// hasOverdueStep reports whether a step of a placer was overdue at a given time.
func (t *trace) hasOverdueStep(placer int, at time.Duration) bool {
	for _, step := range t.lateSteps {
		if step.placer == placer && step.dueAt <= at && at <= step.ranAt {
			return true
		}
	}
	return false
}

// stalledFor returns for how long, within an interval, a step of at least one placer was overdue. All placers and
// clients of a capture run in one process. The whole process is taken to be stalled for that time, including the
// clients that read outcomes.
func (t *trace) stalledFor(from, to time.Duration) (sum time.Duration) {
	for _, step := range t.lateSteps {
		if end := min(step.ranAt, to); end > max(step.dueAt, from) {
			sum += end - max(step.dueAt, from)
			from = end
		}
	}
	return sum
}
