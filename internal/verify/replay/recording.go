// Package replay records the steps of a running placer's core and replays them without sockets. The same core with the
// same inputs at the same times gives the same outputs, so a run on a busy machine can be examined step by step
// afterwards.
//
// A recording is gob, compressed with gzip: a Head, then the steps in their stored form (stored_form.go, snapshot.go,
// specification.go), which is independent of the names of the core's types. The files of recordings have the extension
// tape, and messages to users call a recording a tape.
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

// Version is the version of the stored form. Play accepts no other version.
const Version = 1

// Head is the beginning of a recording: the parameters with which an incarnation of a placer was started. It is stored
// with the names of its fields, so the names must not change.
type Head struct {
	Version int
	File    string // name of the scenario
	Script  []byte // the scenario's text
	Placer  int    // number of the placer in the scenario's settings
	Seed    uint64
	Epoch   uint64 // epoch of the incarnation
	Durable bool   // the core has a store
}

// Step is one step of a core with its inputs and outputs.
type Step struct {
	Now time.Duration // since the epoch of the run's clock
	Due time.Duration // time for which the core had requested the step, by the same clock; 0: no request
	In  []core.Input
	Out []string // formatted by FormatOutput
}

// FormatOutput returns an output as a line: its name in the stored form, a space and its stored form in JSON.
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

// ErrFull means that a recording has reached its maximum size and lacks the later steps.
var ErrFull = errors.New("the tape is full")

// Writer holds a recording in memory, compressed. It is not safe for concurrent use.
type Writer struct {
	buf      bytes.Buffer
	zip      *gzip.Writer
	encoder  *gob.Encoder
	maxBytes int
	err      error // the first error of NewWriter or Add
}

// NewWriter begins a recording. The recording takes steps until its compressed size reaches maxBytes, and may exceed
// that size a little.
func NewWriter(h Head, maxBytes int) *Writer {
	w := &Writer{maxBytes: maxBytes}
	w.zip, _ = gzip.NewWriterLevel(&w.buf, gzip.BestSpeed) // fails only for an unknown compression level
	w.encoder = gob.NewEncoder(w.zip)
	h.Version = Version
	w.err = w.encoder.Encode(h)
	return w
}

// Add records a step. It returns ErrFull if the recording has reached its maximum size. After an error it records no
// further steps and returns the same error.
func (w *Writer) Add(s *Step) error {
	if w.err == nil && w.buf.Len() >= w.maxBytes {
		w.err = ErrFull
	}
	if w.err == nil {
		w.err = w.encoder.Encode(recordStep(s))
	}
	return w.err
}

// Bytes ends the recording and returns it. The returned error joins two errors: the first one of NewWriter or Add,
// after which Add recorded no further steps, and one of ending the recording.
func (w *Writer) Bytes() ([]byte, error) {
	err := w.zip.Close() // must precede the read of buf, since Close writes the last bytes
	return w.buf.Bytes(), errors.Join(err, w.err)
}
