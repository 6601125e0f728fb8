package cli

import (
	"time"

	"github.com/spf13/cobra"

	"forkhead/internal/client"
	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

func (a *app) tryCommand() *cobra.Command {
	var pf projectFlags
	var scriptFile string
	c := &cobra.Command{
		Use: "try FILE...", Short: "place a description on stand-in hosts, all in this process", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, names []string) error {
			s, err := readScript(scriptFile, scenario.FaultFree)
			if err != nil {
				return err
			}
			e, err := pf.envelope(names)
			if err != nil {
				return err
			}
			d, err := parse(e, s.Settings)
			if err != nil {
				return err
			}
			named(e, d, names[0])
			sc, err := testcluster.Start(s, testcluster.Options{Log: a.log})
			if err != nil {
				return err
			}
			defer sc.Stop()
			if err := sc.WaitReady(10 * time.Second); err != nil {
				return err
			}
			for _, n := range d.Notes {
				a.log.Warn().Str("at", n.Pos.String()).Msg(n.Text)
			}
			out := a.outcomes()
			client := client.Client{Address: sc.Settings.Placers[0].HTTP}
			if err := client.Submit(cmd.Context(), e, out.add); err != nil {
				return a.refusal(err)
			}
			return out.end()
		},
	}
	pf.add(c.Flags())
	c.Flags().StringVar(&scriptFile, "script", "", "script whose fleet is used (default: a calm one of ten hosts)")
	return c
}
