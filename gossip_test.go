package forkhead

import (
	"testing"
)

func TestCapacityChangesRoundTrip(t *testing.T) {
	var sent []capacityChange
	for i := range 50 {
		sent = append(sent, capacityChange{
			program: uint32(i), machine: MachineID(i * 3), cores: float64(i) / 4, memory: -1.5,
		})
	}
	var got []capacityChange
	for _, message := range encodeCapacityChanges(sent) {
		if len(message) > 256 {
			t.Errorf("encodeCapacityChanges(50 changes): got a message of %d bytes, want at most 256", len(message))
		}
		got = append(got, decodeCapacityChanges(message)...)
	}
	if len(got) != len(sent) {
		t.Fatalf("decoded %d changes, want %d", len(got), len(sent))
	}
	for i := range got {
		if got[i] != sent[i] {
			t.Errorf("decoded change %d = %+v, want %+v", i, got[i], sent[i])
		}
	}
	if changes := decodeCapacityChanges([]byte{1, 2, 3}); len(changes) > 0 {
		t.Errorf("decodeCapacityChanges(3 bytes) = %v, want no changes", changes)
	}
}
