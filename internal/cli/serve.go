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

func (a *app) serveCommand() *cobra.Command {
	var config, keep string
	var self int
	var grace time.Duration
	c := &cobra.Command{
		Use: "serve", Short: "run a placer", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := readSettings(config)
			if err != nil {
				return err
			}
			if self < 0 || self >= len(s.Placers) {
				return badInput(fmt.Errorf("--self is %d, and the settings name placers 0 to %d", self, len(s.Placers)-1))
			}
			c := clock.New()
			cfg := placer.Config{Settings: s.For(self), Clock: c, Log: a.log, Seed: uint64(c.Now())}
			if keep != "" {
				if cfg.Store, cfg.Snapshot, err = store.Open(store.Options{Path: keep}); err != nil {
					return err
				}
				defer cfg.Store.Close()
			}
			p, err := placer.Start(cfg)
			if err != nil {
				return err
			}
			a.log.WithLevel(a.log.GetLevel()).Int("placer", self).Str("http", p.Address()).Msg("the placer serves")
			select {
			case err := <-p.Failed():
				p.Close()
				return err
			case <-cmd.Context().Done():
			}
			// The command's context is done already.
			ctx, cancel := context.WithTimeout(context.WithoutCancel(cmd.Context()), grace)
			defer cancel()
			p.Shutdown(ctx)
			return nil
		},
	}
	c.Flags().StringVar(&keep, "store", "", "file to keep in what must not be forgotten (default: nothing is kept)")
	c.Flags().StringVar(&config, "config", "", "file of settings (default: built-in ones)")
	c.Flags().IntVar(&self, "self", 0, "which placer of the settings this is")
	c.Flags().DurationVar(&grace, "grace", 5*time.Second, "how long what is under way may still take at a stop")
	return c
}
