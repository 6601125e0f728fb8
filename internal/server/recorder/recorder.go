// Package recorder gathers the record of a run from the goroutines that see its traffic.
package recorder

import (
	"sync"

	"forkhead/internal/protocol/capture"
)

// Log gathers events. A nil Log takes none.
type Log struct {
	mu     sync.Mutex
	events []capture.Event
	most   int
	full   bool
}

// New returns a log of at most so many events.
func New(most int) *Log { return &Log{most: most} }

// Add takes an event. A log that is full takes no more, and says so by Full: a record with a
// hole proves nothing.
func (l *Log) Add(e capture.Event) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) >= l.most {
		l.full = true
		return
	}
	l.events = append(l.events, e)
}

// Events returns what has been gathered, and whether all of it was.
func (l *Log) Events() (events []capture.Event, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]capture.Event(nil), l.events...), !l.full
}
