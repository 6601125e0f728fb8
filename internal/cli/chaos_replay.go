package cli

import (
	"bytes"
	"fmt"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/invariant"
	"forkhead/internal/verify/replay"
	"forkhead/internal/verify/rules"
)

// replayTape plays a tape and tells whether the core said the same, and what rules it broke.
func (a *app) replayTape(name string) error {
	text, err := file(name, "a tape that badday --record-on-breach has kept")
	if err != nil {
		return err
	}
	var places []capture.Event
	p, err := replay.Play(bytes.NewReader(text), func(s *replay.Step, _ []core.Output) { places = append(places, replay.Places(s.In)...) })
	if err != nil {
		return badInput(fmt.Errorf("%s: %w", name, err))
	}
	host := p.Script.Host
	v := rules.Check(append(places, p.Events...), rules.ConfigFromSettings(p.Script.Settings, float64(host.MaxStarting)/host.StartTime.Seconds()))
	counts := map[string]int{}
	for rule := invariant.OneAnswer; rule <= invariant.Spread; rule++ {
		counts[rule.String()] = v.Counts[rule]
	}
	if a.output == "json" {
		if err := a.breaches(&v); err != nil {
			return err
		}
		if err := a.json(map[string]any{"replay": p, "placer": p.Head.Placer, "epoch": p.Head.Epoch, "rules": counts}); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(a.out, "placer %d: %d steps, %d offers, %d vetoes, %d defects\n", p.Head.Placer, p.Steps, p.Offers, p.Vetoes, p.Defects)
		if p.Cut {
			fmt.Fprintln(a.out, "the tape ends in the middle of a step")
		}
		if d := p.Diverged; d != nil {
			fmt.Fprintf(a.out, "step %d parts from the tape:\n  tape: %s\n  now:  %s\n", d.Step, d.Want, d.Got)
		} else {
			fmt.Fprintln(a.out, "the core said the same at every step")
		}
		for _, b := range v.Breaches {
			fmt.Fprintf(a.out, "  %v: %s\n", b.Rule, b.Text)
		}
	}
	if p.Diverged != nil || !v.OK() {
		return errNo
	}
	return nil
}
