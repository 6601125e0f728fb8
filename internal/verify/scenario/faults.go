package scenario

import (
	"time"

	"forkhead/internal/parse/diagnostic"
)

// FaultKind is a kind of fault, by its keyword in scenarios.
type FaultKind string

// The kinds of faults.
const (
	Crash               FaultKind = "crash"           // hosts crash, with resets, and restart
	HostPauses          FaultKind = "pauses"          // hosts stall again and again
	HostUnresponsive    FaultKind = "vanish"          // hosts become unresponsive, with open connections, and restart
	LateReports         FaultKind = "report-late"     // hosts register, and report what is available, late
	HostRemoval         FaultKind = "shrink"          // hosts drain and are removed for good
	RollingRestart      FaultKind = "deploy"          // hosts drain and restart, one after the other
	HostSlowdown        FaultKind = "hot-key"         // starts and service slow down
	StaleDiscovery      FaultKind = "discovery-stale" // the endpoint list lags
	ListOutage          FaultKind = "list-outage"     // the endpoint list does not answer
	ListFrozen          FaultKind = "list-frozen"     // the endpoint list stays what it was
	ZoneLoss            FaultKind = "zone-loss"       // a zone is lost with its placers, and restarts
	Burst               FaultKind = "burst"           // the load rises
	ProjectResubmission FaultKind = "reconnect"       // owners delete projects and submit them again
	HostDegradation     FaultKind = "ageing"          //nolint:misspell // the spelling in scenarios. Hosts slow down more and more, crash and restart
	MassRestart         FaultKind = "mass-restart"    // all hosts of a rack restart at once
	ClassUnanswered     FaultKind = "class-fail"      // starts of a class do not end on some hosts
	PlacerStall         FaultKind = "placer-stall"    // placers stall again and again
	PlacerKill          FaultKind = "placer-kill"     // a placer is killed and restarts
	ConnectionResets    FaultKind = "cut"             // connections to hosts are reset again and again
	HalfOpenConnections FaultKind = "half-open"       // connections to hosts stay open and carry nothing
	TruncatedFrames     FaultKind = "tear"            // connections end in the middle of a frame
	DelayedFrames       FaultKind = "late-frames"     // frames of hosts arrive late
	GossipLoss          FaultKind = "tell-loss"       // messages between placers are lost
	ClientDisconnects   FaultKind = "client-cut"      // clients' streams break, and they submit again
	SlowReader          FaultKind = "slow-reader"     // clients read late
	CrashDuringStart    FaultKind = "die-mid-start"   // hosts crash while a task starts
	CrashAfterBind      FaultKind = "die-after-bind"  // hosts crash when a task runs and they have not reported it yet
	ClassRejected       FaultKind = "refuse"          // hosts reject a class
)

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{
	Crash, HostPauses, HostUnresponsive, LateReports, HostRemoval, RollingRestart, HostSlowdown, StaleDiscovery, ListOutage, ListFrozen, ZoneLoss, Burst, ProjectResubmission,
	HostDegradation, MassRestart, ClassUnanswered, PlacerStall, PlacerKill, ConnectionResets, HalfOpenConnections, TruncatedFrames, DelayedFrames, GossipLoss, ClientDisconnects, SlowReader,
	CrashDuringStart, CrashAfterBind, ClassRejected,
}

// Fault is one fault of a schedule. Which fields matter depends on its kind.
type Fault struct {
	Kind      FaultKind
	At        time.Duration // since the start of the run
	Duration  time.Duration // for kinds that end at once: until what was taken down restarts
	HostShare float64       // of all hosts, that are affected
	Zone      string        // that the hosts are in; "": any
	Rack      string        // that the hosts are in; "": any
	Class     string
	Placer    int           // -1: all of them, or none in particular
	Factor    float64       // of slowness, lag or load, or a fraction
	Interval  time.Duration // of what is repeated
	Delay     time.Duration
	Pos       diagnostic.Pos
}

// InjectedBug is a breach of a rule that a run makes on purpose, to show that the checker catches it; by its keyword in
// scenarios.
type InjectedBug string

// The injected bugs, one for each rule.
const (
	BugTwoOutcomes        InjectedBug = "one-answer" // clients read two outcomes of a task
	BugRepeatedOffer      InjectedBug = "no-repeat"  // a task whose effect is unsafe is offered to two hosts
	BugOfferWhileDraining InjectedBug = "drain"      // a host that drains gets an offer
	BugSlowStartOverload  InjectedBug = "cold"       // a host that has just started gets too many offers
	BugSpreadExceeded     InjectedBug = "spread"     // a domain gets too many tasks of a class
)

// InjectedBugs lists all injected bugs.
var InjectedBugs = []InjectedBug{BugTwoOutcomes, BugRepeatedOffer, BugOfferWhileDraining, BugSlowStartOverload, BugSpreadExceeded}
