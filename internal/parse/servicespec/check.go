package servicespec

import (
	"slices"
	"strings"

	"forkhead/internal/parse/diagnostic"
)

// Check sorts the services by name. It returns an error if a service depends on a missing one, or if dependencies form a
// cycle.
func (d *Description) Check() error {
	slices.SortFunc(d.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	if err := d.checkDependencies(); err != nil {
		return err
	}
	search := cycleSearch{description: d, states: map[string]visitState{}}
	for i := range d.Services {
		if err := search.visit(&d.Services[i], nil); err != nil {
			return err
		}
	}
	return nil
}

// checkDependencies returns an error that lists the dependencies on missing services, except for optional ones.
func (d *Description) checkDependencies() error {
	errs := &diagnostic.List{}
	for i := range d.Services {
		for _, dep := range d.Services[i].DependsOn {
			if d.Service(dep.Service) == nil && !dep.Optional {
				errs.Add(diagnostic.Errorf(dep.Pos, "service %q depends on %q, which is not defined", d.Services[i].Name, dep.Service))
			}
		}
	}
	return errs.Err()
}

// visitState is the progress of a depth-first search at one service.
type visitState uint8

const (
	unvisited visitState = iota
	visiting             // the search is still visiting the dependencies of the service
	visited              // no cycle can be reached from the service
)

// cycleSearch is a depth-first search for dependency cycles.
type cycleSearch struct {
	description *Description
	states      map[string]visitState // state of each service that the search has reached, by service name
}

// visit returns an error if the dependencies of s lead to a cycle. The parameter path has the names of the services
// that led to s, from the start of the search on. Each of them depends on the next, and the last depends on s.
func (c *cycleSearch) visit(s *Service, path []string) error {
	switch c.states[s.Name] {
	case visited:
		return nil
	case visiting:
		cycle := append(path[slices.Index(path, s.Name):], s.Name)
		return diagnostic.Errorf(s.Pos, "depends_on forms a cycle: %s", strings.Join(cycle, " -> "))
	}
	c.states[s.Name] = visiting
	for _, dep := range s.DependsOn {
		if other := c.description.Service(dep.Service); other != nil {
			if err := c.visit(other, append(path, s.Name)); err != nil {
				return err
			}
		}
	}
	c.states[s.Name] = visited
	return nil
}
