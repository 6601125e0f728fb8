package platformreplay

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
)

// Writer writes a trace. It is a Tap of package internal/server/platform, to which a placer passes each of its steps.
// The trace grows without bound with time and traffic. Each complete step is flushed, so that a trace ends with a whole
// step unless its placer is killed during a write. A Writer is not safe for concurrent use.
type Writer struct {
	to           *bufio.Writer
	received     json.RawMessage
	stepsWritten int
	err          error
}

// NewWriter returns a writer for the trace of a placer that received a configuration.
func NewWriter(to io.Writer, received []byte) *Writer {
	return &Writer{to: bufio.NewWriter(to), received: received}
}

// Start writes the head of the trace.
func (w *Writer) Start(now time.Duration, config *platformcore.Config) {
	w.write(now, directionStart, typeHead, newHead(now, w.received, config))
	w.flush()
}

// Step writes a step with its inputs and outputs.
func (w *Writer) Step(now time.Duration, in []platformcore.Input, out []platformcore.Output) {
	w.write(now, directionStep, typeStep, stepValue{
		Step: w.stepsWritten, Nanoseconds: now % time.Microsecond, Inputs: len(in), Outputs: len(out),
	})
	for _, input := range in {
		lineType, value := encodeInput(input)
		w.write(now, directionIn, lineType, value)
	}
	for _, output := range out {
		lineType, value := encodeOutput(output)
		w.write(now, directionOut, lineType, value)
	}
	w.stepsWritten++
	w.flush()
}

// Err returns the first error. Nothing is written after an error, so that the trace has no gap.
func (w *Writer) Err() error { return w.err }

func (w *Writer) write(at time.Duration, dir direction, lineType string, value any) {
	if w.err != nil {
		return
	}
	var l *line
	if l, w.err = newLine(at, dir, lineType, value); w.err != nil {
		return
	}
	var text []byte
	if text, w.err = json.Marshal(l); w.err != nil {
		return
	}
	_, w.err = w.to.Write(append(text, '\n'))
}

func (w *Writer) flush() {
	if w.err == nil {
		w.err = w.to.Flush()
	}
}
