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

// replayResult is the JSON output of chaos --replay.
type replayResult struct {
	Epoch  uint64         `json:"epoch"`
	Placer int            `json:"placer"`
	Replay *replay.Result `json:"replay"`
	Rules  map[string]int `json:"rules"` // number of breaches, by rule
}

// replayRecording steps a placer's core through the recording in a file, and prints the result. It returns
// errNegativeResult if the core's outputs differ from the recorded outputs, or if the replayed traffic breaks a rule.
func (a *app) replayRecording(name string) error {
	recording, err := readFile(name, "a recording that chaos --record-on-breach has written")
	if err != nil {
		return err
	}
	var locations []capture.Event
	r, err := replay.Play(bytes.NewReader(recording), func(s *replay.Step, _ []core.Output) {
		locations = append(locations, replay.HostLocations(s.In)...)
	})
	if err != nil {
		return asInputError(fmt.Errorf("%s: %w", name, err))
	}
	host := r.Scenario.Host
	config := rules.ConfigFromSettings(r.Scenario.Settings, float64(host.MaxStarting)/host.StartTime.Seconds())
	verdict := rules.Check(append(locations, r.Events...), config)
	if a.wantsJSON() {
		if err := a.writeReplayJSON(r, &verdict); err != nil {
			return err
		}
	} else {
		a.printReplay(r, &verdict)
	}
	if r.Divergence != nil || !verdict.OK() {
		return errNegativeResult
	}
	return nil
}

func (a *app) writeReplayJSON(r *replay.Result, verdict *rules.Verdict) error {
	if err := a.writeBreaches(verdict); err != nil {
		return err
	}
	counts := map[string]int{}
	for rule := invariant.OneAnswer; rule <= invariant.Spread; rule++ {
		counts[rule.String()] = verdict.Counts[rule]
	}
	return a.writeJSON(replayResult{Epoch: r.Head.Epoch, Placer: r.Head.Placer, Replay: r, Rules: counts})
}

func (a *app) printReplay(r *replay.Result, verdict *rules.Verdict) {
	a.printf("placer %d: %d steps, %d offers, %d vetoes, %d defects\n", r.Head.Placer, r.Steps, r.Offers, r.Vetoes, r.Defects)
	if r.Truncated {
		a.println("the recording ends in the middle of a step")
	}
	if d := r.Divergence; d != nil {
		a.printf("step %d diverges from the recording:\n  recorded: %s\n  replayed: %s\n", d.Step, d.Want, d.Got)
	} else {
		a.println("the core's outputs are the same at every step")
	}
	for _, b := range verdict.Breaches {
		a.printf("  %v: %s\n", b.Rule, b.Text)
	}
}
