// Package hostconn has the states of a placer's connection to one host: when it is dialed, when messages may be sent, and
// what a new incarnation of the host means for attempts made in the earlier one. It is pure: the caller dials, writes,
// closes and sets timers as each Output says.
package hostconn

import (
	"strings"
	"time"

	"forkhead/internal/scheduler/statetable"
)

// State is the state of a connection.
type State uint8

// The states.
const (
	Down        State = iota // nothing is in progress; a reconnect is due if the host is listed
	Dialing                  // the connection is being made
	Handshaking              // Hello is written, Welcome awaited
	Up                       // messages may be sent
	stateCount
)

// stateNames are the names in traces, `explore --output json` and docs/design/attempts.md. Stored traces hold them, so
// they stay as they are where a constant is renamed; the same goes for inputNames.
var stateNames = [stateCount]string{"Down", "Dialling", "Greeting", "Up"} //nolint:misspell // stored names stay

// String returns the state's name in traces and in docs/design/attempts.md.
func (s State) String() string { return stateNames[s] }

// InputKind is the kind of an Input.
type InputKind uint8

// The kinds of input.
const (
	Listed          InputKind = iota // the endpoint list names the host at Input.Address
	Delisted                         // the endpoint list no longer names the host
	Dialed                           // connection Input.Conn is made
	Welcomed                         // the host answered Hello on Input.Conn with a Welcome of Input.Epoch
	Disconnected                     // connection Input.Conn failed, broke, or was closed
	RetryDue                         // the timer of Output.RetryAfter fired
	ConnectTimedOut                  // the timer of Output.ConnectTimeoutAfter fired for Input.Conn
	inputKindCount
)

var inputNames = [inputKindCount]string{
	"Listed", "Delisted", "Dialled", "Welcomed", "Broke", "Retry", "Late", //nolint:misspell // stored names stay
}

// String returns the kind's name in traces and in docs/design/attempts.md.
func (k InputKind) String() string { return inputNames[k] }

// Input is an event of a connection. Its kind determines which of the other fields it has.
type Input struct {
	Kind    InputKind
	Address string
	Conn    uint32
	Epoch   uint64
}

// Output is what the caller does after an input, in this order.
type Output struct {
	CloseConn            bool          // close connection ConnToClose
	ConnToClose          uint32        // the connection that was in use
	Dial                 bool          // dial Connection.Address as connection Connection.Conn
	SendHello            bool          // write Hello on Connection.Conn
	AttemptsDisconnected bool          // attempts made on the connection have lost it
	HostRestarted        bool          // the host's earlier incarnation ended, and with it what ran there
	Established          bool          // messages may be sent from now on
	StaleIncarnation     bool          // the host answered with an earlier incarnation than the last known one
	RetryAfter           time.Duration // > 0: set the timer of RetryDue
	ConnectTimeoutAfter  time.Duration // > 0: set the timer of ConnectTimedOut, for Connection.Conn
}

// Policy bounds waits.
type Policy struct {
	ConnectTimeout time.Duration // for dialing and the handshake together
	MinBackoff     time.Duration // mean wait before the first reconnect
	MaxBackoff     time.Duration // mean waits double up to this
}

// maxDoublings bounds the doublings of MinBackoff: more would overflow, and MaxBackoff is reached well before.
const maxDoublings = 16

// Connection is a placer's connection to one host, with what outlives a single TCP connection. The zero value is that of
// a host that is not listed yet.
type Connection struct {
	State    State
	Listed   bool   // the endpoint list names the host
	Address  string // at which it was last listed
	Conn     uint32 // number of the present or last TCP connection; each dial takes the next
	Epoch    uint64 // of the host's last known incarnation; 0: none yet
	Failures int    // since the connection was last up
}

// Handle applies an input. random is in [0, 1) and spreads reconnects, so that placers that lost a host together do not
// come back together. An input of an earlier TCP connection changes nothing.
func (c *Connection) Handle(in Input, p Policy, random float64) Output {
	var out Output
	switch in.Kind {
	case Listed:
		c.handleListed(&out, in.Address, p)
	case Delisted:
		c.handleDelisted(&out)
	case Dialed:
		c.handleDialed(&out, in.Conn)
	case Welcomed:
		c.handleWelcomed(&out, in, p, random)
	case Disconnected:
		c.handleDisconnected(&out, in.Conn, p, random)
	case RetryDue:
		c.handleRetryDue(&out, p)
	case ConnectTimedOut:
		c.handleConnectTimedOut(&out, in.Conn, p, random)
	}
	return out
}

