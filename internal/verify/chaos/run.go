// Package chaos plays a script: a fleet on loopback sockets, clients with load, and troubles at
// their times. The five rules are then checked on the record of what crossed the sockets.
package chaos

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"forkhead/internal/client"
	"forkhead/internal/parse/compose"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/invariant"
	"forkhead/internal/server/placer"
	"forkhead/internal/server/recorder"
	"forkhead/internal/verify/rules"
	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

const mostEvents = 20_000_000

// Options say how a day is played.
type Options struct {
	Log         zerolog.Logger
	NewModule   testcluster.ModuleFactory // a module that is built to break rules, for tests
	OnFault     func(trouble scenario.Fault)
	RecordSteps bool // the steps of the placers' cores are recorded, for Result.Recordings
}

// Result is what a day came to.
type Result struct {
	Rules               map[string]int          `json:"rules"` // breaches
	Vetoes              uint64                  `json:"vetoes"`
	Defects             uint64                  `json:"defects"`
	Tasks               int                     `json:"tasks"`
	Outcomes            map[string]int          `json:"outcomes"`
	Submissions         int                     `json:"submissions"`
	RejectedSubmissions int                     `json:"turned_away"` // submissions that no placer took
	ResentSubmissions   int                     `json:"resent"`      // sent again after a lost reply
	Offers              int                     `json:"offers"`      // frames that reached hosts
	RejectedOffers      int                     `json:"refused"`     // of them by the hosts
	HostIncarnations    int                     `json:"host_lives"`
	Faults              int                     `json:"troubles"`
	Events              int                     `json:"events"`
	P50MS               float64                 `json:"p50_ms"` // from submission to a placed outcome
	P99MS               float64                 `json:"p99_ms"`
	Seconds             float64                 `json:"seconds"`
	Accounts            rules.Accounts          `json:"accounts"`          // their sum is the tasks
	StoreCommits        uint64                  `json:"commits,omitempty"` // fsyncs of placers' stores
	Captured            []capture.Event         `json:"-"`
	Recordings          []testcluster.Recording `json:"-"`
	Verdict             rules.Verdict           `json:"-"`
}

// OK says whether no rule was broken and nothing was vetoed.
func (r *Result) OK() bool { return r.Verdict.OK() && r.Vetoes == 0 }

type player struct {
	opt    Options
	s      *scenario.Scenario
	c      *testcluster.Cluster
	log    *recorder.Recorder
	start  time.Time
	wait   sync.WaitGroup
	ctx    context.Context
	burst  atomic.Uint64 // thousandths of the usual load
	cut    atomic.Bool
	slow   atomic.Bool
	twice  atomic.Bool // planted: outcomes are told twice
	tracks mu[*hdrhistogram.Histogram]
	subs   atomic.Int64
	away   atomic.Int64
	resent atomic.Int64
	live   mu[map[string]project] // of reconnect: projects whose tasks live
}

type mu[T any] struct {
	sync.Mutex
	v T
}

type project struct {
	placer int
	text   string
	load   scenario.Load
	tasks  int
}

