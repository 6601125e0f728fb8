package modelcheck

import (
	"errors"
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostsession"
)

// InjectedBug is a bug that can be injected into a search, to show that the search finds violations of a property.
type InjectedBug struct {
	Name        string
	Description string
	Property    string // name of the property in Properties that the bug violates

	// Bounds of a small search that finds the bug.
	Effect      forkhead.Effect // effect of a repeated start of the tasks
	Faults      int             // number of faults that are needed for the violation
	SpreadLimit int             // Config.SpreadLimit; 0: no limit

	inject func(*stateMachines)
}

// InjectedBugs are the bugs that can be injected. Stored traces and docs/design/attempts.md contain their names, so the
// names must not change; the page also contains the descriptions.
var InjectedBugs = []InjectedBug{
	{
		Name: "double-send", Property: "one-out", Effect: forkhead.Safe, Faults: 1,
		Description: "an offer is legal while another is in flight",
		inject:      func(m *stateMachines) { m.mayOffer = mayOfferExcept(attempt.ErrAttemptInFlight) },
	},
	{
		Name: "unsafe-repeat", Property: "no-repeat", Effect: forkhead.Unsafe, Faults: 1,
		Description: "an unsafe task is offered again in one placement request after an attempt that may have run",
		inject:      func(m *stateMachines) { m.mayOffer = mayOfferExcept(attempt.ErrMayHaveRun) },
	},
	{
		Name: "window", Property: "no-repeat", Effect: forkhead.Keyed, Faults: 1,
		Description: "a keyed task is offered again after hosts have forgotten its key",
		inject:      func(m *stateMachines) { m.mayRequest = mayAlwaysRequest },
	},
	{
		Name: "promise", Property: "promise", Effect: forkhead.Unsafe, Faults: 1,
		Description: "a task that may run is reported as rejected",
		inject: func(m *stateMachines) {
			m.abandonedIsRejected = func(*attempt.Rules, bool, bool, int) bool { return true }
		},
	},
	{
		Name: "break-is-never", Property: "no-repeat", Effect: forkhead.Unsafe, Faults: 1,
		Description: "an offer whose connection broke is taken never to have run",
		inject:      replaceTransition(attempt.InFlight, attempt.ConnectionLost, attempt.NeverRan, attempt.ReportConnectFailed),
	},
	{
		Name: "call-off-is-never", Property: "no-repeat", Effect: forkhead.Unsafe, Faults: 1,
		Description: "an offer that was withdrawn is taken never to have run",
		inject:      replaceTransition(attempt.InFlight, attempt.Abandoned, attempt.NeverRan, attempt.ReportWithdrawn),
	},
	{
		Name: "late-bind", Property: "one-outcome", Effect: forkhead.Safe, Faults: 1,
		Description: "the reply to an abandoned attempt binds it",
		inject:      replaceTransition(attempt.Unknown, attempt.Accepted, attempt.Placed, attempt.ReportBound),
	},
	{
		Name: "silent-is-lost", Property: "no-repeat", Effect: forkhead.Unsafe, Faults: 1,
		Description: "a task on an unreachable host is taken to have ended",
		inject:      replaceTransition(attempt.Placed, attempt.ConnectionLost, attempt.Finished, attempt.ReportLost),
	},
	{
		Name: "no-stray", Property: "no-leak", Effect: forkhead.Safe, Faults: 1,
		Description: "an abandoned attempt that runs is neither adopted nor stopped",
		inject:      func(m *stateMachines) { m.ignoreOrphans = true },
	},
	{
		Name: "no-query", Property: "no-leak", Effect: forkhead.Unsafe, Faults: 1,
		Description: "what a host does not list after a break is not queried",
		inject:      func(m *stateMachines) { m.skipQuery = true },
	},
	{
		Name: "ask-early", Property: "no-repeat", Effect: forkhead.Unsafe, Faults: 1,
		Description: "a task is requested again while an attempt of an earlier placement request is unknown",
		inject:      func(m *stateMachines) { m.mayRequest = mayAlwaysRequest },
	},
	{
		Name: "no-gate", Property: "no-repeat", Effect: forkhead.Unsafe, Faults: 1,
		Description: "a new incarnation of the placer does not wait for what hosts run",
		inject: func(m *stateMachines) {
			m.mustWaitForHosts = func(*attempt.Rules, bool, bool) bool { return false }
		},
	},
	{
		Name: "drain-at-write", Property: "drain", Effect: forkhead.Safe, Faults: 2,
		Description: "a drain received between choosing and writing is not checked again",
		inject:      func(m *stateMachines) { m.skipDrainRecheck = true },
	},
	{
		Name: "crowd-at-write", Property: "spread", Effect: forkhead.Safe, Faults: 1, SpreadLimit: 1,
		Description: "a task of an earlier incarnation that turned up between choosing and writing is not counted",
		inject:      func(m *stateMachines) { m.skipSpreadRecheck = true },
	},
	{
		Name: "keeps-line", Property: "no-repeat", Effect: forkhead.Unsafe, Faults: 1,
		Description: "a host keeps offers queued whose connection ended, and reports that it never saw them",
		inject: func(m *stateMachines) {
			m.keepQueueOnBreak = true
			m.hostTransition = func(s hostsession.State, in hostsession.Input) (hostsession.State, hostsession.Reply) {
				if s == hostsession.Queued && in == hostsession.Query {
					return s, hostsession.SendRejected
				}
				return hostsession.Transition(s, in)
			}
		},
	},
	{
		Name: "old-connection", Property: "no-repeat", Effect: forkhead.Unsafe, Faults: 1,
		Description: "a host goes on reading an older connection beside the present one",
		inject:      func(m *stateMachines) { m.acceptOldConnection = true },
	},
	{
		Name: "adopt-beside", Property: "no-leak", Effect: forkhead.Safe, Faults: 1,
		Description: "an orphan is adopted while another attempt is in flight, which is not withdrawn",
		inject: func(m *stateMachines) {
			m.shouldAdopt = func(wanted, _ bool) bool { return wanted }
			m.skipWithdrawal = true
		},
	},
	{
		Name: "late-write", Property: "no-repeat", Effect: forkhead.Keyed, Faults: 1,
		Description: "an offer that waited for its connection is written after hosts have forgotten its key",
		inject: func(m *stateMachines) {
			m.mayWrite = func(*attempt.Request, time.Duration, int) error { return nil }
		},
	},
	{
		Name: "ask-for-good", Property: "liveness", Effect: forkhead.Safe, Faults: 1,
		Description: "an owner requests again forever",
		inject:      func(m *stateMachines) { m.retryForever = true },
	},
	{
		Name: "died-ignored", Property: "no-leak", Effect: forkhead.Unsafe, Faults: 1,
		Description: "the end of a host's incarnation settles nothing",
		inject:      replaceTransition(attempt.Unknown, attempt.HostRestarted, attempt.Unknown, attempt.NoEffect),
	},
}

