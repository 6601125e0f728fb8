package durable_test

import (
	"errors"
	"slices"
	"testing"

	"forkhead/internal/scheduler/durable"
)

func TestDecodeValueDetectsChangedBytes(t *testing.T) {
	value := durable.EncodeValue([]byte("text"))
	if text, version, err := durable.DecodeValue(value); err != nil || version != durable.FormatVersion || string(text) != "text" {
		t.Fatalf("%q %d %v", text, version, err)
	}
	for i := range value {
		changed := slices.Clone(value)
		changed[i] ^= 1
		if _, _, err := durable.DecodeValue(changed); !errors.Is(err, durable.ErrChecksum) {
			t.Errorf("byte %d changed: %v", i, err)
		}
	}
	for length := range value {
		if _, _, err := durable.DecodeValue(value[:length]); !errors.Is(err, durable.ErrChecksum) {
			t.Errorf("truncated to %d bytes: %v", length, err)
		}
	}
}

func TestDecodeValueRefusesNewerVersion(t *testing.T) {
	// What EncodeValue would write with the next FormatVersion.
	newer := []byte{durable.FormatVersion + 1, 0x52, 0x64, 0xfb, 0x4b, 't', 'e', 'x', 't'}
	if _, version, err := durable.DecodeValue(newer); !errors.Is(err, durable.ErrNewerVersion) || version != durable.FormatVersion+1 {
		t.Errorf("version %d, %v", version, err)
	}
}
