// Package rules checks the five rules on the record of a run: on what crossed the sockets at the
// hosts', the clients' and the catalogue's end, and on nothing that a placer says of itself.
package rules

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/parse/settings"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// Config are the figures of the rules.
type Config struct {
	Classes              map[string]Class
	Durable              bool          // placers keep what they have taken over their death: it excuses nothing
	ParallelAttempts     bool          // two attempts of one ask may be out
	BoundWhenRunning     bool          // a task is bound when it runs, not when it is accepted
	DrainGrace           time.Duration // of a drain
	LostAfter            time.Duration // a placer counts tasks of a host that is out of reach for so long
	OwnerBackoff         time.Duration // after a placer's death, until its tasks may come again
	SlowStartDuration    time.Duration
	SlowStartInitialRate float64
	SlowStartWindow      time.Duration
	SlowStartMaxOffers   float64 // in a window, always borne
	WarmStartRate        float64 // starts a second of a warm host
	SlowStartOverload    float64
	MaxTransit           time.Duration // the record's own error: what is sent at one end is noted at another by then
	MaxOutcomeDelay      time.Duration // and an outcome is read by its client
}

// Class is what the rules need of a class.
type Class struct {
	Effect       forkhead.Effect
	DedupDomain  forkhead.Domain
	DedupWindow  time.Duration
	SpreadDomain forkhead.Domain
	MaxPerDomain int
}

// ConfigFromSettings takes the figures from settings. pace is a warm host's starts a second.
func ConfigFromSettings(s *settings.Settings, pace float64) Config {
	m := &s.Module
	f := Config{
		Classes: map[string]Class{}, ParallelAttempts: m.ParallelAttempts, BoundWhenRunning: m.BoundWhenRunning, DrainGrace: m.DrainGrace, LostAfter: s.Links.LostAfter,
		OwnerBackoff: m.OwnerBackoff, SlowStartDuration: m.SlowStartDuration, SlowStartInitialRate: m.SlowStartInitialRate, SlowStartWindow: m.SlowStartWindow, SlowStartMaxOffers: m.SlowStartMaxOffers,
		WarmStartRate: pace, SlowStartOverload: m.SlowStartOverload, MaxTransit: 200 * time.Millisecond, MaxOutcomeDelay: time.Second,
	}
	for i, c := range m.Classes {
		f.Classes[s.Classes[i].Name] = Class{Effect: c.Effect, DedupDomain: c.DedupDomain, DedupWindow: c.DedupWindow, SpreadDomain: c.SpreadDomain, MaxPerDomain: c.MaxPerDomain}
	}
	return f
}

// Breach is one breach of a rule.
type Breach struct {
	Rule invariant.Rule
	At   time.Duration
	Text string
}

// Verdict is what the record says.
type Verdict struct {
	Counts           [invariant.RuleCount]int
	Breaches         []Breach // the first of them
	Tasks            int      // tasks of which an outcome was owed
	Accounts         Accounts
	Outcomes         map[string]int
	Offers           int
	Rejected         int
	HostIncarnations int // of hosts
}

const mostBreaches = 50

// OK says whether no rule was broken.
func (v *Verdict) OK() bool {
	for _, n := range v.Counts {
		if n > 0 {
			return false
		}
	}
	return true
}

type place struct{ zone, rack string }

type ref struct {
	host    string
	life    uint64 // of the host
	epoch   uint64
	task    uint32
	attempt uint8
}

// try is one attempt as the record shows it. A time of 0 means not yet.
type try struct {
	ref
	placer   int
	key      uint64
	service  uint64
	class    string
	name     string
	conn     uint64
	at       time.Duration
	accepted time.Duration
	bound    time.Duration // the host said what makes the task count as placed
	answered time.Duration // refused, accepted or ended
	never    time.Duration // the host said that it never ran
	over     time.Duration // the host said that it ended
	withdraw time.Duration
	gone     time.Duration // its connection ended
	died     time.Duration // its host's life ended

	placerEpoch uint64 // of the life that sent it
	near        bool   // its placer noted it, too: what that placer knew is judged there
}

