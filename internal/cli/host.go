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

	// groupSeeds is the distance between the first seeds of two groups of hosts, more than a group has hosts.
	groupSeeds = 10_000
)

// hostFlags are the flags of host.
type hostFlags struct {
	scenarioFile string
	catalog      string // address of Consul's API
	listen       string
}

func (a *app) hostCommand() *cobra.Command {
	var f hostFlags
	c := &cobra.Command{
		Use: "host", Short: "run the emulated hosts of a scenario", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return a.runHosts(cmd.Context(), &f) },
	}
	flags := c.Flags()
	flags.StringVar(&f.scenarioFile, "script", "", "scenario whose hosts are run (default: the hosts of try)")
	flags.StringVar(&f.catalog, "catalogue", "127.0.0.1:8500", "address of the service catalog where the hosts register") //nolint:misspell // the flag's name
	flags.StringVar(&f.listen, "listen", "127.0.0.1:0", "address to listen at; each host takes a port of its own")
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
		return badInput(fmt.Errorf("--listen: %w", err))
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
				Seed:                 uint64(gi*groupSeeds + i),
				WarmingUp:            g.WarmingUp,
				Clock:                c,
				Engine:               engine,
			})
			if err != nil {
				return err
			}
			defer h.Stop()
			a.log.Info().Str("host", h.Name()).Str("address", h.Address()).Msg("the host is up")
		}
	}
	<-ctx.Done()
	return nil
}
