package modelcheck

import (
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
	"forkhead/internal/scheduler/hostsession"
	"forkhead/internal/scheduler/invariant"
)

// stateMachines are the functions under test, which placers and hosts run on. An injected bug replaces functions, or
// sets flags, which change how the model composes them.
type stateMachines struct {
	// Functions for attempts and requests.
	transition          func(attempt.Phase, attempt.Input) (attempt.Phase, attempt.Effect)
	mayOffer            func(r *attempt.Request, now time.Duration, to attempt.HostID) error
	mayWrite            func(r *attempt.Request, now time.Duration, number int) error
	mayAnswer           func(r *attempt.Request, reject bool) error
	rejectionInput      func(attempt.Phase) attempt.Input
	shouldAdopt         func(wanted, inFlight bool) bool
	mustWaitForHosts    func(r *attempt.Rules, allHostsListed, waited bool) bool
	mayRequest          func(r *attempt.Rules, now time.Duration, unknown int, first time.Duration) (time.Duration, bool)
	abandonedIsRejected func(r *attempt.Rules, rejected, offered bool, mayHaveRun int) bool

	// Functions for connections and hosts.
	handleConnection  func(c *hostconn.Connection, in hostconn.Input) hostconn.Output
	hostTransition    func(hostsession.State, hostsession.Input) (hostsession.State, hostsession.Reply)
	checkHello        func(last hostsession.Session, epoch uint64, conn uint32) hostsession.HelloResult
	drainGraceExpired func(now time.Duration, s forkhead.MachineState, since, grace time.Duration) bool

	skipQuery           bool // attempts that a host does not list are not queried
	ignoreOrphans       bool // orphans are neither adopted nor stopped
	skipWithdrawal      bool // an orphan is adopted without withdrawing the attempts in flight
	keepQueueOnBreak    bool // a host keeps queued offers when their connection ends
	acceptOldConnection bool // messages of an older connection are handled like those of the current one
	retryForever        bool // an owner requests a task again without a limit, whatever the outcomes were
	skipSpreadRecheck   bool // the spread limit is not checked again when an offer is written
	skipDrainRecheck    bool // a drain is not checked again when an offer is written
}

// connectionPolicy has arbitrary values, because the model ignores the times that connections return.
var connectionPolicy = hostconn.Policy{ConnectTimeout: time.Second, MinBackoff: time.Second, MaxBackoff: time.Second}

// productionStateMachines returns the functions that placers and hosts use, without an injected bug.
func productionStateMachines() stateMachines {
	return stateMachines{
		transition:          attempt.Transition,
		mayOffer:            mayOffer,
		mayWrite:            (*attempt.Request).MayWrite,
		mayAnswer:           func(r *attempt.Request, reject bool) error { return r.MayAnswer(reject) },
		rejectionInput:      attempt.RejectionInput,
		shouldAdopt:         attempt.ShouldAdopt,
		mustWaitForHosts:    (*attempt.Rules).MustWaitForHosts,
		mayRequest:          (*attempt.Rules).MayRequest,
		abandonedIsRejected: (*attempt.Rules).AbandonedIsRejected,

		handleConnection: func(c *hostconn.Connection, in hostconn.Input) hostconn.Output {
			return c.Handle(in, connectionPolicy, 0.5)
		},
		hostTransition:    hostsession.Transition,
		checkHello:        hostsession.CheckHello,
		drainGraceExpired: invariant.DrainGraceExpired,
	}
}

// mayOffer calls attempt.Request.MayOffer with all hosts in one domain.
func mayOffer(r *attempt.Request, now time.Duration, to attempt.HostID) error {
	sameDomain := func(forkhead.Domain, attempt.HostID, attempt.HostID) bool { return true }
	return r.MayOffer(now, to, sameDomain)
}
