package cli

import (
	"context"
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
	"forkhead/internal/verify/platformreplay"
)

// heapShare is the fraction of the platform's memory limit that the Go runtime gets as its memory limit. The rest is
// for the program itself and its sockets.
const heapShare = 0.5

// maxPendingSignals is the number of SIGHUP signals that can be pending while the command is busy. Further signals are
// dropped.
const maxPendingSignals = 16

func (a *app) nodeCommand() *cobra.Command {
	var traceFile string
	c := &cobra.Command{
		Use: "node", Short: "run a placer on the users' platform, configured by the variables BALANCER_CONFIG and BALANCER_LISTEN", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return a.runNode(cmd.Context(), traceFile) },
	}
	c.Flags().StringVar(&traceFile, "trace", "", "file to write each step of the core to, for replay; its size is not limited (default: none)")
	return c
}

// runNode runs a placer until it has shut down. SIGTERM and SIGINT request the shutdown by ending ctx, even if they
// arrive before the placer serves. SIGHUP reloads the configuration.
func (a *app) runNode(ctx context.Context, traceFile string) error {
	reload := make(chan os.Signal, maxPendingSignals)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	configText, cfg, err := platformConfig()
	if err != nil {
		return asInputError(err)
	}
	limitRuntime(cfg)
	options := platformserver.Options{Config: cfg, Log: a.log}
	if traceFile != "" {
		f, err := os.Create(traceFile)
		if err != nil {
			return err
		}
		trace := platformreplay.NewWriter(f, configText)
		defer func() { a.endTrace(trace, f) }()
		options.Tap = trace
	}
	server, err := platformserver.Start(options)
	if errors.As(err, &platformserver.ConfigError{}) {
		return asInputError(err)
	}
	if err != nil {
		return err
	}
	defer server.Close()
	a.log.Info().Str("placer", cfg.Name).Str("address", server.Address()).Msg("serving")
	shutdown := ctx.Done()
	for {
		select {
		case <-server.ShutdownComplete():
			return nil
		case <-shutdown:
			shutdown = nil
			a.log.Info().Msg("shutdown requested")
			server.BeginShutdown()
		case <-reload:
			a.reloadNode(server)
		}
	}
}

// endTrace closes a trace after its placer has ended, and logs an error if the trace is incomplete.
func (a *app) endTrace(trace *platformreplay.Writer, file *os.File) {
	if err := errors.Join(trace.Err(), file.Close()); err != nil {
		a.log.Error().Err(err).Msg("trace incomplete")
	}
}

// limitRuntime sets the Go runtime's limits on processors and memory from the limits in the platform's configuration. The
// number of cores is rounded up.
func limitRuntime(cfg *platform.Config) {
	if cfg.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores+0.999)))
	}
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * heapShare * (1 << 20)))
	}
}

// reloadNode reads the configuration again and applies it to the server. If the configuration cannot be used, it logs
// the error and the previous configuration stays in use.
func (a *app) reloadNode(server *platformserver.Server) {
	_, cfg, err := platformConfig()
	if err == nil {
		err = platformserver.CheckConfig(cfg)
	}
	if err != nil {
		a.log.Error().Err(err).Msg("configuration rejected, the previous one stays in use")
		return
	}
	a.log.Info().Str("address", cfg.WatchAddress).Msg("configuration reloaded")
	server.Reload(cfg)
}

// platformConfig reads the configuration file whose path is in the variable BALANCER_CONFIG. It returns the content of
// the file and the configuration parsed from it. The variable BALANCER_LISTEN, if set, overrides the listen address in
// cfg.
func platformConfig() (configText []byte, cfg *platform.Config, err error) {
	name := os.Getenv("BALANCER_CONFIG")
	if name == "" {
		return nil, nil, errors.New("BALANCER_CONFIG is not set; want the path of the platform's configuration")
	}
	configText, err = os.ReadFile(name)
	if err != nil {
		return nil, nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	cfg, err = platform.ParseConfig(configText)
	if err != nil {
		return nil, nil, err
	}
	if listen := os.Getenv("BALANCER_LISTEN"); listen != "" {
		cfg.Listen = listen
	}
	return configText, cfg, nil
}
