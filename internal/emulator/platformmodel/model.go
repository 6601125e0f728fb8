package platformmodel

import (
	"math"
	"math/rand/v2"
	"time"

	"forkhead/internal/protocol/platform"
)

// never is a time that does not come.
const never time.Duration = math.MaxInt64

// ConnID numbers a connection. The Emulator chooses those that it dials, its shell those that it accepts; none is used twice.
type ConnID uint64

// Action is something that a model does on a connection.
type Action interface{ action() }

// The actions, to be executed in their order.
type (
	// Send sends one message: a line, or a piece of the watch's stream. Faults that change messages leave a Head as it is.
	Send struct {
		Conn ConnID
		Data []byte
		Head bool // it begins a stream
	}
	// Close closes a connection after what was sent on it.
	Close struct{ Conn ConnID }
	// Connect connects to a placer; ConnectionOpened or ConnectionClosed of the model follows.
	Connect struct {
		Conn   ConnID
		Placer int // number of the placer
	}
)

func (Send) action()    {}
func (Close) action()   {}
func (Connect) action() {}

// model is what a Host, an Owner and an EndpointLog have in common. Times never go back.
type model interface {
	// ConnectionOpened says that a connection to or from a placer is open.
	ConnectionOpened(now time.Duration, conn ConnID, placer int) []Action
	// Received brings bytes in any pieces, which the model does not keep.
	Received(now time.Duration, conn ConnID, data []byte) []Action
	// ConnectionClosed says that a connection has ended that the model has not closed. reset says that what its placer sent
	// last may be lost.
	ConnectionClosed(now time.Duration, conn ConnID, reset bool) []Action
	// Step does what is due.
	Step(now time.Duration) []Action
	// Next returns when Step is to be called at the latest.
	Next() time.Duration
}

// Range is a range of times to draw from, both ends included.
type Range struct{ Min, Max time.Duration }

func (r Range) draw(rng *rand.Rand) time.Duration {
	if r.Max <= r.Min {
		return r.Min
	}
	return r.Min + time.Duration(rng.Int64N(int64(r.Max-r.Min)+1))
}

func (r Range) valid() bool { return r.Min >= 0 && r.Max >= r.Min }

// actionQueue collects the actions of one input.
type actionQueue struct{ actions []Action }

func (q *actionQueue) add(a Action) { q.actions = append(q.actions, a) }

// sendMessage sends a message without a description.
func (q *actionQueue) sendMessage(conn ConnID, kind platform.MessageType, ref string, cause platform.Cause, fields ...platform.Field) {
	q.add(Send{Conn: conn, Data: platform.Append(nil, kind, ref, cause, nil, fields...)})
}

// takeActions returns what was collected.
func (q *actionQueue) takeActions() []Action {
	taken := q.actions
	q.actions = nil
	return taken
}

// earliest returns the first of some times.
func earliest(times ...time.Duration) time.Duration {
	first := never
	for _, t := range times {
		first = min(first, t)
	}
	return first
}

// feedMessages reads the messages that bytes complete. It stops at the first line that can't be read, with an error.
func feedMessages(lines *platform.LineSplitter, data []byte, handle func(*platform.Message)) error {
	return lines.Feed(data, func(line []byte) error {
		m, err := platform.Decode(line)
		if err == nil {
			handle(&m)
		}
		return err
	})
}
