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

// recoveryScenario is the argument that selects the built-in scenario of restarts.
const recoveryScenario = "recovery"

// Permissions of the files and folders that chaos writes. Only their owner may read captured traffic.
const (
	captureFileMode   = 0o600
	captureFolderMode = 0o700
)

// chaosFlags are the flags of chaos.
type chaosFlags struct {
	captureFile  string // file to write the captured traffic to; "" for none
	breachFolder string // folder to write the files of a run that broke a rule to; "" for none
	replayFile   string // recording to replay instead of running a scenario; "" for none
	seed         int
	runs         int // number of runs, each in its own process; 0 for one run in this process
	parallel     int
	busyLoops    int
	maxStop      time.Duration
	seedGiven    bool   // whether the command line sets seed
	scenarioArg  string // the command's argument, "" without one
}

func (a *app) chaosCommand() *cobra.Command {
	var f chaosFlags
	c := &cobra.Command{
		Use: "chaos [SCENARIO | recovery]", Aliases: []string{"badday"},
		Short: "run a chaos test on loopback and check the rules on its traffic", Args: cobra.MaximumNArgs(1),
		Long: "chaos runs a scenario: hosts and placers on loopback sockets, clients that generate load, and scheduled faults.\n" +
			"It then checks the five rules on the captured traffic. --repeat runs the scenario many times, each time with the\n" +
			"next seed and in its own process; --replay steps a placer's core through the recorded inputs of one of its\n" +
			"incarnations, and checks that its outputs are the same as recorded.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				f.scenarioArg = args[0]
			}
			f.seedGiven = cmd.Flags().Changed("seed")
			return a.chaos(cmd.Context(), &f)
		},
	}
	flags := c.Flags()
	flags.StringVar(&f.captureFile, "record", "", "file to write the captured traffic to, as JSON lines")
	flags.StringVar(&f.breachFolder, "record-on-breach", "", "folder for the captured traffic and the placers' recordings of a run that breaks a rule")
	flags.StringVar(&f.replayFile, "replay", "", "recording of a placer's incarnation to replay, without sockets, instead of a run")
	flags.IntVar(&f.seed, "seed", 0, "seed of the run (default: the scenario's)")
	flags.IntVar(&f.runs, "repeat", 0, "number of runs, with this seed and the ones after it")
	flags.IntVar(&f.parallel, "parallel", 1, "with --repeat: number of runs at once")
	flags.IntVar(&f.busyLoops, "busy", 0, "with --repeat: number of busy loops that compete with the runs for processors")
	c.AddCommand(a.nodeChaosCommand())
	flags.DurationVar(&f.maxStop, "stop", 0, "with --repeat: about once a second, stop each run for up to this time")
	return c
}

func (a *app) chaos(ctx context.Context, f *chaosFlags) error {
	if f.replayFile != "" {
		return a.replayRecording(f.replayFile)
	}
	name, builtIn := f.scenarioArg, scenario.Default
	if name == recoveryScenario {
		name, builtIn = "", scenario.Recovery
	}
	s, err := readScenario(name, builtIn)
	if err != nil {
		return err
	}
	if f.seedGiven {
		s.Seed = f.seed
	}
	if f.runs > 0 {
		return a.repeatChaos(ctx, s, f)
	}
	return a.runChaos(ctx, s, f)
}

// runChaos runs a scenario once. It returns errNegativeResult if a rule was broken or a placer's core vetoed an action.
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
		return errNegativeResult
	}
	return nil
}

// breachLine is the JSON output for a breach of a rule.
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
	return asInputError(os.WriteFile(name, text.Bytes(), captureFileMode))
}

// runVerdict is the content of verdict.json: the result and the breaches of a run that broke a rule.
type runVerdict struct {
	Breaches []rules.Breach `json:"breaches"`
	Result   *chaos.Result  `json:"result"`
}

// writeRun writes a run into a new subfolder of folder: the scenario, the captured traffic, the verdict, and one
// recording for each incarnation of a placer, which can be replayed with chaos --replay.
func writeRun(folder string, s *scenario.Scenario, r *chaos.Result) error {
	folder = filepath.Join(folder, fmt.Sprintf("seed-%d", s.Seed))
	if err := os.MkdirAll(folder, captureFolderMode); err != nil {
		return asInputError(err)
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
		// A recording that has reached its size limit can be replayed up to its end.
		if err != nil && !errors.Is(err, replay.ErrFull) {
			return fmt.Errorf("recording of placer %d, incarnation %d: %w", recording.Placer, recording.Incarnation, err)
		}
		files[fmt.Sprintf("placer-%d-life-%d.tape", recording.Placer, recording.Incarnation)] = text
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(folder, name), text, captureFileMode); err != nil {
			return asInputError(err)
		}
	}
	return nil
}
