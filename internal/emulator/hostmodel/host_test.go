package hostmodel

import (
	"maps"
	"slices"
	"testing"
	"time"

	"forkhead/internal/protocol/hostproto"
)

// newConnectedHost returns a host at time.Hour that is not warming up. Placer 0 in epoch 1 is connected to it by
// connection 1.
func newConnectedHost(t *testing.T, cfg Config) *Host {
	h := New(cfg, 1, 1, time.Hour, false)
	h.ConnectionOpened(time.Hour, 1)
	out := h.ReceiveFrame(time.Hour, 1, hostproto.Hello{Version: 1, Epoch: 1, Conn: 1})
	if len(out) != 1 {
		t.Fatalf("ReceiveFrame(Hello) = %v, want one output", out)
	}
	return h
}

// offer returns an offer of task n of service 1, which runs for 10 s.
func offer(n uint32, cores uint32, priority uint8) hostproto.Offer {
	return hostproto.Offer{Ref: hostproto.Ref{Epoch: 1, Task: n}, Wait: time.Minute, Spec: hostproto.Spec{
		Key: uint64(n), Service: 1, Name: "p/s/1", Class: "c", Cores: cores * 1000, Memory: 1, Priority: priority, Life: 10 * time.Second,
	}}
}

// runUntil steps the host each millisecond in the given range of times, and returns the frames that the host sends.
func runUntil(h *Host, from, to time.Duration) (out []hostproto.Frame) {
	for at := from; at <= to; at += time.Millisecond {
		for _, o := range h.Step(at) {
			out = append(out, o.Frame)
		}
	}
	return out
}

// countFrames returns the numbers of Accepted and of Running frames.
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

// On a host with 4 cores, of three offers for 3 cores each, the second is rejected and the third preempts the first,
// because only the third has a higher priority than the first.
func TestHostPreemptsForHigherPriority(t *testing.T) {
	h := newConnectedHost(t, DefaultConfig("h", "k", "z", "r", 4, 8))
	for i, o := range []hostproto.Offer{offer(1, 3, 0), offer(2, 3, 0), offer(3, 3, 1)} {
		h.ReceiveFrame(time.Hour+time.Duration(i)*200*time.Millisecond, 1, o)
		runUntil(h, time.Hour+time.Duration(i)*200*time.Millisecond, time.Hour+time.Duration(i+1)*200*time.Millisecond-1)
	}
	if available, _ := h.Available(); available != 1 || h.BoundCount() != 1 || h.tasks[hostproto.Ref{Epoch: 1, Task: 3}] == nil {
		t.Fatalf("after three offers: Available() = %g cores, BoundCount() = %d, tasks %v, want 1 core, 1, only task 3",
			available, h.BoundCount(), slices.Collect(maps.Keys(h.tasks)))
	}
	second := h.outcomes[hostproto.Ref{Epoch: 1, Task: 2}]
	if _, ok := second.(hostproto.Refused); !ok {
		t.Fatalf("outcome of the second offer, of equal priority = %+v, want Refused", second)
	}
	first := h.outcomes[hostproto.Ref{Epoch: 1, Task: 1}]
	if e, ok := first.(hostproto.Ended); !ok || e.Result != hostproto.Preempted {
		t.Fatalf("outcome of the first offer = %+v, want Ended with Preempted", first)
	}
}

func TestHostLimitsQueuedOffersAndConcurrentStarts(t *testing.T) {
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
		t.Fatalf("8 offers to a host with MaxQueued 5: %d rejected with QueueFull, want 3", rejected)
	}
	frames := runUntil(h, time.Hour, time.Hour+110*time.Millisecond)
	accepted, running := countFrames(frames)
	if accepted != 5 || running != 2 { // two tasks start at a time; a start takes 100 ms if the program is not cached
		t.Fatalf("after 110 ms: got %d Accepted, %d Running, want 5, 2 (MaxStarting 2)", accepted, running)
	}
	if _, running = countFrames(runUntil(h, time.Hour+111*time.Millisecond, time.Hour+200*time.Millisecond)); running != 3 {
		t.Fatalf("from 111 ms to 200 ms, with the program cached: got %d Running, want 3", running)
	}
}

