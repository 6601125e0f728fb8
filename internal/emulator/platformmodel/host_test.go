package platformmodel

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// hostRig is a host with the test as its placer, over connection 1. The host takes 10 ms to decide an offer, and its
// tasks run for 2 s.
type hostRig struct {
	t    *testing.T
	host *Host
	now  time.Duration
	sent []string // for each message its type, the end of its ref and its cause; for each close "close" and the connection
}

// newHostRig returns a rig whose connection is open. change, if not nil, modifies the configuration of the host.
func newHostRig(t *testing.T, cold bool, change func(*HostConfig)) *hostRig {
	t.Helper()
	cfg := testHostConfig()
	cfg.AnswerTime, cfg.RunTime, cfg.NoteInterval = Range{10 * time.Millisecond, 10 * time.Millisecond}, Range{2 * second, 2 * second}, 0
	if change != nil {
		change(&cfg)
	}
	r := &hostRig{t: t, host: NewHost(cfg, "s-00000001", 1, testStart, cold), now: testStart}
	r.collectSent(r.host.ConnectionOpened(r.now, 1, 0))
	return r
}

// collectSent appends the actions of the host to sent. Notes are left out.
func (r *hostRig) collectSent(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			m, err := platform.Decode(a.Data[:len(a.Data)-1])
			if err != nil {
				r.t.Fatalf("Decode(%q) of a message of the host: %v", a.Data, err)
			}
			if m.Type != platform.TypeNote {
				r.sent = append(r.sent, fmt.Sprintf("%s %s %d", m.Type, m.Ref[14:], m.Cause))
			}
		case Close:
			r.sent = append(r.sent, fmt.Sprintf("close %d", a.Conn))
		}
	}
}

// offer sends an offer of a task to the host.
func (r *hostRig) offer(ref int, cores float64, key string) {
	r.collectSent(r.host.Received(r.now, 1, platform.Append(nil, platform.TypeRequest, fmt.Sprintf("%016x", ref), platform.NoCause,
		taskSize{cores, 1}.description(), platform.TextField(platform.FieldIdempotencyKey, key))))
}

// receive passes a message to the host.
func (r *hostRig) receive(kind platform.MessageType, ref int) {
	r.collectSent(r.host.Received(r.now, 1, platform.Append(nil, kind, fmt.Sprintf("%016x", ref), platform.CauseOK, nil)))
}

// advance lets time pass and steps the host whenever a timer is due.
func (r *hostRig) advance(d time.Duration) {
	for end := r.now + d; r.now < end; r.collectSent(r.host.Step(r.now)) {
		r.now = min(end, max(r.host.Next(), r.now+1))
	}
}

// wantSent checks the messages and closes since the last call.
func (r *hostRig) wantSent(want ...string) {
	r.t.Helper()
	if !slices.Equal(r.sent, want) {
		r.t.Errorf("%v after the start: host sent %q, want %q", r.now-testStart, r.sent, want)
	}
	r.sent = nil
}

// Offers are decided one after another. An offer is rejected if the queue is full, or if the host has too few cores
// left.
func TestHostDecidesOffersInOrder(t *testing.T) {
	r := newHostRig(t, false, func(c *HostConfig) { c.MaxQueued = 3 })
	r.offer(1, 10, "")
	r.offer(2, 10, "")
	r.offer(3, 6, "")
	r.offer(4, 1, "")
	r.wantSent("down 04 34")
	r.advance(10 * time.Millisecond)
	r.wantSent("up 01 -1")
	r.advance(10 * time.Millisecond)
	r.wantSent("down 02 34")
	r.advance(10 * time.Millisecond)
	r.wantSent("up 03 -1")
	if cores, memory := r.host.Available(); cores != 0 || memory != 14 {
		t.Errorf("Available() = %v cores, %v memory, want 0 and 14", cores, memory)
	}
}

// The end of a task is sent on each new connection of its placer until the placer acknowledges it, as it may have been
// lost with a connection.
func TestHostResendsTaskEndUntilAcknowledged(t *testing.T) {
	r := newHostRig(t, false, nil)
	r.offer(1, 1, "")
	r.advance(10 * time.Millisecond)
	r.collectSent(r.host.ConnectionClosed(r.now, 1, false))
	r.advance(2 * second)
	r.wantSent("up 01 -1")
	r.collectSent(r.host.ConnectionOpened(r.now, 1, 0))
	r.wantSent("down 01 16")
	r.collectSent(r.host.ConnectionOpened(r.now, 2, 1))
	r.wantSent()
	r.receive(platform.TypeAck, 1)
	r.collectSent(r.host.ConnectionOpened(r.now, 3, 0))
	r.wantSent()
}

// A release ends a running task, or withdraws an undecided offer. If no task runs under its ref, the release is
// acknowledged.
func TestHostReleaseEndsTaskOrWithdrawsOffer(t *testing.T) {
	r := newHostRig(t, false, nil)
	r.offer(1, 1, "")
	r.advance(10 * time.Millisecond)
	r.receive(platform.TypeRelease, 1)
	r.wantSent("up 01 -1", "down 01 31")
	r.offer(2, 1, "")
	r.receive(platform.TypeRelease, 2)
	r.wantSent("ack 02 -1")
	r.advance(second)
	r.wantSent()
}

// A running task is not started a second time by an offer with its ref, nor by an offer with its idempotency key and
// another ref.
func TestHostDeduplicatesOffers(t *testing.T) {
	r := newHostRig(t, false, nil)
	for _, ref := range []int{1, 1, 2} {
		r.offer(ref, 1, "key")
		r.advance(10 * time.Millisecond)
	}
	r.wantSent("up 01 -1", "up 01 -1", "up 02 -1")
	if got := r.host.Running(); len(got) != 1 {
		t.Errorf("Running() = %q, want one task", got)
	}
}

// A host in its slow start takes SlowStartFactor times as long to answer. It crashes if it receives more than
// SlowStartMaxOffers offers within SlowStartWindow.
func TestHostSlowStartDelaysAnswersAndCrashesFromOverload(t *testing.T) {
	r := newHostRig(t, true, func(c *HostConfig) { c.SlowStartMaxOffers, c.SlowStartFactor = 2, 3 })
	r.offer(1, 1, "")
	r.offer(2, 1, "")
	r.advance(29 * time.Millisecond)
	r.wantSent()
	r.advance(time.Millisecond)
	r.wantSent("up 01 -1")
	r.advance(470 * time.Millisecond)
	r.offer(3, 1, "")
	r.offer(4, 1, "")
	if r.host.Crashed() {
		t.Error("after 2 offers within SlowStartWindow: Crashed() = true, want false")
	}
	r.offer(5, 1, "")
	if !r.host.Crashed() {
		t.Error("after 3 offers within SlowStartWindow: Crashed() = false, want true")
	}
}

// A connection without messages is closed after IdleTimeout. A connection with an undecodable message is closed at once.
func TestHostClosesIdleAndUnreadableConnections(t *testing.T) {
	r := newHostRig(t, false, nil)
	r.collectSent(r.host.ConnectionOpened(r.now, 2, 0))
	r.collectSent(r.host.Received(r.now, 2, []byte("no message\n")))
	r.wantSent("close 2")
	r.advance(30*second - 1)
	r.wantSent()
	r.advance(1)
	r.wantSent("close 1")
}
