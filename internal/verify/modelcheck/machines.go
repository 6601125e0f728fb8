package modelcheck

import (
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
	"forkhead/internal/scheduler/hostsession"
	"forkhead/internal/scheduler/invariant"
)

// machines are the functions that the daemon runs. A plant replaces one of them, or one step of
// how they are put together, to show that the search finds what it is for.
type machines struct {
	next      func(attempt.Phase, attempt.Input) (attempt.Phase, attempt.Effect)
	mayOffer  func(a *attempt.Request, now time.Duration, to attempt.HostID) error
	mayWrite  func(a *attempt.Request, now time.Duration, number int) error
	mayAnswer func(a *attempt.Request, refuse bool) error
	link      func(l *hostconn.Connection, in hostconn.Input) hostconn.Output
	side      func(hostsession.State, hostsession.Input) (hostsession.State, hostsession.Reply)
	greet     func(last hostsession.Session, epoch uint64, conn uint32) hostsession.HelloResult
	drained   func(now time.Duration, s forkhead.MachineState, since, grace time.Duration) bool
	refusal   func(attempt.Phase) attempt.Input
	adopts    func(wanted, out bool) bool
	waits     func(r *attempt.Rules, heardAll, waited bool) bool
	mayAsk    func(r *attempt.Rules, now time.Duration, unknown int, first time.Duration) (time.Duration, bool)
	harmless  func(r *attempt.Rules, refused, offered bool, unknown int) bool

	noQuery    bool // what a host does not list is not asked about
	noStray    bool // a stray is neither adopted nor stopped
	noCallOff  bool // a stray is adopted without calling off what is out
	keepsLine  bool // a host keeps offers in line when their connection ends
	anyConn    bool // frames of an older connection are taken for ones of the present
	askAlways  bool // an owner asks again for good, whatever came of it
	crowdNot   bool // a task that turned up between choosing and writing is not counted
	recheckNot bool // a drain told between choosing and writing is not looked for again
}

func same(forkhead.Domain, attempt.HostID, attempt.HostID) bool { return true }

var linkPolicy = hostconn.Policy{ConnectTimeout: time.Second, MinBackoff: time.Second, MaxBackoff: time.Second}

func real() machines {
	return machines{
		next:      attempt.Transition,
		mayOffer:  func(a *attempt.Request, now time.Duration, to attempt.HostID) error { return a.MayOffer(now, to, same) },
		mayWrite:  (*attempt.Request).MayWrite,
		mayAnswer: func(a *attempt.Request, refuse bool) error { return a.MayAnswer(refuse) },
		link:      func(l *hostconn.Connection, in hostconn.Input) hostconn.Output { return l.Handle(in, linkPolicy, 0.5) },
		side:      hostsession.Transition,
		greet:     hostsession.CheckHello,
		drained:   invariant.DrainGraceExpired,
		refusal:   attempt.RejectionInput,
		adopts:    attempt.ShouldAdopt,
		waits:     (*attempt.Rules).MustWaitForHosts,
		mayAsk:    (*attempt.Rules).MayRequest,
		harmless:  (*attempt.Rules).RejectionIsHarmless,
	}
}

// InjectedBug is a bug that a search can be run with, to show that the search finds what it is for.
type InjectedBug struct {
	Name        string
	Description string
	Property    string          // that it breaks
	Effect      forkhead.Effect // of the tasks that show it
	Faults      int             // that it takes
	inject      func(*machines)
	SpreadLimit int // of the search that shows it
}

func phaseRule(p attempt.Phase, in attempt.Input, to attempt.Phase, what attempt.Effect) func(*machines) {
	return func(m *machines) {
		m.next = func(q attempt.Phase, i attempt.Input) (attempt.Phase, attempt.Effect) {
			if q == p && i == in {
				return to, what
			}
			return attempt.Transition(q, i)
		}
	}
}