// Run runs a scenario to its end.
func Run(ctx context.Context, s *scenario.Scenario, opt Options) (*Result, error) {
	log := recorder.New(mostEvents)
	c, err := testcluster.Start(s, testcluster.Options{Log: opt.Log, Recorder: log, NewModule: opt.NewModule, RecordSteps: opt.RecordSteps})
	if err != nil {
		return nil, err
	}
	stopped := false
	defer func() {
		if !stopped {
			c.Stop()
		}
	}()
	if err := c.WaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	p := &player{opt: opt, s: s, c: c, log: log, start: time.Now(), ctx: ctx}
	p.burst.Store(1000)
	p.tracks.v = hdrhistogram.New(1, 120_000_000, 3)
	p.live.v = map[string]project{}
	for i := range s.Loads {
		p.wait.Add(1)
		go p.drive(s.Loads[i], uint64(i))
	}
	for i, t := range s.Faults {
		p.wait.Add(1)
		go func() {
			defer p.wait.Done()
			if p.sleep(time.Until(p.start.Add(t.At))) {
				if opt.OnFault != nil {
					opt.OnFault(t)
				}
				p.trouble(t, rand.New(rand.NewPCG(uint64(s.Seed), uint64(i))))
			}
		}()
	}
	for _, what := range s.InjectedBugs {
		if err := p.plant(what); err != nil {
			return nil, fmt.Errorf("planting %s: %w", what, err)
		}
	}
	p.wait.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	vetoes, defects, _ := c.Totals()
	c.Stop()
	stopped = true
	events, whole := log.Events()
	if !whole {
		return nil, fmt.Errorf("the day has more than %d events: a record with a hole proves nothing", mostEvents)
	}
	pace := float64(s.Host.MaxStarting) / s.Host.StartTime.Seconds()
	facts := rules.ConfigFromSettings(s.Settings, pace)
	facts.Durable = s.Durable
	v := rules.Check(events, facts)
	r := &Result{
		Rules: map[string]int{}, Vetoes: vetoes, Defects: defects, Tasks: v.Tasks, Outcomes: v.Outcomes, Submissions: int(p.subs.Load()),
		RejectedSubmissions: int(p.away.Load()), ResentSubmissions: int(p.resent.Load()), Offers: v.Offers, RejectedOffers: v.Rejected, HostIncarnations: v.HostIncarnations,
		Accounts: v.Accounts, StoreCommits: c.StoreCommits.Load(), Recordings: c.Recordings(), Faults: len(s.Faults), Events: len(events), Seconds: time.Since(p.start).Seconds(), Captured: events, Verdict: v,
		P50MS: float64(p.tracks.v.ValueAtQuantile(50)) / 1000, P99MS: float64(p.tracks.v.ValueAtQuantile(99)) / 1000,
	}
	for rule := invariant.OneAnswer; rule <= invariant.Spread; rule++ {
		r.Rules[rule.String()] = v.Counts[rule]
	}
	for _, kind := range []core.OutcomeKind{core.OutcomePlaced, core.OutcomeRejected, core.OutcomeFailed} {
		r.Outcomes[string(kind)] += 0
	}
	return r, nil
}

// sleep waits, and says whether the day still goes on.
func (p *player) sleep(d time.Duration) bool {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-p.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// ---- Load.

// drive submits a load's projects at exponential intervals.
func (p *player) drive(l scenario.Load, n uint64) {
	defer p.wait.Done()
	rng := rand.New(rand.NewPCG(uint64(p.s.Seed)*7919, n))
	if !p.sleep(l.From) {
		return
	}
	for i := 0; time.Since(p.start) < min(l.To, p.s.Length); i++ {
		rate := l.Rate * float64(p.burst.Load()) / 1000
		if !p.sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
			return
		}
		text, tasks := describe(rng, &l)
		name := fmt.Sprintf("%s-%d", l.Name, i)
		placer := rng.IntN(p.c.PlacerCount())
		p.wait.Add(1)
		go func() {
			defer p.wait.Done()
			p.submit(placer, name, project{placer, text, l, tasks}, 0)
		}()
	}
}

func between(rng *rand.Rand, r [2]float64) float64 { return r[0] + rng.Float64()*(r[1]-r[0]) }

// describe writes a Compose description of one service.
func describe(rng *rand.Rand, l *scenario.Load) (text string, tasks int) {
	tasks = l.Replicas[0] + rng.IntN(l.Replicas[1]-l.Replicas[0]+1)
	life := l.TaskDuration[0] + time.Duration(rng.Float64()*float64(l.TaskDuration[1]-l.TaskDuration[0]))
	tenant := ""
	if l.Tenant != "" {
		tenant = ", tenant: " + l.Tenant
	}
	return fmt.Sprintf(`services:
  %s:
    image: registry.example/%s:1
    restart: "no"
    x-forkhead: {class: %s, life: %dms%s}
    deploy:
      replicas: %d
      resources: {reservations: {cpus: "%.2f", memory: %dm}}
`, l.Name, l.Name, l.Class, life.Milliseconds(), tenant, tasks, between(rng, l.Cores), int(between(rng, l.Memory)*1024)), tasks
}

