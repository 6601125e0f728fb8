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

// Result is the result of the replay of a recording. Its JSON is printed for operators and programs, so the keys must
// not change.
type Result struct {
	Head       Head               `json:"-"`
	Scenario   *scenario.Scenario `json:"-"`
	Steps      int                `json:"steps"`
	Offers     int                `json:"offers"`
	Vetoes     uint64             `json:"vetoes"`
	Defects    uint64             `json:"defects"`
	Truncated  bool               `json:"cut"`                // the recording ends within a step: its placer was killed, or the file is incomplete
	Divergence *Divergence        `json:"diverged,omitempty"` // nil: the outputs of all steps were equal to the recorded ones
	Events     []capture.Event    `json:"-"`                  // traffic on the placer's sockets, as far as the steps of the core show it
}

// Divergence is the first output of a core that differs from the recorded one.
type Divergence struct {
	Step int           `json:"step"` // counted from 0
	Now  time.Duration `json:"now"`  // time of the step
	Want string        `json:"want"` // recorded output; "": the recorded step has no further output
	Got  string        `json:"got"`  // output of the core; "": the core gave no further output
}

// player replays a recording.
type player struct {
	decoder *gob.Decoder
	core    *core.Core
	base    capture.Event // the fields that all captured events have in common
	result  *Result
}

// Play steps a core through a recording. After each step it calls the function observe, unless that is nil, with the
// recorded step and the outputs that the core gave in the replay. Play returns an error if the input is not a
// recording, has another version or is corrupt. It replays a truncated recording up to its last complete step.
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

// newPlayer reads the head of a recording and creates a core with the recorded parameters.
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
		return nil, fmt.Errorf("the tape has version %d, want %d", head.Version, Version)
	}
	if p.result.Scenario, err = scenario.Read(head.File, head.Script); err != nil {
		return nil, err
	}
	settings := p.result.Scenario.Settings
	if head.Placer < 0 || head.Placer >= len(settings.Placers) {
		return nil, fmt.Errorf("the tape is of placer %d, but its scenario has only placers 0 to %d", head.Placer, len(settings.Placers)-1)
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

// readStep returns the next step. It returns io.EOF after the last step, and io.ErrUnexpectedEOF if the recording ends
// within a step.
func (p *player) readStep() (*Step, error) {
	var recorded recordedStep
	if err := p.decoder.Decode(&recorded); err != nil {
		return nil, err
	}
	return recorded.toStep()
}

// playStep gives the core the inputs of a step, captures the traffic, compares the outputs and returns them.
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

// findDivergence returns the first difference between the outputs of a step and the recorded ones, or nil if they are
// equal.
func findDivergence(step int, s *Step, got []string) *Divergence {
	for i := range max(len(got), len(s.Out)) {
		if g, w := outputAt(got, i), outputAt(s.Out, i); g != w {
			return &Divergence{Step: step, Now: s.Now, Want: w, Got: g}
		}
	}
	return nil
}

// outputAt returns output i, or "" if there are fewer outputs.
func outputAt(outputs []string, i int) string {
	if i < len(outputs) {
		return outputs[i]
	}
	return ""
}
