package core

import (
	"fmt"
	"math/rand/v2"
	"time"

	"forkhead"
	"forkhead/internal/parse/settings"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
	"forkhead/internal/scheduler/ids"
	"forkhead/internal/scheduler/invariant"
	"forkhead/internal/scheduler/retrypolicy"
	"forkhead/internal/scheduler/timerqueue"
)

// Config is what a Core starts from.
type Config struct {
	Settings *settings.Settings // by For: Module.Self is this placer
	Seed     uint64
	Epoch    uint64   // of this life; higher than any before
	Hash     ids.Hash // nil: ids.FNV
	Durable  bool     // what must not be forgotten is told as Keep
	// Decide stands in the module's place in tests of the guard; nil: the module.
	Decide func(now time.Duration, events []forkhead.Event) []forkhead.Action
}

// Core is one placer. It is not safe for concurrent use.
type Core struct {
	set    *settings.Settings
	decide func(now time.Duration, events []forkhead.Event) []forkhead.Action
	rng    *rand.Rand
	epoch  uint64

	now    time.Duration
	out    []Output
	events []forkhead.Event // for the module, of this moment
	timers timerqueue.Queue[*timer]

	ids      *ids.Table
	listedAt time.Duration // when a list first came
	hosts    map[string]*host
	byID     map[forkhead.MachineID]*host
	zones    map[string]int
	racks    map[string]int

	asks     map[forkhead.TaskID]*ask
	refs     map[hostproto.Ref]*try
	live     map[uint64][]*try        // attempts that count against the spread, by service
	left     map[forkhead.TaskID]*ask // taken back from the module at this moment
	unknown  map[uint64]map[*try]bool // attempts of which nobody knows what became, by their task's key
	blocked  map[uint64]*wish         // tasks that wait for those of their key to be settled
	nextTask uint32
	labels   labels

	projects    map[string]*project
	wishes      int
	submissions map[string]*submission
	byKey       map[string]*submission
	ended       []*submission // complete, in the order in which they became so
	nextSub     uint64

	durable bool
	buried  map[string]bool // projects that were removed in an earlier life
	keptAt  time.Duration   // the list was last noted

	policy retrypolicy.Policy
	links  hostconn.Policy
	stat   Status
}

// New returns a placer's core, or the module's word on what it cannot use.
func New(cfg Config) (*Core, error) {
	set := cfg.Settings
	if cfg.Hash == nil {
		cfg.Hash = ids.FNV
	}
	c := &Core{
		set: set, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Epoch)), epoch: cfg.Epoch, decide: cfg.Decide,
		ids: ids.NewTable(cfg.Hash), hosts: map[string]*host{}, byID: map[forkhead.MachineID]*host{},
		zones: map[string]int{}, racks: map[string]int{},
		asks: map[forkhead.TaskID]*ask{}, left: map[forkhead.TaskID]*ask{},
		unknown: map[uint64]map[*try]bool{}, blocked: map[uint64]*wish{}, refs: map[hostproto.Ref]*try{}, live: map[uint64][]*try{},
		projects: map[string]*project{}, submissions: map[string]*submission{}, byKey: map[string]*submission{},
		policy: retrypolicy.Policy{
			MinBackoff: set.Owner.First, MaxBackoff: set.Owner.Most, MigrationBackoff: set.Owner.Soon, UnsafeBackoff: set.Module.OwnerBackoff,
			MaxRetryAfter: set.Module.MaxRetryAfter, MaxRequests: set.Owner.Asks,
		},
		links: hostconn.Policy{ConnectTimeout: set.Links.Connect, MinBackoff: set.Links.First, MaxBackoff: set.Links.Most},
	}
	c.labels.most = set.Limits.Label
	c.durable, c.buried = cfg.Durable, map[string]bool{}
	c.stat = Status{Placer: set.Module.Self, Epoch: cfg.Epoch, Outcomes: map[string]uint64{}, VetoesByRule: map[string]uint64{}}
	c.zones[set.Placers[set.Module.Self].Zone] = 0
	if c.decide == nil {
		module, err := forkhead.New(set.Module, cfg.Seed)
		if err != nil {
			return nil, err
		}
		c.decide = module.Step
	}
	return c, nil
}

