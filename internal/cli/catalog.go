package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	consulemulator "forkhead/internal/emulator/consul"
	"forkhead/internal/server/clock"
)

// catalogFlags are the flags of the command that runs the emulated catalog.
type catalogFlags struct {
	listen string
	policy consulemulator.Policy
}

func (a *app) catalogCommand() *cobra.Command {
	var f catalogFlags
	c := &cobra.Command{
		Use:   "catalogue", //nolint:misspell // the command's name, which users type
		Short: "run the emulated service catalog of hosts (Consul's HTTP API)", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runCatalog(cmd.Context(), &f) },
	}
	flags := c.Flags()
	flags.StringVar(&f.listen, "listen", "127.0.0.1:8500", "address to listen at")
	flags.DurationVar(&f.policy.CriticalAfter, "critical", 2*time.Second, "time without a registration after which a host is critical")
	flags.DurationVar(&f.policy.DeregisterAfter, "deregister", 6*time.Second, "time without a registration after which a host is removed")
	return c
}

// runCatalog serves the catalog until ctx ends.
func runCatalog(ctx context.Context, f *catalogFlags) error {
	s, err := consulemulator.Serve(f.listen, f.policy, clock.New(), nil)
	if err != nil {
		return err
	}
	<-ctx.Done()
	s.Stop()
	return nil
}
