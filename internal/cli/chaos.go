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

type baddayFlags struct {
	keep, onBreach, replay string
	seed, times, parallel  int
	busy                   int
	stop                   time.Duration
}

func (a *app) baddayCommand() *cobra.Command {
	var f baddayFlags
	c := &cobra.Command{
		Use: "badday [SCRIPT | recovery]", Short: "play a bad day on loopback and check the rules on its traffic", Args: cobra.MaximumNArgs(1),
		Long: "badday plays a script: a fleet on loopback sockets, clients with load, and troubles at their times. The five\n" +
			"rules are then checked on what crossed the sockets. --repeat plays it again and again, each time with the next\n" +
			"seed and in a process of its own; --replay steps a placer's core once more through what one of its lives was\n" +
			"given, and checks that it says the same.",
		RunE: func(cmd *cobra.Command, args []string) error {
			name := ""
			if len(args) > 0 {
				name = args[0]
			}
			if f.replay != "" {
				return a.replayTape(f.replay)
			}
			from, preset := name, scenario.Default
			if name == "recovery" {
				from, preset = "", scenario.Recovery
			}
			s, err := readScript(from, preset)
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("seed") {
				s.Seed = f.seed
			}
			if f.times > 0 {
				return a.repeat(cmd.Context(), name, s, &f)
			}
			return a.playDay(cmd.Context(), s, &f)
		},
	}
	fl := c.Flags()
	fl.StringVar(&f.keep, "record", "", "file to keep the record of the traffic in, as JSON lines")
	fl.StringVar(&f.onBreach, "record-on-breach", "", "folder to keep the record and each placer's tape in, of a day that breaks a rule")
	fl.StringVar(&f.replay, "replay", "", "tape of a placer's life to play again, off the sockets")
	fl.IntVar(&f.seed, "seed", 0, "seed of the day (default: the script's)")
	fl.IntVar(&f.times, "repeat", 0, "play so many days, with this seed and those after it")
	fl.IntVar(&f.parallel, "parallel", 1, "with --repeat: so many at once")
	fl.IntVar(&f.busy, "busy", 0, "with --repeat: so many loops beside them that keep processors busy")
	fl.DurationVar(&f.stop, "stop", 0, "with --repeat: stop each play for up to so long, about once a second")
	return c
}

func (a *app) playDay(ctx context.Context, s *scenario.Scenario, f *baddayFlags) error {
	start := time.Now()
	r, err := chaos.Run(ctx, s, chaos.Options{Log: a.log, RecordSteps: f.onBreach != "", OnFault: func(t scenario.Fault) {
		if a.output == "text" {
			fmt.Fprintf(a.errs, "%5.1f s  %s\n", time.Since(start).Seconds(), t.Kind)
		}
	}})
	if errors.Is(err, context.Canceled) {
		return errors.New("interrupted")
	}
	if err != nil {
		return err
	}
	if f.keep != "" {
		var b bytes.Buffer
		if err := capture.Write(&b, r.Captured); err != nil {
			return err
		}
		if err := os.WriteFile(f.keep, b.Bytes(), 0o600); err != nil {
			return badInput(err)
		}
	}
	if !r.OK() && f.onBreach != "" {
		if err := keepDay(f.onBreach, s, r); err != nil {
			return err
		}
	}
	if a.output == "json" {
		if err := a.breaches(&r.Verdict); err != nil {
			return err
		}
		if err := a.json(r); err != nil {
			return err
		}
	} else {
		r.Write(a.out)
	}
	if !r.OK() {
		return errNo
	}
	return nil
}

func (a *app) breaches(v *rules.Verdict) error {
	for _, b := range v.Breaches {
		if err := a.json(map[string]any{"breach": b.Rule.String(), "at": b.At, "text": b.Text}); err != nil {
			return err
		}
	}
	return nil
}

// keepDay writes all of a day that broke a rule: what is needed to see it again.
func keepDay(folder string, s *scenario.Scenario, r *chaos.Result) error {
	dir := filepath.Join(folder, fmt.Sprintf("seed-%d", s.Seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return badInput(err)
	}
	var events bytes.Buffer
	if err := capture.Write(&events, r.Captured); err != nil {
		return err
	}
	verdict, err := json.MarshalIndent(map[string]any{"result": r, "breaches": r.Verdict.Breaches}, "", "  ")
	if err != nil {
		return err
	}
	files := map[string][]byte{"script.sexp": s.Text, "record.jsonl": events.Bytes(), "verdict.json": verdict}
	for _, l := range r.Recordings {
		text, err := l.Bytes()
		if err != nil && !errors.Is(err, replay.ErrFull) {
			return fmt.Errorf("tape of placer %d: %w", l.Placer, err)
		}
		files[fmt.Sprintf("placer-%d-life-%d.tape", l.Placer, l.Incarnation)] = text
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			return badInput(err)
		}
	}
	return nil
}
