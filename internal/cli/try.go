package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"forkhead/internal/client"
	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

// readyTimeout is the maximum time that the placers of a test cluster may take to know the hosts of the cluster.
const readyTimeout = 10 * time.Second

func (a *app) tryCommand() *cobra.Command {
	var spec specificationFlags
	var scenarioFile string
	c := &cobra.Command{
		Use: "try FILE...", Short: "place a service specification on emulated hosts, all in this process", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, names []string) error {
			return a.try(cmd.Context(), &spec, scenarioFile, names)
		},
	}
	spec.add(c.Flags())
	c.Flags().StringVar(&scenarioFile, "script", "", "scenario whose hosts and placers to use (default: a built-in one with ten hosts)")
	return c
}

// try starts the cluster of a scenario, submits the files to the first placer of the cluster and writes the outcomes of
// the tasks.
func (a *app) try(ctx context.Context, spec *specificationFlags, scenarioFile string, names []string) error {
	s, err := readScenario(scenarioFile, scenario.FaultFree)
	if err != nil {
		return err
	}
	envelope, err := spec.envelope(names)
	if err != nil {
		return err
	}
	description, err := parseSpecification(envelope, s.Settings)
	if err != nil {
		return err
	}
	nameProject(envelope, description, names[0])
	cluster, err := testcluster.Start(s, testcluster.Options{Log: a.log})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	if err := cluster.WaitReady(readyTimeout); err != nil {
		return err
	}
	for _, n := range description.Notes {
		a.log.Warn().Str("at", n.Pos.String()).Msg(n.Text)
	}
	return a.submitAndFollow(ctx, &client.Client{Address: cluster.Settings.Placers[0].HTTPAddress}, envelope)
}
