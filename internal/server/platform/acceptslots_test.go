package platform

import (
	"context"
	"testing"
)

// A released slot is available again. Releasing a slot twice frees one slot only. The wait for a slot ends with its
// context.
func TestAcceptSlotsBoundAndRelease(t *testing.T) {
	slots := newAcceptSlots(2)
	first, second := slots.acquire(t.Context()), slots.acquire(t.Context())
	if first == nil || second == nil {
		t.Fatalf("acquire from 2 available slots = %v, %v; want two slots", first, second)
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if slots.acquire(canceled) != nil {
		t.Error("acquire with 2 of 2 slots taken and a canceled context returned a slot, want nil")
	}
	first.release()
	first.release()
	if len(slots) != 1 {
		t.Errorf("slots taken after one of two was released twice: got %d, want 1", len(slots))
	}
	if slots.acquire(t.Context()) == nil {
		t.Error("acquire with 1 of 2 slots taken = nil, want a slot")
	}
}
