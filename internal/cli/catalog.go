package cli

import (
	"time"

	"github.com/spf13/cobra"

	consulemulator "forkhead/internal/emulator/consul"
	"forkhead/internal/server/clock"
)

func (a *app) catalogueCommand() *cobra.Command {
	var listen string
	var p consulemulator.Policy
	c := &cobra.Command{
		Use: "catalogue", Short: "run the stand-in catalogue of hosts", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := consulemulator.Serve(listen, p, clock.New(), nil)
			if err != nil {
				return err
			}
			<-cmd.Context().Done()
			s.Stop()
			return nil
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:8500", "address to listen at")
	c.Flags().DurationVar(&p.CriticalAfter, "critical", 2*time.Second, "a host that has not registered for so long is critical")
	c.Flags().DurationVar(&p.DeregisterAfter, "deregister", 6*time.Second, "and is dropped after this")
	return c
}
