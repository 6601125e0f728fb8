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
			t.Errorf("a message of %d bytes, want at most 256", len(message))
		}
		got = append(got, decodeCapacityChanges(message)...)
	}
	if len(got) != len(sent) {
		t.Fatalf("%d changes of %d were decoded", len(got), len(sent))
	}
	for i := range got {
		if got[i] != sent[i] {
			t.Errorf("change %d: %+v became %+v", i, sent[i], got[i])
		}
	}
	if changes := decodeCapacityChanges([]byte{1, 2, 3}); len(changes) > 0 {
		t.Errorf("a message cut short gave %v", changes)
	}
}
