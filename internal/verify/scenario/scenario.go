// Package scenario reads the scenarios of chaos tests. A scenario is one S-expression that describes a cluster, the
// load on it and a schedule of faults.
package scenario

import (
	_ "embed"
	"fmt"
	"time"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/settings"
)

// Default is the scenario that CI runs. It has all kinds of faults, three placers and fourteen hosts.
//
//go:embed default.sexp
var Default []byte

// Recovery is a scenario in which placers that keep a store are killed repeatedly, sometimes while service discovery is
// unresponsive.
//
//go:embed recovery.sexp
var Recovery []byte

// FaultFree is a scenario that has hosts and neither load nor faults. The command `forkhead try` places tasks on these
// hosts.
//
//go:embed faultfree.sexp
var FaultFree []byte

// Scenario is a cluster with its load and its faults.
type Scenario struct {
	File         string
	Text         []byte // the text that the scenario was read from
	Settings     *settings.Settings
	Seed         int           // seed of all random draws
	Length       time.Duration // period from the start of the run, in which loads submit and faults begin
	Durable      bool          // placers keep a store that survives a kill
	Settle       time.Duration // time that submissions may take beyond twice the placement timeout of their class
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
	Prefix            string // beginning of the hosts' names, which end with the number of the host
	Labels            map[string]string
	WarmingUp         bool // the hosts have just started when the scenario begins
}

// HostName returns the name of the group's host i, counted from 0.
func (g *HostGroup) HostName(i int) string { return fmt.Sprintf("%s%d", g.Prefix, i) }

// HostRack returns the rack of the group's host i, counted from 0.
func (g *HostGroup) HostRack(i int) string { return fmt.Sprintf("%s-r%d", g.Zone, i%g.Racks) }

// HostBehavior is the behavior of the emulated hosts, the same for all of them. Counts are per host.
type HostBehavior struct {
	DecisionTime, StartTime, NoteInterval, RegistrationInterval time.Duration
	MaxQueued, MaxStarting, MaxCachedPrograms                   int
	UncachedStartFactor                                         float64 // multiplier of StartTime when the host has not cached the program
	MeanUsage, UsageSwing                                       float64 // fraction of the requested resources that tasks use
}

// CatalogBehavior is the behavior of the endpoint list. The list lags behind the hosts by Lag. A host becomes critical
// when CriticalAfter has passed since its last registration, and is dropped from the list when DeregisterAfter has
// passed since then.
type CatalogBehavior struct {
	Lag, CriticalAfter, DeregisterAfter time.Duration
}

// Load is a stream of submissions. The arrays are ranges: the minimum and the maximum.
type Load struct {
	Name         string
	Class        string
	Tenant       string  // "": no tenant
	Rate         float64 // submissions a second, over all placers
	Replicas     [2]int
	Cores        [2]float64
	Memory       [2]float64 // GiB
	TaskDuration [2]time.Duration
	From, To     time.Duration // period in which the load submits, since the start of the run
	Pos          diagnostic.Pos
}
