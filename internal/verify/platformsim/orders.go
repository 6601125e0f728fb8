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
	orderTimeout                      = 1500 * time.Millisecond // of the request whose orders of events are explored
	orderOwner   platformcore.OwnerID = 1                       // the connection that it came on
)

// ExploreOrders runs every order of depth events around one request of each class of the settings, with one placer and two
// hosts: connections established, refused and ended, every message of a host on any attempt, late ones too, the owner's
// cancel and disconnect, a hand-over, a drain, a host's loss and the deadline. injectFault, if not nil, is called for the
// Config.InjectFault of each order. ExploreOrders returns how many orders it ran and the first breaches, each with its order.
func ExploreOrders(set forkhead.Settings, names platformcore.WireNames, depth int, injectFault func() OutputFilter) (runs int, breaches []string) {
	e := explorer{settings: set, names: names, depth: depth, injectFault: injectFault}
	for class := range set.Classes {
		e.explore(class, nil)
	}
	return e.runs, e.breaches
}

// explorer explores orders of events, depth first.
type explorer struct {
	settings    forkhead.Settings
	names       platformcore.WireNames
	depth       int
	injectFault func() OutputFilter
	runs        int
	breaches    []string
}

// explore runs all orders that begin with the events of order. Since a world can't be copied, each is run from its start.
func (e *explorer) explore(class int, order []orderEvent) {
	if len(e.breaches) >= maxBreaches {
		return
	}
	o := e.runOrder(class, order)
	if e.noteBreach(o, class, order, "") {
		return
	}
	if len(order) == e.depth {
		e.runs++
		o.settle()
		e.noteBreach(o, class, order, ", and rest")
		return
	}
	for _, event := range o.possibleEvents() {
		e.explore(class, append(slices.Clip(order), event))
	}
}

// noteBreach notes the first breach of an order, if there is one.
func (e *explorer) noteBreach(o *orderRun, class int, order []orderEvent, suffix string) bool {
	if len(o.w.report.Breaches) == 0 {
		return false
	}
	var events []string
	for _, event := range order {
		events = append(events, event.String())
	}
	e.breaches = append(e.breaches, fmt.Sprintf("%s: %s%s: %s", e.names.Classes[class], strings.Join(events, ", "), suffix, o.w.report.Breaches[0]))
	return true
}

// runOrder runs an order of events from the start.
func (e *explorer) runOrder(class int, order []orderEvent) *orderRun {
	w := newWorld(Config{Settings: e.settings, WireNames: e.names, Placers: 1, Hosts: 2, MaxConnections: 40})
	w.faultsOff, w.manual = true, true
	if e.injectFault != nil {
		w.InjectFault = e.injectFault()
	}
	p := &placer{w: w}
	w.placers = append(w.placers, p)
	p.start()
	owner := &ownerConn{placer: p, id: orderOwner, incarnation: p.incarnation, open: true}
	p.owners[owner.id] = owner
	r := &request{
		ref: "00000000000000a1", placer: p, incarnation: p.incarnation, class: class, service: 1, cores: 1,
		createdAt: w.now, timeout: orderTimeout, owner: owner,
	}
	w.requests[r.ref] = r
	o := &orderRun{w: w, p: p, r: r}
	p.step(platformcore.OwnerConnected{Owner: orderOwner})
	o.sendAsOwner(r.line(""))
	for _, event := range order {
		o.apply(event)
	}
	return o
}

// orderRun is one order of events as it runs: a world with one placer and one request.
type orderRun struct {
	w *world
	p *placer
	r *request
}

// runUntil lets time pass with nothing but what the placer does by itself.
func (o *orderRun) runUntil(at time.Duration) {
	for o.w.runNext(at) {
	}
	o.w.now = at
	o.p.step()
}

// settle lets the order come to its end: no host answers or takes a connection.
func (o *orderRun) settle() {
	for range 200 {
		o.runUntil(o.w.now + 100*time.Millisecond)
		for _, c := range o.p.sortedConns() {
			if !c.established {
				delete(o.p.conns, c.id)
				o.p.step(platformcore.DialFailed{Connection: c.id})
			}
		}
	}
	if o.r.answer == "" && !o.r.canceled {
		o.w.breach("one answer: it has none")
	}
	if o.r.answer == platform.TypeBound && o.r.final == "" && !o.r.cancelSent && o.r.owner.open {
		o.w.breach("one answer: its owner takes it for standing")
	}
}
