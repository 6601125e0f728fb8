package platformsim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

const (
	requestTimeout                      = 1500 * time.Millisecond // timeout of the explored request
	requestOwner   platformcore.OwnerID = 1                       // owner connection of the explored request
)

// ExploreInterleavings runs every interleaving of depth events on one request of each class of the settings, with one
// placer and two hosts. The events are connections that are established, refused and ended, every message of a host on
// any attempt, including late ones, the owner's cancel and disconnect, a hand-over, a drain, a host's loss and the
// deadline. injectFault, if not nil, returns the Config.InjectFault of each interleaving. ExploreInterleavings returns
// the number of interleavings that it ran and the first breaches, each with the events that led to it.
func ExploreInterleavings(set forkhead.Settings, names platformcore.WireNames, depth int, injectFault func() OutputFilter) (runs int, breaches []string) {
	e := explorer{settings: set, names: names, depth: depth, injectFault: injectFault}
	for class := range set.Classes {
		e.explore(class, nil)
	}
	return e.runs, e.breaches
}

// explorer explores interleavings of events in depth-first order.
type explorer struct {
	settings    forkhead.Settings
	names       platformcore.WireNames
	depth       int
	injectFault func() OutputFilter
	runs        int
	breaches    []string
}

// explore runs all interleavings that begin with the events of prefix. Each is run from its start, since a world cannot
// be copied.
func (e *explorer) explore(class int, prefix []interleavingEvent) {
	if len(e.breaches) >= maxBreaches {
		return
	}
	run := e.runInterleaving(class, prefix)
	if e.recordBreach(run, class, prefix, "") {
		return
	}
	if len(prefix) == e.depth {
		e.runs++
		run.settle()
		e.recordBreach(run, class, prefix, ", then settle")
		return
	}
	for _, event := range run.possibleEvents() {
		e.explore(class, append(slices.Clip(prefix), event))
	}
}

// recordBreach records the first breach of a run, if any, and reports whether there is one. The record has the events
// of the run's interleaving, followed by the suffix.
func (e *explorer) recordBreach(run *interleavingRun, class int, interleaving []interleavingEvent, suffix string) bool {
	if len(run.w.report.Breaches) == 0 {
		return false
	}
	var events []string
	for _, event := range interleaving {
		events = append(events, event.String())
	}
	e.breaches = append(e.breaches, fmt.Sprintf("%s: %s%s: %s", e.names.Classes[class], strings.Join(events, ", "), suffix, run.w.report.Breaches[0]))
	return true
}

// runInterleaving runs the events of an interleaving in order in a new world.
func (e *explorer) runInterleaving(class int, interleaving []interleavingEvent) *interleavingRun {
	w := newWorld(Config{Settings: e.settings, WireNames: e.names, Placers: 1, Hosts: 2, MaxConnections: 40})
	w.faultsDisabled, w.manual = true, true
	if e.injectFault != nil {
		w.InjectFault = e.injectFault()
	}
	p := &placer{w: w}
	w.placers = append(w.placers, p)
	p.start()
	owner := &ownerConn{placer: p, id: requestOwner, incarnation: p.incarnation, open: true}
	p.owners[owner.owner], p.lastOwner = owner, requestOwner
	r := &request{
		ref: "00000000000000a1", placer: p, incarnation: p.incarnation, class: class, service: 1, cores: 1,
		createdAt: w.now, timeout: requestTimeout, owner: owner,
	}
	w.requests[r.ref] = r
	run := &interleavingRun{w: w, p: p, r: r, owner: owner}
	p.step(platformcore.OwnerConnected{Owner: requestOwner})
	run.sendAsOwner(r.line(""))
	for _, event := range interleaving {
		run.apply(event)
	}
	return run
}

// interleavingRun is the run of one interleaving: a world with one placer and one request.
type interleavingRun struct {
	w *world
	p *placer
	r *request

	owner *ownerConn // connection on which the request came, and on which the owner's events happen
}

// runUntil advances the clock. Only the placer's timers run meanwhile, and the placer makes a step at the end.
func (run *interleavingRun) runUntil(at time.Duration) {
	for run.w.runNext(at) {
	}
	run.w.now = at
	run.p.step()
}

// settle advances the clock by 20 s, in which no host answers or accepts a connection. It then checks that the request
// has an answer, unless the request was canceled. If the answer was that the task is bound, the owner must also have
// got a release, unless the owner has sent a cancel or has disconnected.
func (run *interleavingRun) settle() {
	for range 200 {
		run.runUntil(run.w.now + 100*time.Millisecond)
		for _, c := range run.p.sortedConns() {
			if !c.established {
				delete(run.p.conns, c.id)
				run.p.step(platformcore.DialFailed{Connection: c.id})
			}
		}
	}
	if run.r.answer == "" && !run.r.canceled {
		run.w.breach("one answer: %s has none after all hosts stopped answering", run.r.ref)
	}
	if run.r.answer == platform.TypeBound && run.r.finalMessage == "" && !run.r.cancelSent && run.r.owner.open {
		run.w.breach("one answer: the owner still takes %s as bound after all hosts stopped answering", run.r.ref)
	}
}
