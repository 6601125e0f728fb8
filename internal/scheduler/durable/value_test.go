package durable_test

import (
	"errors"
	"slices"
	"testing"

	"forkhead/internal/scheduler/durable"
)

func TestDecodeValueDetectsDamage(t *testing.T) {
	value := durable.EncodeValue([]byte("text"))
	if text, version, err := durable.DecodeValue(value); err != nil || version != durable.FormatVersion || string(text) != "text" {
		t.Fatalf(`DecodeValue(EncodeValue("text")) = %q, %d, %v; want "text", %d, nil`, text, version, err, durable.FormatVersion)
	}
	for i := range value {
		changed := slices.Clone(value)
		changed[i] ^= 1
		if _, _, err := durable.DecodeValue(changed); !errors.Is(err, durable.ErrChecksum) {
			t.Errorf("DecodeValue(value with byte %d changed): got error %v, want %v", i, err, durable.ErrChecksum)
		}
	}
	for length := range value {
		if _, _, err := durable.DecodeValue(value[:length]); !errors.Is(err, durable.ErrChecksum) {
			t.Errorf("DecodeValue(value truncated to %d bytes): got error %v, want %v", length, err, durable.ErrChecksum)
		}
	}
}

func TestDecodeValueRejectsNewerVersion(t *testing.T) {
	// This is what EncodeValue would return with the next FormatVersion.
	newer := []byte{durable.FormatVersion + 1, 0x52, 0x64, 0xfb, 0x4b, 't', 'e', 'x', 't'}
	if _, version, err := durable.DecodeValue(newer); !errors.Is(err, durable.ErrNewerVersion) || version != durable.FormatVersion+1 {
		t.Errorf("DecodeValue(% x): got version %d, error %v; want %d, %v", newer, version, err, durable.FormatVersion+1, durable.ErrNewerVersion)
	}
}
