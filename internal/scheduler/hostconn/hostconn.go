// Package hostconn defines the states of a placer's connection to one host: when the host is dialed, when messages may
// be sent, and what a new incarnation of the host means for attempts made in an earlier one. The package is pure: the
// caller dials, writes, closes connections and sets timers as each Output tells it to.
package hostconn

import (
	"strings"
	"time"

	"forkhead/internal/scheduler/statetable"
)

// State is the state of a connection.
type State uint8

// The states of a connection.
const (
	Down        State = iota // there is no TCP connection and none is being made; a reconnect is due if the host is listed
	Dialing                  // the TCP connection is being made
	Handshaking              // Hello is written and Welcome is awaited
	Up                       // messages may be sent
	stateCount
)

// stateNames holds the names used in traces, `explore --output json` and docs/design/attempts.md. Stored traces contain
// them, so a name stays the same when its constant is renamed; this also applies to inputNames.
var stateNames = [stateCount]string{"Down", "Dialling", "Greeting", "Up"} //nolint:misspell // stored names stay

// String returns the state's name in traces and in docs/design/attempts.md.
func (s State) String() string { return stateNames[s] }

// InputKind is the kind of an Input.
type InputKind uint8

// The kinds of input.
const (
	Listed          InputKind = iota // the endpoint list names the host at Input.Address
	Delisted                         // the endpoint list no longer names the host
	Dialed                           // connection Input.Conn was made
	Welcomed                         // the host answered Hello on Input.Conn with a Welcome that has Input.Epoch
	Disconnected                     // connection Input.Conn could not be made, broke, or was closed
	RetryDue                         // the timer of Output.RetryAfter fired
	ConnectTimedOut                  // the timer of Output.ConnectTimeoutAfter fired for Input.Conn
	inputKindCount
)

// inputNames holds the names of the kinds of input; see stateNames.
var inputNames = [inputKindCount]string{
	"Listed", "Delisted", "Dialled", "Welcomed", "Broke", "Retry", "Late", //nolint:misspell // stored names stay
}

// String returns the kind's name in traces and in docs/design/attempts.md.
func (k InputKind) String() string { return inputNames[k] }

// Input is an event that concerns a connection. Its kind determines which of the other fields are set.
type Input struct {
	Kind    InputKind
	Address string
	Conn    uint32
	Epoch   uint64
}

// Output tells the caller which actions to execute after an input, in the order of the fields.
type Output struct {
	CloseConn            bool          // close connection ConnToClose
	ConnToClose          uint32        // number of the connection that was in use until the input
	Dial                 bool          // dial Connection.Address as connection Connection.Conn
	SendHello            bool          // write Hello on Connection.Conn
	AttemptsDisconnected bool          // the attempts made on the connection are disconnected from the host
	HostRestarted        bool          // the host's earlier incarnation ended, and with it all tasks that ran there
	Established          bool          // messages may be sent from now on
	StaleIncarnation     bool          // the host answered as an earlier incarnation than the last known one
	RetryAfter           time.Duration // if > 0, set a timer that causes the input RetryDue
	ConnectTimeoutAfter  time.Duration // if > 0, set a timer that causes the input ConnectTimedOut for Connection.Conn
}

// Policy bounds the time to connect and the waits between reconnects.
type Policy struct {
	ConnectTimeout time.Duration // for dialing and the handshake together
	MinBackoff     time.Duration // mean wait before the first reconnect
	MaxBackoff     time.Duration // upper bound of mean waits, which double with each failure
}

// maxDoublings bounds the doublings of MinBackoff, since more would overflow. MaxBackoff is reached well before.
const maxDoublings = 16

// Connection is a placer's connection to one host, including the state that outlives a single TCP connection. The zero
// value is the connection of a host that is not listed yet.
type Connection struct {
	State    State
	Listed   bool   // the endpoint list names the host
	Address  string // address at which the host was last listed
	Conn     uint32 // number of the current or last TCP connection; each dial takes the next number
	Epoch    uint64 // epoch of the host's last known incarnation; 0 if none is known
	Failures int    // failures since the connection was last up, or since the address changed
}

// Handle applies an input and returns what the caller has to do. The parameter random, in [0, 1), determines the jitter
// of reconnects: placers that lost a host at the same time do not all reconnect at the same time. Inputs that concern
// an earlier TCP connection change nothing.
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
	// The connection of a delisted host stays open. If the host is listed again elsewhere, another process has its name.
	moved := c.Address != address && (c.Listed || c.State != Down)
	c.Listed, c.Address = true, address
	if moved {
		c.closeConn(out)
		c.Failures = 0
	}
	if c.State == Down && (added || moved) {
		c.dial(out, p)
	}
}

// handleDelisted keeps a connection that is up, since the host still reports what runs there.
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
		// An earlier incarnation of the host still runs at the same address, or its Welcome was still in a buffer. Its
		// messages must not settle attempts that were made in the later incarnation.
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
	c.goDown(out) // the TCP connection is closed already
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

// dial starts the next TCP connection.
func (c *Connection) dial(out *Output, p Policy) {
	c.Conn++
	c.State = Dialing
	out.Dial, out.ConnectTimeoutAfter = true, p.ConnectTimeout
}

// closeConn closes the current TCP connection, if there is one.
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

// scheduleRetry counts a failure and sets the timer for the reconnect, if the host is listed.
func (c *Connection) scheduleRetry(out *Output, p Policy, random float64) {
	if !c.Listed {
		return
	}
	mean := min(p.MinBackoff<<min(c.Failures, maxDoublings), p.MaxBackoff)
	c.Failures++
	out.RetryAfter = max(time.Duration(float64(mean)*(0.5+random)), time.Millisecond)
}

// Table returns a Markdown table of what each input does to the connection of a listed host. The inputs have the known
// address, the current TCP connection and the known incarnation of the host.
func Table() string {
	return statetable.Render(stateNames[:], inputNames[:], func(kind, state int) string {
		from := State(state)
		c := Connection{State: from, Listed: true, Address: "a", Conn: 1, Epoch: 1}
		in := Input{Kind: InputKind(kind), Address: "a", Conn: 1, Epoch: 1}
		out := c.Handle(in, Policy{MinBackoff: time.Second, MaxBackoff: time.Second}, 0)
		return statetable.Cell(", ", from, c.State, out.describe())
	})
}

// describe lists what an output tells the caller to do, in the terms of docs/design/attempts.md.
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
