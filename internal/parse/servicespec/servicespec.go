// Package servicespec is the model of a service specification that every source format is parsed into: what is to run, how
// many times, and what affects where.
//
// Specifications are stored as JSON. Fields keep the names of the first stored ones there.
package servicespec

import (
	"slices"
	"strings"
	"time"

	"forkhead/internal/parse/diagnostic"
)

// Description is the specification of one project.
type Description struct {
	Name         string    // of the project; "" if the source names none
	Services     []Service // sorted by name, once Check has passed
	Notes        []Note    // elements that are not acted on
	AllOrNothing bool      `json:"Whole"` // place all of its tasks, or none
}

// Note reports an element that is not acted on.
type Note struct {
	Pos  diagnostic.Pos
	Text string
}

// Mode is how many tasks a service has and whether they end by themselves. It is stored as a number.
type Mode uint8

// The modes.
const (
	Replicated    Mode = iota // Replicas tasks that run on
	Global                    // one task on each fitting host
	ReplicatedJob             // Replicas tasks that end by themselves
	GlobalJob                 // one that ends, on each fitting host
)

// Job reports whether the tasks are meant to end.
func (m Mode) Job() bool { return m == ReplicatedJob || m == GlobalJob }

// PerHost reports whether the number of tasks follows the hosts.
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
	ExpectedRuntime  time.Duration `json:"Life"`     // how long a task runs, roughly; 0: not known
	RequestTimeout   time.Duration `json:"Wait"`     // of one placement request; 0: the class's
	PlacementTimeout time.Duration `json:"Patience"` // how long a task is requested again and again; 0: the class's
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

// Attribute names something of a host: id, hostname, role, os, arch or label.NAME. Its kind, zone and rack are label.kind,
// label.zone and label.rack.
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

// SpreadLimit is the most tasks of the service in one domain.
type SpreadLimit struct {
	Domain   string `json:"Place"` // machine, rack or zone
	MaxTasks int    `json:"Most"`
	Pos      diagnostic.Pos
}

// Near keeps a service's tasks to domains where another service of the project has one.
type Near struct {
	Service string
	Domain  string `json:"Place"` // machine, rack or zone
	Pos     diagnostic.Pos
}

// RestartCondition is when an ended task is started again. It is stored as a number.
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
	Window      time.Duration // 0: unlimited
}

// FailureAction is what an update does when too many tasks fail. It is stored as a number.
type FailureAction uint8

// The actions.
const (
	Pause FailureAction = iota
	Continue
	Rollback
)

// Update is how a changed service replaces its running tasks.
type Update struct {
	Parallel        int           // tasks at a time; 0: all
	Delay           time.Duration // between one group of tasks and the next
	FailureAction   FailureAction `json:"OnTrouble"`
	Monitor         time.Duration // how long a replaced task is watched for a failure
	MaxFailureRatio float64       `json:"MaxFailed"` // share of tasks that may fail, 0 to 1
	StartFirst      bool          // start a task's successor before the task is stopped
}

// DependencyCondition is what a dependency must have reached. It is stored as a number.
type DependencyCondition uint8

// The conditions.
const (
	Started   DependencyCondition = iota // all its tasks are placed
	Healthy                              // as Started: hosts report that a task runs, not that it is well
	Completed                            // all its tasks ended well
)

// Dependency is a service that goes first.
type Dependency struct {
	Service  string
	When     DependencyCondition
	Optional bool
	Restart  bool // replaced when the dependency is; not acted on
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
