// Package replay keeps what the core of a running placer was given at each step and what it said,
// and plays it again off the sockets: the same core, the same inputs at the same times, the same
// outputs. What a busy machine did once becomes something that can be looked at step by step.
package replay

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"forkhead"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/scenario"
)

// Version is that of the form of a tape. A reader takes no other.
const Version = 1

// Head is what a life of a placer started from.
type Head struct {
	Version int
	File    string // the script's
	Script  []byte
	Placer  int
	Seed    uint64
	Epoch   uint64
	Durable bool // the core told what must not be forgotten
}

// Step is one step of the core.
type Step struct {
	Now time.Duration // since the epoch of the run's clock
	Due time.Duration // when the core had asked to be stepped by itself; 0: not at all
	In  []core.Input
	Out []string // by FormatOutput
}

// FormatOutput writes an output so that two can be compared.
func FormatOutput(o core.Output) string {
	word, form := recordOutput(o)
	text, err := json.Marshal(form)
	if err != nil {
		text = []byte(err.Error())
	}
	return word + " " + string(text)
}

// FormatOutputs writes the outputs of a step.
func FormatOutputs(out []core.Output) []string {
	lines := make([]string, len(out))
	for i, o := range out {
		lines[i] = FormatOutput(o)
	}
	return lines
}

// ErrFull says that a tape has come to its bound: what follows is not on it.
var ErrFull = errors.New("the tape is full")

// Writer keeps a tape in memory, compressed, up to a bound in bytes.
type Writer struct {
	buf  bytes.Buffer
	zip  *gzip.Writer
	enc  *gob.Encoder
	most int
	err  error
}

// NewWriter begins a tape of at most so many bytes.
func NewWriter(h Head, most int) *Writer {
	w := &Writer{most: most}
	w.zip, _ = gzip.NewWriterLevel(&w.buf, gzip.BestSpeed) // the level is a good one
	w.enc = gob.NewEncoder(w.zip)
	h.Version = Version
	w.err = w.enc.Encode(h)
	return w
}

// Add keeps a step. After an error, or at the bound, nothing more is kept.
func (w *Writer) Add(s *Step) error {
	if w.err == nil && w.buf.Len() >= w.most {
		w.err = ErrFull
	}
	if w.err == nil {
		w.err = w.enc.Encode(recordStep(s))
	}
	return w.err
}

// Bytes ends the tape and returns it, with the error that cut it short.
func (w *Writer) Bytes() ([]byte, error) {
	err := w.zip.Close() // before the bytes are looked at: it writes the last of them
	return w.buf.Bytes(), errors.Join(err, w.err)
}

// Divergence is the first step at which the core said something else than on the tape.
type Divergence struct {
	Step int           `json:"step"` // from 0
	Now  time.Duration `json:"now"`
	Want string        `json:"want"` // on the tape; "" if nothing more was
	Got  string        `json:"got"`
}

// Result is what came of playing a tape.
type Result struct {
	Head       Head               `json:"-"`
	Scenario   *scenario.Scenario `json:"-"`
	Steps      int                `json:"steps"`
	Offers     int                `json:"offers"`
	Vetoes     uint64             `json:"vetoes"`
	Defects    uint64             `json:"defects"`
	Truncated  bool               `json:"cut"` // the tape ends in the middle of a step: its placer was killed, or the file torn
	Divergence *Divergence        `json:"diverged,omitempty"`
	Events     []capture.Event    `json:"-"` // what crossed the placer's sockets, for the rules
}

