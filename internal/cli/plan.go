package cli

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"forkhead/internal/parse/servicespec"
	"forkhead/internal/planning/plan"
	"forkhead/internal/planning/solver"
)

func (a *app) planCommand() *cobra.Command {
	var pf projectFlags
	var hosts, running, config string
	var limit time.Duration
	var move, cross int64
	var home string
	var selfcheck int
	var parts bool
	c := &cobra.Command{
		Use: "plan --hosts HOSTS FILE...", Short: "work out placements ahead, or what conflicts where there are none", Args: cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, names []string) error {
			if selfcheck > 0 {
				return a.selfcheck(selfcheck)
			}
			if hosts == "" || len(names) == 0 && !parts {
				return badInput(fmt.Errorf("plan wants --hosts HOSTS and at least one FILE or --shares, or --selfcheck N"))
			}
			s, err := readSettings(config)
			if err != nil {
				return err
			}
			q := &plan.Problem{Settings: s, MigrationCost: move, HomeZone: home, OutsideHomeCost: cross}
			text, err := file(hosts, `the fleet as {"hosts":[{"id":...}]}`)
			if err != nil {
				return err
			}
			if q.Hosts, err = plan.ReadHosts(hosts, text); err != nil {
				return badInput(err)
			}
			if parts {
				return a.shares(s, q.Hosts)
			}
			if running != "" {
				if text, err = file(running, `what runs as {"running":[{"service":...}]}`); err != nil {
					return err
				}
				if q.Running, err = plan.ReadRunning(running, text); err != nil {
					return badInput(err)
				}
			}
			e, err := pf.envelope(names)
			if err != nil {
				return err
			}
			d, err := parse(e, s)
			if err != nil {
				return err
			}
			q.Specs = []*servicespec.Description{d}
			end := time.Now().Add(limit)
			p, err := plan.Solve(q, solver.Options{Stop: func() bool { return time.Now().After(end) || cmd.Context().Err() != nil }})
			if err != nil {
				return badInput(err)
			}
			return a.tellPlan(p)
		},
	}
	pf.add(c.Flags())
	c.Flags().StringVar(&hosts, "hosts", "", `the fleet: {"hosts":[{"id","kind","zone","rack","cores","memory","cost","state"}]}`)
	c.Flags().StringVar(&running, "running", "", `what runs: {"running":[{"service","replica","host"}]}; moves are then told and cost`)
	c.Flags().StringVar(&config, "config", "", "settings whose classes and tenants descriptions may name (default: built-in ones)")
	c.Flags().DurationVar(&limit, "limit", 10*time.Second, "answer after this with what there is")
	c.Flags().Int64Var(&move, "move", 1, "cost of a move, in the hosts' unit")
	c.Flags().StringVar(&home, "home", "", "a zone that tasks should be in")
	c.Flags().Int64Var(&cross, "cross", 1, "cost of each task outside --home")
	c.Flags().BoolVar(&parts, "shares", false, "print each tenant's part of the fleet's cores at each placer, by the settings' shares")
	c.Flags().IntVar(&selfcheck, "selfcheck", 0, "compare the solver with brute force on so many random instances")
	return c
}

func (a *app) tellPlan(p *plan.Plan) error {
	if a.output == "json" {
		if err := a.json(p); err != nil {
			return err
		}
	} else if p.Feasible {
		w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "SERVICE\tREPLICA\tHOST")
		for _, as := range p.Assignments {
			fmt.Fprintf(w, "%s\t%d\t%s\n", as.Service, as.Replica, as.Host)
		}
		if err := w.Flush(); err != nil {
			return err
		}
		for _, m := range p.Migrations {
			fmt.Fprintf(a.out, "move %s/%d from %s to %s\n", m.Service, m.Replica, m.From, m.To)
		}
		gap := 0.0
		if p.Cost > 0 {
			gap = float64(p.Cost-p.LowerBound) / float64(p.Cost) * 100
		}
		fmt.Fprintf(a.out, "%d hosts in use, cost %d, bound %d, gap %.2f%%, proven: %v\n", p.HostsInUse, p.Cost, p.LowerBound, gap, p.Optimal)
	} else if p.Optimal {
		fmt.Fprintf(a.out, "no placement exists. These cannot be met together, and could without any one of them:\n  %s\n", strings.Join(p.Conflict, "\n  "))
	} else {
		fmt.Fprintln(a.out, "undecided: no placement was found and none was ruled out within the limit")
	}
	if !p.Feasible {
		return errNo
	}
	return nil
}
