package hostmodel

import (
	"testing"
	"time"

	"forkhead/internal/protocol/hostproto"
)

func newConnectedHost(t *testing.T, cfg Config) *Host {
	h := New(cfg, 1, 1, time.Hour, false)
	h.ConnectionOpened(time.Hour, 1)
	out := h.ReceiveFrame(time.Hour, 1, hostproto.Hello{Version: 1, Epoch: 1, Conn: 1})
	if len(out) != 1 {
		t.Fatalf("Hello is answered by %v", out)
	}
	return h
}

func offer(n uint32, cores uint32, priority uint8) hostproto.Offer {
	return hostproto.Offer{Ref: hostproto.Ref{Epoch: 1, Task: n}, Wait: time.Minute, Spec: hostproto.Spec{
		Key: uint64(n), Service: 1, Name: "p/s/1", Class: "c", Cores: cores * 1000, Memory: 1, Priority: priority, Life: 10 * time.Second,
	}}
}

// runUntil runs the host on and returns the frames that it sent.
func runUntil(h *Host, from, to time.Duration) (out []hostproto.Frame) {
	for at := from; at <= to; at += time.Millisecond {
		for _, o := range h.Step(at) {
			out = append(out, o.Frame)
		}
	}
	return out
}

func countFrames(frames []hostproto.Frame) (accepted, running int) {
	for _, f := range frames {
		switch f.(type) {
		case hostproto.Accepted:
			accepted++
		case hostproto.Running:
			running++
		}
	}
	return accepted, running
}

func TestHostPreemptsForHigherPriority(t *testing.T) {
	h := newConnectedHost(t, DefaultConfig("h", "k", "z", "r", 4, 8))
	for i, o := range []hostproto.Offer{offer(1, 3, 0), offer(2, 3, 0), offer(3, 3, 1)} {
		h.ReceiveFrame(time.Hour+time.Duration(i)*200*time.Millisecond, 1, o)
		runUntil(h, time.Hour+time.Duration(i)*200*time.Millisecond, time.Hour+time.Duration(i+1)*200*time.Millisecond-1)
	}
	if available, _ := h.Available(); available != 1 || h.BoundCount() != 1 || h.tasks[hostproto.Ref{Epoch: 1, Task: 3}] == nil {
		t.Fatalf("%g cores available, %d bound", available, h.BoundCount())
	}
	if _, ok := h.outcomes[hostproto.Ref{Epoch: 1, Task: 2}].(hostproto.Refused); !ok {
		t.Fatal("the second was not rejected")
	}
	if e, ok := h.outcomes[hostproto.Ref{Epoch: 1, Task: 1}].(hostproto.Ended); !ok || e.Result != hostproto.Preempted {
		t.Fatal("the first was not preempted")
	}
}

func TestHostBoundsQueueAndStarts(t *testing.T) {
	cfg := DefaultConfig("h", "k", "z", "r", 100, 100)
	cfg.MaxQueued, cfg.MaxStarting = 5, 2
	h := newConnectedHost(t, cfg)
	rejected := 0
	for n := range uint32(8) {
		for _, o := range h.ReceiveFrame(time.Hour, 1, offer(n+1, 1, 0)) {
			if r, ok := o.Frame.(hostproto.Refused); ok && r.Reason == hostproto.QueueFull {
				rejected++
			}
		}
	}
	if rejected != 3 {
		t.Fatalf("%d rejected at the full queue, want 3", rejected)
	}
	frames := runUntil(h, time.Hour, time.Hour+110*time.Millisecond)
	accepted, running := countFrames(frames)
	if accepted != 5 || running != 2 { // two at a time, 100 ms each where the program is absent
		t.Fatalf("%d accepted, %d run", accepted, running)
	}
	if _, running = countFrames(runUntil(h, time.Hour+111*time.Millisecond, time.Hour+200*time.Millisecond)); running != 3 {
		t.Fatalf("%d more run once the program is present", running)
	}
}

// A new connection of a placer ends the older one, whose queued offers never run.
func TestHostReplacesOlderConnection(t *testing.T) {
	h := newConnectedHost(t, DefaultConfig("h", "k", "z", "r", 8, 8))
	h.ReceiveFrame(time.Hour, 1, offer(1, 1, 0))
	h.ConnectionOpened(time.Hour, 2)
	out := h.ReceiveFrame(time.Hour, 2, hostproto.Hello{Version: 1, Epoch: 1, Conn: 2})
	if len(out) != 2 || out[0].Conn != 1 || out[0].Frame != nil {
		t.Fatalf("the older connection is not closed first: %+v", out)
	}
	out = h.ReceiveFrame(time.Hour, 2, hostproto.Query{Refs: []hostproto.Ref{{Epoch: 1, Task: 1}, {Epoch: 1, Task: 9}}})
	for _, o := range out {
		if r, ok := o.Frame.(hostproto.Refused); !ok || r.Reason != hostproto.Unsuitable {
			t.Fatalf("query of what never ran: %+v", o.Frame)
		}
	}
	h.ConnectionOpened(time.Hour, 3)
	out = h.ReceiveFrame(time.Hour, 3, hostproto.Hello{Version: 1, Epoch: 0, Conn: 9})
	if _, ok := out[0].Frame.(hostproto.Bye); !ok {
		t.Fatalf("an earlier incarnation of the placer is welcome: %+v", out)
	}
}

func TestHostCrashesWhenOverloadedWarmingUp(t *testing.T) {
	cfg := DefaultConfig("h", "k", "z", "r", 1000, 1000)
	cfg.SlowStartMaxOffers, cfg.SlowStartOverload, cfg.MaxQueued = 10, 0.001, 1000
	h := New(cfg, 1, 1, time.Hour, true)
	h.ConnectionOpened(time.Hour, 1)
	h.ReceiveFrame(time.Hour, 1, hostproto.Hello{Version: 1, Epoch: 1, Conn: 1})
	for n := range uint32(10) {
		h.ReceiveFrame(time.Hour, 1, offer(n+1, 1, 0))
	}
	if h.Dead() {
		t.Fatal("crashed at what it always withstands")
	}
	h.ReceiveFrame(time.Hour, 1, offer(11, 1, 0))
	if !h.Dead() || !h.Overloaded() {
		t.Fatal("withstands more offers than configured")
	}
}

func TestHostPausesAndCrashes(t *testing.T) {
	h := newConnectedHost(t, DefaultConfig("h", "k", "z", "r", 8, 8))
	h.Pause(time.Hour, 300*time.Millisecond)
	if out := h.ReceiveFrame(time.Hour+time.Millisecond, 1, hostproto.Probe{ID: 5}); len(out) != 0 {
		t.Fatalf("answers during the pause: %v", out)
	}
	if out := runUntil(h, time.Hour, time.Hour+299*time.Millisecond); len(out) != 0 {
		t.Fatalf("acts during the pause: %v", out)
	}
	if out := runUntil(h, time.Hour+300*time.Millisecond, time.Hour+302*time.Millisecond); len(out) != 1 {
		t.Fatalf("after the pause: %v", out)
	}
	h.CrashAt(AfterBind)
	h.ReceiveFrame(time.Hour+400*time.Millisecond, 1, offer(1, 1, 0))
	if _, running := countFrames(runUntil(h, time.Hour+400*time.Millisecond, time.Hour+time.Second)); running != 0 || !h.Dead() {
		t.Fatal("reports that the task runs though it crashes before")
	}
}
