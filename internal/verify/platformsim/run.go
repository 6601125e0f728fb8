// Package platformsim plays lives of pure cores of the platform's placer: several placers over a few hosts on a clock of its
// own, with connections that come late, break, fall silent and spoil what they carry, hosts that drain, die, come back cold
// and are cut off, a list that is late, owners that give up, and placers that are killed. The five rules are judged by what
// is written and delivered.
package platformsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
	"forkhead/internal/scheduler/timerqueue"
)

// Config says what is played.
type Config struct {
	Settings       forkhead.Settings // Placers and Self are filled in
	WireNames      platformcore.WireNames
	IdleTimeout    time.Duration
	Placers        int
	Hosts          int
	Tasks          int
	MaxConnections int     // connections of a placer
	Faults         float64 // how much goes wrong, from 0 to 1
	Seed           uint64
	// InjectFault changes what a placer writes to hosts or owners, to see that the judge finds it; nil: nothing.
	InjectFault func(platformcore.Output) []platformcore.Output
}

// Report is what a life came to.
type Report struct {
	Breaches                                  []string // the first of them
	Requests, Placed, Refused, Failed, GaveUp int
	Offers, HandedOver, Kills, ColdOffers     int
	Lost, Ended                               int
	Steps                                     int
}

const (
	length   = 12 * time.Second // tasks come for so long
	settling = 30 * time.Second // and all is over so long after
	slack    = 50 * time.Millisecond
	mostTold = 20
)

type world struct {
	Config
	rng     *rand.Rand
	now     time.Duration
	todo    timerqueue.Queue[func()]
	hosts   []*host
	placers []*placer
	events  []platform.WatchEvent
	asks    map[string]*ask
	report  Report
	last    int
	calm    bool // nothing goes wrong any more
	manual  bool // nothing happens by itself
}

// Run plays a life.
func Run(life Config) Report {
	w := newWorld(life)
	for i := range life.Placers {
		p := &placer{w: w, n: i}
		w.placers = append(w.placers, p)
		p.start()
	}
	for range life.Tasks {
		w.at(time.Duration(w.rng.Int64N(int64(length))), w.arrive)
	}
	for range int(life.Faults * 30) {
		w.at(time.Duration(w.rng.Int64N(int64(length))), w.fault)
	}
	end := w.now + length
	w.at(length, func() { w.calm = true; w.mend() })
	for {
		at, some := w.todo.Next()
		if !some || at > end+settling || len(w.report.Breaches) >= mostTold {
			break
		}
		do, _ := w.todo.PopDue(at)
		w.now = at
		do()
	}
	w.judgeEnd()
	return w.report
}

// newWorld has the hosts, listed, and no placer yet.
func newWorld(life Config) *world {
	w := &world{Config: life, rng: rand.New(rand.NewPCG(life.Seed, 5)), now: time.Hour, asks: map[string]*ask{}}
	var all []platform.Endpoint
	for i := range life.Hosts {
		h := &host{w: w, n: i + 1, life: 1, up: true, ready: true, kind: i % len(life.WireNames.MachineTypes), held: map[string]*attempt{}}
		w.hosts = append(w.hosts, h)
		all = append(all, h.info(platform.InService))
	}
	w.tell(true, all...)
	return w
}

func (w *world) at(in time.Duration, do func()) { w.todo.Add(w.now+in, do) }

func (w *world) breach(format string, args ...any) {
	if len(w.report.Breaches) < mostTold {
		w.report.Breaches = append(w.report.Breaches, fmt.Sprintf("%v: ", w.now-time.Hour)+fmt.Sprintf(format, args...))
	}
}

// odds says yes once in so many times, more often where more goes wrong.
func (w *world) odds(n float64) bool { return !w.calm && w.rng.Float64() < w.Faults/n }

func (w *world) delay() time.Duration {
	d := time.Duration(100+w.rng.IntN(3000)) * time.Microsecond
	if w.odds(20) {
		d += time.Duration(w.rng.IntN(200)) * time.Millisecond
	}
	return d
}

// tell puts an event into the change log; placers hear of it in order, sometimes late.
func (w *world) tell(whole bool, hosts ...platform.Endpoint) {
	ch := platform.WatchEvent{Seq: uint64(len(w.events) + 1), Endpoints: &platform.EndpointList{Snapshot: whole, Hosts: hosts}}
	w.events = append(w.events, ch)
	for _, p := range w.placers {
		p.hear(ch)
	}
}

// ---- What goes wrong.

func (w *world) fault() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	switch w.rng.IntN(6) {
	case 0: // it drains, is gone, and comes back cold
		if h.ready {
			h.ready = false
			w.tell(false, h.info(platform.Terminating))
			w.at(time.Duration(w.rng.IntN(3000))*time.Millisecond, func() { h.die(true) })
			w.at(4*time.Second, func() { h.come() })
		}
	case 1: // its process dies and comes again
		h.die(false)
		w.at(time.Duration(200+w.rng.IntN(2000))*time.Millisecond, func() { h.come() })
	case 2: // it is cut off
		h.cut = true
		w.at(time.Duration(w.rng.IntN(6000))*time.Millisecond, func() { h.cut = false })
	case 3:
		p := w.placers[w.rng.IntN(len(w.placers))]
		if p.core != nil {
			p.kill()
			w.at(time.Duration(100+w.rng.IntN(1500))*time.Millisecond, p.start)
		}
	case 4: // the list is late
		p := w.placers[w.rng.IntN(len(w.placers))]
		p.deaf = w.now + time.Duration(w.rng.IntN(3000))*time.Millisecond
	case 5: // connections to a host are reset
		for _, p := range w.placers {
			for _, c := range p.conns() {
				if c.host == h {
					c.reset()
				}
			}
		}
	}
}

func (w *world) mend() {
	for _, h := range w.hosts {
		h.cut = false
		h.come()
	}
	for _, p := range w.placers {
		if p.core == nil {
			p.start()
		}
	}
}

// arrive brings a task to a placer, on one of a few connections of owners.
func (w *world) arrive() {
	p := w.placers[w.rng.IntN(len(w.placers))]
	if p.core == nil {
		return
	}
	w.last++
	class := w.rng.IntN(len(w.Settings.Classes))
	a := &ask{
		ref: fmt.Sprintf("%016x", w.last), p: p, life: p.life, class: class, service: uint64(w.rng.IntN(1 + w.Tasks/4)), at: w.now,
		wait: time.Duration(200+w.rng.IntN(2500)) * time.Millisecond, cores: []float64{0.25, 0.5, 1, 2}[w.rng.IntN(4)],
	}
	w.asks[a.ref] = a
	w.report.Requests++
	a.owner = p.owner()
	a.owner.send(a.line(""))
	if w.odds(8) {
		w.at(time.Duration(w.rng.IntN(int(a.wait))), func() {
			if a.final == "" && !a.left && a.owner.open && p.life == a.life {
				if w.rng.IntN(2) == 0 {
					a.owner.send(word(platform.TypeRelease, a.ref, platform.CauseOK))
					a.leaving = true
					p.in(a.life, &a.owner.busy, func() { a.left = a.left || a.answer == "" })
				} else {
					a.owner.close()
				}
			}
		})
	}
	w.at(a.wait+500*time.Millisecond+2*slack, func() {
		if a.answer == "" && !a.left && !a.leaving && a.owner.open && p.life == a.life && p.core != nil {
			w.breach("one answer: %s has none %v after its time", a.ref, w.now-a.at-a.wait)
		}
	})
}