// InjectedBugs are the bugs that can be injected.
var InjectedBugs = []InjectedBug{
	{"double-send", "an offer is legal while another is out", "one-out", forkhead.Safe, 1, func(m *machines) {
		m.mayOffer = func(a *attempt.Request, now time.Duration, to attempt.HostID) error {
			if err := a.MayOffer(now, to, same); err != attempt.ErrAttemptInFlight {
				return err
			}
			return nil
		}
	}, 0},
	{"unsafe-repeat", "an unsafe task is offered again in one ask after an attempt that may have run", "no-repeat", forkhead.Unsafe, 1, func(m *machines) {
		m.mayOffer = func(a *attempt.Request, now time.Duration, to attempt.HostID) error {
			if err := a.MayOffer(now, to, same); err != attempt.ErrMayHaveRun {
				return err
			}
			return nil
		}
	}, 0},
	{"window", "a keyed task is offered again after hosts have forgotten its key", "no-repeat", forkhead.Keyed, 1, func(m *machines) {
		m.mayAsk = func(*attempt.Rules, time.Duration, int, time.Duration) (time.Duration, bool) { return 0, true }
	}, 0},
	{"promise", "a task that may run is told refused", "promise", forkhead.Unsafe, 1, func(m *machines) {
		m.harmless = func(*attempt.Rules, bool, bool, int) bool { return true }
	}, 0},
	{"break-is-never", "an offer whose connection broke is taken never to have run", "no-repeat", forkhead.Unsafe, 1,
		phaseRule(attempt.InFlight, attempt.ConnectionLost, attempt.NeverRan, attempt.ReportConnectFailed), 0},
	{"call-off-is-never", "an offer that was called off is taken never to have run", "no-repeat", forkhead.Unsafe, 1,
		phaseRule(attempt.InFlight, attempt.Abandoned, attempt.NeverRan, attempt.ReportWithdrawn), 0},
	{"late-bind", "the reply to an attempt that was given up binds it", "one-outcome", forkhead.Safe, 1,
		phaseRule(attempt.Unknown, attempt.Accepted, attempt.Placed, attempt.ReportBound), 0},
	{"silent-is-lost", "a task on a host out of reach is taken to have ended", "no-repeat", forkhead.Unsafe, 1,
		phaseRule(attempt.Placed, attempt.ConnectionLost, attempt.Finished, attempt.ReportLost), 0},
	{"no-stray", "an attempt that was given up and shows itself is neither adopted nor stopped", "no-leak", forkhead.Safe, 1,
		func(m *machines) { m.noStray = true }, 0},
	{"no-query", "what a host does not list after a break is not asked about", "no-leak", forkhead.Unsafe, 1, func(m *machines) { m.noQuery = true }, 0},
	{"ask-early", "a task is asked for again while an attempt of an earlier ask is unknown", "no-repeat", forkhead.Unsafe, 1, func(m *machines) {
		m.mayAsk = func(*attempt.Rules, time.Duration, int, time.Duration) (time.Duration, bool) { return 0, true }
	}, 0},
	{"no-gate", "a new life of the placer does not wait for what hosts run", "no-repeat", forkhead.Unsafe, 1, func(m *machines) {
		m.waits = func(*attempt.Rules, bool, bool) bool { return false }
	}, 0},
	{"drain-at-write", "a drain told between choosing and writing is not looked for again", "drain", forkhead.Safe, 2,
		func(m *machines) { m.recheckNot = true }, 0},
	{"crowd-at-write", "a task of an earlier life that turned up between choosing and writing is not counted", "spread", forkhead.Safe, 1,
		func(m *machines) { m.crowdNot = true }, 1},
	{"keeps-line", "a host keeps offers in line whose connection ended, and says that it never saw them", "no-repeat", forkhead.Unsafe, 1, func(m *machines) {
		m.keepsLine = true
		m.side = func(s hostsession.State, in hostsession.Input) (hostsession.State, hostsession.Reply) {
			if s == hostsession.Queued && in == hostsession.Query {
				return s, hostsession.SendRejected
			}
			return hostsession.Transition(s, in)
		}
	}, 0},
	{"old-connection", "a host goes on reading an older connection beside the present one", "no-repeat", forkhead.Unsafe, 1,
		func(m *machines) { m.anyConn = true }, 0},
	{"adopt-beside", "a stray is adopted while another attempt is out, which is not called off", "no-leak", forkhead.Safe, 1, func(m *machines) {
		m.adopts = func(wanted, _ bool) bool { return wanted }
		m.noCallOff = true
	}, 0},
	{"late-write", "an offer that waited for its connection is written after hosts have forgotten its key", "no-repeat", forkhead.Keyed, 1, func(m *machines) {
		m.mayWrite = func(*attempt.Request, time.Duration, int) error { return nil }
	}, 0},
	{"ask-for-good", "an owner asks again for good", "liveness", forkhead.Safe, 1, func(m *machines) {
		m.askAlways = true
	}, 0},
	{"died-ignored", "the end of a host's life settles nothing", "no-leak", forkhead.Unsafe, 1,
		phaseRule(attempt.Unknown, attempt.HostRestarted, attempt.Unknown, attempt.NoEffect), 0},
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
