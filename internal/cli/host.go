package cli

import (
	"context"
	"fmt"
	"net"

	"github.com/spf13/cobra"

	"forkhead/internal/emulator/host"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/netio"
	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

const (
	// hostPollers is the number of goroutines that read the sockets of all hosts.
	hostPollers = 2

	// groupSeedStride is the difference between the first seeds of two consecutive groups of hosts. It is larger than the
	// number of hosts in a group, so that no two hosts have the same seed.
	groupSeedStride = 10_000
)

// hostFlags are the flags of host.
type hostFlags struct {
	scenarioFile string // file of the scenario whose hosts to run; "" for the built-in scenario
	catalog      string // address of Consul's HTTP API
	listen       string // address to listen at; its port is ignored, and each host takes a free port
}

func (a *app) hostCommand() *cobra.Command {
	var f hostFlags
	c := &cobra.Command{
		Use: "host", Short: "run the emulated hosts of a scenario", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return a.runHosts(cmd.Context(), &f) },
	}
	flags := c.Flags()
	flags.StringVar(&f.scenarioFile, "script", "", "scenario whose hosts to run (default: the built-in one of try)")
	flags.StringVar(&f.catalog, "catalogue", "127.0.0.1:8500", "address of the service catalog where the hosts register") //nolint:misspell // the flag's name
	flags.StringVar(&f.listen, "listen", "127.0.0.1:0", "address to listen at; each host takes its own free port")
	return c
}

// runHosts runs all hosts of a scenario until ctx ends.
func (a *app) runHosts(ctx context.Context, f *hostFlags) error {
	s, err := readScenario(f.scenarioFile, scenario.FaultFree)
	if err != nil {
		return err
	}
	address, _, err := net.SplitHostPort(f.listen)
	if err != nil {
		return asInputError(fmt.Errorf("--listen: %w", err))
	}
	engine, err := netio.New("hosts", hostPollers)
	if err != nil {
		return err
	}
	defer engine.Stop()
	c := clock.New()
	for gi := range s.HostGroups {
		g := &s.HostGroups[gi]
		for i := range g.Count {
			h, err := host.Start(host.Config{
				Host:                 testcluster.HostConfig(s, g, i),
				Listen:               net.JoinHostPort(address, "0"),
				CatalogAddress:       f.catalog,
				Service:              s.Settings.ServiceDiscovery.Service,
				RegistrationInterval: s.Host.RegistrationInterval,
				Seed:                 uint64(gi*groupSeedStride + i),
				WarmingUp:            g.WarmingUp,
				Clock:                c,
				Engine:               engine,
			})
			if err != nil {
				return err
			}
			defer h.Stop()
			a.log.Info().Str("host", h.Name()).Str("address", h.Address()).Msg("host started")
		}
	}
	<-ctx.Done()
	return nil
}