type checker struct {
	f      Config
	v      Verdict
	events []capture.Event
	ours   []capture.Event // noted at placers' own ends
	places map[string]place
	tries  map[ref]*try
	byKey  map[uint64][]*try
	bySvc  map[uint64][]*try
	order  []*try
	held   map[ref][]capture.Event // by the host's life too: named to a life of a placer that greeted
	deaths map[int][]capture.Event // of placers
	ups    map[int][]time.Duration // when their lives began
}

// Check judges a record.
func Check(events []capture.Event, f Config) Verdict {
	c := &checker{
		f: f, events: slices.Clone(events), places: map[string]place{}, tries: map[ref]*try{}, byKey: map[uint64][]*try{},
		bySvc: map[uint64][]*try{}, held: map[ref][]capture.Event{}, deaths: map[int][]capture.Event{}, ups: map[int][]time.Duration{},
	}
	c.v.Outcomes = map[string]int{}
	slices.SortStableFunc(c.events, func(a, b capture.Event) int { return cmp.Compare(a.At, b.At) })
	far := c.events[:0:0]
	for i := range c.events {
		if c.events[i].AtPlacer {
			c.ours = append(c.ours, c.events[i])
		} else {
			far = append(far, c.events[i])
		}
	}
	c.events = far
	c.gather()
	c.near()
	c.answers()
	c.repeats()
	c.drains()
	c.cold()
	c.spread()
	slices.SortStableFunc(c.v.Breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return c.v
}

func (c *checker) breach(r invariant.Rule, at time.Duration, format string, args ...any) {
	c.v.Counts[r]++
	if len(c.v.Breaches) < mostBreaches {
		c.v.Breaches = append(c.v.Breaches, Breach{r, at, fmt.Sprintf(format, args...)})
	}
}

func refOf(e *capture.Event) ref { return ref{e.Host, e.Epoch, e.RefEpoch, e.Task, e.Attempt} }

// gather makes attempts of frames.
func (c *checker) gather() {
	open := map[string]map[ref]*try{} // by host, of its present life
	first := func(at *time.Duration, t time.Duration) {
		if *at == 0 {
			*at = t
		}
	}
	for i := range c.events {
		e := &c.events[i]
		switch e.Type {
		case capture.HostUp:
			c.v.HostIncarnations++
			c.places[e.Host] = place{e.Zone, e.Rack}
			open[e.Host] = map[ref]*try{}
		case capture.HostDown:
			for _, t := range open[e.Host] {
				first(&t.died, e.At)
			}
			open[e.Host] = nil
		case capture.Holds:
			c.held[refOf(e)] = append(c.held[refOf(e)], *e)
		case capture.PlacerUp:
			c.ups[e.Placer] = append(c.ups[e.Placer], e.At)
		case capture.PlacerDown:
			c.deaths[e.Placer] = append(c.deaths[e.Placer], *e)
		case capture.Disconnected:
			for _, t := range open[e.Host] {
				if t.conn == e.Conn {
					first(&t.gone, e.At)
				}
			}
		case capture.Offer:
			c.v.Offers++
			t := &try{ref: refOf(e), placer: e.Placer, key: e.Key, service: e.Service, class: e.Class, name: e.Name, conn: e.Conn, at: e.At, placerEpoch: e.PlacerEpoch}
			c.tries[t.ref] = t
			c.byKey[t.key] = append(c.byKey[t.key], t)
			c.bySvc[t.service] = append(c.bySvc[t.service], t)
			c.order = append(c.order, t)
			if open[e.Host] != nil {
				open[e.Host][t.ref] = t
			}
		case capture.Withdraw, capture.Refused, capture.Accepted, capture.Running, capture.Ended:
			t := c.tries[refOf(e)]
			if t == nil {
				continue
			}
			switch e.Type {
			case capture.Withdraw:
				first(&t.withdraw, e.At)
				continue
			case capture.Refused:
				c.v.Rejected++
				first(&t.never, e.At)
			case capture.Accepted, capture.Running:
				first(&t.accepted, e.At)
				if e.Type == capture.Running || !c.f.BoundWhenRunning {
					first(&t.bound, e.At)
				}
			case capture.Ended:
				if e.Result == "called" {
					first(&t.never, e.At)
				} else {
					first(&t.over, e.At)
				}
			}
			first(&t.answered, e.At)
		}
	}
}

// by says whether something had happened by a time.
func by(at, t time.Duration) bool { return at > 0 && at <= t }

// ---- Rule 1.

// sub is a submission as its client saw it.
type sub struct {
	name       string
	at, within time.Duration
	count      int
	placer     int
	cut        time.Duration // its stream last broke; 0: not
	again      time.Duration // it was last asked for
	told       map[string]string
	near       time.Duration // its placer said at its own end that it was taken; 0: not noted
}

// Accounts say what became of each task that was submitted. Their sum is the tasks.
type Accounts struct {
	Answered     int `json:"told"`        // its client read an outcome
	PlacerDied   int `json:"placer_dead"` // its placer died before the outcome was due
	Disconnected int `json:"cut"`         // its client's stream broke and the client did not ask again
	NotDue       int `json:"not_due"`     // the record ends before the outcome was due
	Unanswered   int `json:"forgotten"`   // none of these: a breach
}

// Sum is the tasks that are accounted for.
func (a *Accounts) Sum() int {
	return a.Answered + a.PlacerDied + a.Disconnected + a.NotDue + a.Unanswered
}

// answers checks that each task of each submission was told exactly one outcome, in time.
func (c *checker) answers() {
	subs := map[string]*sub{}
	var order []*sub
	end := time.Duration(0)
	for i := range c.events {
		e := &c.events[i]
		end = e.At
		s := subs[e.Submission]
		switch e.Type {
		case capture.Submit:
			if s != nil {
				s.again = e.At
				continue
			}
			s = &sub{name: e.Submission, at: e.At, again: e.At, within: e.Within, count: e.Count, placer: e.Placer, told: map[string]string{}}
			subs[e.Submission] = s
			order = append(order, s)
			c.v.Tasks += e.Count
		case capture.ClientDisconnected:
			if s != nil {
				s.cut = e.At
			}
		}
	}
	slept, stood := c.nearAnswers(subs)
	for i := range c.events {
		e := &c.events[i]
		if e.Type != capture.Outcome {
			continue
		}
		s := subs[e.Submission]
		if s == nil {
			c.breach(invariant.OneAnswer, e.At, "an outcome for %s of submission %s, which nobody made", e.Name, e.Submission)
			continue
		}
		// What a stream told that broke is told again: by a cut, or in a later life of a placer that forgets nothing.
		cut := s.cut > 0 && s.cut <= e.At || c.f.Durable && c.deadAt(s.placer, s.at, e.At)
		if before, ok := s.told[e.Name]; ok {
			if before != e.Result || !cut {
				c.breach(invariant.OneAnswer, e.At, "%s of submission %s was told %s and then %s", e.Name, e.Submission, before, e.Result)
			}
			continue
		}
		s.told[e.Name] = e.Result
		c.v.Outcomes[e.Result]++
		if e.Result != "placed" && e.Result != "refused" && e.Result != "failed" {
			c.breach(invariant.OneAnswer, e.At, "%s was told %q", e.Name, e.Result)
		}
		// From when its placer settled it, where that is noted, an outcome has so long to reach its client;
		// whether it was settled in time is judged below, with no slack.
		since := s.at + s.within
		if s.near > 0 {
			since = max(since, s.near+e.Took)
		}
		// A process that stood still meanwhile carried nothing: for how long, its placers' late steps say.
		if late := e.At - since; late > c.f.MaxOutcomeDelay && late-stood(since, e.At) > c.f.MaxOutcomeDelay && !cut {
			c.breach(invariant.OneAnswer, e.At, "%s of submission %s was told %v after its owner gave up", e.Name, e.Submission, late.Round(time.Millisecond))
		}
		// By the placer's clock there is no way to be late but a step that ran late.
		if due := s.near + s.within; s.near > 0 && e.Took > s.within+time.Millisecond && !slept(s.placer, due) && !c.deadAt(s.placer, due, due) {
			c.breach(invariant.OneAnswer, e.At, "%s of submission %s was settled %v after its owner gave up", e.Name, e.Submission, e.Took-s.within)
		}
	}
	for _, s := range order {
		missing := s.count - len(s.told)
		c.v.Accounts.Answered += min(s.count, len(s.told))
		if missing < 0 {
			c.breach(invariant.OneAnswer, end, "submission %s of %d tasks was told %d outcomes", s.name, s.count, len(s.told))
			continue
		}
		due := s.at + s.within
		dead := false
		for _, d := range c.deaths[s.placer] {
			dead = dead || !c.f.Durable && d.At >= s.at && d.At <= due
		}
		switch {
		case missing == 0:
		case dead:
			// What a placer held when it was killed is its client's to send again. A death after the
			// outcome was due excuses nothing.
			c.v.Accounts.PlacerDied += missing
		case s.cut > s.again:
			c.v.Accounts.Disconnected += missing
		case end <= due+c.f.MaxOutcomeDelay:
			c.v.Accounts.NotDue += missing
		default:
			c.v.Accounts.Unanswered += missing
			c.breach(invariant.OneAnswer, end, "%d of %d tasks of submission %s were never told an outcome", missing, s.count, s.name)
		}
	}
}

// wakes is how long a placer that comes back may take to settle what was due when it was down.
const wakes = 100 * time.Millisecond

// deadAt says whether a placer was down at some time of an interval.
func (c *checker) deadAt(placer int, from, to time.Duration) bool {
	for _, d := range c.deaths[placer] {
		up := time.Duration(math.MaxInt64)
		for _, u := range c.ups[placer] {
			if u > d.At {
				up = u + wakes
				break
			}
		}
		if d.At <= to && up >= from {
			return true
		}
	}
	return false
}

// nearAnswers notes when placers took submissions, by their own clocks, and returns whether a step
// of a placer that was due by a time ran after it, and for how long of some time any of them waited for
// a step that was due: all are of one process.
func (c *checker) nearAnswers(subs map[string]*sub) (slept func(placer int, due time.Duration) bool, stood func(from, to time.Duration) time.Duration) {
	late := map[int][][2]time.Duration{}
	var all [][2]time.Duration
	for i := range c.ours {
		e := &c.ours[i]
		switch e.Type {
		case capture.Submit:
			if s := subs[e.Submission]; s != nil && s.near == 0 {
				s.near = e.At
			}
		case capture.LateStep:
			late[e.Placer] = append(late[e.Placer], [2]time.Duration{e.At - e.Within, e.At})
			all = append(all, [2]time.Duration{e.At - e.Within, e.At})
		}
	}
	slices.SortFunc(all, func(a, b [2]time.Duration) int { return cmp.Compare(a[0], b[0]) })
	slept = func(placer int, due time.Duration) bool {
		return slices.ContainsFunc(late[placer], func(l [2]time.Duration) bool { return l[0] <= due && due <= l[1] })
	}
	stood = func(from, to time.Duration) (sum time.Duration) {
		for _, l := range all {
			if end := min(l[1], to); end > max(l[0], from) {
				sum += end - max(l[0], from)
				from = end
			}
		}
		return sum
	}
	return slept, stood
}

// ---- Rule 2.

// repeats checks each offer against the earlier attempts of its task.
func (c *checker) repeats() {
	for _, t := range c.order {
		class, ok := c.f.Classes[t.class]
		if !ok {
			c.breach(invariant.NoRepeat, t.at, "%s is of class %q, which is unknown", t.name, t.class)
			continue
		}
		slack := t.at + c.f.MaxTransit
		var first *try
		for _, o := range c.byKey[t.key] {
			if o == t || o.at > t.at || o.at == t.at && o.attempt >= t.attempt {
				continue
			}
			if by(o.never, t.at) || by(o.over, t.at) || by(o.died, slack) {
				continue
			}
			if c.forgotten(o, t) {
				continue
			}
			if t.near && o.placerEpoch == t.placerEpoch && o.placer == t.placer {
				continue // judged by what its placer knew
			}
			// Out: unanswered on a connection that stands, and not withdrawn.
			if !c.f.ParallelAttempts && !by(o.answered, t.at) && !by(o.withdraw, slack) && !by(o.gone, slack) && o.placer == t.placer {
				c.breach(invariant.NoRepeat, t.at, "%s was offered to %s while its attempt at %s was out", t.name, t.host, o.host)
				continue
			}
			if first == nil {
				first = o
			}
			switch class.Effect {
			case forkhead.Unsafe:
				c.breach(invariant.NoRepeat, t.at, "%s, unsafe, was offered to %s while its attempt at %s may have run", t.name, t.host, o.host)
			case forkhead.Keyed:
				if !c.same(class.DedupDomain, o.host, t.host) {
					c.breach(invariant.NoRepeat, t.at, "%s, keyed, was offered to %s, outside the group of %s where it may have run", t.name, t.host, o.host)
				} else if t.at > first.at+class.DedupWindow+c.f.MaxTransit {
					c.breach(invariant.NoRepeat, t.at, "%s, keyed, was offered to %s %v after it may have run at %s", t.name, t.host, t.at-first.at, first.host)
				}
			}
		}
	}
}

// forgotten says whether an attempt was made by a placer that was dead for the owner's wait when
// the other was: by the terms its owner may then ask again.
func (c *checker) forgotten(o, t *try) bool {
	for _, d := range c.deaths[o.placer] {
		// A host on a stalled machine may read an offer when its placer is dead already: the life that
		// sent it counts, not the moment at which it was read.
		if (d.At >= o.at || d.PlacerEpoch != 0 && d.PlacerEpoch == o.placerEpoch) && d.At+c.f.OwnerBackoff <= t.at+c.f.MaxTransit {
			return true
		}
	}
	return false
}

func (c *checker) same(p forkhead.Domain, a, b string) bool {
	switch p {
	case forkhead.MachineDomain:
		return a == b
	case forkhead.CellDomain:
		return c.places[a].rack == c.places[b].rack
	case forkhead.ZoneDomain:
		return c.places[a].zone == c.places[b].zone
	}
	return true
}

// ---- Rule 3.

// drains checks that a placer sends nothing to a host that it was told, longer ago than the
// grace, drains or is gone.
func (c *checker) drains() {
	type pair struct {
		placer int
		host   string
	}
	listed := map[pair]bool{}
	notReady := map[pair]time.Duration{} // by the list, since
	drains := map[pair]time.Duration{}   // by the host's own word, since
	for i := range c.events {
		e := &c.events[i]
		switch e.Type {
		case capture.ListDelivered:
			ready := map[string]bool{}
			for _, h := range e.Ready {
				ready[h] = true
				listed[pair{e.Placer, h}] = true
				delete(notReady, pair{e.Placer, h})
			}
			for p := range listed {
				if p.placer == e.Placer && !ready[p.host] {
					if _, known := notReady[p]; !known {
						notReady[p] = e.At
					}
				}
			}
			for _, h := range e.Draining {
				p := pair{e.Placer, h}
				listed[p] = true
				if _, known := notReady[p]; !known {
					notReady[p] = e.At
				}
			}
		case capture.Drain, capture.Welcome:
			p := pair{e.Placer, e.Host}
			if e.HostDraining {
				if _, known := drains[p]; !known {
					drains[p] = e.At
				}
			} else {
				delete(drains, p)
			}
		case capture.HostUp:
			for p := range drains {
				if p.host == e.Host {
					delete(drains, p)
				}
			}
		case capture.PlacerUp:
			for p := range listed {
				if p.placer == e.Placer {
					delete(listed, p)
					delete(notReady, p)
				}
			}
		case capture.Offer:
			p := pair{e.Placer, e.Host}
			for _, since := range []map[pair]time.Duration{notReady, drains} {
				if at, ok := since[p]; ok && e.At > at+c.f.DrainGrace+c.f.MaxTransit && !c.tries[refOf(e)].near {
					c.breach(invariant.Drain, e.At, "placer %d offered %s to %s %v after it was told that the host drains or is gone",
						e.Placer, e.Name, e.Host, (e.At - at).Round(time.Millisecond))
				}
			}
		}
	}
}

// ---- Rule 4.

// cold checks that no cold host was offered more than it bears, or fell.
func (c *checker) cold() {
	up := map[string]capture.Event{}
	recent := map[string][]time.Duration{}
	for i := range c.events {
		e := &c.events[i]
		switch e.Type {
		case capture.HostUp:
			up[e.Host] = *e
			recent[e.Host] = nil
		case capture.Overloaded:
			c.breach(invariant.SlowStart, e.At, "host %s fell over while cold", e.Host)
		case capture.Offer:
			u, ok := up[e.Host]
			age := e.At - u.At
			if !ok || !u.WarmingUp || age >= c.f.SlowStartDuration {
				continue
			}
			keep := slices.DeleteFunc(append(recent[e.Host], e.At), func(at time.Duration) bool { return at <= e.At-c.f.SlowStartWindow })
			recent[e.Host] = keep
			pace := c.f.WarmStartRate * (c.f.SlowStartInitialRate + (1-c.f.SlowStartInitialRate)*float64(age)/float64(c.f.SlowStartDuration))
			if bears := max(c.f.SlowStartMaxOffers, c.f.SlowStartOverload*pace*c.f.SlowStartWindow.Seconds()); float64(len(keep)) > bears {
				c.breach(invariant.SlowStart, e.At, "host %s, up for %v, was offered %d tasks within %v; it bears %.0f", e.Host, age.Round(time.Millisecond), len(keep), c.f.SlowStartWindow, bears)
			}
		}
	}
}

// ---- Rule 5.

// spread checks, at each offer, the tasks of its service that its placer has in its place.
func (c *checker) spread() {
	for _, t := range c.order {
		class := c.f.Classes[t.class]
		if class.SpreadDomain == forkhead.AnyDomain || t.near {
			continue
		}
		n := 1
		for _, o := range c.bySvc[t.service] {
			if o == t || o.placer != t.placer || o.at > t.at || !c.same(class.SpreadDomain, o.host, t.host) {
				continue
			}
			if c.counts(o, t) {
				n++
			}
		}
		if n > class.MaxPerDomain {
			c.breach(invariant.Spread, t.at, "%s was offered to %s as number %d of its service in one %v, of at most %d", t.name, t.host, n, placeNames[class.SpreadDomain], class.MaxPerDomain)
		}
	}
}

var placeNames = [...]string{"place", "host", "rack", "zone"}

// counts says whether the placer of t still has the attempt o when it offers t.
func (c *checker) counts(o, t *try) bool {
	slack := t.at + c.f.MaxTransit
	if by(o.never, slack) || by(o.over, slack) || by(o.died, slack) || by(o.withdraw, slack) {
		return false
	}
	if o.epoch == t.epoch {
		if by(o.gone, slack) {
			// An attempt whose reply broke off is answered (reset) and counts no more; so is one whose
			// word that it is bound was still on its way. A bound one counts until it is lost.
			told := by(o.bound, o.gone-c.f.MaxTransit)
			return told && !by(o.gone+c.f.LostAfter, slack)
		}
		return true
	}
	// Made by an earlier life: this one has it from when the host named it. What ended while no life
	// was there to be told is not named, and its end is told to nobody: to count it for ever was a
	// false breach of this checker.
	for _, h := range c.held[o.ref] {
		if h.Placer == t.placer && h.PlacerEpoch == t.epoch && h.At+c.f.MaxTransit <= t.at {
			return true
		}
	}
	return false
}
