package nodechaos

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	emulator "forkhead/internal/emulator/platform"
	"forkhead/internal/emulator/platformmodel"
	"forkhead/internal/server/clock"
	"forkhead/internal/verify/noderules"
)

// Options are the options of Run.
type Options struct {
	Command []string // program and arguments that run `forkhead node`
	Env     []string // variables, as KEY=VALUE, in addition to those of this process
	Folder  string   // existing folder for the configurations and logs of the placers
}

// minKillDelay is the time from SIGTERM until a placer may be killed, beyond the longest timeout of a request.
const minKillDelay = 700 * time.Millisecond

// run is the state of a run.
type run struct {
	plan      *Plan
	emulator  *emulator.Server
	processes []*process

	mu        sync.Mutex // guards the fields below
	stalls    []noderules.Stall
	shutdowns []noderules.Shutdown
	err       error
}

// Run plays a plan and checks the rules. It returns an error if the run was not valid: a process did not start, or the
// emulators could not apply a fault.
func Run(ctx context.Context, plan *Plan, options Options) (*Result, error) {
	cfg := plan.emulatorConfig()
	server, err := emulator.Start(cfg)
	if err != nil {
		return nil, err
	}
	defer server.Stop()
	r := &run{plan: plan, emulator: server}
	defer r.killAll()
	if err := r.startAll(options); err != nil {
		return nil, err
	}
	server.Begin()
	begin := time.Now()
	if err := r.play(ctx, begin); err != nil {
		return nil, err
	}
	if err := server.Err(); err != nil {
		return nil, err
	}
	journal := server.Journal()
	if journal.Dropped > 0 {
		return nil, fmt.Errorf("the journal has no space for %d records", journal.Dropped)
	}
	return r.result(&cfg, server.Requests(), &journal), nil
}

func (r *run) startAll(options Options) error {
	if err := os.MkdirAll(options.Folder, 0o700); err != nil {
		return err
	}
	for placer := range r.plan.Placers {
		p, err := newProcess(&options, placer)
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
		if err := r.start(p); err != nil {
			return err
		}
	}
	return nil
}

// start starts a placer and tells the emulated owners.
func (r *run) start(p *process) error {
	if err := p.start(r.plan, r.emulator); err != nil {
		return err
	}
	r.emulator.PlacerStarted(p.placer, p.address)
	return nil
}

func (r *run) killAll() {
	for _, p := range r.processes {
		p.kill()
	}
}

// play sends the signals of the plan and waits for its end. Signals to different placers do not wait for each other.
func (r *run) play(ctx context.Context, begin time.Time) error {
	crowdContext, endCrowd := context.WithCancel(ctx)
	var crowd sync.WaitGroup
	crowd.Go(func() { r.playCrowd(crowdContext, begin) })
	defer crowd.Wait()
	defer endCrowd()
	var placers sync.WaitGroup
	for _, p := range r.processes {
		placers.Go(func() { r.fail(r.playSignals(ctx, p, begin)) })
	}
	err := sleepUntil(ctx, begin.Add(r.plan.Length))
	placers.Wait()
	if err != nil {
		return err
	}
	return r.err
}

// fail records the first error of a run.
func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

// playSignals sends the signals to one placer in the order of their times.
func (r *run) playSignals(ctx context.Context, p *process, begin time.Time) error {
	signals := slices.Clone(r.plan.Signals)
	slices.SortStableFunc(signals, func(a, b Signal) int { return int(a.At - b.At) })
	for _, s := range signals {
		if s.Placer != p.placer {
			continue
		}
		if err := sleepUntil(ctx, begin.Add(s.At)); err != nil {
			return err
		}
		if err := r.send(ctx, p, &s); err != nil {
			return err
		}
	}
	return nil
}

// send sends a signal and those that follow it, and restarts the placer if they end it.
func (r *run) send(ctx context.Context, p *process, s *Signal) error {
	from := r.emulator.Now()
	requestedAt, err := r.sendSeries(ctx, p, s)
	if err != nil {
		return err
	}
	switch {
	case s.Signal == syscall.SIGKILL:
		p.kill()
		return r.startAgain(ctx, p, s, from)
	case s.requestsShutdown():
		r.awaitShutdown(p, requestedAt)
		return r.startAgain(ctx, p, s, r.emulator.Now())
	case s.Signal == syscall.SIGSTOP:
		if err := clock.Sleep(ctx, s.RestartDelay); err != nil {
			return err
		}
		if err := p.signal(syscall.SIGCONT); err != nil {
			return err
		}
		r.addStall(p, from)
	}
	return nil
}

// sendSeries sends a signal and those that follow it. It returns the time of the first that requests a shutdown.
func (r *run) sendSeries(ctx context.Context, p *process, s *Signal) (requestedAt time.Duration, err error) {
	for i, signal := range append([]syscall.Signal{s.Signal}, s.Then...) {
		if i > 0 {
			if err := clock.Sleep(ctx, s.Interval); err != nil {
				return 0, err
			}
		}
		if signal == syscall.SIGTERM && requestedAt == 0 {
			requestedAt = r.emulator.Now()
		}
		if err := p.signal(signal); err != nil {
			return 0, err
		}
	}
	return requestedAt, nil
}

// awaitShutdown waits until a process has ended after SIGTERM, and kills it at the earliest time at which the platform
// may do so.
func (r *run) awaitShutdown(p *process, requestedAt time.Duration) {
	killed := false
	select {
	case <-p.exited:
	case <-time.After(requestedAt + requestTimeout + minKillDelay - r.emulator.Now()):
		killed = true
		p.kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shutdowns = append(r.shutdowns, noderules.Shutdown{
		Placer: p.placer, RequestedAt: requestedAt, EndedAt: r.emulator.Now(), Killed: killed,
	})
}

// startAgain starts a placer whose process has ended. It records that the placer could not act from a time until now.
func (r *run) startAgain(ctx context.Context, p *process, s *Signal, from time.Duration) error {
	r.emulator.PlacerStopped(p.placer)
	if err := clock.Sleep(ctx, s.RestartDelay); err != nil {
		return err
	}
	if err := r.start(p); err != nil {
		return err
	}
	r.addStall(p, from)
	return nil
}

// addStall records that a placer could not act from a time until now.
func (r *run) addStall(p *process, from time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalls = append(r.stalls, noderules.Stall{Placer: p.placer, From: from, To: r.emulator.Now()})
}

// result checks the rules.
func (r *run) result(cfg *platformmodel.Config, reports [][]platformmodel.RequestReport, journal *platformmodel.Journal) *Result {
	check := noderules.Config{
		Platform: cfg, DrainGrace: drainGrace, SlowStartDuration: slowStartDuration, SlowStartWindow: slowStartWindow,
		SlowStartMaxOffers: slowStartOffers, Stalls: r.stalls, Shutdowns: r.shutdowns,
	}
	for i := range classCount {
		check.Classes = append(check.Classes, noderules.Class{Effect: classEffects[i], SpreadDomain: spreadDomain, MaxPerDomain: maxPerRack})
	}
	result := &Result{Plan: *r.plan, Breaches: noderules.Check(&check, reports, journal)}
	result.count(reports, journal)
	return result
}

func sleepUntil(ctx context.Context, at time.Time) error { return clock.Sleep(ctx, time.Until(at)) }
