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

// ErrTruncated means that a trace ends within a step: its placer was killed during a write, or the file is incomplete.
var ErrTruncated = errors.New("the trace ends within a step")

// errNotATrace means that a file does not begin with the head of a trace.
var errNotATrace = errors.New("not a trace of forkhead node")

// Step is one step of the core as it was recorded.
type Step struct {
	Number  int           // counted from 0
	Now     time.Duration // since the Unix epoch
	Inputs  []platformcore.Input
	inputs  []*line
	outputs []*line
}

// Reader reads a trace. It is not safe for concurrent use.
type Reader struct {
	Head Head

	from      *bufio.Reader
	linesRead int
	stepsRead int
}

// NewReader returns a reader that has read the head. It returns an error if the head cannot be read.
func NewReader(from io.Reader) (*Reader, error) {
	r := &Reader{from: bufio.NewReader(from)}
	l, err := r.readLine()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotATrace, err)
	}
	if l.Direction != directionStart || l.Type != typeHead {
		return nil, fmt.Errorf("%w: it begins with a line of type %s", errNotATrace, l.Type)
	}
	version, err := decodeAs[struct{ Version int }](l)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotATrace, err)
	}
	if version.Version != Version {
		return nil, fmt.Errorf("the trace is of version %d; want %d", version.Version, Version)
	}
	if r.Head, err = decodeAs[Head](l); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotATrace, err)
	}
	return r, nil
}

// Next returns the next step. It returns io.EOF at the end, ErrTruncated if the trace ends within the step, and
// otherwise an error that names the line that cannot be read.
func (r *Reader) Next() (*Step, error) {
	first, err := r.readLine()
	if err != nil {
		return nil, err
	}
	if first.Direction != directionStep || first.Type != typeStep {
		return nil, r.lineError(fmt.Errorf("way %q of type %q, want a step", first.Direction, first.Type))
	}
	value, err := decodeAs[stepValue](first)
	if err != nil {
		return nil, r.lineError(err)
	}
	if value.Step != r.stepsRead {
		return nil, r.lineError(fmt.Errorf("step number %d, want %d", value.Step, r.stepsRead))
	}
	s := &Step{Number: value.Step, Now: value.now(first.At)}
	if err := r.readInputs(s, value.Inputs); err != nil {
		return nil, err
	}
	if s.outputs, err = r.readLines(value.Outputs, directionOut); err != nil {
		return nil, err
	}
	r.stepsRead++
	return s, nil
}

// readInputs reads and decodes the inputs of a step.
func (r *Reader) readInputs(s *Step, count int) error {
	var err error
	if s.inputs, err = r.readLines(count, directionIn); err != nil {
		return err
	}
	for i, l := range s.inputs {
		input, err := decodeInput(l)
		if err != nil {
			return fmt.Errorf("line %d: %w", r.linesRead-count+i+1, err)
		}
		s.Inputs = append(s.Inputs, input)
	}
	return nil
}

// readLines reads count lines of a step, which must all have the given direction.
func (r *Reader) readLines(count int, dir direction) ([]*line, error) {
	var lines []*line
	for range count {
		l, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return nil, ErrTruncated
		}
		if err != nil {
			return nil, err
		}
		if l.Direction != dir {
			return nil, r.lineError(fmt.Errorf("way %q, want %q", l.Direction, dir))
		}
		lines = append(lines, l)
	}
	return lines, nil
}

// readLine reads a line. It returns io.EOF at the end of the trace, and ErrTruncated if the last line has no line feed.
func (r *Reader) readLine() (*line, error) {
	text, err := r.from.ReadBytes('\n')
	if errors.Is(err, io.EOF) && len(text) > 0 {
		return nil, ErrTruncated
	}
	if err != nil {
		return nil, err
	}
	r.linesRead++
	var l line
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, r.lineError(err)
	}
	return &l, nil
}

// lineError wraps err with the number of the line that was read last.
func (r *Reader) lineError(err error) error { return fmt.Errorf("line %d: %w", r.linesRead, err) }
