package servicespec

import (
	"slices"
	"strings"

	"forkhead/internal/parse/diagnostic"
)

// Check sorts the services by name. It returns an error if a service depends on one that is missing, or on itself by way of
// others.
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

// checkDependencies returns all dependencies that are missing and not optional.
func (d *Description) checkDependencies() error {
	errs := &diagnostic.List{}
	for i := range d.Services {
		for _, dep := range d.Services[i].DependsOn {
			if d.Service(dep.Service) == nil && !dep.Optional {
				errs.Add(diagnostic.Errorf(dep.Pos, "service %q depends on %q, which is not here", d.Services[i].Name, dep.Service))
			}
		}
	}
	return errs.Err()
}

// visitState is how far a depth-first search is with a service.
type visitState uint8

const (
	unvisited visitState = iota
	visiting             // on the path to the service that is visited now
	visited              // neither it nor what it depends on is on a cycle
)

// cycleSearch is a depth-first search for services that depend on each other.
type cycleSearch struct {
	description *Description
	states      map[string]visitState // by name
}

// visit returns an error if a cycle can be reached from the service. path has the names on the way to it.
func (c *cycleSearch) visit(s *Service, path []string) error {
	switch c.states[s.Name] {
	case visited:
		return nil
	case visiting:
		cycle := append(path[slices.Index(path, s.Name):], s.Name)
		return diagnostic.Errorf(s.Pos, "depends_on goes round: %s", strings.Join(cycle, " -> "))
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
