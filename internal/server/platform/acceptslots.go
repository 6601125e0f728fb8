package platform

import (
	"context"
	"sync/atomic"
)

// acceptSlots is a counting semaphore that bounds the accepted connections of owners, with those that the core has not seen
// yet. Safe for concurrent use.
type acceptSlots chan struct{}

// newAcceptSlots returns so many available slots.
func newAcceptSlots(count int) acceptSlots { return make(acceptSlots, count) }

// acquire waits for an available slot. It returns nil when ctx ends first.
func (s acceptSlots) acquire(ctx context.Context) *acceptSlot {
	select {
	case s <- struct{}{}:
		return &acceptSlot{slots: s}
	case <-ctx.Done():
		return nil
	}
}

// acceptSlot is one acquired slot. Safe for concurrent use.
type acceptSlot struct {
	slots    acceptSlots
	released atomic.Bool
}

// release frees the slot, once.
func (s *acceptSlot) release() {
	if !s.released.Swap(true) {
		<-s.slots
	}
}
