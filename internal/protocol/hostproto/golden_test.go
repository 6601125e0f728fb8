package hostproto

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"forkhead/internal/goldentest"
)

// exampleFrames returns a frame of each type with every field set, frames without their optional parts, and frames with
// each phase, reason and result.
func exampleFrames() []Frame {
	ref := Ref{Epoch: 0x0102030405060708, Task: 0x11121314, Attempt: 0x15}
	spec := Spec{
		Key: 0x2122232425262728, Service: 0x3132333435363738, Fingerprint: 0x4142434445464748, Name: "shop/web/1", Class: "batch",
		Tenant: "acme", Effect: 2, Priority: 3, Cores: 1500, Memory: 512, Life: 90 * time.Second,
	}
	report := &Report{Cores: 1.5, Memory: 2.5, Queue: 3, Util: 0.75}
	return []Frame{
		Hello{Version: Version, Placer: 0x0203, Epoch: 0x0102030405060708, Conn: 0x11121314},
		Offer{Ref: ref, Wait: 2500 * time.Millisecond, Spec: spec, Payload: []byte(`{"image":"web:1"}`)},
		Offer{Ref: ref},
		Withdraw{Ref: ref},
		Stop{Ref: ref, Grace: 5 * time.Second},
		Probe{ID: 0x11121314},
		Query{Refs: []Ref{ref, {Epoch: 1, Task: 2, Attempt: 3}}},
		Welcome{Version: Version, Host: "north-1", Epoch: 0x0102030405060708, Started: 1500 * time.Microsecond, Draining: true, Count: 2},
		Holds{Held: []Held{
			{Ref: ref, Phase: PhaseQueued, Spec: spec},
			{Ref: ref, Phase: PhaseStarting, Spec: spec},
			{Ref: ref, Phase: PhaseRunning, Left: time.Minute, Spec: spec},
		}},
		Refused{Ref: ref, Reason: NoReason},
		Refused{Ref: ref, Reason: InsufficientCores, Report: report},
		Refused{Ref: ref, Reason: InsufficientMemory},
		Refused{Ref: ref, Reason: QueueFull},
		Refused{Ref: ref, Reason: Unsuitable},
		Accepted{Ref: ref},
		Running{Ref: ref},
		Note{Ref: ref, Kind: 5, Amount: 0.25},
		Ended{Ref: ref, Result: Done, Report: report},
		Ended{Ref: ref, Result: Failed},
		Ended{Ref: ref, Result: Evicted},
		Ended{Ref: ref, Result: Preempted},
		Ended{Ref: ref, Result: Dismissed},
		Ended{Ref: ref, Result: Stopped},
		Ended{Ref: ref, Result: Canceled},
		Ended{Ref: ref, Result: Forgotten},
		Probed{ID: 0x11121314, Report: report},
		Probed{ID: 0x11121314},
		Drain{On: true},
		Bye{Text: "stopped"},
	}
}

// Frames of every type are encoded to the bytes of testdata/frames.hex, and these bytes are decoded to the same frames.
func TestFramesGolden(t *testing.T) {
	var b bytes.Buffer
	for _, f := range exampleFrames() {
		fmt.Fprintln(&b, hex.EncodeToString(Append(nil, f)))
	}
	goldentest.Check(t, "frames.hex", b.Bytes())

	golden, err := os.ReadFile(filepath.Join("testdata", "frames.hex"))
	if err != nil {
		t.Fatal(err)
	}
	wire, err := hex.DecodeString(strings.Join(strings.Fields(string(golden)), ""))
	if err != nil {
		t.Fatalf("hex digits of frames.hex: got error %v, want nil", err)
	}
	var got []Frame
	var d Decoder
	if err := d.Feed(wire, func(f Frame) error { got = append(got, f); return nil }); err != nil {
		t.Fatalf("Feed of frames.hex: got error %v, want nil", err)
	}
	if diff := cmp.Diff(exampleFrames(), got); diff != "" {
		t.Errorf("frames decoded from frames.hex (-want +got):\n%s", diff)
	}
}
