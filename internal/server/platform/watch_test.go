package platform

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"forkhead/internal/protocol/platform"
)

// watchStream is the server side of one poll.
type watchStream struct {
	response http.ResponseWriter
	last     string          // Last-Event-ID of the poll
	done     <-chan struct{} // closed when the watcher has disconnected
}

// send writes to the stream and flushes it.
func (s watchStream) send(format string, args ...any) {
	send(s.response, format, args...)
	s.response.(http.Flusher).Flush()
}

// sendComments sends comments until the watcher disconnects.
func (s watchStream) sendComments() {
	for {
		s.send(":\n\n")
		select {
		case <-s.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// scriptedWatch starts the server of a watch. Each poll is served by the next function of polls, and by the last one
// after that.
func scriptedWatch(t *testing.T, polls ...func(watchStream)) (address string) {
	t.Helper()
	var mu sync.Mutex
	n := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		poll := polls[min(n, len(polls)-1)]
		n++
		mu.Unlock()
		poll(watchStream{response: w, last: r.Header.Get("Last-Event-ID"), done: r.Context().Done()})
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// emptyEvent returns an encoded event without entries of the endpoint list.
func emptyEvent(seq int, snapshot bool) string {
	return fmt.Sprintf("id: %d\ndata: {\"seq\":%d,\"fleet\":{\"whole\":%v,\"hosts\":[]}}\n\n", seq, seq, snapshot)
}

// delivery is an event as the watcher delivers it.
type delivery struct {
	seq       uint64
	restarted bool
}

// startTestWatcher starts a watcher after the event with the number last and returns a channel of its deliveries.
func startTestWatcher(t *testing.T, address string, last uint64) (*watcher, chan delivery) {
	t.Helper()
	deliveries := make(chan delivery, 1000)
	w := startWatch(t.Context(), watchConfig{
		address: address, last: last, connectTimeout: time.Second, log: zerolog.Nop(),
		deliver: func(event platform.WatchEvent, restarted bool) { deliveries <- delivery{event.Seq, restarted} },
	})
	t.Cleanup(w.awaitEnd)
	return w, deliveries
}

// expectDeliveries checks that the next deliveries are those of want.
func expectDeliveries(t *testing.T, deliveries chan delivery, want ...delivery) {
	t.Helper()
	for _, w := range want {
		select {
		case got := <-deliveries:
			if got != w {
				t.Fatalf("next delivery: got %+v, want %+v", got, w)
			}
		case <-time.After(eventuallyTimeout):
			t.Fatalf("next delivery: got none within %v, want %+v", eventuallyTimeout, w)
		}
	}
}

// A watch that stops delivering events but still sends comments is polled again. The comments keep the idle timeout
// from expiring, so the watcher would otherwise follow a stuck stream forever.
func TestWatcherPollsAgainWhenOnlyCommentsArrive(t *testing.T) {
	address := scriptedWatch(t,
		func(s watchStream) {
			for seq := 1; seq <= 20; seq++ {
				s.send("%s", emptyEvent(seq, seq == 1))
				time.Sleep(10 * time.Millisecond)
			}
			s.sendComments()
		},
		func(s watchStream) {
			if s.last == "20" {
				s.send("%s", emptyEvent(21, false))
			}
			s.sendComments()
		})
	_, deliveries := startTestWatcher(t, address, 0)
	for seq := range 21 {
		expectDeliveries(t, deliveries, delivery{uint64(seq + 1), false})
	}
}

// If a watch starts its numbers again with a snapshot, the events from that snapshot on are delivered. Events that the
// watch merely sends again, with a snapshot that is older than the last event, are not delivered twice.
func TestWatcherRestartedSequence(t *testing.T) {
	again := func(s watchStream) {
		for seq := 1; seq <= 8; seq++ {
			s.send("%s", emptyEvent(seq, seq == 1))
		}
	}
	restarted := func(s watchStream) {
		s.send("%s%s", emptyEvent(1, true), emptyEvent(2, false))
		s.send(":\n\n")
		// The snapshot with the old number 1 must not be delivered.
		s.send("%s%s", emptyEvent(3, false), emptyEvent(1, true))
		s.send("%s", emptyEvent(4, false))
		s.sendComments()
	}
	_, deliveries := startTestWatcher(t, scriptedWatch(t, again, restarted), 7)
	expectDeliveries(t, deliveries, delivery{8, false}, delivery{1, true}, delivery{2, false}, delivery{3, false}, delivery{4, false})
}

// Guards against a list that is set back: the stream breaks off, and the next one begins with the first event once more
// and a comment. The event is not delivered again, and the next one is.
func TestWatcherIgnoresRepeatedFirstEvent(t *testing.T) {
	address := scriptedWatch(t,
		func(s watchStream) { s.send("%s%s", emptyEvent(1, true), emptyEvent(2, false)) },
		func(s watchStream) { s.send("%s%s", emptyEvent(2, false), emptyEvent(3, false)) },
		func(s watchStream) {
			s.send("%s:\n\n:\n\n", emptyEvent(1, true))
			s.send("%s", emptyEvent(4, false))
			s.sendComments()
		})
	_, deliveries := startTestWatcher(t, address, 0)
	expectDeliveries(t, deliveries, delivery{1, false}, delivery{2, false}, delivery{3, false}, delivery{4, false})
}

// After a change of the address, the new address is polled from the last delivered event on, and no event from the old
// address is delivered, whether the old stream breaks off in the middle of an event or continues.
func TestWatcherChangeOfAddress(t *testing.T) {
	// Each case runs several rounds, as the test cannot control whether the watcher sees the change of the address or
	// the data of the old stream first.
	const rounds = 10
	for round := range 2 * rounds {
		breaksOff := round%2 == 0
		sent, changed := make(chan struct{}), make(chan struct{})
		oldAddress := scriptedWatch(t,
			func(s watchStream) {
				s.send("%s", emptyEvent(1, true))
				s.send("id: 2\nda")
				close(sent)
				<-changed
				if breaksOff {
					panic(http.ErrAbortHandler)
				}
				s.send("ta: {\"seq\":2}\n\n%s", emptyEvent(3, false))
				<-s.done
			},
			func(s watchStream) { <-s.done })
		var polledAfter atomic.Value
		newAddress := scriptedWatch(t, func(s watchStream) {
			polledAfter.CompareAndSwap(nil, s.last)
			s.send("%s%s%s", emptyEvent(1, true), emptyEvent(2, false), emptyEvent(3, false))
			s.sendComments()
		})
		w, deliveries := startTestWatcher(t, oldAddress, 0)
		expectDeliveries(t, deliveries, delivery{1, false})
		<-sent
		w.setAddress(newAddress)
		close(changed)
		expectDeliveries(t, deliveries, delivery{2, false}, delivery{3, false})
		if polledAfter.Load() != "1" {
			t.Errorf("old stream breaks off: %v: Last-Event-ID of the new address's first poll: got %v, want 1", breaksOff, polledAfter.Load())
		}
		select {
		case more := <-deliveries:
			t.Errorf("old stream breaks off: %v: delivery after those of the new address: got %+v, want none", breaksOff, more)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Guards against a watch that answers late and is never heard: each poll was given up before its response came. One poll
// is enough for a response whose first bytes come after the idle timeout of a stream.
func TestWatcherWaitsForLateResponse(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 1800 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			var polls atomic.Int64
			address := scriptedWatch(t, func(s watchStream) {
				polls.Add(1)
				select {
				case <-time.After(delay):
				case <-s.done:
					return
				}
				s.send("%s", emptyEvent(2, false))
				s.sendComments()
			})
			_, deliveries := startTestWatcher(t, address, 1)
			expectDeliveries(t, deliveries, delivery{2, false})
			if n := polls.Load(); n != 1 {
				t.Errorf("polls until the event was delivered: got %d, want 1", n)
			}
		})
	}
}

// An address that accepts connections and never answers is polled again, but no more than once per response timeout.
func TestWatcherPollsUnresponsiveAddressOncePerResponseTimeout(t *testing.T) {
	listener := listenLoopback(t)
	var polls atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			polls.Add(1)
			defer func() { _ = c.Close() }()
		}
	}()
	startTestWatcher(t, listener.Addr().String(), 0)
	eventually(t, "a second poll", func() bool { return polls.Load() >= 2 })
	if n := polls.Load(); n > 3 {
		t.Errorf("polls right after the second poll was seen: got %d, want at most 3", n)
	}
}
