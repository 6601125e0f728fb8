package platformsim

import (
	"fmt"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// ExploreOrders plays every order of so many events around one task of each class of the settings, with one placer and two hosts:
// connections made, refused and ended, every word of a host on any attempt, late ones too, the owner's give-up and leaving, a
// hand-over, a drain, a host's loss and the deadline. It returns how many orders it played and the first breaches, each with
// its order.
func ExploreOrders(set forkhead.Settings, names platformcore.WireNames, depth int, spoil func() func(platformcore.Output) []platformcore.Output) (played int, breaches []string) {
	for class := range set.Classes {
		var walk func(order []string)
		walk = func(order []string) {
			if len(breaches) >= mostTold {
				return
			}
			w, a := replay(set, names, class, order, spoil)
			if len(w.report.Breaches) > 0 {
				breaches = append(breaches, fmt.Sprintf("%s: %s: %s", names.Classes[class], strings.Join(order, ", "), w.report.Breaches[0]))
				return
			}
			if len(order) == depth {
				played++
				w.rest(a)
				if len(w.report.Breaches) > 0 {
					breaches = append(breaches, fmt.Sprintf("%s: %s, and rest: %s", names.Classes[class], strings.Join(order, ", "), w.report.Breaches[0]))
				}
				return
			}
			for _, ev := range w.enabled(a) {
				walk(append(order[:len(order):len(order)], ev))
			}
		}
		walk(nil)
	}
	return played, breaches
}

const orderWait = 1500 * time.Millisecond

func replay(set forkhead.Settings, names platformcore.WireNames, class int, order []string, spoil func() func(platformcore.Output) []platformcore.Output) (*world, *ask) {
	w := newWorld(Config{Settings: set, WireNames: names, Placers: 1, Hosts: 2, MaxConnections: 40})
	w.calm, w.manual = true, true
	if spoil != nil {
		w.InjectFault = spoil()
	}
	p := &placer{w: w}
	w.placers = append(w.placers, p)
	p.start()
	o := &owner{p: p, id: 1, life: p.life, open: true}
	p.owners[1] = o
	a := &ask{ref: "00000000000000a1", p: p, life: p.life, class: class, service: 1, cores: 1, at: w.now, wait: orderWait, owner: o}
	w.asks[a.ref] = a
	p.step(platformcore.OwnerConnected{Owner: 1})
	p.step(platformcore.OwnerData{Owner: 1, Data: []byte(a.line(""))})
	for _, ev := range order {
		w.happen(a, ev)
	}
	return w, a
}

// enabled lists what can happen next.
func (w *world) enabled(a *ask) []string {
	p := w.placers[0]
	all := []string{"wait"}
	if a.owner.open {
		all = append(all, "owner-gone")
		if a.final == "" && !a.leaving {
			all = append(all, "give-up")
		}
		if a.answer == platform.TypeBound && a.final == "" {
			all = append(all, "hand-over")
		}
	}
	if w.now < a.at+orderWait {
		all = append(all, "deadline")
	}
	for _, c := range p.conns() {
		if !c.made {
			all = append(all, fmt.Sprintf("made %d", c.id), fmt.Sprintf("refused %d", c.id))
		} else {
			all = append(all, fmt.Sprintf("gone %d", c.id))
		}
	}
	for i, t := range a.attempts {
		if t.conn.gone || t.done {
			continue
		}
		if !t.stands {
			for _, word := range []string{"up", "full", "error"} {
				all = append(all, fmt.Sprintf("%s %d", word, i))
			}
		}
		all = append(all, fmt.Sprintf("end %d", i), fmt.Sprintf("cut %d", i))
	}
	if p.told[1].state == platform.InService {
		all = append(all, "drain")
	}
	return all
}

// happen lets one thing happen.
func (w *world) happen(a *ask, ev string) {
	p := w.placers[0]
	what, rest, _ := strings.Cut(ev, " ")
	n := 0
	_, _ = fmt.Sscan(rest, &n)
	say := func(t *attempt, cause platform.Cause, read func()) {
		t.done = cause != platform.NoCause
		read()
		kind := platform.TypeRelease
		if cause == platform.NoCause {
			kind = platform.TypeBound
		}
		p.step(platformcore.HostData{Connection: t.conn.id, Data: []byte(word(kind, a.ref, cause))})
	}
	switch what {
	case "wait":
		w.until(w.now + 120*time.Millisecond)
	case "deadline":
		w.until(a.at + orderWait)
	case "owner-gone":
		a.owner.open = false
		a.left = a.left || a.answer == ""
		p.step(platformcore.OwnerDisconnected{Owner: 1})
	case "give-up":
		a.leaving = true
		p.step(platformcore.OwnerData{Owner: 1, Data: []byte(word(platform.TypeRelease, a.ref, platform.CauseOK))})
		a.left = a.left || a.answer == ""
	case "hand-over":
		p.step(platformcore.OwnerData{Owner: 1, Data: []byte(a.line(";at:" + a.standing().host.name()))})
	case "made":
		c := p.links[platformcore.ConnectionID(n)]
		c.made = true
		p.step(platformcore.HostConnected{Connection: c.id})
	case "refused":
		delete(p.links, platformcore.ConnectionID(n))
		p.step(platformcore.DialFailed{Connection: platformcore.ConnectionID(n), Refused: true})
	case "gone":
		p.links[platformcore.ConnectionID(n)].ended()
	case "up":
		t := a.attempts[n]
		t.stands = true
		say(t, platform.NoCause, func() { t.up = t.up || !t.over })
	case "full":
		t := a.attempts[n]
		say(t, platform.CauseRejected, func() { t.never, t.over = true, true })
	case "error", "end", "cut":
		t := a.attempts[n]
		cause := map[string]platform.Cause{"error": platform.CauseFailed, "end": platform.CauseOK, "cut": platform.CauseReset}[what]
		say(t, cause, func() { t.over, t.cause = true, cause })
	case "drain":
		ch := platform.WatchEvent{Seq: uint64(len(w.events) + 1), Endpoints: &platform.EndpointList{Hosts: []platform.Endpoint{w.hosts[0].info(platform.Terminating)}}}
		w.events = append(w.events, ch)
		p.note(ch)
		p.step(platformcore.WatchEventReceived{Event: ch})
	}
}

// until lets time go by with nothing but what the placer does by itself.
func (w *world) until(at time.Duration) {
	for {
		next, some := w.todo.Next()
		if !some || next > at {
			break
		}
		do, _ := w.todo.PopDue(next)
		w.now = next
		do()
	}
	w.now = at
	w.placers[0].step()
}

// rest lets all come to an end: every host is silent and takes no connection, and then is gone.
func (w *world) rest(a *ask) {
	p := w.placers[0]
	for range 200 {
		w.until(w.now + 100*time.Millisecond)
		for _, c := range p.conns() {
			if !c.made {
				delete(p.links, c.id)
				p.step(platformcore.DialFailed{Connection: c.id})
			}
		}
	}
	if a.answer == "" && !a.left {
		w.breach("one answer: it has none")
	}
	if a.answer == platform.TypeBound && a.final == "" && !a.leaving && a.owner.open {
		w.breach("one answer: its owner takes it for standing")
	}
}
