package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"forkhead/internal/server/clock"
	"forkhead/internal/server/placer"
	"forkhead/internal/server/store"
)

// serveFlags are the flags of serve.
type serveFlags struct {
	settingsFile string
	storeFile    string        // file for the state that survives a restart; "" to store nothing
	self         int           // index in the settings of the placer to run
	grace        time.Duration // time for work in progress to finish at shutdown
}

func (a *app) serveCommand() *cobra.Command {
	var f serveFlags
	c := &cobra.Command{
		Use: "serve", Short: "run a placer", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return a.serve(cmd.Context(), &f) },
	}
	flags := c.Flags()
	flags.StringVar(&f.storeFile, "store", "", "file for the state that survives a restart (default: nothing is stored)")
	flags.StringVar(&f.settingsFile, "config", "", "settings file (default: built-in settings)")
	flags.IntVar(&f.self, "self", 0, "index of this placer in the settings, from 0")
	flags.DurationVar(&f.grace, "grace", 5*time.Second, "time for work in progress to finish at shutdown")
	return c
}

// serve runs a placer until ctx ends or the placer fails.
func (a *app) serve(ctx context.Context, f *serveFlags) error {
	s, err := readSettings(f.settingsFile)
	if err != nil {
		return err
	}
	if f.self < 0 || f.self >= len(s.Placers) {
		return asInputError(fmt.Errorf("--self is %d, but the settings have placers 0 to %d", f.self, len(s.Placers)-1))
	}
	c := clock.New()
	cfg := placer.Config{Settings: s.ForPlacer(f.self), Clock: c, Log: a.log, Seed: uint64(c.Now())}
	if f.storeFile != "" {
		if cfg.Store, cfg.Snapshot, err = store.Open(store.Options{Path: f.storeFile}); err != nil {
			return err
		}
		defer func() { _ = cfg.Store.Close() }()
	}
	p, err := placer.Start(cfg)
	if err != nil {
		return err
	}
	// The address is logged at the configured level, so that it appears in the log whatever this level is.
	a.log.WithLevel(a.log.GetLevel()).Int("placer", f.self).Str("http", p.Address()).Msg("placer serving")
	select {
	case err := <-p.Failed():
		p.Close()
		return err
	case <-ctx.Done():
	}
	// ctx is canceled by now, so the shutdown needs a context that is not canceled together with ctx.
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.grace)
	defer cancel()
	p.Shutdown(shutdown)
	return nil
}
