// Package plan computes placements in advance. It translates a fleet and service specifications into an instance of the
// solver, and the solver's result into assignments and migrations, or into a conflict between requirements of the
// specifications. It is pure.
package plan

import (
	"fmt"
	"slices"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/parse/settings"
	"forkhead/internal/planning/solver"
)

// Problem is a fleet, the specifications of the services to be placed on it, and the running tasks.
type Problem struct {
	Settings        *settings.Settings
	Hosts           []Host
	Specs           []*servicespec.Description
	Running         []Running // nil: the running tasks are unknown, so no task counts as migrated
	MigrationCost   int64     // cost of each migration, in the unit of Host.Cost
	HomeZone        string    // preferred zone of all tasks; "": none
	OutsideHomeCost int64     // cost of each task outside HomeZone, in the unit of Host.Cost
}

// Assignment is the host that a task is placed on.
type Assignment struct {
	Service string `json:"service"`
	Replica int    `json:"replica"` // from 1
	Host    string `json:"host"`
}

// Migration is a running task that the plan places on another host.
type Migration struct {
	Service string `json:"service"`
	Replica int    `json:"replica"` // from 1
	From    string `json:"from"`
	To      string `json:"to"`
}

// Plan is a placement of all tasks, or the conflict that makes one impossible.
type Plan struct {
	Feasible    bool         `json:"feasible"` // a placement was found
	Optimal     bool         `json:"optimal"`  // it is proven that Cost is minimal or, if not Feasible, that no placement exists
	Cost        int64        `json:"cost"`
	LowerBound  int64        `json:"bound"` // proven lower bound of the cost of any placement
	Assignments []Assignment `json:"assignments"`
	Migrations  []Migration  `json:"moves,omitempty"`
	Conflict    []string     `json:"conflict"` // one message for each of the requirements that cannot be met together
	HostsInUse  int          `json:"hosts_in_use"`
	Nodes       int          `json:"nodes"` // number of nodes of the search tree that the solver visited
}

// service is one service of a problem. It has the same index as its solver.Service in the instance.
type service struct {
	spec        *servicespec.Service
	class       *forkhead.Class
	machineType string      // only machine type that its class allows; "": all are allowed
	running     map[int]int // index of the host of each running replica
}

// Solve computes a plan. An error means that the problem is malformed or that the solver's placement fails
// solver.Check. If no placement exists, that is no error: the plan has the conflict.
func Solve(p *Problem, opt solver.Options) (*Plan, error) {
	in, services, err := p.solverInstance()
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
	// Check is independent of the search, so that a fault of the search yields an error rather than an invalid plan.
	if err := solver.Check(in, result.Counts, result.Cost); err != nil {
		return nil, fmt.Errorf("the solver returned an invalid placement: %w", err)
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

// hostsInUse returns how many of the hosts have a task.
func hostsInUse(hosts int, counts [][]int) int {
	n := 0
	for host := range hosts {
		if slices.ContainsFunc(counts, func(row []int) bool { return row[host] > 0 }) {
			n++
		}
	}
	return n
}

// assign assigns the replicas of a service to hosts; counts has the number of replicas for each host. A running replica
// stays on its host as long as the host's count allows. Any other replica is migrated if it is running; otherwise it is
// new.
func (plan *Plan) assign(hosts []Host, s *service, counts []int) {
	unassigned := slices.Clone(counts) // number of tasks of each host that are not assigned to a replica yet
	replicas := 0
	for _, n := range counts {
		replicas += n
	}
	kept := make(map[int]int) // index of the host of each replica that stays
	for replica := 1; replica <= replicas; replica++ {
		if host, ok := s.running[replica]; ok && unassigned[host] > 0 {
			kept[replica] = host
			unassigned[host]--
		}
	}
	next := 0 // index of a host; no host before it has unassigned tasks
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