// A new connection of a placer closes the placer's older connection and drops the queued offers from that one. A
// connection of an earlier incarnation of the placer is rejected.
func TestHostHelloOnNewConnectionReplacesOlderConnection(t *testing.T) {
	h := newConnectedHost(t, DefaultConfig("h", "k", "z", "r", 8, 8))
	h.ReceiveFrame(time.Hour, 1, offer(1, 1, 0))
	h.ConnectionOpened(time.Hour, 2)
	out := h.ReceiveFrame(time.Hour, 2, hostproto.Hello{Version: 1, Epoch: 1, Conn: 2})
	if len(out) != 2 || out[0].Conn != 1 || out[0].Frame != nil {
		t.Fatalf("ReceiveFrame(Hello on connection 2) = %+v, want 2 outputs, the first closing connection 1", out)
	}
	out = h.ReceiveFrame(time.Hour, 2, hostproto.Query{Refs: []hostproto.Ref{{Epoch: 1, Task: 1}, {Epoch: 1, Task: 9}}})
	for _, o := range out {
		if r, ok := o.Frame.(hostproto.Refused); !ok || r.Reason != hostproto.Unsuitable {
			t.Fatalf("answer to a query of a dropped and an unknown attempt = %+v, want Refused with Unsuitable", o.Frame)
		}
	}
	h.ConnectionOpened(time.Hour, 3)
	out = h.ReceiveFrame(time.Hour, 3, hostproto.Hello{Version: 1, Epoch: 0, Conn: 9})
	if _, ok := out[0].Frame.(hostproto.Bye); !ok {
		t.Fatalf("ReceiveFrame(Hello of an earlier incarnation) = %+v, want Bye first", out)
	}
}

func TestHostCrashesAboveMaxOffersWhileWarmingUp(t *testing.T) {
	cfg := DefaultConfig("h", "k", "z", "r", 1000, 1000)
	cfg.SlowStartMaxOffers, cfg.SlowStartOverload, cfg.MaxQueued = 10, 0.001, 1000
	h := New(cfg, 1, 1, time.Hour, true)
	h.ConnectionOpened(time.Hour, 1)
	h.ReceiveFrame(time.Hour, 1, hostproto.Hello{Version: 1, Epoch: 1, Conn: 1})
	for n := range uint32(10) {
		h.ReceiveFrame(time.Hour, 1, offer(n+1, 1, 0))
	}
	if h.Dead() {
		t.Fatal("Dead() after 10 offers = true, want false (SlowStartMaxOffers 10)")
	}
	h.ReceiveFrame(time.Hour, 1, offer(11, 1, 0))
	if !h.Dead() || !h.Overloaded() {
		t.Fatalf("after 11 offers: Dead() = %v, Overloaded() = %v, want true, true (SlowStartMaxOffers 10)", h.Dead(), h.Overloaded())
	}
}

// A paused host handles a Probe after the pause. A host that crashes AfterBind does not report that the task runs.
func TestHostDefersInputsDuringPauseAndCrashesAfterBind(t *testing.T) {
	h := newConnectedHost(t, DefaultConfig("h", "k", "z", "r", 8, 8))
	h.Pause(time.Hour, 300*time.Millisecond)
	if out := h.ReceiveFrame(time.Hour+time.Millisecond, 1, hostproto.Probe{ID: 5}); len(out) != 0 {
		t.Fatalf("ReceiveFrame(Probe) during a pause = %v, want no outputs", out)
	}
	if out := runUntil(h, time.Hour, time.Hour+299*time.Millisecond); len(out) != 0 {
		t.Fatalf("Step during the pause sends %v, want no frames", out)
	}
	if out := runUntil(h, time.Hour+300*time.Millisecond, time.Hour+302*time.Millisecond); len(out) != 1 {
		t.Fatalf("Step after the pause sends %v, want one frame", out)
	}
	h.CrashAt(AfterBind)
	h.ReceiveFrame(time.Hour+400*time.Millisecond, 1, offer(1, 1, 0))
	if _, running := countFrames(runUntil(h, time.Hour+400*time.Millisecond, time.Hour+time.Second)); running != 0 || !h.Dead() {
		t.Fatalf("with CrashAt(AfterBind): got %d Running, Dead() = %v, want 0, true", running, h.Dead())
	}
}
