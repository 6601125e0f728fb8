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

// Version is that of the format. A reader takes no other: a change of a value's members, or of what a build returns in
// them, needs a new one.
const Version = 1

// direction says what a line is.
type direction string

const (
	directionStart direction = "start" // the head
	directionStep  direction = "step"  // the beginning of a step
	directionIn    direction = "in"    // an input of the core
	directionOut   direction = "out"   // an output of the core
)

// Types of the lines that are neither inputs nor outputs.
const (
	whatHead = "platform.Trace"
	whatStep = "platform.Step"
)

// line is one line of a trace.
type line struct {
	At        int64           `json:"at"` // microseconds
	Direction direction       `json:"way"`
	What      string          `json:"what"`
	Value     json.RawMessage `json:"value"`
}

// newLine returns a line with a value as JSON.
func newLine(at time.Duration, way direction, what string, value any) (*line, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", what, err)
	}
	return &line{At: at.Microseconds(), Direction: way, What: what, Value: text}, nil
}

// String is the line without its time, as two outputs are compared and shown.
func (l *line) String() string { return l.What + " " + string(l.Value) }

// Head is what the core was started with.
type Head struct {
	Version int
	Start   time.Duration   // of the incarnation, in nanoseconds since the Unix epoch
	Config  json.RawMessage // the placer's configuration, as it was received
	Seed    Seed

	// What follows is as the shell made it of the configuration; see the core's Config.
	MaxOwnerConnections       int
	MaxHostConnections        int
	MaxConnections            int
	ProtectedOwnerConnections int
	InitialEvents             []platform.WatchEvent
}

// Seed is the seed of the core, in JSON as 16 hex digits: readers that take numbers for floats would change it.
type Seed uint64

// MarshalText returns the hex digits.
func (s Seed) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(s)), nil }

// UnmarshalText takes the hex digits.
func (s *Seed) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*s = Seed(n)
	return err
}

// newHead returns the head of a trace that begins now. received is the configuration that core was made of.
func newHead(now time.Duration, received json.RawMessage, core *platformcore.Config) Head {
	return Head{
		Version: Version, Start: now, Config: received, Seed: Seed(core.Seed),
		MaxOwnerConnections: core.MaxOwnerConnections, MaxHostConnections: core.MaxHostConnections, MaxConnections: core.MaxConnections,
		ProtectedOwnerConnections: core.ProtectedOwnerConnections, InitialEvents: core.InitialEvents,
	}
}

// stepValue is the value of the line that begins a step.
type stepValue struct {
	Step        int           // from 0
	Nanoseconds time.Duration // of the step's time, beyond the microseconds of at
	Inputs      int           // lines that follow
	Outputs     int           // lines that follow the inputs
}

// now returns the time of a step whose line has these microseconds.
func (v *stepValue) now(at int64) time.Duration {
	return time.Duration(at)*time.Microsecond + v.Nanoseconds
}

// exactBytes returns bytes that JSON cannot hold as text, and nil for those that it can.
func exactBytes(data []byte) []byte {
	if utf8.Valid(data) {
		return nil
	}
	return data
}

// originalBytes returns the bytes that stand as text, or as exact bytes where these are not nil.
func originalBytes(text string, exact []byte) []byte {
	if exact != nil {
		return exact
	}
	return []byte(text)
}
