package platform

import (
	"fmt"
	"io"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// A placer that is to shut down serves what waits in its accept queue and reads a request that comes in pieces to its end.
func TestShutdownAnswersAcceptQueueAndPartialRequest(t *testing.T) {
	s := startWithHost(t, newTestHost(t, 0, 1))
	pieces := newTestOwner(t, s.Address())
	pieces.probe(t)
	const ref = "00000000000000a7"
	const request = `{"t":"new","ref":"` + ref + `","f":{"class":"keyed","left":"3000","tenant":"acme","key":"0000000000000001","idem":"k","extras":"cores:1;memory:1;service:0000000000000009"},"d":"in pieces"}` + "\n"
	s.BeginShutdown()
	time.Sleep(750 * time.Millisecond)
	resume := stall(t, s)
	fillJobQueue(s)
	var late []*testOwner // all but one wait in the accept queue as the listener is to close
	for i := range 20 {
		o := newTestOwner(t, s.Address())
		o.request(fmt.Sprintf("%016x", 0xb700+i), 3000)
		late = append(late, o)
	}
	time.Sleep(150 * time.Millisecond)
	resume()
	for i, o := range late {
		o.awaitAnswer(t, fmt.Sprintf("%016x", 0xb700+i)) // of a connection of the accept queue
	}
	send(pieces.conn, "%s", request[:60])
	time.Sleep(700 * time.Millisecond) // past the least time after which it may end
	select {
	case <-s.ShutdownComplete():
		t.Fatal("it ends with half a request read")
	default:
	}
	send(pieces.conn, "%s", request[60:])
	pieces.awaitAnswer(t, ref)
	if got := pieces.answersTo(ref)[0]; got.Type != platform.TypeRelease || got.Cause != platform.CauseBusy {
		t.Errorf("it is answered %s %d, want a rejection", got.Type, got.Cause)
	}
	<-s.ShutdownComplete()
}

// A placer that is to shut down stays until a slow reader has its answers, and not for ever.
func TestShutdownWaitsForSlowReaders(t *testing.T) {
	for _, reads := range []bool{true, false} {
		s := startWithHost(t, newTestHost(t, 0, 1))
		slow, written := slowOwner(t, s)
		s.BeginShutdown()
		time.Sleep(1500 * time.Millisecond)
		select {
		case <-s.ShutdownComplete():
			t.Error("it ends with answers that were not read")
		default:
		}
		if reads {
			_ = slow.SetReadDeadline(time.Now().Add(eventuallyTimeout))
			if n, err := io.CopyN(io.Discard, slow, int64(written)); err != nil {
				t.Errorf("%d bytes of %d came, then %v", n, written, err)
			}
		}
		<-s.ShutdownComplete()
	}
}

// A shutdown is complete when the core has shut down and owners have everything, or at the flush timeout.
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
		t.Error("it is complete before the core has shut down")
	}
	early.coreComplete(start)
	early.update(start, flushed)
	early.update(start, flushed) // which must not close the channel again
	if !isComplete(early) {
		t.Error("it is not complete though owners have everything")
	}
	late := newShutdown()
	late.coreComplete(start)
	late.coreComplete(start + time.Second) // which must not put it off
	late.update(start+flushTimeout-1, unsent)
	if isComplete(late) {
		t.Error("it is complete before the flush timeout")
	}
	late.update(start+flushTimeout, unsent)
	if !isComplete(late) {
		t.Error("it is not complete at the flush timeout")
	}
}
