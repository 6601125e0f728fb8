package platform

import (
	"context"
	"testing"
)

// A slot is available again once it is released, and only once; a wait for one ends with its context.
func TestAcceptSlotsBoundAndRelease(t *testing.T) {
	slots := newAcceptSlots(2)
	first, second := slots.acquire(t.Context()), slots.acquire(t.Context())
	if first == nil || second == nil {
		t.Fatal("an available slot is not acquired")
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if slots.acquire(canceled) != nil {
		t.Error("a third slot of two is acquired")
	}
	first.release()
	first.release()
	if len(slots) != 1 {
		t.Errorf("%d slots are taken, want 1", len(slots))
	}
	if slots.acquire(t.Context()) == nil {
		t.Error("a released slot is not acquired")
	}
}
