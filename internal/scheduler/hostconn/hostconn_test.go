package hostconn

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var policy = Policy{ConnectTimeout: time.Second, MinBackoff: 100 * time.Millisecond, MaxBackoff: time.Second}

// handle applies an input of the host at address "a", with reconnects after the mean wait.
func handle(c *Connection, kind InputKind, conn uint32, epoch uint64) Output {
	return c.Handle(Input{Kind: kind, Address: "a", Conn: conn, Epoch: epoch}, policy, 0.5)
}

// A host is listed and connected, restarts, and is then impersonated by its earlier incarnation.
func TestConnectionHandleLifecycle(t *testing.T) {
	const backoff = 100 * time.Millisecond
	var c Connection
	for i, step := range []struct {
		kind  InputKind
		conn  uint32
		epoch uint64
		want  Output
		state State
	}{
		{Listed, 0, 0, Output{Dial: true, ConnectTimeoutAfter: time.Second}, Dialing},
		{Dialed, 1, 0, Output{SendHello: true}, Handshaking},
		{Welcomed, 1, 7, Output{Established: true}, Up},
		{Disconnected, 1, 0, Output{AttemptsDisconnected: true, RetryAfter: backoff}, Down},
		{RetryDue, 0, 0, Output{Dial: true, ConnectTimeoutAfter: time.Second}, Dialing},
		{Dialed, 2, 0, Output{SendHello: true}, Handshaking},
		{Welcomed, 2, 8, Output{HostRestarted: true, Established: true}, Up},
		{Disconnected, 2, 0, Output{AttemptsDisconnected: true, RetryAfter: backoff}, Down},
		{RetryDue, 0, 0, Output{Dial: true, ConnectTimeoutAfter: time.Second}, Dialing},
		{Dialed, 3, 0, Output{SendHello: true}, Handshaking},
		{Welcomed, 3, 7, Output{StaleIncarnation: true, CloseConn: true, ConnToClose: 3, AttemptsDisconnected: true, RetryAfter: 2 * backoff}, Down},
	} {
		if out := handle(&c, step.kind, step.conn, step.epoch); out != step.want || c.State != step.state {
			t.Fatalf("step %d, %v: %+v, %v; want %+v, %v", i, step.kind, out, c.State, step.want, step.state)
		}
	}
	if c.Epoch != 8 {
		t.Errorf("the known epoch is %d after a stale one, want 8", c.Epoch)
	}
}

func TestConnectionIgnoresEarlierConns(t *testing.T) {
	var c Connection
	handle(&c, Listed, 0, 0)
	handle(&c, Disconnected, 1, 0)
	handle(&c, RetryDue, 0, 0)
	before := c
	for kind := Dialed; kind < inputKindCount; kind++ {
		if kind == RetryDue {
			continue
		}
		if out := handle(&c, kind, 1, 9); out != (Output{}) || c != before {
			t.Fatalf("%v of connection 1 while 2 is made: %+v", kind, out)
		}
	}
}

// Waits double up to the longest, and a host that is not listed is not dialed again.
func TestConnectionBackoff(t *testing.T) {
	var c Connection
	handle(&c, Listed, 0, 0)
	for i, want := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		if got := handle(&c, Disconnected, c.Conn, 0).RetryAfter; got != want*time.Millisecond {
			t.Fatalf("wait %d is %v, want %v ms", i, got, int(want))
		}
		handle(&c, RetryDue, 0, 0)
	}
	handle(&c, Delisted, 0, 0)
	if out := handle(&c, RetryDue, 0, 0); out.Dial || c.State != Down {
		t.Fatal("dials a host that is not listed")
	}
}

// In whatever order things happen: messages may be sent only when Up, each number is dialed once, epochs never go back,
// and what was established is reported as disconnected before it is established again.
func TestConnectionAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Connection
		dialed := map[uint32]bool{}
		established := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := c
			out := c.Handle(drawInput(t, c.Conn), policy, rapid.Float64Range(0, 0.99).Draw(t, "random"))
			if out.Dial {
				if dialed[c.Conn] {
					t.Fatalf("connection %d is dialed twice", c.Conn)
				}
				dialed[c.Conn] = true
			}
			if out.AttemptsDisconnected {
				established = false
			}
			if out.Established {
				if established {
					t.Fatal("established twice")
				}
				established = true
			}
			if c.Epoch < before.Epoch {
				t.Fatal("the epoch went back")
			}
			if established != (c.State == Up) {
				t.Fatalf("state %v, established and not disconnected: %v", c.State, established)
			}
			if before.State != Down && c.State == Down && !out.AttemptsDisconnected {
				t.Fatal("went down without a report")
			}
		}
	})
}

// drawInput draws an input of a connection up to the last.
func drawInput(t *rapid.T, last uint32) Input {
	return Input{
		Kind:    InputKind(rapid.IntRange(0, int(inputKindCount)-1).Draw(t, "kind")),
		Address: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address"),
		Conn:    uint32(rapid.IntRange(0, int(last)).Draw(t, "conn")),
		Epoch:   uint64(rapid.IntRange(1, 4).Draw(t, "epoch")),
	}
}
