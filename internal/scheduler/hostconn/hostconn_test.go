package hostconn

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var policy = Policy{ConnectTimeout: time.Second, MinBackoff: 100 * time.Millisecond, MaxBackoff: time.Second}

func on(l *Connection, k InputKind, conn uint32, epoch uint64) Output {
	return l.Handle(Input{Kind: k, Address: "a", Conn: conn, Epoch: epoch}, policy, 0.5)
}

func TestLife(t *testing.T) {
	var l Connection
	if out := on(&l, Listed, 0, 0); !out.Dial || l.State != Dialing || out.ConnectTimeoutAfter != time.Second {
		t.Fatalf("listed: %+v", out)
	}
	if out := on(&l, Dialed, 1, 0); !out.SendHello || l.State != Handshaking {
		t.Fatalf("dialled: %+v", out)
	}
	if out := on(&l, Welcomed, 1, 7); !out.Established || out.HostRestarted || l.State != Up {
		t.Fatalf("welcomed: %+v", out)
	}
	if out := on(&l, Disconnected, 1, 0); !out.AttemptsDisconnected || out.RetryAfter != 100*time.Millisecond || l.State != Down {
		t.Fatalf("broke: %+v", out)
	}
	on(&l, RetryDue, 0, 0)
	on(&l, Dialed, 2, 0)
	if out := on(&l, Welcomed, 2, 8); !out.HostRestarted || !out.Established {
		t.Fatalf("welcomed by a later life: %+v", out)
	}
	on(&l, Disconnected, 2, 0)
	on(&l, RetryDue, 0, 0)
	on(&l, Dialed, 3, 0)
	if out := on(&l, Welcomed, 3, 7); !out.StaleIncarnation || !out.CloseConn || out.Established || l.State != Down || l.Epoch != 8 {
		t.Fatalf("welcomed by an earlier life: %+v", out)
	}
}

// What comes of an earlier connection changes nothing.
func TestOldConnections(t *testing.T) {
	var l Connection
	on(&l, Listed, 0, 0)
	on(&l, Disconnected, 1, 0)
	on(&l, RetryDue, 0, 0)
	before := l
	for k := Dialed; k < kinds; k++ {
		if k == RetryDue {
			continue
		}
		if out := on(&l, k, 1, 9); out != (Output{}) || l != before {
			t.Fatalf("%v of connection 1 while 2 is made: %+v", k, out)
		}
	}
}

// Waits double up to the most; a link that was up starts over; one that is not listed stays down.
func TestBackoff(t *testing.T) {
	var l Connection
	on(&l, Listed, 0, 0)
	var waits []time.Duration
	for range 6 {
		waits = append(waits, on(&l, Disconnected, l.Conn, 0).RetryAfter)
		on(&l, RetryDue, 0, 0)
	}
	for i, want := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		if waits[i] != want*time.Millisecond {
			t.Fatalf("waits: %v", waits)
		}
	}
	on(&l, Delisted, 0, 0)
	if out := on(&l, RetryDue, 0, 0); out.Dial || l.State != Down {
		t.Fatal("dials a host that is not listed")
	}
}

// Whatever happens, in whatever order: frames may be sent only when Up, a connection is used by
// one dial only, epochs never go back, and what was opened is broken before it is opened again.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Connection
		dialled := map[uint32]bool{}
		open := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := l
			in := Input{
				Kind: InputKind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind")), Address: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address"),
				Conn: uint32(rapid.IntRange(0, int(l.Conn)).Draw(t, "conn")), Epoch: uint64(rapid.IntRange(1, 4).Draw(t, "epoch")),
			}
			out := l.Handle(in, policy, rapid.Float64Range(0, 0.99).Draw(t, "random"))
			if out.AttemptsDisconnected {
				open = false
			}
			if out.Dial {
				if dialled[l.Conn] {
					t.Fatalf("connection %d is dialled twice", l.Conn)
				}
				dialled[l.Conn] = true
			}
			if out.Established {
				if open {
					t.Fatal("opened twice")
				}
				open = true
			}
			if l.Epoch < before.Epoch {
				t.Fatal("the epoch went back")
			}
			if open != (l.State == Up) {
				t.Fatalf("state %v, opened and not broken: %v", l.State, open)
			}
			if before.State != Down && l.State == Down && !out.AttemptsDisconnected {
				t.Fatal("went down without a word")
			}
		}
	})
}
