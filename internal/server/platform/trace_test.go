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

// startTraced starts a placer that writes a trace, with the initial list of a watch.
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
			t.Error(err)
		}
	})
	return startTapped(t, cfg, w), &trace
}

// What a placer did on sockets, with hosts that send damaged messages, reset connections, drain and die, replays to the same
// outputs, each time.
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
	checkRequest(t, trace.Bytes(), ref(0), o.answersTo(ref(0)))
}

// checkReplay checks that a trace replays to the same outputs.
func checkReplay(t *testing.T, trace []byte) {
	t.Helper()
	result, err := platformreplay.Replay(bytes.NewReader(trace), nil)
	if err != nil {
		t.Fatal(err)
	}
	if result.Difference != nil || result.Truncated || result.Steps != bytes.Count(trace, []byte(`"way":"step"`)) {
		t.Errorf("%+v, %+v", result, result.Difference)
	}
}

// checkRequest checks that a trace has a request and the answers that its owner got.
func checkRequest(t *testing.T, trace []byte, ref string, answers []platform.Message) {
	t.Helper()
	request, err := platformreplay.FollowRequest(bytes.NewReader(trace), ref)
	if err != nil {
		t.Fatal(err)
	}
	toOwner := 0
	for _, m := range request.Messages {
		if m.Peer == platformreplay.PeerOwner && m.Direction == "out" {
			toOwner++
		}
	}
	if len(request.Messages) < 4 || request.Messages[0].Peer != platformreplay.PeerOwner || toOwner < len(answers) {
		t.Errorf("%d answers, %+v", len(answers), request.Messages)
	}
}

// stepTap notes the inputs of the last step.
type stepTap struct{ inputs []platformcore.Input }

func (*stepTap) Start(time.Duration, *platformcore.Config) {}

func (p *stepTap) Step(_ time.Duration, in []platformcore.Input, _ []platformcore.Output) {
	p.inputs = in
}

// A step in which the core panics is on the trace: it is the one that is looked for.
func TestServerTapSeesAPanic(t *testing.T) {
	cfg := &platform.Config{Settings: json.RawMessage(testSettings)}
	info, settings, err := readSettings(cfg)
	if err != nil {
		t.Fatal(err)
	}
	config := newCoreConfig(cfg, info, settings)
	config.Decide = func(time.Duration, []forkhead.Event) []forkhead.Action { panic("injected") }
	core, err := platformcore.New(config)
	if err != nil {
		t.Fatal(err)
	}
	tap := &stepTap{}
	s := &Server{core: core, tap: tap, log: zerolog.Nop()}
	defer func() {
		if value := recover(); value != "injected" || len(tap.inputs) != 1 {
			t.Errorf("panic %v, inputs %v", value, tap.inputs)
		}
	}()
	s.stepCore(time.Hour, []platformcore.Input{platformcore.GossipReceived{From: 0}})
}
