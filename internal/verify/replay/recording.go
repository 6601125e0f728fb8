// Package replay records the steps of a running placer's core, and replays them: the same core, the same inputs at the same
// times, and so the same outputs, without sockets. A run on a busy machine can be looked at step by step that way.
//
// A recording is gzip of gob: a Head, then the steps in their stored form (stored_form.go, snapshot.go, specification.go),
// which is independent of the names of the core's types. Files of recordings, and messages about them, say tape.
package replay

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"encoding/json"
	"errors"
	"time"

	"forkhead/internal/scheduler/core"
)

// Version is the version of the stored form. No other is read.
const Version = 1

// Head is the beginning of a recording: what an incarnation of a placer was started with. It is stored as it is, by the
// names of its fields.
type Head struct {
	Version int
	File    string // name of the scenario
	Script  []byte // the scenario's text
	Placer  int    // number of the placer in the scenario's settings
	Seed    uint64
	Epoch   uint64 // of the incarnation
	Durable bool   // the core has a store
}

// Step is one step of a core.
type Step struct {
	Now time.Duration // since the epoch of the run's clock
	Due time.Duration // when the core had requested to be stepped next, on the same clock; 0: it had not
	In  []core.Input
	Out []string // by FormatOutput
}

// FormatOutput returns an output as a line: its name in the stored form, and its fields in JSON.
func FormatOutput(out core.Output) string {
	name, form := recordOutput(out)
	text, err := json.Marshal(form)
	if err != nil {
		text = []byte(err.Error())
	}
	return name + " " + string(text)
}

// FormatOutputs returns the outputs of a step as lines.
func FormatOutputs(outputs []core.Output) []string {
	formatted := make([]string, len(outputs))
	for i, out := range outputs {
		formatted[i] = FormatOutput(out)
	}
	return formatted
}

// ErrFull means that a recording has reached its bound. Later steps are not in it.
var ErrFull = errors.New("the tape is full")

// Writer holds a recording in memory, compressed. It is not safe for concurrent use.
type Writer struct {
	buf      bytes.Buffer
	zip      *gzip.Writer
	encoder  *gob.Encoder
	maxBytes int
	err      error // the first
}

// NewWriter begins a recording. It takes steps until it has maxBytes, compressed; it may end a little above that.
func NewWriter(h Head, maxBytes int) *Writer {
	w := &Writer{maxBytes: maxBytes}
	w.zip, _ = gzip.NewWriterLevel(&w.buf, gzip.BestSpeed) // fails for unknown levels only
	w.encoder = gob.NewEncoder(w.zip)
	h.Version = Version
	w.err = w.encoder.Encode(h)
	return w
}

// Add records a step. After an error, which is ErrFull at the bound, no step is recorded any more.
func (w *Writer) Add(s *Step) error {
	if w.err == nil && w.buf.Len() >= w.maxBytes {
		w.err = ErrFull
	}
	if w.err == nil {
		w.err = w.encoder.Encode(recordStep(s))
	}
	return w.err
}

// Bytes ends the recording and returns it, with the error after which no step was recorded.
func (w *Writer) Bytes() ([]byte, error) {
	err := w.zip.Close() // writes the last bytes: first
	return w.buf.Bytes(), errors.Join(err, w.err)
}