// mostRounds bounds how often the module is asked within one Step: each round is an offer that
// could not be sent, and those are bounded by the attempts of each ask.
const mostRounds = 10_000

// Step takes the inputs of one moment, and what is due by then, and returns what to carry out,
// in order. A now before the last one counts as the last one: the clock may have been set back.
func (c *Core) Step(now time.Duration, inputs ...Input) []Output {
	first := c.now == 0
	c.now, c.out = max(now, c.now), nil
	for _, in := range inputs {
		c.take(in)
	}
	var late []*timer
	for {
		t, due := c.timers.PopDue(c.now)
		if !due {
			break
		}
		if t.kind == timerDeadline {
			// After the module's own timers of this moment: a placer that stood still lets the
			// module end its asks before they are taken to be forgotten.
			late = append(late, t)
			continue
		}
		c.fire(t)
	}
	c.run(first)
	for _, t := range late {
		c.fire(t)
	}
	c.run(false)
	clear(c.left)
	return c.out
}

// Next returns when Step has something to do by itself.
func (c *Core) Next() (time.Duration, bool) { return c.timers.Next() }

// run hands the module its events until it has none.
func (c *Core) run(always bool) {
	for round := 0; always || len(c.events) > 0; round++ {
		always = false
		if round >= mostRounds {
			c.defect("the module was asked %d times at one moment", round)
			c.events = nil
			return
		}
		events := c.events
		c.events = nil
		for _, a := range c.decide(c.now, events) {
			c.act(a)
		}
	}
}

func (c *Core) take(in Input) {
	switch in := in.(type) {
	case HostListReceived:
		c.listing(in)
	case HostConnected:
		if h := c.hosts[in.Host]; h != nil {
			c.link(h, hostconn.Input{Kind: hostconn.Dialed, Conn: in.Conn})
		}
	case HostDisconnected:
		if h := c.hosts[in.Host]; h != nil {
			c.link(h, hostconn.Input{Kind: hostconn.Disconnected, Conn: in.Conn})
		}
	case FrameReceived:
		if h := c.hosts[in.Host]; h != nil && in.Conn == h.link.Conn {
			c.frame(h, in.Frame)
		}
	case Submit:
		c.submit(in)
	case RemoveProject:
		c.remove(in)
	case Restore:
		c.restore(in.Snapshot)
	case GossipReceived:
		c.tell(forkhead.Received{From: in.From, Data: in.Data})
	}
}

// tell puts an event before the module.
func (c *Core) tell(ev forkhead.Event) { c.events = append(c.events, ev) }

func (c *Core) do(o Output) { c.out = append(c.out, o) }

func (c *Core) log(format string, args ...any) {
	c.do(Log{Text: fmt.Sprintf(format, args...)})
}

// defect notes something that this program should never do.
func (c *Core) defect(format string, args ...any) {
	c.stat.Defects++
	c.do(Log{Defect: true, Text: fmt.Sprintf(format, args...)})
}

// veto counts an action of the module that the guard did not let through.
func (c *Core) veto(v *invariant.Violation, format string, args ...any) {
	c.stat.Vetoes++
	c.stat.VetoesByRule[v.Rule.String()]++
	c.defect("veto: %s: %v", fmt.Sprintf(format, args...), v)
}

// act carries out one action of the module, if the guard lets it through.
func (c *Core) act(a forkhead.Action) {
	switch a := a.(type) {
	case forkhead.Offer:
		c.offer(a)
	case forkhead.Reject:
		c.answer(a.Task, true, a.RetryAfter)
	case forkhead.Fail:
		c.answer(a.Task, false, 0)
	case forkhead.Withdraw:
		k := c.asks[a.Task]
		if k != nil && a.Attempt >= 0 && a.Attempt < len(k.tries) && k.tries[a.Attempt] != nil { // nil: vetoed
			c.input(k.tries[a.Attempt], attempt.Abandoned, detail{})
		}
	case forkhead.Stop:
		c.stop(a.Task)
	case forkhead.SetTimer:
		c.at(&timer{at: a.At, kind: timerModule, number: a.Timer})
	case forkhead.Probe:
		c.probe(c.byID[a.Machine], a.Machine)
	case forkhead.Gossip:
		c.do(SendGossip{To: a.To, Data: a.Data})
	case forkhead.Subscribe:
		c.do(Subscribe{})
	case forkhead.Log:
		c.log("%s", a.Message)
	}
}

