// Package scenario reads scenarios of chaos tests: a cluster, the load on it and a schedule of faults, written as one
// S-expression.
package scenario

import (
	_ "embed"
	"fmt"
	"time"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/settings"
)

// Default is the scenario that CI runs: all kinds of faults, three placers, fourteen hosts.
//
//go:embed default.sexp
var Default []byte

// Recovery is a scenario in which placers that keep a store are killed again and again, at times while service discovery
// is unresponsive.
//
//go:embed recovery.sexp
var Recovery []byte

// FaultFree is a scenario of hosts only: what the command try places on.
//
//go:embed faultfree.sexp
var FaultFree []byte

// Scenario is a cluster with its load and its faults.
type Scenario struct {
	File         string
	Text         []byte // as it was read
	Settings     *settings.Settings
	Seed         int           // of all random draws
	Length       time.Duration // in which loads submit and faults begin
	Durable      bool          // placers keep a store that survives their death
	Settle       time.Duration // that submissions may take beyond twice the timeout of their class
	HostGroups   []HostGroup
	Catalog      CatalogBehavior
	Host         HostBehavior
	Loads        []Load
	Faults       []Fault
	InjectedBugs []InjectedBug
}

// HostGroup is a number of hosts of one machine type in one zone.
type HostGroup struct {
	Count, Racks      int // the hosts are spread over the racks in turn
	MachineType, Zone string
	Prefix            string // of the hosts' names, before their number
	Labels            map[string]string
	WarmingUp         bool // the hosts have just started when the scenario begins
}

// HostName returns the name of a host of the group, counted from 0.
func (g *HostGroup) HostName(i int) string { return fmt.Sprintf("%s%d", g.Prefix, i) }

// HostRack returns the rack of a host of the group, counted from 0.
func (g *HostGroup) HostRack(i int) string { return fmt.Sprintf("%s-r%d", g.Zone, i%g.Racks) }

// HostBehavior is how all hosts behave. Counts are for each host.
type HostBehavior struct {
	DecisionTime, StartTime, NoteInterval, RegistrationInterval time.Duration
	MaxQueued, MaxStarting, MaxCachedPrograms                   int
	UncachedStartFactor                                         float64 // times as long takes a start without the program
	MeanUsage, UsageSwing                                       float64 // fraction of the requested resources that tasks use
}

// CatalogBehavior is how the endpoint list behaves: how long it lags behind the hosts, and how long after its last
// registration a host is critical and is then dropped.
type CatalogBehavior struct {
	Lag, CriticalAfter, DeregisterAfter time.Duration
}

// Load is a stream of submissions. Ranges hold the lowest and the highest value.
type Load struct {
	Name         string
	Class        string
	Tenant       string  // "": none
	Rate         float64 // submissions a second, over all placers
	Replicas     [2]int
	Cores        [2]float64
	Memory       [2]float64 // GiB
	TaskDuration [2]time.Duration
	From, To     time.Duration // since the start of the run
	Pos          diagnostic.Pos
}
