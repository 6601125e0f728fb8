package platformreplay

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
	"unicode/utf8"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// Version is the version of the trace format; a reader rejects any other. It must be raised when the members of a value
// change, or when a build gives a member another meaning or form.
const Version = 1

// direction is the kind of a line.
type direction string

const (
	directionStart direction = "start" // the head
	directionStep  direction = "step"  // beginning of a step
	directionIn    direction = "in"    // input of the core
	directionOut   direction = "out"   // output of the core
)

// Types of the lines that are neither inputs nor outputs.
const (
	typeHead = "platform.Trace"
	typeStep = "platform.Step"
)

// line is one line of a trace.
type line struct {
	At        int64           `json:"at"` // microseconds since the Unix epoch
	Direction direction       `json:"way"`
	Type      string          `json:"what"`
	Value     json.RawMessage `json:"value"`
}

// newLine returns a line that holds a value as JSON.
func newLine(at time.Duration, dir direction, lineType string, value any) (*line, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encoding %s: %w", lineType, err)
	}
	return &line{At: at.Microseconds(), Direction: dir, Type: lineType, Value: text}, nil
}

// String returns the line without its time. Outputs are compared and printed in this form.
func (l *line) String() string { return l.Type + " " + string(l.Value) }

// Head holds the parameters that the core was started with.
type Head struct {
	Version int
	Start   time.Duration   // start of the incarnation, in nanoseconds since the Unix epoch
	Config  json.RawMessage // configuration as the placer received it
	Seed    Seed

	// The fields below are copied from the core's Config. The event loop around the core derived them from the
	// configuration.
	MaxOwnerConnections       int
	MaxHostConnections        int
	MaxConnections            int
	ProtectedOwnerConnections int
	InitialEvents             []platform.WatchEvent
}

// Seed is the core's random seed. JSON has it as 16 hex digits, because readers that parse numbers as floats would
// round it.
type Seed uint64

// MarshalText returns the seed as 16 hex digits.
func (s Seed) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(s)), nil }

// UnmarshalText parses hex digits.
func (s *Seed) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*s = Seed(n)
	return err
}

// newHead returns the head of a trace that begins at a given time. The core's configuration was derived from the one
// that the placer received.
func newHead(now time.Duration, received json.RawMessage, core *platformcore.Config) Head {
	return Head{
		Version: Version, Start: now, Config: received, Seed: Seed(core.Seed),
		MaxOwnerConnections: core.MaxOwnerConnections, MaxHostConnections: core.MaxHostConnections, MaxConnections: core.MaxConnections,
		ProtectedOwnerConnections: core.ProtectedOwnerConnections, InitialEvents: core.InitialEvents,
	}
}

// stepValue is the value of the line that begins a step.
type stepValue struct {
	Step        int           // counted from 0
	Nanoseconds time.Duration // nanoseconds to add to the line's time, which is in microseconds
	Inputs      int           // number of input lines that follow
	Outputs     int           // number of output lines that follow the inputs
}

// now returns the time of the step. The parameter is the time of the step's line, in microseconds.
func (v *stepValue) now(at int64) time.Duration {
	return time.Duration(at)*time.Microsecond + v.Nanoseconds
}

// exactBytes returns nil if data is valid UTF-8. Otherwise it returns data, which a JSON string cannot hold.
func exactBytes(data []byte) []byte {
	if utf8.Valid(data) {
		return nil
	}
	return data
}

// originalBytes returns the recorded bytes: the exact bytes if they are not nil, and otherwise the text.
func originalBytes(text string, exact []byte) []byte {
	if exact != nil {
		return exact
	}
	return []byte(text)
}
