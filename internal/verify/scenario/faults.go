package scenario

import (
	"time"

	"forkhead/internal/parse/diagnostic"
)

// FaultKind is a kind of fault. Its value is the keyword in scenarios.
type FaultKind string

// The kinds of faults.
const (
	Crash               FaultKind = "crash"           // hosts crash, with resets, and restart
	HostPauses          FaultKind = "pauses"          // hosts stall repeatedly
	HostUnresponsive    FaultKind = "vanish"          // hosts become unresponsive with their connections open, and restart
	LateReports         FaultKind = "report-late"     // hosts register and report their available resources late
	HostRemoval         FaultKind = "shrink"          // hosts drain and are removed permanently
	RollingRestart      FaultKind = "deploy"          // hosts drain and restart, one after the other
	HostSlowdown        FaultKind = "hot-key"         // task starts and running tasks slow down
	StaleDiscovery      FaultKind = "discovery-stale" // the endpoint list lags further behind the hosts
	ListOutage          FaultKind = "list-outage"     // the endpoint list answers no request
	ListFrozen          FaultKind = "list-frozen"     // the endpoint list no longer changes
	ZoneLoss            FaultKind = "zone-loss"       // all hosts and placers of a zone fail, and restart
	Burst               FaultKind = "burst"           // the rate of submissions rises
	ProjectResubmission FaultKind = "reconnect"       // owners delete projects and submit them again
	HostDegradation     FaultKind = "ageing"          //nolint:misspell // the spelling in scenarios. Hosts slow down progressively, crash and restart
	MassRestart         FaultKind = "mass-restart"    // all hosts of a rack restart at once
	ClassUnanswered     FaultKind = "class-fail"      // hosts do not finish starts of a class
	PlacerStall         FaultKind = "placer-stall"    // placers stall repeatedly
	PlacerKill          FaultKind = "placer-kill"     // a placer is killed and restarts
	ConnectionResets    FaultKind = "cut"             // connections to hosts are reset repeatedly
	HalfOpenConnections FaultKind = "half-open"       // connections to hosts stay open and carry nothing
	TruncatedFrames     FaultKind = "tear"            // connections end in the middle of a frame
	DelayedFrames       FaultKind = "late-frames"     // frames of hosts arrive late
	GossipLoss          FaultKind = "tell-loss"       // messages between placers are lost
	ClientDisconnects   FaultKind = "client-cut"      // streams to clients break, and the clients submit again
	SlowReader          FaultKind = "slow-reader"     // clients read late
	CrashDuringStart    FaultKind = "die-mid-start"   // hosts crash while a task starts
	CrashAfterBind      FaultKind = "die-after-bind"  // hosts crash when a task runs, before they report that it does
	ClassRejected       FaultKind = "refuse"          // hosts reject offers of a class
)

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{
	Crash, HostPauses, HostUnresponsive, LateReports, HostRemoval, RollingRestart, HostSlowdown, StaleDiscovery, ListOutage, ListFrozen, ZoneLoss, Burst, ProjectResubmission,
	HostDegradation, MassRestart, ClassUnanswered, PlacerStall, PlacerKill, ConnectionResets, HalfOpenConnections, TruncatedFrames, DelayedFrames, GossipLoss, ClientDisconnects, SlowReader,
	CrashDuringStart, CrashAfterBind, ClassRejected,
}

// Fault is one fault of a schedule. Which fields are used depends on its kind.
type Fault struct {
	Kind      FaultKind
	At        time.Duration // beginning of the fault, since the start of the run
	Duration  time.Duration // length of the fault; for a crash or a kill, time until the restart
	HostShare float64       // fraction of all hosts that are affected
	Zone      string        // zone of the affected hosts, and of the placers of a lost zone; "": any
	Rack      string        // rack of the affected hosts; "": any
	Class     string        // affected class of tasks
	Placer    int           // number of the affected placer; -1: all placers, or the default of the kind
	Factor    float64       // multiplier of slowness, lag or load; for some kinds a fraction from 0 to 1
	Interval  time.Duration // time between repetitions; for HostDegradation, between crash and restart
	Delay     time.Duration // length of a pause, a delay or a lag
	Pos       diagnostic.Pos
}

// InjectedBug is a breach of a rule that a run commits on purpose, to show that the checker detects it. Its value is the
// keyword in scenarios.
type InjectedBug string

// The injected bugs. Each breaks one rule.
const (
	BugTwoOutcomes        InjectedBug = "one-answer" // a client reads two outcomes of one task
	BugRepeatedOffer      InjectedBug = "no-repeat"  // a task with an unsafe effect is offered to two hosts
	BugOfferWhileDraining InjectedBug = "drain"      // a draining host gets an offer
	BugSlowStartOverload  InjectedBug = "cold"       // a host in its slow start gets too many offers
	BugSpreadExceeded     InjectedBug = "spread"     // a domain gets too many tasks of a class
)

// InjectedBugs lists all injected bugs.
var InjectedBugs = []InjectedBug{BugTwoOutcomes, BugRepeatedOffer, BugOfferWhileDraining, BugSlowStartOverload, BugSpreadExceeded}