// ---- Timers.

type timerKind uint8

const (
	timerModule   timerKind = iota // number
	timerDeadline                  // ask: its owner gives it up
	timerCap                       // try: its own time-out
	timerConnect                   // try: its connection takes too long
	timerAsk                       // wish: to be asked again
	timerGiveUp                    // wish: its owner's patience is over
	timerRetry                     // host: to be dialled
	timerLate                      // host, number: dialling or greeting takes too long
	timerAlive                     // host, number: to be heard from
	timerLapse                     // host, number: what was placed there counts as lost
	timerProbe                     // host, number: a probe without an answer
	timerRollout                   // service
	timerWatch                     // wish, number: it has stood an update's monitoring
	timerExpire                    // submissions that nobody reads again
)

type timer struct {
	at     time.Duration
	kind   timerKind
	number uint64
	ask    *ask
	try    *try
	wish   *wish
	host   *host
	svc    *service
}

func (c *Core) at(t *timer) { c.timers.Add(t.at, t) }

func (c *Core) fire(t *timer) {
	switch t.kind {
	case timerModule:
		c.tell(forkhead.TimerFired{Timer: t.number})
	case timerDeadline:
		c.overdue(t.ask)
	case timerCap:
		if t.try.phase().IsInFlight() {
			c.input(t.try, attempt.Abandoned, detail{result: forkhead.TimedOut})
		}
	case timerConnect:
		if t.try.phase() == attempt.Waiting {
			c.input(t.try, attempt.ConnectionLost, detail{})
		}
	case timerAsk:
		if t.wish.askSeq == t.number {
			c.askNow(t.wish)
		}
	case timerGiveUp:
		if t.wish.giveUpSeq == t.number {
			c.impatient(t.wish)
		}
	case timerRetry:
		c.link(t.host, hostconn.Input{Kind: hostconn.RetryDue})
	case timerLate:
		c.link(t.host, hostconn.Input{Kind: hostconn.ConnectTimedOut, Conn: uint32(t.number)})
	case timerAlive:
		c.alive(t.host, uint32(t.number))
	case timerLapse:
		c.lapse(t.host, t.number)
	case timerProbe:
		c.probeLate(t.host, uint32(t.number))
	case timerRollout:
		c.roll(t.svc)
	case timerWatch:
		if t.wish.watchSeq == t.number {
			c.rolledOut(t.wish, true)
		}
	case timerExpire:
		c.expire()
	}
}

// Status counts what the placer holds and has done.
func (c *Core) Status() Status {
	s := c.stat
	s.Tasks, s.Submissions = c.wishes, len(c.submissions)
	for _, h := range c.hosts {
		if h.listed {
			s.Hosts++
		}
		if h.usable() {
			s.HostsUp++
		}
		if h.state() == forkhead.Ready {
			s.HostsReady++
		}
	}
	for _, p := range c.projects {
		for _, svc := range p.services {
			for _, w := range svc.wishes {
				switch w.state {
				case placed:
					s.TasksPlaced++
				case waiting, asking, heldBack:
					s.TasksWaiting++
				}
			}
		}
	}
	for _, t := range c.refs {
		if t.phase() == attempt.Unknown {
			s.AttemptsUnknown++
		}
	}
	s.Outcomes, s.VetoesByRule = map[string]uint64{}, map[string]uint64{}
	for k, v := range c.stat.Outcomes {
		s.Outcomes[k] = v
	}
	for k, v := range c.stat.VetoesByRule {
		s.VetoesByRule[k] = v
	}
	return s
}

// TableSizes counts what the tables hold. With no project left all but Hosts is 0.
type TableSizes struct {
	Hosts, Requests, Attempts, Live, Unknown, Blocked, Tasks, Projects, Labels int
}

// TableSizes counts the tables' entries: what is left when all is over is a leak.
func (c *Core) TableSizes() TableSizes {
	h := TableSizes{
		Hosts: len(c.hosts), Requests: len(c.asks), Attempts: len(c.refs), Live: len(c.live), Unknown: len(c.unknown),
		Blocked: len(c.blocked), Tasks: c.wishes, Projects: len(c.projects),
	}
	for _, row := range c.labels.rows {
		if row != nil {
			h.Labels++
		}
	}
	return h
}
