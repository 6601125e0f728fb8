package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"forkhead/internal/protocol/platform"
)

// A log that tells something all the time is asked again when it goes without an event for longer, ever more rarely; one
// whose events are rare is not.
func TestPace(t *testing.T) {
	var p eventIntervals
	now := time.Unix(1000, 0)
	if p.nextTimeout() != 0 {
		t.Error("it is impatient before it knows the pace")
	}
	for range 40 {
		now = now.Add(300 * time.Millisecond)
		p.add(now)
	}
	if got := []time.Duration{p.nextTimeout(), p.nextTimeout(), p.nextTimeout()}; got[0] != minEventTimeout || got[1] != 2*minEventTimeout || got[2] != 4*minEventTimeout {
		t.Errorf("it waits %v", got)
	}
	for range 10 {
		if p.nextTimeout() > maxEventTimeout {
			t.Error("it waits for too long")
		}
	}
	now = now.Add(3 * time.Second)
	if p.add(now); p.nextTimeout() != 6*time.Second {
		t.Error("a longer gap does not count")
	}
	now = now.Add(time.Minute)
	if p.add(now); p.nextTimeout() != 0 {
		t.Error("a log with rare events is asked again")
	}
}

// A watch that fires late, as its process stood still, gives as long again; one that is reset as it fires does not fire.
func TestWatch(t *testing.T) {
	var fired atomic.Int64
	w := newIdleTimer(time.Hour, func() { fired.Add(1) })
	defer w.stop()
	w.mu.Lock()
	w.timeout, w.due = 30*time.Millisecond, time.Now().Add(-time.Second) // due a second ago: a stall
	w.timer.Reset(0)
	w.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	if fired.Load() != 0 {
		t.Error("a stall of our own is taken for silence")
	}
	for end := time.Now().Add(20 * time.Second); fired.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("silence is not noticed any more")
		}
	}
	quiet := newIdleTimer(0, func() { t.Error("a watch that rests fires") })
	quiet.reset(time.Hour)
	quiet.reset(0)
	quiet.stop()
}

// scripted is a change log whose calls are served by one function each, in turn; the last serves all later ones.
func scripted(t *testing.T, calls ...func(say func(format string, args ...any), last string, done <-chan struct{})) string {
	t.Helper()
	var mu sync.Mutex
	n := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		call := calls[min(n, len(calls)-1)]
		n++
		mu.Unlock()
		call(func(format string, args ...any) {
			fmt.Fprintf(w, format, args...)
			w.(http.Flusher).Flush()
		}, r.Header.Get("Last-Event-ID"), r.Context().Done())
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func event(seq int, whole bool) string {
	return fmt.Sprintf("id: %d\ndata: {\"seq\":%d,\"fleet\":{\"whole\":%v,\"hosts\":[]}}\n\n", seq, seq, whole)
}

type heard struct {
	seq  uint64
	anew bool
}

// listen follows a log from a number and returns what it tells.
func listen(t *testing.T, address string, last uint64) (*watcher, chan heard) {
	t.Helper()
	all := make(chan heard, 1000)
	ctx, cancel := context.WithCancel(context.Background())
	c := startWatch(ctx, watchConfig{address: address, last: last, connectTimeout: time.Second, log: zerolog.Nop(), deliver: func(ch platform.WatchEvent, anew bool) {
		all <- heard{ch.Seq, anew}
	}})
	t.Cleanup(func() { cancel(); c.wait() })
	return c, all
}

func wants(t *testing.T, all chan heard, want ...heard) {
	t.Helper()
	for _, w := range want {
		select {
		case got := <-all:
			if got != w {
				t.Fatalf("heard %+v, want %+v", got, w)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%+v is not heard", w)
		}
	}
}

func comments(say func(string, ...any), done <-chan struct{}) {
	for {
		say(":\n\n")
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// A log that goes on with comments and tells no event any more is asked again.
func TestLogThatOnlyComments(t *testing.T) {
	address := scripted(t,
		func(say func(string, ...any), _ string, done <-chan struct{}) {
			for seq := 1; seq <= 20; seq++ {
				say("%s", event(seq, seq == 1))
				time.Sleep(10 * time.Millisecond)
			}
			comments(say, done)
		},
		func(say func(string, ...any), last string, done <-chan struct{}) {
			if last == "20" {
				say("%s", event(21, false))
			}
			comments(say, done)
		})
	_, all := listen(t, address, 0)
	for seq := range 21 {
		wants(t, all, heard{uint64(seq + 1), false})
	}
}

// A log whose numbers begin anew is believed, and goes on from there; one that tells all again is not.
func TestNumbersBeginAnew(t *testing.T) {
	again := func(say func(string, ...any), _ string, _ <-chan struct{}) {
		for seq := 1; seq <= 8; seq++ {
			say("%s", event(seq, seq == 1))
		}
	}
	anew := func(say func(string, ...any), _ string, done <-chan struct{}) {
		say("%s%s", event(1, true), event(2, false))
		say(":\n\n")
		say("%s%s", event(3, false), event(1, true)) // and an old list behind it
		say("%s", event(4, false))
		comments(say, done)
	}
	_, all := listen(t, scripted(t, again, anew), 7)
	wants(t, all, heard{8, false}, heard{1, true}, heard{2, false}, heard{3, false}, heard{4, false})
}

// An address that is moved to while the old one breaks off in the middle of an event, or goes on telling, is asked behind
// the last event that counts, and what the old one tells after that does not count.
func TestMoveCrossesTheOldAddress(t *testing.T) {
	for _, cut := range []bool{true, false} {
		said, moved := make(chan struct{}), make(chan struct{})
		old := scripted(t,
			func(say func(string, ...any), _ string, done <-chan struct{}) {
				say("%s", event(1, true))
				say("id: 2\nda")
				close(said)
				<-moved
				if cut {
					panic(http.ErrAbortHandler)
				}
				say("ta: {\"seq\":2}\n\n%s", event(3, false))
				<-done
			},
			func(say func(string, ...any), _ string, done <-chan struct{}) { <-done })
		var asked atomic.Value
		fresh := scripted(t, func(say func(string, ...any), last string, done <-chan struct{}) {
			asked.CompareAndSwap(nil, last)
			say("%s%s%s", event(1, true), event(2, false), event(3, false))
			comments(say, done)
		})
		c, all := listen(t, old, 0)
		wants(t, all, heard{1, false})
		<-said
		c.setAddress(fresh)
		close(moved)
		wants(t, all, heard{2, false}, heard{3, false})
		if asked.Load() != "1" {
			t.Errorf("the new address is asked behind %v", asked.Load())
		}
		select {
		case more := <-all:
			t.Errorf("%+v counts twice", more)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// A log that takes the connection and never answers, and one that is out of reach, cost no more than a rest between calls.
func TestLogOutOfReach(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var calls atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			calls.Add(1)
			defer c.Close()
		}
	}()
	listen(t, ln.Addr().String(), 0)
	until(t, "a second call", func() bool { return calls.Load() >= 2 })
	if n := calls.Load(); n > 3 {
		t.Errorf("%d calls in the time of two silences", n)
	}
}
