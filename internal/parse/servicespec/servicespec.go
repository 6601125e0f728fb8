// Package servicespec is the model of a service specification, which every source format is parsed into: what to run, how
// many tasks of it, and what affects their placement.
//
// Specifications are stored as JSON. The tags of renamed fields keep the names that stored specifications have.
package servicespec

import (
	"slices"
	"strings"
	"time"

	"forkhead/internal/parse/diagnostic"
)

// Description is the specification of one project.
type Description struct {
	Name         string    // name of the project; "" if the source has none
	Services     []Service // sorted by name, once Check has passed
	Notes        []Note    // elements of the source that have no effect
	AllOrNothing bool      `json:"Whole"` // place all tasks or none: reject a project proven not to fit
}

// Note reports an element of the source that has no effect.
type Note struct {
	Pos  diagnostic.Pos
	Text string
}

// Mode determines how many tasks a service has and whether they end by themselves. It is stored as a number.
type Mode uint8

// The modes.
const (
	Replicated    Mode = iota // Replicas tasks that run until they are stopped
	Global                    // one task that runs until it is stopped, on each host that fits
	ReplicatedJob             // Replicas tasks that end by themselves
	GlobalJob                 // one task that ends by itself, on each host that fits
)

// Job reports whether the tasks end by themselves.
func (m Mode) Job() bool { return m == ReplicatedJob || m == GlobalJob }

// PerHost reports whether the number of tasks follows from the number of hosts.
func (m Mode) PerHost() bool { return m == Global || m == GlobalJob }

// Service is one service of a project.
type Service struct {
	Name             string
	Pos              diagnostic.Pos
	Class            string // "": the placer's default class
	Tenant           string // "": none
	Mode             Mode
	Replicas         int
	Cores            float64       // cores reserved for each task
	Memory           float64       // GiB reserved for each task
	LimitCores       float64       // 0: none
	LimitMemory      float64       // GiB; 0: none
	ExpectedRuntime  time.Duration `json:"Life"`     // approximate run time of a task; 0: not known
	RequestTimeout   time.Duration `json:"Wait"`     // timeout of one placement request; 0: that of the class
	PlacementTimeout time.Duration `json:"Patience"` // how long the placement of a task is requested again; 0: that of the class
	Constraints      []Constraint
	Preferences      []Attribute   // best effort: tasks are spread evenly over the values of each
	SpreadLimits     []SpreadLimit `json:"Limits"`
	Near             []Near        // services whose domains its tasks must share
	Restart          Restart
	Update           Update
	DependsOn        []Dependency
	Labels           map[string]string
	StopGrace        time.Duration // time between the request to stop and the kill; 0: that of the host
	Payload          []byte        // JSON object that is passed to the host and not interpreted here
}

// Attribute names an attribute of a host: id, hostname, role, os, arch or label.NAME. The machine type, zone and rack of a
// host are label.kind, label.zone and label.rack.
type Attribute string

// Constraint is a condition on a host's attribute.
type Constraint struct {
	Attribute Attribute
	Not       bool
	Value     string
	Pos       diagnostic.Pos
}

// String returns the constraint in the syntax of Compose, but with the attribute names of this package.
func (c Constraint) String() string {
	op := "=="
	if c.Not {
		op = "!="
	}
	return string(c.Attribute) + " " + op + " " + c.Value
}

// SpreadLimit is the maximum number of tasks of the service in one domain.
type SpreadLimit struct {
	Domain   string `json:"Place"` // machine, rack or zone
	MaxTasks int    `json:"Most"`
	Pos      diagnostic.Pos
}

// Near restricts a service's tasks to domains in which another service of the project has a task.
type Near struct {
	Service string
	Domain  string `json:"Place"` // machine, rack or zone
	Pos     diagnostic.Pos
}

// RestartCondition determines whether an ended task is restarted. It is stored as a number.
type RestartCondition uint8

// The restart conditions.
const (
	Always RestartCondition = iota
	OnFailure
	Never
)

// Restart is the policy for restarting an ended task.
type Restart struct {
	When        RestartCondition
	Delay       time.Duration // before a restart
	MaxRestarts int           `json:"Most"` // restarts in Window; 0: no limit
	Window      time.Duration // 0: unlimited
}

// FailureAction is how an update reacts to too many failed tasks. It is stored as a number.
type FailureAction uint8

// The failure actions.
const (
	Pause FailureAction = iota
	Continue
	Rollback
)

// Update determines how the running tasks of a changed service are replaced.
type Update struct {
	Parallel        int           // tasks replaced at a time; 0: all
	Delay           time.Duration // between one batch of tasks and the next
	FailureAction   FailureAction `json:"OnTrouble"`
	Monitor         time.Duration // how long a replaced task is monitored for a failure
	MaxFailureRatio float64       `json:"MaxFailed"` // ratio of tasks that may fail, 0 to 1
	StartFirst      bool          // start the new task before the old one is stopped
}

// DependencyCondition is the state that a dependency must have reached. It is stored as a number.
type DependencyCondition uint8

// The dependency conditions.
const (
	Started   DependencyCondition = iota // all its tasks are placed
	Healthy                              // same as Started: hosts report that a task runs, not that it is healthy
	Completed                            // all its tasks ended successfully
)

// Dependency is a service that must reach a condition first.
type Dependency struct {
	Service  string
	When     DependencyCondition
	Optional bool // the service may be missing
	Restart  bool // replace the tasks when the dependency is replaced; has no effect
	Pos      diagnostic.Pos
}

// Service returns the service of a name, or nil. The services must be sorted, as by Check.
func (d *Description) Service(name string) *Service {
	i, ok := slices.BinarySearchFunc(d.Services, name, func(s Service, n string) int { return strings.Compare(s.Name, n) })
	if !ok {
		return nil
	}
	return &d.Services[i]
}

// Tasks returns the number of tasks, without those of services whose mode is per host.
func (d *Description) Tasks() int {
	n := 0
	for _, s := range d.Services {
		if !s.Mode.PerHost() {
			n += s.Replicas
		}
	}
	return n
}
