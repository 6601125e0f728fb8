package platformsim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/timerqueue"
)

// startTime is when the clock starts, so that hosts may have started long ago.
const startTime = time.Hour

// world is all that a run simulates, with its clock.
type world struct {
	Config
	rng       *rand.Rand
	now       time.Duration
	timers    timerqueue.Queue[func()]
	hosts     []*host
	placers   []*placer
	events    []platform.WatchEvent // all that were published
	requests  map[string]*request   // by ref
	report    Report
	lastRef   int
	faultsOff bool // nothing goes wrong any more
	manual    bool // hosts and connections do nothing by themselves: ExploreInterleavings decides what happens
}

// newWorld returns a world with its hosts, listed, and no placer yet.
func newWorld(cfg Config) *world {
	w := &world{Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 5)), now: startTime, requests: map[string]*request{}}
	var all []platform.Endpoint
	for i := range cfg.Hosts {
		h := &host{
			w: w, number: i + 1, incarnation: 1, up: true, ready: true, machineType: i % len(cfg.WireNames.MachineTypes),
			tasks: map[string]*attempt{},
		}
		w.hosts = append(w.hosts, h)
		all = append(all, h.endpoint(platform.InService))
	}
	w.publish(true, all...)
	return w
}

// after calls do when d has passed.
func (w *world) after(d time.Duration, do func()) { w.timers.Add(w.now+d, do) }

// runNext does what is due next, and reports whether anything is due until end.
func (w *world) runNext(end time.Duration) bool {
	at, pending := w.timers.Next()
	if !pending || at > end {
		return false
	}
	do, _ := w.timers.PopDue(at)
	w.now = at
	do()
	return true
}

// breach notes a breach of a rule, unless there are maxBreaches of them.
func (w *world) breach(format string, args ...any) {
	if len(w.report.Breaches) < maxBreaches {
		w.report.Breaches = append(w.report.Breaches, fmt.Sprintf("%v: ", w.now-startTime)+fmt.Sprintf(format, args...))
	}
}

// fails draws whether something goes wrong: with Faults at 1, once in oneIn times.
func (w *world) fails(oneIn float64) bool { return !w.faultsOff && w.rng.Float64() < w.Faults/oneIn }

// delay draws how long a message takes.
func (w *world) delay() time.Duration {
	d := time.Duration(100+w.rng.IntN(3000)) * time.Microsecond
	if w.fails(20) {
		d += w.randomMS(200)
	}
	return d
}

// randomMS draws a duration of whole milliseconds below n of them.
func (w *world) randomMS(n int) time.Duration { return time.Duration(w.rng.IntN(n)) * time.Millisecond }

// nextEvent adds an event to those that were published and returns it.
func (w *world) nextEvent(snapshot bool, hosts ...platform.Endpoint) platform.WatchEvent {
	event := platform.WatchEvent{Seq: uint64(len(w.events) + 1), Endpoints: &platform.EndpointList{Snapshot: snapshot, Hosts: hosts}}
	w.events = append(w.events, event)
	return event
}

// publish publishes a watch event; placers receive it in order, sometimes late.
func (w *world) publish(snapshot bool, hosts ...platform.Endpoint) {
	event := w.nextEvent(snapshot, hosts...)
	for _, p := range w.placers {
		p.sendEvent(event)
	}
}

// sortedRequests returns all requests by ref.
func (w *world) sortedRequests() []*request {
	all := make([]*request, 0, len(w.requests))
	for _, ref := range slices.Sorted(maps.Keys(w.requests)) {
		all = append(all, w.requests[ref])
	}
	return all
}

// sameDomain reports whether two hosts are in one domain of a level.
func (w *world) sameDomain(level forkhead.Domain, a, b *host) bool {
	switch level {
	case forkhead.MachineDomain:
		return a == b
	case forkhead.CellDomain:
		return a.cell() == b.cell()
	case forkhead.ZoneDomain:
		return a.zone() == b.zone()
	}
	return true
}
