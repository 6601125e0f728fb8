package cli

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"forkhead/internal/parse/servicespec"
	"forkhead/internal/parse/settings"
	"forkhead/internal/planning/plan"
	"forkhead/internal/planning/solver"
)

// noPlacementFormat is the format of the message for a specification that has no placement. The argument of the format
// is a minimal set of conflicting requirements, one per line.
const noPlacementFormat = "no placement exists. These cannot be met together, and could without any one of them:\n  %s\n"

// planFlags are the flags of plan.
type planFlags struct {
	specification   specificationFlags
	settingsFile    string
	hostsFile       string
	runningFile     string // file that lists the running tasks; "" if no tasks are running
	limit           time.Duration
	migrationCost   int64
	homeZone        string // preferred zone of all tasks; "" for none
	outsideHomeCost int64  // cost of each task outside homeZone
	quotas          bool   // print the tenants' quotas instead of a plan
	selfcheck       int    // if not 0, check the solver on this many random instances instead of planning
}

func (a *app) planCommand() *cobra.Command {
	var f planFlags
	c := &cobra.Command{
		Use: "plan --hosts HOSTS FILE...", Short: "compute an optimal placement ahead of time, or the conflicting requirements if there is none", Args: cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, names []string) error { return a.plan(cmd.Context(), &f, names) },
	}
	f.specification.add(c.Flags())
	flags := c.Flags()
	flags.StringVar(&f.hostsFile, "hosts", "", `hosts: {"hosts":[{"id","kind","zone","rack","cores","memory","cost","state"}]}`)
	flags.StringVar(&f.runningFile, "running", "", `running tasks: {"running":[{"service","replica","host"}]}; migrations are then listed and add to the cost`)
	flags.StringVar(&f.settingsFile, "config", "", settingsFlagUsage)
	flags.DurationVar(&f.limit, "limit", 10*time.Second, "time limit, after which the best plan found so far is printed")
	flags.Int64Var(&f.migrationCost, "move", 1, "cost of a migration, in the unit of the hosts' costs")
	flags.StringVar(&f.homeZone, "home", "", "zone that tasks should be in")
	flags.Int64Var(&f.outsideHomeCost, "cross", 1, "cost of each task outside --home")
	flags.BoolVar(&f.quotas, "shares", false, "instead of a plan, print each tenant's quota of the hosts' cores at each placer, by the shares in the settings")
	flags.IntVar(&f.selfcheck, "selfcheck", 0, "instead of a plan, compare the solver with brute force on this number of random instances")
	return c
}

func (a *app) plan(ctx context.Context, f *planFlags, names []string) error {
	if f.selfcheck > 0 {
		return a.selfcheck(f.selfcheck)
	}
	if f.hostsFile == "" || len(names) == 0 && !f.quotas {
		return asInputError(errors.New("plan wants --hosts HOSTS and at least one FILE or --shares, or --selfcheck N"))
	}
	s, err := readSettings(f.settingsFile)
	if err != nil {
		return err
	}
	hosts, err := readHosts(f.hostsFile)
	if err != nil {
		return err
	}
	if f.quotas {
		return a.printQuotas(s, hosts)
	}
	problem, err := f.problem(s, hosts, names)
	if err != nil {
		return err
	}
	end := time.Now().Add(f.limit)
	p, err := plan.Solve(problem, solver.Options{Stop: func() bool { return time.Now().After(end) || ctx.Err() != nil }})
	if err != nil {
		return asInputError(err)
	}
	return a.printPlan(p)
}

func readHosts(name string) ([]plan.Host, error) {
	text, err := readFile(name, `hosts: {"hosts":[{"id":...}]}`)
	if err != nil {
		return nil, err
	}
	hosts, err := plan.ReadHosts(name, text)
	return hosts, asInputError(err)
}

func readRunning(name string) ([]plan.Running, error) {
	text, err := readFile(name, `running tasks: {"running":[{"service":...}]}`)
	if err != nil {
		return nil, err
	}
	running, err := plan.ReadRunning(name, text)
	return running, asInputError(err)
}

// problem reads the specification and the running tasks, and returns the placement problem.
func (f *planFlags) problem(s *settings.Settings, hosts []plan.Host, names []string) (*plan.Problem, error) {
	problem := &plan.Problem{Settings: s, Hosts: hosts, MigrationCost: f.migrationCost, HomeZone: f.homeZone, OutsideHomeCost: f.outsideHomeCost}
	if f.runningFile != "" {
		var err error
		if problem.Running, err = readRunning(f.runningFile); err != nil {
			return nil, err
		}
	}
	envelope, err := f.specification.envelope(names)
	if err != nil {
		return nil, err
	}
	specification, err := parseSpecification(envelope, s)
	if err != nil {
		return nil, err
	}
	problem.Specs = []*servicespec.Description{specification}
	return problem, nil
}

// printPlan prints a plan. It returns errNegativeResult if the plan has no placement.
func (a *app) printPlan(p *plan.Plan) error {
	write := a.writePlanText
	if a.wantsJSON() {
		write = func(p *plan.Plan) error { return a.writeJSON(p) }
	}
	if err := write(p); err != nil {
		return err
	}
	if !p.Feasible {
		return errNegativeResult
	}
	return nil
}

func (a *app) writePlanText(p *plan.Plan) error {
	switch {
	case p.Feasible:
		return a.writePlacement(p)
	case p.Optimal:
		a.printf(noPlacementFormat, strings.Join(p.Conflict, "\n  "))
	default:
		a.println("undecided: within the time limit, no placement was found, and it was not proven that none exists")
	}
	return nil
}

// writePlacement prints the host of each task, the migrations, the cost, and the gap in percent between the cost and its lower
// bound.
func (a *app) writePlacement(p *plan.Plan) error {
	t := newTable(a.out, 0, "SERVICE\tREPLICA\tHOST")
	for _, assignment := range p.Assignments {
		t.printf("%s\t%d\t%s\n", assignment.Service, assignment.Replica, assignment.Host)
	}
	if err := t.flush(); err != nil {
		return err
	}
	for _, m := range p.Migrations {
		a.printf("move %s/%d from %s to %s\n", m.Service, m.Replica, m.From, m.To)
	}
	gap := 0.0 // difference between the cost and its lower bound, in percent of the cost
	if p.Cost > 0 {
		gap = float64(p.Cost-p.LowerBound) / float64(p.Cost) * 100
	}
	a.printf("%d hosts in use, cost %d, bound %d, gap %.2f%%, proven: %v\n", p.HostsInUse, p.Cost, p.LowerBound, gap, p.Optimal)
	return nil
}
