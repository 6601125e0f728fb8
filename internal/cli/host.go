package cli

import (
	"fmt"
	"net"

	"github.com/spf13/cobra"

	"forkhead/internal/emulator/host"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/netio"
	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

func (a *app) hostCommand() *cobra.Command {
	var scriptFile, catalogue, listen string
	c := &cobra.Command{
		Use: "host", Short: "run the stand-in hosts of a script", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := readScript(scriptFile, scenario.FaultFree)
			if err != nil {
				return err
			}
			address, _, err := net.SplitHostPort(listen)
			if err != nil {
				return badInput(fmt.Errorf("--listen: %w", err))
			}
			engine, err := netio.New("hosts", 2)
			if err != nil {
				return err
			}
			defer engine.Stop()
			c := clock.New()
			for gi := range s.HostGroups {
				g := &s.HostGroups[gi]
				for i := range g.Count {
					name, rack := fmt.Sprintf("%s%d", g.Prefix, i), fmt.Sprintf("%s-r%d", g.Zone, i%g.Racks)
					h, err := host.Start(host.Config{
						Host: testcluster.HostConfig(s, g, name, rack), Listen: net.JoinHostPort(address, "0"), CatalogAddress: catalogue,
						Service: s.Settings.ServiceDiscovery.Service, RegistrationInterval: s.Host.RegistrationInterval, Seed: uint64(gi*10_000 + i), WarmingUp: g.WarmingUp, Clock: c, Engine: engine,
					})
					if err != nil {
						return err
					}
					defer h.Stop()
					a.log.Info().Str("host", name).Str("address", h.Address()).Msg("the host is up")
				}
			}
			<-cmd.Context().Done()
			return nil
		},
	}
	c.Flags().StringVar(&scriptFile, "script", "", "script whose hosts are run (default: the fleet of try)")
	c.Flags().StringVar(&catalogue, "catalogue", "127.0.0.1:8500", "where the hosts register")
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen at; each host takes a port of its own")
	return c
}
