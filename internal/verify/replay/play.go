package replay

import (
	"compress/gzip"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/scenario"
)

// Result is the result of the replay of a recording. Its keys in JSON are printed, and stay.
type Result struct {
	Head       Head               `json:"-"`
	Scenario   *scenario.Scenario `json:"-"`
	Steps      int                `json:"steps"`
	Offers     int                `json:"offers"`
	Vetoes     uint64             `json:"vetoes"`
	Defects    uint64             `json:"defects"`
	Truncated  bool               `json:"cut"`                // the recording ends within a step: its placer was killed, or the file is torn
	Divergence *Divergence        `json:"diverged,omitempty"` // nil: none
	Events     []capture.Event    `json:"-"`                  // the traffic on the placer's sockets, as far as the core shows it
}

// Divergence is the first output of a core that differs from the recorded one.
type Divergence struct {
	Step int           `json:"step"` // counted from 0
	Now  time.Duration `json:"now"`  // of the step
	Want string        `json:"want"` // as recorded; "": no further output
	Got  string        `json:"got"`  // "": no further output
}

// player replays a recording.
type player struct {
	decoder *gob.Decoder
	core    *core.Core
	base    capture.Event // what all events have
	result  *Result
}

// Play steps a core through a recording. It calls observe, unless that is nil, with each step and the outputs that the core
// gave now. It returns an error for what is no recording of this version, or a corrupt one; a truncated one is played as far
// as it goes.
func Play(r io.Reader, observe func(s *Step, out []core.Output)) (*Result, error) {
	p, err := newPlayer(r)
	if err != nil {
		return nil, err
	}
	for ; ; p.result.Steps++ {
		s, err := p.readStep()
		switch {
		case errors.Is(err, io.EOF):
			return p.finish(), nil
		case errors.Is(err, io.ErrUnexpectedEOF):
			p.result.Truncated = true
			return p.finish(), nil
		case err != nil:
			return nil, fmt.Errorf("step %d: %w", p.result.Steps, err)
		}
		out := p.playStep(s)
		if observe != nil {
			observe(s, out)
		}
	}
}

// newPlayer reads the head of a recording and starts the core of which it is.
func newPlayer(r io.Reader) (*player, error) {
	zip, err := gzip.NewReader(r)
	if err != nil {
		return nil, fmt.Errorf("not a tape: %w", err)
	}
	p := &player{decoder: gob.NewDecoder(zip), result: &Result{}}
	head := &p.result.Head
	if err := p.decoder.Decode(head); err != nil {
		return nil, fmt.Errorf("not a tape: %w", err)
	}
	if head.Version != Version {
		return nil, fmt.Errorf("the tape is of version %d; want %d", head.Version, Version)
	}
	if p.result.Scenario, err = scenario.Read(head.File, head.Script); err != nil {
		return nil, err
	}
	settings := p.result.Scenario.Settings
	if head.Placer < 0 || head.Placer >= len(settings.Placers) {
		return nil, fmt.Errorf("the tape is of placer %d, which its script does not have", head.Placer)
	}
	p.core, err = core.New(core.Config{
		Settings: settings.ForPlacer(head.Placer), Seed: head.Seed, Epoch: head.Epoch, Durable: head.Durable,
	})
	if err != nil {
		return nil, err
	}
	p.base = capture.Event{AtPlacer: true, Placer: head.Placer, PlacerEpoch: head.Epoch}
	return p, nil
}

// readStep returns the next step; io.EOF behind the last, io.ErrUnexpectedEOF within one.
func (p *player) readStep() (*Step, error) {
	var recorded recordedStep
	if err := p.decoder.Decode(&recorded); err != nil {
		return nil, err
	}
	return recorded.toStep()
}

// playStep gives the core the inputs of a step and returns its outputs.
func (p *player) playStep(s *Step) []core.Output {
	out := p.core.Step(s.Now, s.In...)
	r := p.result
	r.Events = append(r.Events, CaptureEvents(p.base, s.Now, s.Due, s.In, out)...)
	if r.Divergence == nil {
		r.Divergence = findDivergence(r.Steps, s, FormatOutputs(out))
	}
	return out
}

func (p *player) finish() *Result {
	status := p.core.Status()
	p.result.Offers, p.result.Vetoes, p.result.Defects = int(status.Offers), status.Vetoes, status.Defects
	return p.result
}

// findDivergence compares the outputs of a step with the recorded ones; nil: they are equal.
func findDivergence(step int, s *Step, got []string) *Divergence {
	for i := range max(len(got), len(s.Out)) {
		if g, w := outputAt(got, i), outputAt(s.Out, i); g != w {
			return &Divergence{Step: step, Now: s.Now, Want: w, Got: g}
		}
	}
	return nil
}

// outputAt returns an output, or "" where there is none.
func outputAt(outputs []string, i int) string {
	if i < len(outputs) {
		return outputs[i]
	}
	return ""
}
