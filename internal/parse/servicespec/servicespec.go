// Package servicespec is the model of a service specification. A specification lists the services of a project, how
// many tasks each service has, and what affects the placement of the tasks. Every source format is parsed into this
// model.
//
// Specifications are stored as JSON. A field with a tag has been renamed: the tag is its earlier name, which stored
// specifications have.
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
	Services     []Service // sorted by name by the method Check
	Notes        []Note    // elements of the source that have no effect
	AllOrNothing bool      `json:"Whole"` // place all tasks or none: reject the project if it is proven not to fit
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
	Replicated    Mode = iota // as many tasks as Service.Replicas says, which run until they are stopped
	Global                    // one task on each host that fits, which runs until it is stopped
	ReplicatedJob             // as many tasks as Service.Replicas says, which end by themselves
	GlobalJob                 // one task on each host that fits, which ends by itself
)

// Job reports whether the tasks of a service with this mode end by themselves.
func (m Mode) Job() bool { return m == ReplicatedJob || m == GlobalJob }

// PerHost reports whether a service with this mode has one task on each host that fits.
func (m Mode) PerHost() bool { return m == Global || m == GlobalJob }

// Service is one service of a project.
type Service struct {
	Name             string
	Pos              diagnostic.Pos
	Class            string // "": the placer's default class
	Tenant           string // "": no tenant
	Mode             Mode
	Replicas         int
	Cores            float64       // cores reserved for each task
	Memory           float64       // GiB reserved for each task
	LimitCores       float64       // cores that each task may use; 0: no limit
	LimitMemory      float64       // GiB that each task may use; 0: no limit
	ExpectedRuntime  time.Duration `json:"Life"`     // approximate run time of a task; 0: not known
	RequestTimeout   time.Duration `json:"Wait"`     // timeout of one placement request; 0: the timeout of the class
	PlacementTimeout time.Duration `json:"Patience"` // how long the owner repeats its requests; 0: as set for the class
	Constraints      []Constraint
	Preferences      []Attribute   // the tasks are spread as evenly as possible over the values of these host attributes
	SpreadLimits     []SpreadLimit `json:"Limits"`
	Near             []Near        // each entry restricts the tasks to domains that have a task of another service
	Restart          Restart
	Update           Update
	DependsOn        []Dependency
	Labels           map[string]string
	StopGrace        time.Duration // a task that is asked to stop is killed after this time; 0: as set on the host
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

// SpreadLimit limits how many tasks of a service one domain may have.
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
	Delay       time.Duration // time between the end of a task and its restart
	MaxRestarts int           `json:"Most"` // maximum number of restarts in Window; 0: no limit
	Window      time.Duration // period in which restarts count toward MaxRestarts; 0: all restarts of a task count
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
	Delay           time.Duration // time between one batch of replaced tasks and the next
	FailureAction   FailureAction `json:"OnTrouble"`
	Monitor         time.Duration // how long each new task is monitored for a failure
	MaxFailureRatio float64       `json:"MaxFailed"` // proportion of the tasks that may fail, 0 to 1
	StartFirst      bool          // start the new task before the old task is stopped
}

// DependencyCondition is the state that a service must reach before the services that depend on it are placed. It is
// stored as a number.
type DependencyCondition uint8

// The dependency conditions.
const (
	Started   DependencyCondition = iota // all tasks of the service are placed
	Healthy                              // same as Started: hosts report that a task runs, not that it is healthy
	Completed                            // all tasks of the service ended successfully
)

// Dependency names another service, which must reach the condition When before the service that has the dependency is
// placed.
type Dependency struct {
	Service  string
	When     DependencyCondition
	Optional bool // the service with the name Service may be missing or fail
	Restart  bool // the source asks to replace the tasks when those of the other service are replaced; has no effect
	Pos      diagnostic.Pos
}

// Service returns the service with a name, or nil if there is none. Check must have sorted the services.
func (d *Description) Service(name string) *Service {
	i, ok := slices.BinarySearchFunc(d.Services, name, func(s Service, n string) int { return strings.Compare(s.Name, n) })
	if !ok {
		return nil
	}
	return &d.Services[i]
}

// Tasks returns the total number of tasks of the services. It leaves out services that have one task on each host that
// fits, because their number of tasks depends on the hosts.
func (d *Description) Tasks() int {
	n := 0
	for _, s := range d.Services {
		if !s.Mode.PerHost() {
			n += s.Replicas
		}
	}
	return n
}