// FindInjectedBug returns the bug with that name.
func FindInjectedBug(name string) (*InjectedBug, bool) {
	for i := range InjectedBugs {
		if InjectedBugs[i].Name == name {
			return &InjectedBugs[i], true
		}
	}
	return nil, false
}

// mayAlwaysRequest replaces attempt.Rules.MayRequest: it allows every request.
func mayAlwaysRequest(*attempt.Rules, time.Duration, int, time.Duration) (time.Duration, bool) {
	return 0, true
}

// mayOfferExcept returns a replacement of mayOffer that ignores one of the errors of mayOffer.
func mayOfferExcept(ignored error) func(*attempt.Request, time.Duration, attempt.HostID) error {
	return func(r *attempt.Request, now time.Duration, to attempt.HostID) error {
		if err := mayOffer(r, now, to); !errors.Is(err, ignored) {
			return err
		}
		return nil
	}
}

// replaceTransition returns a function that injects a bug into the transitions of attempts: in the given phase, the
// given input leads to the given next phase and effect.
func replaceTransition(
	phase attempt.Phase, input attempt.Input, next attempt.Phase, effect attempt.Effect,
) func(*stateMachines) {
	return func(m *stateMachines) {
		m.transition = func(p attempt.Phase, in attempt.Input) (attempt.Phase, attempt.Effect) {
			if p == phase && in == input {
				return next, effect
			}
			return attempt.Transition(p, in)
		}
	}
}
