// Package recorder collects the captured traffic of a run from the goroutines that see it.
package recorder

import (
	"slices"
	"sync"

	"forkhead/internal/protocol/capture"
)

// Recorder holds captured events up to a bound. It is safe for concurrent use; a nil Recorder takes no events.
type Recorder struct {
	maxEvents int

	mu        sync.Mutex
	events    []capture.Event
	truncated bool // an event was dropped since the bound was reached
}

// New returns a recorder that holds at most maxEvents events.
func New(maxEvents int) *Recorder { return &Recorder{maxEvents: maxEvents} }

// Add records an event. Once the bound is reached, events are dropped, which Events reports.
func (r *Recorder) Add(e capture.Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) >= r.maxEvents {
		r.truncated = true
		return
	}
	r.events = append(r.events, e)
}

// Events returns a copy of the recorded events, in the order in which they were added, and whether they are all that were
// added: a capture with a gap proves nothing.
func (r *Recorder) Events() (events []capture.Event, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events), !r.truncated
}
