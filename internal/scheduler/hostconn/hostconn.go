// Package hostconn holds the states of a placer's connection to one host: when it is dialled,
// greeted, up, down, and what the host's lives mean for what it held. It is pure: the shell
// dials, writes and sets timers as it is told.
package hostconn

import (
	"forkhead/internal/scheduler/statetable"
	"strings"
	"time"
)

// State is the state of a link.
type State uint8

// The states.
const (
	Down     State = iota // nothing is under way; a retry is due if the host is listed
	Dialing               // a connection is being made
	Handshaking              // Hello is written, Welcome awaited
	Up                    // frames may be sent
	states
)

var stateNames = [states]string{"Down", "Dialling", "Greeting", "Up"}

// String names the state.
func (s State) String() string { return stateNames[s] }

// InputKind is what can happen to a link.
type InputKind uint8

// The kinds of input.
const (
	Listed          InputKind = iota // the list names the host at Input.Address
	Delisted                         // the list no longer names it
	Dialed                           // connection Input.Conn is made
	Welcomed                         // the host greeted on Input.Conn with Input.Epoch
	Disconnected                     // connection Input.Conn failed, broke, or was closed
	RetryDue                         // the retry timer fired
	ConnectTimedOut                  // dialling or greeting on Input.Conn took too long
	kinds
)

var kindNames = [kinds]string{"Listed", "Delisted", "Dialled", "Welcomed", "Broke", "Retry", "Late"}

// String names the kind.
func (k InputKind) String() string { return kindNames[k] }

// Input is one thing that happened.
type Input struct {
	Kind    InputKind
	Address string
	Conn    uint32
	Epoch   uint64
}

// Output is what follows, in this order.
type Output struct {
	CloseConn                bool          // close connection Conn: it is the one that was in use
	ConnToClose              uint32        // its number
	Dial                 bool          // dial Link.Address as connection Link.Conn
	SendHello                bool          // write Hello on Link.Conn
	AttemptsDisconnected bool          // attempts on this link: Broke
	HostRestarted        bool          // the host's earlier life ended: attempts made in it have died
	Established               bool          // frames may be sent from now on
	StaleIncarnation     bool          // the host greeted with a life earlier than one that is known
	RetryAfter           time.Duration // > 0: set the retry timer
	ConnectTimeoutAfter  time.Duration // > 0: set the timer for dialling and greeting, for Link.Conn
}

// Policy bounds waits.
type Policy struct {
	ConnectTimeout time.Duration // dialling and greeting may take so long
	MinBackoff     time.Duration // mean wait before the first reconnect
	MaxBackoff     time.Duration // waits double up to this
}

// Connection is one connection to a host, with what outlives it.
type Connection struct {
	State    State
	Listed   bool
	Address  string
	Conn     uint32 // number of the present or last connection; each dial has the next
	Epoch    uint64 // of the host's last known life; 0: none yet
	Failures int    // since it was last up
}

// Handle takes an input. random is in [0, 1) and spreads reconnects, so that placers which all lost
// a host at one moment do not all come back at one.
func (l *Connection) Handle(in Input, p Policy, random float64) Output {
	var out Output
	switch in.Kind {
	case Listed:
		moved := l.Listed && l.Address != in.Address
		fresh := !l.Listed
		l.Listed, l.Address = true, in.Address
		if moved {
			l.drop(&out)
			l.Failures = 0
		}
		if l.State == Down && (fresh || moved) {
			l.dial(&out, p)
		}
	case Delisted:
		// The link stays as it is: what runs there goes on being heard of. It is not made anew.
		l.Listed = false
		if l.State == Dialing || l.State == Handshaking {
			l.drop(&out)
		}
	case Dialed:
		if l.State == Dialing && in.Conn == l.Conn {
			l.State = Handshaking
			out.SendHello = true
		}
	case Welcomed:
		if l.State != Handshaking || in.Conn != l.Conn {
			break
		}
		if in.Epoch < l.Epoch {
			// Guards against a host's earlier life that is still answering, on the same address or
			// out of a buffer: it must not settle what belongs to the later one.
			out.StaleIncarnation = true
			l.drop(&out)
			l.retry(&out, p, random)
			break
		}
		if l.Epoch != 0 && in.Epoch > l.Epoch {
			out.HostRestarted = true
		}
		l.Epoch, l.State, l.Failures = in.Epoch, Up, 0
		out.Established = true
	case Disconnected:
		if l.State == Down || in.Conn != l.Conn {
			break
		}
		l.drop(&out)
		out.CloseConn = false // it is closed
		l.retry(&out, p, random)
	case ConnectTimedOut:
		if (l.State == Dialing || l.State == Handshaking) && in.Conn == l.Conn {
			l.drop(&out)
			l.retry(&out, p, random)
		}
	case RetryDue:
		if l.State == Down && l.Listed {
			l.dial(&out, p)
		}
	}
	return out
}

func (l *Connection) dial(out *Output, p Policy) {
	l.Conn++
	l.State = Dialing
	out.Dial, out.ConnectTimeoutAfter = true, p.ConnectTimeout
}

func (l *Connection) drop(out *Output) {
	if l.State == Down {
		return
	}
	out.CloseConn, out.ConnToClose, out.AttemptsDisconnected = true, l.Conn, true
	l.State = Down
}

func (l *Connection) retry(out *Output, p Policy, random float64) {
	if !l.Listed {
		return
	}
	wait := min(p.MinBackoff<<min(l.Failures, 16), p.MaxBackoff)
	l.Failures++
	out.RetryAfter = max(time.Duration(float64(wait)*(0.5+random)), time.Millisecond)
}

// Table writes what each input does to a listed link, as rows of a page: Listed with the address
// that is known, and all else of the present connection and the known life of the host.
func Table() string {
	return statetable.Render(stateNames[:], kindNames[:], func(k, s int) string {
		l := Connection{State: State(s), Listed: true, Address: "a", Conn: 1, Epoch: 1}
		o := l.Handle(Input{Kind: InputKind(k), Address: "a", Conn: 1, Epoch: 1}, Policy{MinBackoff: time.Second, MaxBackoff: time.Second}, 0)
		var words []string
		if l.State != State(s) {
			words = append(words, l.State.String())
		}
		for _, w := range []struct {
			on   bool
			name string
		}{
			{o.CloseConn, "close"}, {o.AttemptsDisconnected, "broken"}, {o.HostRestarted, "died"}, {o.Dial, "dial"}, {o.SendHello, "greet"}, {o.Established, "opened"},
			{o.RetryAfter > 0, "retry later"},
		} {
			if w.on {
				words = append(words, w.name)
			}
		}
		return strings.Join(words, ", ")
	})
}
