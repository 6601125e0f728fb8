package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"forkhead"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
	"forkhead/internal/verify/platformreplay"
)

// startTraced starts a placer that writes a trace. Its initial list is the watch's first event.
func startTraced(t *testing.T, watch *testWatch) (*Server, *bytes.Buffer) {
	t.Helper()
	cfg := newTestConfig(t, watch)
	cfg.Seed = "f00d"
	received, err := json.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	var trace bytes.Buffer
	w := platformreplay.NewWriter(&trace, received)
	t.Cleanup(func() {
		if err := w.Err(); err != nil {
			t.Errorf("Err() of the trace writer = %v, want nil", err)
		}
	})
	return startTapped(t, cfg, w), &trace
}

// The hosts of a placer send damaged messages, reset connections and die, and one of its owners sends damaged messages.
// The trace of this placer replays to the same outputs each time.
func TestServerTraceReplays(t *testing.T) {
	good, faulty := newTestHost(t, 0, 1), newTestHost(t, 0.5, 2)
	watch := newTestWatch(
		endpointEvent(1, true, endpointOf(1, good, platform.InService), endpointOf(2, faulty, platform.InService)),
		endpointEvent(2, false, endpointOf(2, faulty, platform.InService)),
	)
	s, trace := startTraced(t, watch)
	o, misbehaving := newTestOwner(t, s.Address()), newTestOwner(t, s.Address())
	ref := func(i int) string { return fmt.Sprintf("%016x", 0xabc000+i) }
	const count = 60
	for i := range count {
		o.request(ref(i), 3000)
		send(misbehaving.conn, "\xff\xfe{\x00\n")
		time.Sleep(2 * time.Millisecond)
	}
	for i := range count {
		eventually(t, "an answer to "+ref(i), func() bool { return len(o.answersTo(ref(i))) > 0 })
	}
	good.kill()
	s.BeginShutdown()
	<-s.ShutdownComplete()
	s.Close()
	for range 2 {
		checkReplay(t, trace.Bytes())
	}
	checkTraceOfRequest(t, trace.Bytes(), ref(0), o.answersTo(ref(0)))
}

// checkReplay checks that a trace replays to the same outputs.
func checkReplay(t *testing.T, trace []byte) {
	t.Helper()
	result, err := platformreplay.Replay(bytes.NewReader(trace), nil)
	if err != nil {
		t.Fatalf("Replay(trace): got error %v, want nil", err)
	}
	if result.Difference != nil || result.Truncated || result.Steps != bytes.Count(trace, []byte(`"way":"step"`)) {
		t.Errorf("Replay(trace) = %+v with difference %+v, want no difference, a trace that is not truncated and %d steps",
			result, result.Difference, bytes.Count(trace, []byte(`"way":"step"`)))
	}
}

// checkTraceOfRequest checks that a trace contains a request and at least as many answers as its owner got.
func checkTraceOfRequest(t *testing.T, trace []byte, ref string, answers []platform.Message) {
	t.Helper()
	request, err := platformreplay.FollowRequest(bytes.NewReader(trace), ref)
	if err != nil {
		t.Fatalf("FollowRequest(trace, %s): got error %v, want nil", ref, err)
	}
	toOwner := 0
	for _, m := range request.Messages {
		if m.Peer == platformreplay.PeerOwner && m.Direction == "out" {
			toOwner++
		}
	}
	if len(request.Messages) < 4 || request.Messages[0].Peer != platformreplay.PeerOwner || toOwner < len(answers) {
		t.Errorf("FollowRequest(trace, %s) = %+v, want at least 4 messages, the first of the owner, and at least %d to the owner",
			ref, request.Messages, len(answers))
	}
}

// stepTap records the inputs of the last step.
type stepTap struct{ inputs []platformcore.Input }

func (*stepTap) Start(time.Duration, *platformcore.Config) {}

func (s *stepTap) Step(_ time.Duration, in []platformcore.Input, _ []platformcore.Output) {
	s.inputs = in
}

// The tap gets the inputs of a step in which the core panics. These inputs are needed to reproduce the panic from a
// trace.
func TestServerTapGetsStepThatPanics(t *testing.T) {
	cfg := &platform.Config{Settings: json.RawMessage(testSettings)}
	info, settings, err := readSettings(cfg)
	if err != nil {
		t.Fatalf("readSettings: got error %v, want nil", err)
	}
	config := newCoreConfig(cfg, info, settings)
	config.Decide = func(time.Duration, []forkhead.Event) []forkhead.Action { panic("injected") }
	core, err := platformcore.New(config)
	if err != nil {
		t.Fatalf("platformcore.New: got error %v, want nil", err)
	}
	tap := &stepTap{}
	s := &Server{core: core, tap: tap, log: zerolog.Nop()}
	defer func() {
		if value := recover(); value != "injected" || len(tap.inputs) != 1 {
			t.Errorf("stepCore with a core that panics: got panic %v and inputs %v at the tap, want panic injected and 1 input", value, tap.inputs)
		}
	}()
	s.stepCore(time.Hour, []platformcore.Input{platformcore.GossipReceived{From: 0}})
}
