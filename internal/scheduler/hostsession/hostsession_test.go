package hostsession

import (
	"testing"
)

// What holds of the whole table: what never ran is never said to have run, what may have run is
// never said not to have, and a settled attempt stays as it is.
func TestTable(t *testing.T) {
	ran := func(s State) bool { return s == Starting || s == Running || s == Ended }
	for s := range StateCount {
		for in := range InputCount {
			to, say := Transition(s, in)
			if ran(s) && !ran(to) {
				t.Errorf("%v may have run, and %v makes it %v", s, in, to)
			}
			if !ran(s) && ran(to) && in != Accept {
				t.Errorf("%v starts on %v", s, in)
			}
			if ran(to) && (say == SendRejected || say == SendCanceled) {
				t.Errorf("%v on %v says %v of what may have run", s, in, say)
			}
			if !ran(to) && say == SendEnded {
				t.Errorf("%v on %v says that it ended, and it never ran", s, in)
			}
			if in == Query && s != Queued && say == NoReply {
				t.Errorf("a query about %v stays unanswered", s)
			}
			if (s == Rejected || s == Canceled || s == Ended) && to != s {
				t.Errorf("%v is settled, and %v makes it %v", s, in, to)
			}
		}
	}
}

func TestGreet(t *testing.T) {
	last := Session{Epoch: 5, Conn: 3, Connected: true}
	for _, c := range []struct {
		epoch uint64
		conn  uint32
		want  HelloResult
	}{{5, 4, HelloAccepted}, {6, 1, HelloAccepted}, {5, 3, HelloStale}, {5, 2, HelloStale}, {4, 9, HelloStale}} {
		if got := CheckHello(last, c.epoch, c.conn); got != c.want {
			t.Errorf("life %d, connection %d: %v", c.epoch, c.conn, got)
		}
	}
	if last.Connected = false; CheckHello(last, 5, 1) != HelloAccepted {
		t.Error("a connection of the same life is turned away where none is open")
	}
}
