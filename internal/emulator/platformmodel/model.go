package platformmodel

import (
	"math"
	"math/rand/v2"
	"time"

	"forkhead/internal/protocol/platform"
)

// never is the due time of something that is not scheduled.
const never time.Duration = math.MaxInt64

// ConnID identifies a connection. Emulator.NewConnID returns the numbers, both for connections that the Emulator dials
// and for connections that its caller accepts. No number is used twice.
type ConnID uint64

// Action is an operation of a model on a connection.
type Action interface{ action() }

// The actions of a model, which are executed in order.
type (
	// Send sends one message: a line of the protocol, or a part of the watch's response. Faults that change, repeat or
	// reorder messages don't apply to a Head.
	Send struct {
		Conn ConnID
		Data []byte
		Head bool // the data is the HTTP response head of a watch stream
	}
	// Close closes a connection after all messages of earlier Sends have been written.
	Close struct{ Conn ConnID }
	// Connect connects to a placer. The model's ConnectionOpened or ConnectionClosed is called with the result.
	Connect struct {
		Conn   ConnID
		Placer int // number of the placer
	}
)

func (Send) action()    {}
func (Close) action()   {}
func (Connect) action() {}

// model is the interface that Host, Owner and EndpointLog share. Each method takes the current time, which never
// decreases, and returns the actions that follow from the call.
type model interface {
	// ConnectionOpened handles a connection to or from a placer that has been established.
	ConnectionOpened(now time.Duration, conn ConnID, placer int) []Action
	// Received handles bytes of a connection, which may begin and end within a message. It does not retain data.
	Received(now time.Duration, conn ConnID, data []byte) []Action
	// ConnectionClosed handles the end of a connection that the model has not closed itself. If the connection was
	// reset, the last messages of the placer may be lost.
	ConnectionClosed(now time.Duration, conn ConnID, reset bool) []Action
	// Step handles the timers that are due.
	Step(now time.Duration) []Action
	// Next returns the time by which Step must be called.
	Next() time.Duration
}

// Range is a range of durations to draw from uniformly; both bounds are included.
type Range struct{ Min, Max time.Duration }

func (r Range) draw(rng *rand.Rand) time.Duration {
	if r.Max <= r.Min {
		return r.Min
	}
	return r.Min + time.Duration(rng.Int64N(int64(r.Max-r.Min)+1))
}

func (r Range) valid() bool { return r.Min >= 0 && r.Max >= r.Min }

// actionQueue collects the actions that a model performs while it handles one input.
type actionQueue struct{ actions []Action }

func (q *actionQueue) add(a Action) { q.actions = append(q.actions, a) }

// sendMessage queues a Send of a message without a task's description.
func (q *actionQueue) sendMessage(conn ConnID, kind platform.MessageType, ref string, cause platform.Cause, fields ...platform.Field) {
	q.add(Send{Conn: conn, Data: platform.Append(nil, kind, ref, cause, nil, fields...)})
}

// takeActions returns the collected actions and empties the queue.
func (q *actionQueue) takeActions() []Action {
	taken := q.actions
	q.actions = nil
	return taken
}

// earliest returns the smallest of the given times, or never if there are none.
func earliest(times ...time.Duration) time.Duration {
	first := never
	for _, t := range times {
		first = min(first, t)
	}
	return first
}

// feedMessages calls handle with each message that the data completes. It stops at the first line that cannot be
// decoded and returns the error.
func feedMessages(lines *platform.LineSplitter, data []byte, handle func(*platform.Message)) error {
	return lines.Feed(data, func(line []byte) error {
		m, err := platform.Decode(line)
		if err == nil {
			handle(&m)
		}
		return err
	})
}
