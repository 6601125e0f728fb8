// Package recorder collects the captured events of a run from concurrent goroutines, in memory.
package recorder

import (
	"slices"
	"sync"

	"forkhead/internal/protocol/capture"
)

// Recorder holds captured events up to a limit. It is safe for concurrent use. Add on a nil Recorder does nothing.
type Recorder struct {
	maxEvents int

	mu        sync.Mutex
	events    []capture.Event
	truncated bool // an event was dropped because the limit was reached
}

// New returns a recorder that holds at most maxEvents events.
func New(maxEvents int) *Recorder { return &Recorder{maxEvents: maxEvents} }

// Add records an event. At the limit it drops the event, and Events then reports that the events are incomplete.
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

// Events returns a copy of the recorded events in the order in which they were added. complete is false if events were
// dropped: the rules cannot be checked on a capture that lacks events.
func (r *Recorder) Events() (events []capture.Event, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events), !r.truncated
}
