// Package plan computes placements in advance: it turns a fleet and service specifications into an instance of the solver, and
// the solver's result into assignments, migrations, or a conflict in the specifications' own terms. It is pure.
package plan

import (
	"fmt"
	"slices"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/parse/settings"
	"forkhead/internal/planning/solver"
)

// Problem is a fleet, what is to be placed on it and what runs.
type Problem struct {
	Settings        *settings.Settings
	Hosts           []Host
	Specs           []*servicespec.Description
	Running         []Running // nil: what runs is unknown, and migrations cost nothing
	MigrationCost   int64     // of each migration, in the unit of the hosts' costs
	HomeZone        string    // zone that tasks should be in; "": none
	OutsideHomeCost int64     // of each task outside HomeZone
}

// Assignment is a task and its host.
type Assignment struct {
	Service string `json:"service"`
	Replica int    `json:"replica"` // from 1
	Host    string `json:"host"`
}

// Migration is a running task that the plan has on another host.
type Migration struct {
	Service string `json:"service"`
	Replica int    `json:"replica"` // from 1
	From    string `json:"from"`
	To      string `json:"to"`
}

// Plan is a placement of all tasks, or what rules one out.
type Plan struct {
	Feasible    bool         `json:"feasible"` // a placement was found
	Optimal     bool         `json:"optimal"`  // proven: of least cost; or, if not Feasible, none exists
	Cost        int64        `json:"cost"`
	LowerBound  int64        `json:"bound"` // no placement costs less
	Assignments []Assignment `json:"assignments"`
	Migrations  []Migration  `json:"moves,omitempty"`
	Conflict    []string     `json:"conflict"` // requirements that cannot be met together, a message each
	HostsInUse  int          `json:"hosts_in_use"`
	Nodes       int          `json:"nodes"` // visited by the solver
}

// service is one service of a problem. Its index among them is that of its solver.Service.
type service struct {
	spec        *servicespec.Service
	class       *forkhead.Class
	machineType string      // that its class is restricted to; "": any
	running     map[int]int // index of the host, by replica
}

// Solve works out a plan. An error means that the problem is malformed; if no placement exists, the plan has the conflict.
func Solve(p *Problem, opt solver.Options) (*Plan, error) {
	in, services, err := p.instance()
	if err != nil {
		return nil, err
	}
	result, err := solver.Solve(in, opt)
	if err != nil {
		return nil, err
	}
	if !result.Feasible {
		plan := &Plan{Optimal: result.Optimal, Assignments: []Assignment{}, Conflict: []string{}, Nodes: result.Nodes}
		if result.Optimal {
			requirements, _ := solver.FindConflict(in, opt)
			plan.Conflict = describeConflict(in, services, requirements)
		}
		return plan, nil
	}
	// The search is not trusted: what it found is verified before anybody acts on it.
	if err := solver.Check(in, result.Counts, result.Cost); err != nil {
		return nil, fmt.Errorf("the solver's answer does not hold: %w", err)
	}
	plan := &Plan{
		Feasible: true, Optimal: result.Optimal, Cost: result.Cost, LowerBound: result.LowerBound,
		Assignments: []Assignment{}, Conflict: []string{}, HostsInUse: hostsInUse(len(in.Hosts), result.Counts), Nodes: result.Nodes,
	}
	for i := range services {
		plan.assign(p.Hosts, &services[i], result.Counts[i])
	}
	return plan, nil
}

// hostsInUse returns how many of a number of hosts have a task.
func hostsInUse(hosts int, counts [][]int) int {
	n := 0
	for host := range hosts {
		if slices.ContainsFunc(counts, func(row []int) bool { return row[host] > 0 }) {
			n++
		}
	}
	return n
}

// assign gives the replicas of a service hosts; counts has how many each gets. A replica that runs where the plan
// has one stays there; the others are migrated or new.
func (plan *Plan) assign(hosts []Host, s *service, counts []int) {
	unassigned := slices.Clone(counts) // tasks by host
	replicas := 0
	for _, n := range counts {
		replicas += n
	}
	kept := make(map[int]int) // index of the host, by replica
	for replica := 1; replica <= replicas; replica++ {
		if host, ok := s.running[replica]; ok && unassigned[host] > 0 {
			kept[replica] = host
			unassigned[host]--
		}
	}
	next := 0 // no host before it has an unassigned task
	for replica := 1; replica <= replicas; replica++ {
		host, ok := kept[replica]
		if !ok {
			for unassigned[next] == 0 {
				next++
			}
			host = next
			unassigned[host]--
			if from, ok := s.running[replica]; ok {
				plan.Migrations = append(plan.Migrations, Migration{s.spec.Name, replica, hosts[from].ID, hosts[host].ID})
			}
		}
		plan.Assignments = append(plan.Assignments, Assignment{s.spec.Name, replica, hosts[host].ID})
	}
}