func (c *Connection) handleListed(out *Output, address string, p Policy) {
	added := !c.Listed
	moved := c.Listed && c.Address != address
	c.Listed, c.Address = true, address
	if moved {
		c.closeConn(out)
		c.Failures = 0
	}
	if c.State == Down && (added || moved) {
		c.dial(out, p)
	}
}

// handleDelisted keeps a connection that is up, since the host goes on reporting what runs there.
func (c *Connection) handleDelisted(out *Output) {
	c.Listed = false
	if c.isConnecting() {
		c.closeConn(out)
	}
}

func (c *Connection) handleDialed(out *Output, conn uint32) {
	if c.State == Dialing && conn == c.Conn {
		c.State = Handshaking
		out.SendHello = true
	}
}

func (c *Connection) handleWelcomed(out *Output, in Input, p Policy, random float64) {
	if c.State != Handshaking || in.Conn != c.Conn {
		return
	}
	if in.Epoch < c.Epoch {
		// An earlier incarnation of the host still answers, at the same address or out of a buffer. It must not settle
		// what belongs to the later one.
		out.StaleIncarnation = true
		c.closeConn(out)
		c.scheduleRetry(out, p, random)
		return
	}
	out.HostRestarted = c.Epoch != 0 && in.Epoch > c.Epoch
	out.Established = true
	c.State, c.Epoch, c.Failures = Up, in.Epoch, 0
}

func (c *Connection) handleDisconnected(out *Output, conn uint32, p Policy, random float64) {
	if c.State == Down || conn != c.Conn {
		return
	}
	c.goDown(out) // it is closed already
	c.scheduleRetry(out, p, random)
}

func (c *Connection) handleRetryDue(out *Output, p Policy) {
	if c.State == Down && c.Listed {
		c.dial(out, p)
	}
}

func (c *Connection) handleConnectTimedOut(out *Output, conn uint32, p Policy, random float64) {
	if c.isConnecting() && conn == c.Conn {
		c.closeConn(out)
		c.scheduleRetry(out, p, random)
	}
}

func (c *Connection) isConnecting() bool { return c.State == Dialing || c.State == Handshaking }

// dial makes the next TCP connection.
func (c *Connection) dial(out *Output, p Policy) {
	c.Conn++
	c.State = Dialing
	out.Dial, out.ConnectTimeoutAfter = true, p.ConnectTimeout
}

// closeConn closes the present TCP connection, if there is one.
func (c *Connection) closeConn(out *Output) {
	if c.State == Down {
		return
	}
	out.CloseConn, out.ConnToClose = true, c.Conn
	c.goDown(out)
}

func (c *Connection) goDown(out *Output) {
	c.State = Down
	out.AttemptsDisconnected = true
}

// scheduleRetry counts a failure and sets the reconnect timer, if the host is listed.
func (c *Connection) scheduleRetry(out *Output, p Policy, random float64) {
	if !c.Listed {
		return
	}
	mean := min(p.MinBackoff<<min(c.Failures, maxDoublings), p.MaxBackoff)
	c.Failures++
	out.RetryAfter = max(time.Duration(float64(mean)*(0.5+random)), time.Millisecond)
}

// Table returns as a Markdown table what each input does to the connection of a listed host, where the input is of the
// known address, the present TCP connection and the known incarnation of the host.
func Table() string {
	return statetable.Render(stateNames[:], inputNames[:], func(kind, state int) string {
		from := State(state)
		c := Connection{State: from, Listed: true, Address: "a", Conn: 1, Epoch: 1}
		in := Input{Kind: InputKind(kind), Address: "a", Conn: 1, Epoch: 1}
		out := c.Handle(in, Policy{MinBackoff: time.Second, MaxBackoff: time.Second}, 0)
		return statetable.Cell(", ", from, c.State, out.describe())
	})
}

// describe lists what an output demands, in the terms of docs/design/attempts.md.
func (o *Output) describe() string {
	var parts []string
	for _, part := range []struct {
		present bool
		text    string
	}{
		{o.CloseConn, "close"},
		{o.AttemptsDisconnected, "broken"},
		{o.HostRestarted, "died"},
		{o.Dial, "dial"},
		{o.SendHello, "greet"},
		{o.Established, "opened"},
		{o.RetryAfter > 0, "retry later"},
	} {
		if part.present {
			parts = append(parts, part.text)
		}
	}
	return strings.Join(parts, ", ")
}