// Play reads a tape and steps the core through it. Each step is also shown to look, if that is
// not nil, with the outputs that the core gave now.
func Play(r io.Reader, look func(s *Step, out []core.Output)) (*Result, error) {
	zip, err := gzip.NewReader(r)
	if err != nil {
		return nil, fmt.Errorf("not a tape: %w", err)
	}
	dec := gob.NewDecoder(zip)
	p := &Result{}
	if err := dec.Decode(&p.Head); err != nil {
		return nil, fmt.Errorf("not a tape: %w", err)
	}
	if p.Head.Version != Version {
		return nil, fmt.Errorf("the tape is of version %d; want %d", p.Head.Version, Version)
	}
	if p.Scenario, err = scenario.Read(p.Head.File, p.Head.Script); err != nil {
		return nil, err
	}
	set := p.Scenario.Settings
	if p.Head.Placer < 0 || p.Head.Placer >= len(set.Placers) {
		return nil, fmt.Errorf("the tape is of placer %d, which its script does not have", p.Head.Placer)
	}
	c, err := core.New(core.Config{Settings: set.For(p.Head.Placer), Seed: p.Head.Seed, Epoch: p.Head.Epoch, Durable: p.Head.Durable})
	if err != nil {
		return nil, err
	}
	base := capture.Event{AtPlacer: true, Placer: p.Head.Placer, PlacerEpoch: p.Head.Epoch}
	for ; ; p.Steps++ {
		var recorded recordedStep
		switch err := dec.Decode(&recorded); {
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			p.Truncated = !errors.Is(err, io.EOF)
			st := c.Status()
			p.Offers, p.Vetoes, p.Defects = int(st.Offers), st.Vetoes, st.Defects
			return p, nil
		case err != nil:
			return nil, fmt.Errorf("step %d: %w", p.Steps, err)
		}
		s, err := recorded.toStep()
		if err != nil {
			return nil, fmt.Errorf("step %d: %w", p.Steps, err)
		}
		out := c.Step(s.Now, s.In...)
		p.Events = append(p.Events, CaptureEvents(base, s.Now, s.Due, s.In, out)...)
		if look != nil {
			look(s, out)
		}
		if p.Divergence == nil {
			p.Divergence = compare(p.Steps, s, FormatOutputs(out))
		}
	}
}

func compare(n int, s *Step, got []string) *Divergence {
	at := func(lines []string, i int) string {
		if i < len(lines) {
			return lines[i]
		}
		return ""
	}
	for i := range max(len(got), len(s.Out)) {
		if at(got, i) != at(s.Out, i) {
			return &Divergence{Step: n, Now: s.Now, Want: at(s.Out, i), Got: at(got, i)}
		}
	}
	return nil
}

// late is how long after its time a step may run without its being noted.
const late = time.Millisecond

// CaptureEvents are what a step shows of a placer's own sockets, in the order in which its loop took what
// had come and wrote what goes out. base names the placer and its life.
func CaptureEvents(base capture.Event, now, due time.Duration, in []core.Input, out []core.Output) []capture.Event {
	base.At = now
	var events []capture.Event
	if due > 0 && now > due+late {
		e := base
		e.Type, e.Within = capture.LateStep, now-due
		events = append(events, e)
	}
	for _, in := range in {
		e := base
		switch in := in.(type) {
		case core.FrameReceived:
			e.Host, e.Conn = in.Host, uint64(in.Conn)
			events = append(events, capture.FrameEvents(e, in.Frame)...)
		case core.HostDisconnected:
			e.Type, e.Host, e.Conn = capture.Disconnected, in.Host, uint64(in.Conn)
			events = append(events, e)
		case core.HostListReceived:
			if in.Mode == forkhead.ListFailed {
				continue
			}
			e.Type = capture.ListDelivered
			for i := range in.Hosts {
				if h := &in.Hosts[i]; h.State == forkhead.Ready {
					e.Ready = append(e.Ready, h.Name)
				} else {
					e.Draining = append(e.Draining, h.Name)
				}
			}
			events = append(events, e)
		}
	}
	for _, out := range out {
		e := base
		switch out := out.(type) {
		case core.SendToHost:
			e.Host, e.Conn = out.Host, uint64(out.Conn)
			events = append(events, capture.FrameEvents(e, out.Frame)...)
		case core.CloseHostConnection:
			e.Type, e.Host, e.Conn = capture.Disconnected, out.Host, uint64(out.Conn)
			events = append(events, e)
		case core.Accepted:
			e.Type, e.Submission = capture.Submit, out.Submission
			events = append(events, e)
		}
	}
	return events
}

// HostLocations are the hosts' zones and racks as a tape's lists name them, as a record has them.
func HostLocations(in []core.Input) []capture.Event {
	var events []capture.Event
	for _, in := range in {
		if l, ok := in.(core.HostListReceived); ok {
			for i := range l.Hosts {
				h := &l.Hosts[i]
				events = append(events, capture.Event{Type: capture.HostUp, Host: h.Name, Zone: h.Zone, Rack: h.Rack})
			}
		}
	}
	return events
}
