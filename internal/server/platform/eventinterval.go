package platform

import "time"

// Bounds of the wait for the next event.
const (
	minEventTimeout  = 2 * time.Second // the platform counts the events of an idle watch as delivered after 4 s
	maxEventTimeout  = time.Minute
	maxEventInterval = 10 * time.Second // a watch with longer intervals is not polled again
	maxBackoffShift  = 5                // doublings of the timeout
)

// eventIntervals estimates how long the watch usually goes without an event. A watch that delivers events all the time and
// then only comments is stuck: it is polled again, in ever longer intervals while nothing comes of that. Where events are
// rare or too few have come, it waits forever. Not for concurrent use.
type eventIntervals struct {
	last      time.Time
	intervals [16]time.Duration // the latest ones, as a ring
	count     int               // intervals so far
	polls     int               // since the last event
}

// add takes note of an event.
func (e *eventIntervals) add(now time.Time) {
	e.polls = 0
	if !e.last.IsZero() {
		e.intervals[e.count%len(e.intervals)] = now.Sub(e.last)
		e.count++
	}
	e.last = now
}

// nextTimeout returns how long from now to wait for the next event, 0 for ever. Each call without an event between counts
// as a poll, and doubles it.
func (e *eventIntervals) nextTimeout() time.Duration {
	if e.count < len(e.intervals) {
		return 0
	}
	longest := time.Duration(0)
	for _, interval := range e.intervals {
		longest = max(longest, interval)
	}
	if longest > maxEventInterval {
		return 0
	}
	timeout := min(max(2*longest, minEventTimeout)<<min(e.polls, maxBackoffShift), maxEventTimeout)
	e.polls++
	return timeout
}
