package hostmodel

import (
	"testing"
	"time"

	"forkhead/internal/protocol/hostproto"
)

func greeted(t *testing.T, cfg Config) *Host {
	h := New(cfg, 1, 1, time.Hour, false)
	h.ConnectionOpened(time.Hour, 1)
	out := h.ReceiveFrame(time.Hour, 1, hostproto.Hello{Version: 1, Epoch: 1, Conn: 1})
	if len(out) != 1 {
		t.Fatalf("greeted with %v", out)
	}
	return h
}

func offer(n uint32, cores uint32, priority uint8) hostproto.Offer {
	return hostproto.Offer{Ref: hostproto.Ref{Epoch: 1, Task: n}, Wait: time.Minute, Spec: hostproto.Spec{
		Key: uint64(n), Service: 1, Name: "p/s/1", Class: "c", Cores: cores * 1000, Memory: 1, Priority: priority, Life: 10 * time.Second,
	}}
}

// all runs the host on and returns the frames that it sent.
func all(h *Host, from, to time.Duration) (out []hostproto.Frame) {
	for at := from; at <= to; at += time.Millisecond {
		for _, o := range h.Step(at) {
			out = append(out, o.Frame)
		}
	}
	return out
}

func kinds(frames []hostproto.Frame) (refused, accepted, running, ended int) {
	for _, f := range frames {
		switch f.(type) {
		case hostproto.Refused:
			refused++
		case hostproto.Accepted:
			accepted++
		case hostproto.Running:
			running++
		case hostproto.Ended:
			ended++
		}
	}
	return
}

func TestRoomAndPushOut(t *testing.T) {
	h := greeted(t, DefaultConfig("h", "k", "z", "r", 4, 8))
	for i, o := range []hostproto.Offer{offer(1, 3, 0), offer(2, 3, 0), offer(3, 3, 1)} {
		h.ReceiveFrame(time.Hour+time.Duration(i)*200*time.Millisecond, 1, o)
		all(h, time.Hour+time.Duration(i)*200*time.Millisecond, time.Hour+time.Duration(i+1)*200*time.Millisecond-1)
	}
	if free, _ := h.Available(); free != 1 || h.BoundCount() != 1 || h.tasks[hostproto.Ref{Epoch: 1, Task: 3}] == nil {
		t.Fatalf("%g cores free, %d run", free, h.BoundCount())
	}
	if _, ok := h.over[hostproto.Ref{Epoch: 1, Task: 2}].(hostproto.Refused); !ok {
		t.Fatal("the second was not refused")
	}
	if e, ok := h.over[hostproto.Ref{Epoch: 1, Task: 1}].(hostproto.Ended); !ok || e.Result != hostproto.Preempted {
		t.Fatal("the first was not pushed out")
	}
}

func TestLineAndStarts(t *testing.T) {
	cfg := DefaultConfig("h", "k", "z", "r", 100, 100)
	cfg.MaxQueued, cfg.MaxStarting = 5, 2
	h := greeted(t, cfg)
	refused := 0
	for n := range uint32(8) {
		for _, o := range h.ReceiveFrame(time.Hour, 1, offer(n+1, 1, 0)) {
			if r, ok := o.Frame.(hostproto.Refused); ok && r.Reason == hostproto.QueueFull {
				refused++
			}
		}
	}
	if refused != 3 {
		t.Fatalf("%d refused at the line, want 3", refused)
	}
	frames := all(h, time.Hour, time.Hour+110*time.Millisecond)
	_, accepted, running, _ := kinds(frames)
	if accepted != 5 || running != 2 { // two at a time, 100 ms each where the program is absent
		t.Fatalf("%d accepted, %d run", accepted, running)
	}
	if _, _, running, _ = kinds(all(h, time.Hour+111*time.Millisecond, time.Hour+200*time.Millisecond)); running != 3 {
		t.Fatalf("%d more run once the program is present", running)
	}
}

// A new connection of a placer ends the older one, whose offers in line never run.
func TestReconnect(t *testing.T) {
	h := greeted(t, DefaultConfig("h", "k", "z", "r", 8, 8))
	h.ReceiveFrame(time.Hour, 1, offer(1, 1, 0))
	h.ConnectionOpened(time.Hour, 2)
	out := h.ReceiveFrame(time.Hour, 2, hostproto.Hello{Version: 1, Epoch: 1, Conn: 2})
	if len(out) != 2 || out[0].Conn != 1 || out[0].Frame != nil {
		t.Fatalf("the older connection is not closed first: %+v", out)
	}
	out = h.ReceiveFrame(time.Hour, 2, hostproto.Query{Refs: []hostproto.Ref{{Epoch: 1, Task: 1}, {Epoch: 1, Task: 9}}})
	for _, o := range out {
		if r, ok := o.Frame.(hostproto.Refused); !ok || r.Reason != hostproto.Unsuitable {
			t.Fatalf("asked about what never ran: %+v", o.Frame)
		}
	}
	h.ConnectionOpened(time.Hour, 3)
	out = h.ReceiveFrame(time.Hour, 3, hostproto.Hello{Version: 1, Epoch: 0, Conn: 9})
	if _, ok := out[0].Frame.(hostproto.Bye); !ok {
		t.Fatalf("an earlier life of the placer is greeted: %+v", out)
	}
}

func TestFallsOver(t *testing.T) {
	cfg := DefaultConfig("h", "k", "z", "r", 1000, 1000)
	cfg.SlowStartMaxOffers, cfg.SlowStartOverload, cfg.MaxQueued = 10, 0.001, 1000
	h := New(cfg, 1, 1, time.Hour, true)
	h.ConnectionOpened(time.Hour, 1)
	h.ReceiveFrame(time.Hour, 1, hostproto.Hello{Version: 1, Epoch: 1, Conn: 1})
	for n := range uint32(10) {
		h.ReceiveFrame(time.Hour, 1, offer(n+1, 1, 0))
	}
	if h.Dead() {
		t.Fatal("fell at what it always bears")
	}
	h.ReceiveFrame(time.Hour, 1, offer(11, 1, 0))
	if !h.Dead() || !h.Overloaded() {
		t.Fatal("bears more than it says")
	}
}

func TestPauseAndDie(t *testing.T) {
	h := greeted(t, DefaultConfig("h", "k", "z", "r", 8, 8))
	h.Pause(time.Hour, 300*time.Millisecond)
	if out := h.ReceiveFrame(time.Hour+time.Millisecond, 1, hostproto.Probe{ID: 5}); len(out) != 0 {
		t.Fatalf("answers while it stands still: %v", out)
	}
	if out := all(h, time.Hour, time.Hour+299*time.Millisecond); len(out) != 0 {
		t.Fatalf("acts while it stands still: %v", out)
	}
	if out := all(h, time.Hour+300*time.Millisecond, time.Hour+302*time.Millisecond); len(out) != 1 {
		t.Fatalf("after the pause: %v", out)
	}
	h.CrashAt(AfterBind)
	h.ReceiveFrame(time.Hour+400*time.Millisecond, 1, offer(1, 1, 0))
	if _, _, running, _ := kinds(all(h, time.Hour+400*time.Millisecond, time.Hour+time.Second)); running != 0 || !h.Dead() {
		t.Fatal("says that the task runs before it dies")
	}
}
