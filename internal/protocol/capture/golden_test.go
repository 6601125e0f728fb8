package capture

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"forkhead/internal/goldentest"
	"forkhead/internal/protocol/hostproto"
)

// Events are encoded to the lines of testdata/events.jsonl, and these lines are decoded to the same events: an event
// with all fields, one of each type, and the events of the frames of hostproto.
func TestEventsGolden(t *testing.T) {
	events := []Event{{
		At: 1, Type: Offer, AtPlacer: true, Host: "h", Epoch: 2, Zone: "z", Rack: "r", WarmingUp: true, Placer: 3, PlacerEpoch: 4, Conn: 5, RefEpoch: 6,
		Task: 7, Attempt: 8, Key: 9, Service: 10, Name: "p/s/1", Class: "c", Result: "done", HostDraining: true, Ready: []string{"a"},
		Draining: []string{"b"}, Submission: "s", Count: 11, Within: time.Second, Took: time.Minute,
	}}
	for _, eventType := range []EventType{
		HostUp, HostDown, Overloaded, Hello, Disconnected, Offer, Withdraw, Stop, Refused, Accepted, Running, Ended, Drain,
		ListDelivered, Submit, Outcome, PlacerUp, PlacerDown, ClientDisconnected, Welcome, Holds, LateStep,
	} {
		events = append(events, Event{Type: eventType})
	}
	ref := hostproto.Ref{Epoch: 1, Task: 2, Attempt: 3}
	spec := hostproto.Spec{Key: 4, Service: 5, Name: "p/s/1", Class: "c"}
	frames := []hostproto.Frame{
		hostproto.Hello{},
		hostproto.Offer{Ref: ref, Spec: spec},
		hostproto.Withdraw{Ref: ref},
		hostproto.Stop{Ref: ref},
		hostproto.Probe{},
		hostproto.Query{},
		hostproto.Welcome{Epoch: 1, Draining: true},
		hostproto.Refused{Ref: ref},
		hostproto.Accepted{Ref: ref},
		hostproto.Running{Ref: ref},
		hostproto.Drain{On: true},
		hostproto.Bye{},
		hostproto.Note{},
		hostproto.Probed{},
		hostproto.Holds{Held: []hostproto.Held{
			{Ref: ref, Phase: hostproto.PhaseQueued, Spec: spec},
			{Ref: ref, Phase: hostproto.PhaseStarting, Spec: spec},
			{Ref: ref, Phase: hostproto.PhaseRunning, Spec: spec},
		}},
	}
	for result := hostproto.Done; result <= hostproto.Forgotten; result++ {
		frames = append(frames, hostproto.Ended{Ref: ref, Result: result})
	}
	for _, f := range frames {
		events = append(events, FrameEvents(Event{Host: "h", Placer: 1}, f)...)
	}
	var b bytes.Buffer
	if err := Write(&b, events); err != nil {
		t.Fatalf("Write: got error %v, want nil", err)
	}
	goldentest.Check(t, "events.jsonl", b.Bytes())

	golden, err := os.ReadFile(filepath.Join("testdata", "events.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := Read(bytes.NewReader(golden))
	if err != nil {
		t.Fatalf("Read of events.jsonl: got error %v, want nil", err)
	}
	if !reflect.DeepEqual(got, events) {
		t.Errorf("Read of events.jsonl = %+v, want %+v", got, events)
	}
}
