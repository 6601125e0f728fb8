package platformreplay

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
)

// ErrTruncated means that a trace ends within a step: its placer was killed while it wrote, or the file is a part of one.
var ErrTruncated = errors.New("the trace ends within a step")

// errNoTrace means that a file does not begin as a trace does.
var errNoTrace = errors.New("not a trace of forkhead node")

// Step is one step of the core as it was recorded.
type Step struct {
	Number  int           // from 0
	Now     time.Duration // since the Unix epoch
	Inputs  []platformcore.Input
	inputs  []*line
	outputs []*line
}

// Reader reads a trace. It is not safe for concurrent use.
type Reader struct {
	Head Head

	from  *bufio.Reader
	lines int // read so far
	steps int // read so far
}

// NewReader returns a reader that has read the head. Its error says why that cannot be read.
func NewReader(from io.Reader) (*Reader, error) {
	r := &Reader{from: bufio.NewReader(from)}
	l, err := r.readLine()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoTrace, err)
	}
	if l.Direction != directionStart || l.What != whatHead {
		return nil, fmt.Errorf("%w: it begins with %s", errNoTrace, l.What)
	}
	version, err := decodeAs[struct{ Version int }](l)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoTrace, err)
	}
	if version.Version != Version {
		return nil, fmt.Errorf("the trace is of version %d; want %d", version.Version, Version)
	}
	if r.Head, err = decodeAs[Head](l); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoTrace, err)
	}
	return r, nil
}

// Next returns the next step. Its error is io.EOF at the end, ErrTruncated if the trace ends within the step, and otherwise names
// the line that cannot be read.
func (r *Reader) Next() (*Step, error) {
	first, err := r.readLine()
	if err != nil {
		return nil, err
	}
	if first.Direction != directionStep || first.What != whatStep {
		return nil, r.lineError(fmt.Errorf("%s %q, want a step", first.Direction, first.What))
	}
	value, err := decodeAs[stepValue](first)
	if err != nil {
		return nil, r.lineError(err)
	}
	if value.Step != r.steps {
		return nil, r.lineError(fmt.Errorf("step %d, want %d", value.Step, r.steps))
	}
	s := &Step{Number: value.Step, Now: value.now(first.At)}
	if err := r.readInputs(s, value.Inputs); err != nil {
		return nil, err
	}
	if s.outputs, err = r.readLines(value.Outputs, directionOut); err != nil {
		return nil, err
	}
	r.steps++
	return s, nil
}

// readInputs reads the inputs of a step.
func (r *Reader) readInputs(s *Step, count int) error {
	var err error
	if s.inputs, err = r.readLines(count, directionIn); err != nil {
		return err
	}
	for i, l := range s.inputs {
		input, err := decodeInput(l)
		if err != nil {
			return fmt.Errorf("line %d: %w", r.lines-count+i+1, err)
		}
		s.Inputs = append(s.Inputs, input)
	}
	return nil
}

// readLines reads so many lines of a step, all of one direction.
func (r *Reader) readLines(count int, way direction) ([]*line, error) {
	var lines []*line
	for range count {
		l, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return nil, ErrTruncated
		}
		if err != nil {
			return nil, err
		}
		if l.Direction != way {
			return nil, r.lineError(fmt.Errorf("way %q, want %q", l.Direction, way))
		}
		lines = append(lines, l)
	}
	return lines, nil
}

// readLine reads a line. It returns io.EOF at the end of the trace, and ErrTruncated for a line without a line feed.
func (r *Reader) readLine() (*line, error) {
	text, err := r.from.ReadBytes('\n')
	if errors.Is(err, io.EOF) && len(text) > 0 {
		return nil, ErrTruncated
	}
	if err != nil {
		return nil, err
	}
	r.lines++
	var l line
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, r.lineError(err)
	}
	return &l, nil
}

// lineError says in which line something is wrong.
func (r *Reader) lineError(err error) error { return fmt.Errorf("line %d: %w", r.lines, err) }
