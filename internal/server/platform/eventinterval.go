package platform

import "time"

// Bounds of the timeout for the next event.
const (
	// minEventTimeout is below the 4 s after which the platform counts the events of an idle watch as delivered.
	minEventTimeout  = 2 * time.Second
	maxEventTimeout  = time.Minute
	maxEventInterval = 10 * time.Second // if an interval of the watch is longer, its events are too rare for a timeout
	maxBackoffShift  = 5                // maximum number of doublings of the timeout
)

// eventIntervals sets a timeout for the next event of the watch from the intervals between the latest events. A stream
// that has delivered events regularly and then delivers only comments is stuck, and the watch has to be polled again;
// while polls bring no event, the timeout doubles. There is no timeout while the intervals are unknown or if one of
// them is longer than maxEventInterval. It is not safe for concurrent use.
type eventIntervals struct {
	last      time.Time         // time of the last event
	intervals [16]time.Duration // ring of the latest intervals
	count     int               // number of intervals so far
	polls     int               // number of timeouts that nextTimeout has returned since the last event
}

// add records an event.
func (e *eventIntervals) add(now time.Time) {
	e.polls = 0
	if !e.last.IsZero() {
		e.intervals[e.count%len(e.intervals)] = now.Sub(e.last)
		e.count++
	}
	e.last = now
}

// nextTimeout returns how long to wait for the next event, or 0 to wait without a timeout. Each call that returns a
// timeout counts as a poll and doubles the timeout of the next call, unless an event arrives between the two calls.
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
