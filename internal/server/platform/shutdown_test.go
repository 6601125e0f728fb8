package platform

import (
	"fmt"
	"io"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// During a shutdown, the connections in the accept queue are served, and a request whose first part has arrived is read
// to its end and answered.
func TestShutdownAnswersAcceptQueueAndPartialRequest(t *testing.T) {
	s := startWithHost(t, newTestHost(t, 0, 1))
	partial := newTestOwner(t, s.Address())
	partial.probe(t)
	const ref = "00000000000000a7"
	const request = `{"t":"new","ref":"` + ref + `","f":{"class":"keyed","left":"3000","tenant":"acme","key":"0000000000000001","idem":"k","extras":"cores:1;memory:1;service:0000000000000009"},"d":"in pieces"}` + "\n"
	s.BeginShutdown()
	time.Sleep(500 * time.Millisecond) // the listener closes 650 ms after the request
	resume := stall(t, s)
	fillJobQueue(s)
	// When the core closes the listener, the connections of all but one of these owners wait in the accept queue.
	var late []*testOwner
	for i := range 20 {
		o := newTestOwner(t, s.Address())
		o.request(fmt.Sprintf("%016x", 0xb700+i), 3000)
		late = append(late, o)
	}
	time.Sleep(300 * time.Millisecond)
	resume()
	for i, o := range late {
		o.awaitAnswer(t, fmt.Sprintf("%016x", 0xb700+i))
	}
	send(partial.conn, "%s", request[:60])
	time.Sleep(700 * time.Millisecond) // longer than the minimum duration of a shutdown
	select {
	case <-s.ShutdownComplete():
		t.Fatal("shutdown complete with half a request received, want it to wait for the rest")
	default:
	}
	send(partial.conn, "%s", request[60:])
	partial.awaitAnswer(t, ref)
	if got := partial.answersTo(ref)[0]; got.Type != platform.TypeRelease || got.Cause != platform.CauseBusy {
		t.Errorf("answer to the request in two parts: got type %s with cause %d, want %s with %d", got.Type, got.Cause, platform.TypeRelease, platform.CauseBusy)
	}
	<-s.ShutdownComplete()
}

// A shutdown is not complete while an owner that reads slowly has pending answers. The shutdown completes when the
// owner has read them, and at the flush timeout if the owner never does.
func TestShutdownWaitsForSlowReaders(t *testing.T) {
	for _, reads := range []bool{true, false} {
		s := startWithHost(t, newTestHost(t, 0, 1))
		slow, written := slowOwner(t, s)
		s.BeginShutdown()
		time.Sleep(1500 * time.Millisecond)
		select {
		case <-s.ShutdownComplete():
			t.Errorf("owner that reads later: %v: shutdown complete 1.5s after BeginShutdown with pending answers, want it to wait", reads)
		default:
		}
		if reads {
			_ = slow.SetReadDeadline(time.Now().Add(eventuallyTimeout))
			if n, err := io.CopyN(io.Discard, slow, int64(written)); err != nil {
				t.Errorf("the owner read %d bytes and the error %v, want %d bytes and no error", n, err, written)
			}
		}
		<-s.ShutdownComplete()
	}
}

// A shutdown is complete when the core has shut down and no pending bytes are left, or at the flush timeout.
func TestShutdownFlushTimeout(t *testing.T) {
	isComplete := func(s *shutdown) bool {
		select {
		case <-s.complete:
			return true
		default:
			return false
		}
	}
	flushed, unsent := func() bool { return true }, func() bool { return false }
	const start = time.Hour
	early := newShutdown()
	early.update(start, flushed)
	if isComplete(early) {
		t.Error("update without pending bytes before the core has shut down: complete, want not complete")
	}
	early.coreComplete(start)
	early.update(start, flushed)
	early.update(start, flushed) // a second call must not close the channel again, which would panic
	if !isComplete(early) {
		t.Error("update without pending bytes after the core has shut down: not complete, want complete")
	}
	late := newShutdown()
	late.coreComplete(start)
	late.coreComplete(start + time.Second) // a second call must not defer the flush timeout
	late.update(start+flushTimeout-1, unsent)
	if isComplete(late) {
		t.Error("update with pending bytes 1ns before the flush timeout: complete, want not complete")
	}
	late.update(start+flushTimeout, unsent)
	if !isComplete(late) {
		t.Error("update with pending bytes at the flush timeout: not complete, want complete")
	}
}
