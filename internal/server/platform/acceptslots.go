package platform

import (
	"context"
	"sync/atomic"
)

// acceptSlots is a counting semaphore that bounds the accepted connections of owners, including those that the core
// does not know yet. It is safe for concurrent use.
type acceptSlots chan struct{}

// newAcceptSlots returns a semaphore with count available slots.
func newAcceptSlots(count int) acceptSlots { return make(acceptSlots, count) }

// acquire waits for an available slot. It returns nil if ctx ends first.
func (s acceptSlots) acquire(ctx context.Context) *acceptSlot {
	select {
	case s <- struct{}{}:
		return &acceptSlot{slots: s}
	case <-ctx.Done():
		return nil
	}
}

// acceptSlot is an acquired slot. It is safe for concurrent use.
type acceptSlot struct {
	slots    acceptSlots
	released atomic.Bool
}

// release makes the slot available again. Further calls do nothing.
func (s *acceptSlot) release() {
	if !s.released.Swap(true) {
		<-s.slots
	}
}
