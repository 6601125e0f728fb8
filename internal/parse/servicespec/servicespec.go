// Package servicespec is the model of a service description that every source format is read
// into: what is to run, how many times, and what bears on where.
package servicespec

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"forkhead/internal/parse/diagnostic"
)

// Description is one project.
type Description struct {
	Name         string    // of the project; "" if the source names none
	Services     []Service // by name
	Notes        []Note    // what was read but acts on no placement here
	AllOrNothing bool      `json:"Whole"` // all of its tasks are to be placed, or none
}

// Note says that an element is carried but not acted on.
type Note struct {
	Pos  diagnostic.Pos
	Text string
}

// Mode says how many tasks a service has and whether they end.
type Mode uint8

// The modes.
const (
	Replicated    Mode = iota // Replicas tasks that run on
	Global                    // one task on each fitting host
	ReplicatedJob             // Replicas tasks that end by themselves
	GlobalJob                 // one that ends, on each fitting host
)

// Job says whether the tasks are meant to end.
func (m Mode) Job() bool { return m == ReplicatedJob || m == GlobalJob }

// PerHost says whether the number of tasks follows the hosts.
func (m Mode) PerHost() bool { return m == Global || m == GlobalJob }

// Service is one service of a project.
type Service struct {
	Name             string
	Pos              diagnostic.Pos
	Class            string // "": the service's default
	Tenant           string // "": none
	Mode             Mode
	Replicas         int
	Cores            float64 // cores reserved for each task
	Memory           float64 // GiB reserved for each task
	LimitCores       float64 // 0: none
	LimitMemory      float64
	ExpectedRuntime  time.Duration `json:"Life"`     // how long a task runs, roughly; 0: not told
	RequestTimeout   time.Duration `json:"Wait"`     // of one ask; 0: the class's
	PlacementTimeout time.Duration `json:"Patience"` // for a task to be placed; 0: the class's
	Constraints      []Constraint
	Preferences      []Attribute   // spread evenly over these, as far as it goes
	SpreadLimits     []SpreadLimit `json:"Limits"`
	Near             []Near        // services that its tasks have to be beside
	Restart          Restart
	Update           Update
	DependsOn        []Dependency
	Labels           map[string]string
	StopGrace        time.Duration // between a stop and the kill; 0: the host's
	Payload          []byte        // JSON of what only the host acts on
}

// Attribute names something of a host: id, hostname, role, os, arch or label.NAME. kind, zone
// and rack are label.kind, label.zone and label.rack.
type Attribute string

// Constraint is a condition on a host's attribute.
type Constraint struct {
	Attribute Attribute
	Not       bool
	Value     string
	Pos       diagnostic.Pos
}

// String gives the constraint in Compose's form.
func (c Constraint) String() string {
	op := "=="
	if c.Not {
		op = "!="
	}
	return string(c.Attribute) + " " + op + " " + c.Value
}

// SpreadLimit is the most tasks of the service in one place: machine, rack or zone.
type SpreadLimit struct {
	Domain   string `json:"Place"`
	MaxTasks int    `json:"Most"`
	Pos      diagnostic.Pos
}

// Near keeps a service's tasks to places where another service of the project has one.
type Near struct {
	Service string
	Domain  string `json:"Place"` // machine, rack or zone
	Pos     diagnostic.Pos
}

// RestartCondition says when an ended task is started again.
type RestartCondition uint8

// The conditions of a restart.
const (
	Always RestartCondition = iota
	OnFailure
	Never
)

// Restart is what follows the end of a task.
type Restart struct {
	When        RestartCondition
	Delay       time.Duration
	MaxRestarts int           `json:"Most"` // restarts in Window; 0: no limit
	Window      time.Duration // 0: for good
}

// FailureAction says what an update does when tasks fail.
type FailureAction uint8

// The answers to a failed update.
const (
	Pause FailureAction = iota
	Continue
	Rollback
)

// Update says how a changed service replaces its running tasks.
type Update struct {
	Parallel        int // tasks at a time; 0: all
	Delay           time.Duration
	FailureAction   FailureAction `json:"OnTrouble"`
	Monitor         time.Duration
	MaxFailureRatio float64 `json:"MaxFailed"` // share of tasks that may fail
	StartFirst      bool
}

// DependencyCondition says what a dependency must have reached.
type DependencyCondition uint8

// The conditions.
const (
	Started   DependencyCondition = iota // all its tasks are placed
	Healthy                              // as Started: hosts tell that a task runs, not that it is well
	Completed                            // all its tasks ended well
)

// Dependency is a service that goes first.
type Dependency struct {
	Service  string
	When     DependencyCondition
	Optional bool
	Restart  bool // placed anew when the dependency is
	Pos      diagnostic.Pos
}

// Service returns a service by name, or nil.
func (d *Description) Service(name string) *Service {
	i, ok := slices.BinarySearchFunc(d.Services, name, func(s Service, n string) int { return strings.Compare(s.Name, n) })
	if !ok {
		return nil
	}
	return &d.Services[i]
}

// Check sorts the services and refuses dependencies that are missing or go round.
func (d *Description) Check() error {
	slices.SortFunc(d.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	errs := &diagnostic.List{}
	for i := range d.Services {
		for _, dep := range d.Services[i].DependsOn {
			if d.Service(dep.Service) == nil && !dep.Optional {
				errs.Add(diagnostic.Errorf(dep.Pos, "service %q depends on %q, which is not here", d.Services[i].Name, dep.Service))
			}
		}
	}
	if err := errs.Err(); err != nil {
		return err
	}
	const (
		unseen = iota
		open
		done
	)
	state := map[string]int{}
	var visit func(s *Service, path []string) error
	visit = func(s *Service, path []string) error {
		switch state[s.Name] {
		case done:
			return nil
		case open:
			from := slices.Index(path, s.Name)
			return diagnostic.Errorf(s.Pos, "depends_on goes round: %s", strings.Join(append(path[from:], s.Name), " -> "))
		}
		state[s.Name] = open
		for _, dep := range s.DependsOn {
			if other := d.Service(dep.Service); other != nil {
				if err := visit(other, append(path, s.Name)); err != nil {
					return err
				}
			}
		}
		state[s.Name] = done
		return nil
	}
	for i := range d.Services {
		if err := visit(&d.Services[i], nil); err != nil {
			return err
		}
	}
	return nil
}

// Tasks counts the tasks of services whose number does not follow the hosts.
func (d *Description) Tasks() int {
	n := 0
	for _, s := range d.Services {
		if !s.Mode.PerHost() {
			n += s.Replicas
		}
	}
	return n
}

// Fingerprint is a number that changes with anything a running task of the service is made of.
// Replicas, waits and what bears only on the next placement are left out.
func (s *Service) Fingerprint() uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s|%s|%g|%g|%g|%g|%d|%s", s.Class, s.Tenant, s.Cores, s.Memory, s.LimitCores, s.LimitMemory,
		s.StopGrace, s.Payload)
	for _, c := range s.Constraints {
		fmt.Fprintf(h, "|%s", c)
	}
	for _, k := range sorted(s.Labels) {
		fmt.Fprintf(h, "|%s=%s", k, s.Labels[k])
	}
	return h.Sum64()
}

func sorted(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// TaskKey is the number under which a task is known at every host and placer, the same each time
// that its project is submitted.
func TaskKey(tenant, project, service string, replica int) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q %q %q %d", tenant, project, service, replica)
	return max(h.Sum64(), 1)
}

// ServiceKey is the number under which a service is known.
func ServiceKey(tenant, project, service string) uint64 {
	return TaskKey(tenant, project, service, -1)
}
