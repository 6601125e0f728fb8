package platformreplay

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"forkhead/internal/parse/platformconfig"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/moduledriver"
	platformcore "forkhead/internal/scheduler/platform"
)

// Result is the result of replaying a trace.
type Result struct {
	Steps      int         `json:"steps"` // steps replayed
	Truncated  bool        `json:"cut"`   // the trace ends within a step, which is not replayed
	Difference *Difference `json:"difference,omitempty"`
}

// Difference describes the first step whose outputs differ from those of the trace. A line is given as its type and
// value. Later steps are not replayed, because the state of the core differs from the recorded one by then.
type Difference struct {
	Step   int           `json:"step"`   // counted from 0
	Now    time.Duration `json:"now"`    // nanoseconds since the Unix epoch
	Output int           `json:"output"` // index of the first output that differs, from 0
	Inputs []string      `json:"inputs"`
	Want   []string      `json:"want"` // outputs in the trace
	Got    []string      `json:"got"`  // outputs of this build
}

// PanicError means that the core panicked in a step of a trace.
type PanicError struct {
	Step  int
	Now   time.Duration // since the Unix epoch
	Value any           // value passed to panic
}

// Error returns a message with the step and the panic's value.
func (e PanicError) Error() string {
	return fmt.Sprintf("step %d: the core panicked: %v", e.Step, e.Value)
}

// Replay steps a core of this build through a trace and compares its outputs with the recorded ones byte for byte. The
// function decide replaces the placement module, unless decide is nil. Replay returns a PanicError if the core panics,
// and another error if the trace cannot be read.
func Replay(from io.Reader, decide moduledriver.Decide) (*Result, error) {
	r, err := NewReader(from)
	if err != nil {
		return nil, err
	}
	config, err := coreConfig(&r.Head)
	if err != nil {
		return nil, err
	}
	config.Decide = decide
	core, err := platformcore.New(config)
	if err != nil {
		return nil, err
	}
	result := &Result{}
	for {
		s, err := r.Next()
		if errors.Is(err, io.EOF) || errors.Is(err, ErrTruncated) {
			result.Truncated = errors.Is(err, ErrTruncated)
			return result, nil
		}
		if err != nil {
			return nil, err
		}
		outputs, err := stepCore(core, s)
		if err != nil {
			return nil, err
		}
		result.Steps++
		result.Difference = compare(s, outputs)
		if result.Difference != nil {
			return result, nil
		}
	}
}

// coreConfig returns the configuration that the placer started its core with.
func coreConfig(head *Head) (platformcore.Config, error) {
	received, err := platform.ParseConfig(head.Config)
	if err != nil {
		return platformcore.Config{}, err
	}
	info, err := platformconfig.Parse(received.Settings)
	if err != nil {
		return platformcore.Config{}, err
	}
	settings, err := platformconfig.ModuleSettings(info)
	if err != nil {
		return platformcore.Config{}, err
	}
	config := platformcore.NewConfig(info, settings)
	config.Seed = uint64(head.Seed)
	config.InitialEvents = head.InitialEvents
	config.MaxOwnerConnections = head.MaxOwnerConnections
	config.MaxHostConnections = head.MaxHostConnections
	config.MaxConnections = head.MaxConnections
	config.ProtectedOwnerConnections = head.ProtectedOwnerConnections
	return config, nil
}

// stepCore steps the core. It returns a PanicError if the core panics.
func stepCore(core *platformcore.Core, s *Step) (outputs []platformcore.Output, err error) {
	defer func() {
		if value := recover(); value != nil {
			err = PanicError{Step: s.Number, Now: s.Now, Value: value}
		}
	}()
	return core.Step(s.Now, s.Inputs...), nil
}

// compare returns the difference between outputs and those of a step in the trace, or nil if they are equal.
func compare(s *Step, outputs []platformcore.Output) *Difference {
	want := lineTexts(s.outputs)
	var got []string
	for _, output := range outputs {
		got = append(got, outputText(s.Now, output))
	}
	if slices.Equal(want, got) {
		return nil
	}
	return &Difference{
		Step: s.Number, Now: s.Now, Output: firstDifference(want, got), Inputs: lineTexts(s.inputs), Want: want, Got: got,
	}
}

// outputText returns an output in the form of its line in a trace. An output that cannot be encoded is returned as the
// error's text, which differs from every line.
func outputText(now time.Duration, output platformcore.Output) string {
	lineType, value := encodeOutput(output)
	l, err := newLine(now, directionOut, lineType, value)
	if err != nil {
		return err.Error()
	}
	return l.String()
}

func lineTexts(lines []*line) []string {
	var texts []string
	for _, l := range lines {
		texts = append(texts, l.String())
	}
	return texts
}

// firstDifference returns the first index at which two lists differ, or the length of the shorter one.
func firstDifference(a, b []string) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}
