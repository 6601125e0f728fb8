package platform

import (
	"context"
	"sync/atomic"
)

// connectionSlots is a counting semaphore that bounds the connections of owners. Safe for concurrent use.
type connectionSlots chan struct{}

// newConnectionSlots returns so many free slots.
func newConnectionSlots(count int) connectionSlots { return make(connectionSlots, count) }

// acquire waits for a free slot. It returns nil when ctx ends first.
func (s connectionSlots) acquire(ctx context.Context) *connectionSlot {
	select {
	case s <- struct{}{}:
		return &connectionSlot{slots: s}
	case <-ctx.Done():
		return nil
	}
}

// connectionSlot is one acquired slot. Safe for concurrent use.
type connectionSlot struct {
	slots    connectionSlots
	released atomic.Bool
}

// release frees the slot, once.
func (s *connectionSlot) release() {
	if !s.released.Swap(true) {
		<-s.slots
	}
}
