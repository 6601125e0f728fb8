package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/verify/chaos"
	"forkhead/internal/verify/replay"
	"forkhead/internal/verify/rules"
	"forkhead/internal/verify/scenario"
)

// recoveryScenario is the argument that stands for the built-in scenario of restarts.
const recoveryScenario = "recovery"

// Permissions of what chaos keeps: captured traffic is for its user alone.
const (
	captureFileMode   = 0o600
	captureFolderMode = 0o700
)

// chaosFlags are the flags of chaos.
type chaosFlags struct {
	captureFile   string // to write the traffic to; "": none
	breachFolder  string // for all of a run that broke a rule; "": none
	replayFile    string // recording to replay instead of a run
	seed          int
	times         int // runs, each in a process of its own; 0: one, in this process
	parallel      int
	busyLoops     int
	maxStop       time.Duration
	seedIsGiven   bool
	scenarioGiven string // the argument, or ""
}

func (a *app) chaosCommand() *cobra.Command {
	var f chaosFlags
	c := &cobra.Command{
		Use: "chaos [SCENARIO | recovery]", Aliases: []string{"badday"},
		Short: "run a chaos test on loopback and check the rules on its traffic", Args: cobra.MaximumNArgs(1),
		Long: "chaos runs a scenario: hosts and placers on loopback sockets, clients with load, and faults at their times. The\n" +
			"five rules are then checked on the captured traffic. --repeat runs it many times, each with the next seed and\n" +
			"in a process of its own; --replay steps a placer's core once more through the recorded inputs of one of its\n" +
			"incarnations, and checks that its outputs are the same.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				f.scenarioGiven = args[0]
			}
			f.seedIsGiven = cmd.Flags().Changed("seed")
			return a.chaos(cmd.Context(), &f)
		},
	}
	flags := c.Flags()
	flags.StringVar(&f.captureFile, "record", "", "file to write the captured traffic to, as JSON lines")
	flags.StringVar(&f.breachFolder, "record-on-breach", "", "folder for the captured traffic and each placer's recording, of a run that breaks a rule")
	flags.StringVar(&f.replayFile, "replay", "", "recording of a placer's incarnation to replay, without sockets")
	flags.IntVar(&f.seed, "seed", 0, "seed of the run (default: the scenario's)")
	flags.IntVar(&f.times, "repeat", 0, "run so many times, with this seed and those after it")
	flags.IntVar(&f.parallel, "parallel", 1, "with --repeat: so many runs at once")
	flags.IntVar(&f.busyLoops, "busy", 0, "with --repeat: so many loops beside them that keep processors busy")
	flags.DurationVar(&f.maxStop, "stop", 0, "with --repeat: stop each run for up to so long, about once a second")
	return c
}

func (a *app) chaos(ctx context.Context, f *chaosFlags) error {
	if f.replayFile != "" {
		return a.replayRecording(f.replayFile)
	}
	name, builtIn := f.scenarioGiven, scenario.Default
	if name == recoveryScenario {
		name, builtIn = "", scenario.Recovery
	}
	s, err := readScenario(name, builtIn)
	if err != nil {
		return err
	}
	if f.seedIsGiven {
		s.Seed = f.seed
	}
	if f.times > 0 {
		return a.repeatChaos(ctx, s, f)
	}
	return a.runChaos(ctx, s, f)
}

// runChaos runs a scenario once; it returns errNo if a rule was broken or an action vetoed.
func (a *app) runChaos(ctx context.Context, s *scenario.Scenario, f *chaosFlags) error {
	start := time.Now()
	r, err := chaos.Run(ctx, s, chaos.Options{Log: a.log, RecordSteps: f.breachFolder != "", OnFault: func(fault scenario.Fault) {
		if !a.wantsJSON() {
			a.warnf("%5.1f s  %s\n", time.Since(start).Seconds(), fault.Kind)
		}
	}})
	if errors.Is(err, context.Canceled) {
		return errors.New("interrupted")
	}
	if err != nil {
		return err
	}
	if f.captureFile != "" {
		if err := writeCapture(f.captureFile, r.Captured); err != nil {
			return err
		}
	}
	if !r.OK() && f.breachFolder != "" {
		if err := writeRun(f.breachFolder, s, r); err != nil {
			return err
		}
	}
	if a.wantsJSON() {
		if err := a.writeBreaches(&r.Verdict); err != nil {
			return err
		}
		if err := a.writeJSON(r); err != nil {
			return err
		}
	} else {
		a.printf("%s", r.Summary())
	}
	if !r.OK() {
		return errNo
	}
	return nil
}

// breachLine is the line of a broken rule.
type breachLine struct {
	At   time.Duration `json:"at"`
	Rule string        `json:"breach"`
	Text string        `json:"text"`
}

func (a *app) writeBreaches(v *rules.Verdict) error {
	for _, b := range v.Breaches {
		if err := a.writeJSON(breachLine{At: b.At, Rule: b.Rule.String(), Text: b.Text}); err != nil {
			return err
		}
	}
	return nil
}

func writeCapture(name string, events []capture.Event) error {
	var text bytes.Buffer
	if err := capture.Write(&text, events); err != nil {
		return err
	}
	return badInput(os.WriteFile(name, text.Bytes(), captureFileMode))
}

// runVerdict is the file of a run that broke a rule: its result and each breach.
type runVerdict struct {
	Breaches []rules.Breach `json:"breaches"`
	Result   *chaos.Result  `json:"result"`
}

// writeRun writes all of a run into a folder of its own below folder: its scenario, its traffic, its verdict, and the
// recording of each placer's incarnation, which --replay reads.
func writeRun(folder string, s *scenario.Scenario, r *chaos.Result) error {
	folder = filepath.Join(folder, fmt.Sprintf("seed-%d", s.Seed))
	if err := os.MkdirAll(folder, captureFolderMode); err != nil {
		return badInput(err)
	}
	if err := writeCapture(filepath.Join(folder, "record.jsonl"), r.Captured); err != nil {
		return err
	}
	verdict, err := json.MarshalIndent(runVerdict{Breaches: r.Verdict.Breaches, Result: r}, "", "  ")
	if err != nil {
		return err
	}
	files := map[string][]byte{"script.sexp": s.Text, "verdict.json": verdict}
	for _, recording := range r.Recordings {
		text, err := recording.Bytes()
		if err != nil && !errors.Is(err, replay.ErrFull) { // a full recording replays up to where it ends
			return fmt.Errorf("tape of placer %d: %w", recording.Placer, err)
		}
		files[fmt.Sprintf("placer-%d-life-%d.tape", recording.Placer, recording.Incarnation)] = text
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(folder, name), text, captureFileMode); err != nil {
			return badInput(err)
		}
	}
	return nil
}
