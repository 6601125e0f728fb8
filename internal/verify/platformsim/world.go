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

// startTime is the initial time of the clock. It is not 0, so that hosts can have started long before.
const startTime = time.Hour

// world is the simulated system of a run: the clock, the hosts, the placers and the requests.
type world struct {
	Config
	rng            *rand.Rand
	now            time.Duration
	timers         timerqueue.Queue[func()]
	hosts          []*host
	placers        []*placer
	events         []platform.WatchEvent // all published watch events, in order
	requests       map[string]*request   // requests by ref
	report         Report
	lastRef        int
	faultsDisabled bool // no more faults occur
	manual         bool // hosts and connections do nothing by themselves; ExploreInterleavings chooses the events
}

// newWorld returns a world with all hosts up and listed, and without placers.
func newWorld(cfg Config) *world {
	w := &world{Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 5)), now: startTime, requests: map[string]*request{}}
	var all []platform.Endpoint
	for i := range cfg.Hosts {
		h := &host{
			w: w, number: i + 1, location: i + 1, incarnation: 1, up: true, ready: true, machineType: i % len(cfg.WireNames.MachineTypes),
			tasks: map[string]*attempt{},
		}
		w.hosts = append(w.hosts, h)
		all = append(all, h.endpoint(platform.InService))
	}
	w.publish(true, all...)
	return w
}

// after calls a function when the clock has advanced by d.
func (w *world) after(d time.Duration, do func()) { w.timers.Add(w.now+d, do) }

// runNext advances the clock to the next timer and runs that timer if it is due by the given time. It reports whether
// it ran a timer.
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

// breach records a breach of a rule with the time since the start, unless maxBreaches are recorded.
func (w *world) breach(format string, args ...any) {
	if len(w.report.Breaches) < maxBreaches {
		w.report.Breaches = append(w.report.Breaches, fmt.Sprintf("%v: ", w.now-startTime)+fmt.Sprintf(format, args...))
	}
}

// faultOneIn draws whether a fault occurs. With Config.Faults at 1, it occurs once in oneIn times; with less,
// proportionally less often.
func (w *world) faultOneIn(oneIn float64) bool {
	return !w.faultsDisabled && w.rng.Float64() < w.Faults/oneIn
}

// delay draws the delay of a message: 0.1 to 3.1 ms, and up to 200 ms more by a fault.
func (w *world) delay() time.Duration {
	d := time.Duration(100+w.rng.IntN(3000)) * time.Microsecond
	if w.faultOneIn(20) {
		d += w.randomMS(200)
	}
	return d
}

// randomMS returns a random duration of 0 to n-1 milliseconds.
func (w *world) randomMS(n int) time.Duration { return time.Duration(w.rng.IntN(n)) * time.Millisecond }

// nextEvent creates the next watch event, adds it to the published events and returns it.
func (w *world) nextEvent(snapshot bool, hosts ...platform.Endpoint) platform.WatchEvent {
	event := platform.WatchEvent{Seq: uint64(len(w.events) + 1), Endpoints: &platform.EndpointList{Snapshot: snapshot, Hosts: hosts}}
	w.events = append(w.events, event)
	return event
}

// publish sends a watch event to all placers, which receive events in order and sometimes late.
func (w *world) publish(snapshot bool, hosts ...platform.Endpoint) {
	event := w.nextEvent(snapshot, hosts...)
	for _, p := range w.placers {
		p.sendEvent(event)
	}
}

// sortedRequests returns all requests, sorted by ref.
func (w *world) sortedRequests() []*request {
	all := make([]*request, 0, len(w.requests))
	for _, ref := range slices.Sorted(maps.Keys(w.requests)) {
		all = append(all, w.requests[ref])
	}
	return all
}

// sameDomain reports whether two hosts are in the same domain of a level.
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
