package platformreplay

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
)

// Writer writes a trace, as the tap of a placer. A trace grows with the traffic and with time, and has no bound. Each step
// is written out when it is complete, so that a trace ends with a whole step unless its placer is killed while it writes.
// A Writer is not safe for concurrent use.
type Writer struct {
	to       *bufio.Writer
	received json.RawMessage
	steps    int
	err      error
}

// NewWriter returns a writer of a trace of a placer that received a configuration.
func NewWriter(to io.Writer, received []byte) *Writer {
	return &Writer{to: bufio.NewWriter(to), received: received}
}

// Start writes the head of the trace.
func (w *Writer) Start(now time.Duration, config *platformcore.Config) {
	w.write(now, directionStart, whatHead, newHead(now, w.received, config))
	w.flush()
}

// Step writes a step.
func (w *Writer) Step(now time.Duration, in []platformcore.Input, out []platformcore.Output) {
	w.write(now, directionStep, whatStep, stepValue{
		Step: w.steps, Nanoseconds: now % time.Microsecond, Inputs: len(in), Outputs: len(out),
	})
	for _, input := range in {
		what, value := encodeInput(input)
		w.write(now, directionIn, what, value)
	}
	for _, output := range out {
		what, value := encodeOutput(output)
		w.write(now, directionOut, what, value)
	}
	w.steps++
	w.flush()
}

// Err returns the first error. What comes after it is not written, so that the trace is whole as far as it goes.
func (w *Writer) Err() error { return w.err }

func (w *Writer) write(at time.Duration, way direction, what string, value any) {
	if w.err != nil {
		return
	}
	var l *line
	if l, w.err = newLine(at, way, what, value); w.err != nil {
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
