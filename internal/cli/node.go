package cli

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"forkhead/internal/protocol/platform"
	platformserver "forkhead/internal/server/platform"
)

// Memory that the collector is given, of the platform's limit: the rest is for the program itself and its sockets.
const heapShare = 0.5

func (a *app) nodeCommand() *cobra.Command {
	var trace string
	c := &cobra.Command{
		Use: "node", Short: "run a placer on the users' platform, by the variables BALANCER_CONFIG and BALANCER_LISTEN", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := make(chan os.Signal, 16)
			signal.Notify(signals, syscall.SIGHUP)
			defer signal.Stop(signals)
			cfg, err := platformConfig()
			if err != nil {
				return badInput(err)
			}
			if cfg.Limits.Cores > 0 {
				runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores+0.999)))
			}
			if cfg.Limits.MemoryMB > 0 {
				debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * heapShare * (1 << 20)))
			}
			o := platformserver.Options{Config: cfg, Log: a.log}
			if trace != "" {
				f, err := os.Create(trace)
				if err != nil {
					return err
				}
				defer f.Close()
				o.Tap = platformserver.Trace(f)
			}
			s, err := platformserver.Start(o)
			if errors.As(err, &platformserver.ConfigError{}) {
				return badInput(err)
			}
			if err != nil {
				return err
			}
			defer s.Kill()
			a.log.Info().Str("name", cfg.Name).Str("owners", s.Address()).Msg("the placer serves")
			told := cmd.Context().Done() // SIGTERM and SIGINT, from before this command began
			for {
				select {
				case <-s.Ended():
					return nil
				case <-told:
					told = nil
					a.log.Info().Msg("told to end")
					s.Stop()
				case <-signals:
					fresh, err := platformConfig()
					if err == nil {
						err = platformserver.Check(fresh)
					}
					if err != nil {
						a.log.Error().Err(err).Msg("the new configuration cannot be used; the old one stays")
						continue
					}
					a.log.Info().Str("changelog", fresh.WatchAddress).Msg("a new configuration")
					s.Reload(fresh)
				}
			}
		},
	}
	c.Flags().StringVar(&trace, "trace", "", "file to write each step of the core to, as JSON lines (default: none)")
	return c
}

// platformConfig reads the configuration that the environment names.
func platformConfig() (*platform.Config, error) {
	name := os.Getenv("BALANCER_CONFIG")
	if name == "" {
		return nil, errors.New("BALANCER_CONFIG is not set; want the path of the platform's configuration")
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	cfg, err := platform.ParseConfig(text)
	if err != nil {
		return nil, err
	}
	if listen := os.Getenv("BALANCER_LISTEN"); listen != "" {
		cfg.Listen = listen
	}
	return cfg, nil
}