// submit sends a project and reads its outcomes, again under its key where a reply is lost.
func (p *player) submit(placerIndex int, name string, pr project, generation int) {
	p.subs.Add(1)
	patience := p.s.Settings.Classes[p.classOf(pr.load.Class)].Patience
	ctx, cancel := context.WithTimeout(p.ctx, 2*patience+p.s.Settle)
	defer cancel()
	slow, cutting := p.slow.Load(), p.cut.Load()
	httpClient := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err == nil && slow {
			conn = &slowConn{Conn: conn, until: time.Now().Add(2 * time.Second)}
		}
		if err == nil && cutting {
			conn = &cutConn{Conn: conn, left: 400}
		}
		return conn, err
	}}}
	if p.twice.Load() {
		httpClient.Transport = twiceOver{httpClient.Transport}
	}
	current := ""
	began := p.c.Clock.Now()
	sub := client.Client{
		Address: p.c.Settings.Placers[placerIndex].HTTP, HTTPClient: httpClient, IdempotencyKey: fmt.Sprintf("%s-%d", name, generation), MaxSends: 40, Backoff: 250 * time.Millisecond,
		OnAccepted: func(id string) {
			if current != "" {
				p.resent.Add(1)
			}
			current = id
			p.log.Add(capture.Event{At: p.c.Clock.Now(), Type: capture.Submit, Placer: placerIndex, Submission: id, Count: pr.tasks, Within: patience})
		},
		OnBrokenStream: func(id string) {
			cutting = false
			p.log.Add(capture.Event{At: p.c.Clock.Now(), Type: capture.ClientDisconnected, Submission: id})
		},
	}
	// Each life of a placer tells outcomes of its own: all that are read are recorded.
	sub.OnOutcome = func(o core.Outcome) {
		p.log.Add(capture.Event{
			At: p.c.Clock.Now(), Type: capture.Outcome, Placer: placerIndex, Submission: current,
			Name: fmt.Sprintf("%s/%d", o.Service, o.Replica), Result: string(o.Outcome), Took: time.Duration(o.TookMS) * time.Millisecond,
		})
	}
	e := &placer.Envelope{Project: name, Files: []compose.File{{Name: name + ".yaml", Text: pr.text}}}
	err := sub.Submit(ctx, e, func(o core.Outcome) {
		if o.Outcome == core.OutcomePlaced {
			p.tracks.Lock()
			// What took over two minutes is out of the histogram's range.
			_ = p.tracks.v.RecordValue(max((p.c.Clock.Now() - began).Microseconds(), 1))
			p.tracks.Unlock()
		}
	})
	if err != nil && current == "" {
		p.away.Add(1)
		return
	}
	p.live.Lock()
	p.live.v[name] = pr
	p.live.Unlock()
	time.AfterFunc(pr.load.TaskDuration[0], func() {
		p.live.Lock()
		delete(p.live.v, name)
		p.live.Unlock()
	})
}

func (p *player) classOf(name string) int {
	i, _ := p.s.Settings.Class(name)
	return i
}

// slowConn does not read for a while.
type slowConn struct {
	net.Conn
	until time.Time
}

// Read waits first.
func (c *slowConn) Read(b []byte) (int, error) {
	time.Sleep(time.Until(c.until))
	return c.Conn.Read(b)
}

// cutConn breaks after so many bytes were read.
type cutConn struct {
	net.Conn
	left int
}

var errCut = errors.New("cut by the script")

// Read ends early.
func (c *cutConn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		_ = c.Conn.Close()
		return 0, errCut
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// Write tells a result for people.
func (r *Result) Write(w io.Writer) {
	fmt.Fprintf(w, "%d tasks in %d submissions: %d placed, %d refused, %d failed; %d submissions turned away, %d sent again\n",
		r.Tasks, r.Submissions, r.Outcomes["placed"], r.Outcomes["refused"], r.Outcomes["failed"], r.RejectedSubmissions, r.ResentSubmissions)
	fmt.Fprintf(w, "%d offers reached hosts, %d refused there; %d lives of hosts; %d troubles; %d events in %.0f s\n",
		r.Offers, r.RejectedOffers, r.HostIncarnations, r.Faults, r.Events, r.Seconds)
	fmt.Fprintf(w, "placed after %.1f ms (median), %.1f ms (99 in 100)\n", r.P50MS, r.P99MS)
	a := &r.Accounts
	fmt.Fprintf(w, "of the tasks %d were told an outcome, %d lost their placer before it was due, %d were cut off and not asked for again, "+
		"%d were not due yet, %d forgotten\n", a.Answered, a.PlacerDied, a.Disconnected, a.NotDue, a.Unanswered)
	for rule := invariant.OneAnswer; rule <= invariant.Spread; rule++ {
		fmt.Fprintf(w, "rule %-10s %d breaches\n", rule, r.Rules[rule.String()])
	}
	fmt.Fprintf(w, "%d vetoes, %d defects\n", r.Vetoes, r.Defects)
	for i, b := range r.Verdict.Breaches {
		if i == 20 {
			fmt.Fprintln(w, "...")
			break
		}
		fmt.Fprintf(w, "  %v: %s\n", b.Rule, b.Text)
	}
}
