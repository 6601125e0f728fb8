// Package chaos runs chaos tests. It starts a cluster on loopback sockets, submits load to it as clients would, and
// injects the faults of a scenario at their times. The traffic on the sockets is captured, and package rules checks it
// afterwards.
//
// Run runs a scenario once, in this process. Repeat runs it many times, each time in a process of its own and with the
// next seed. It can keep the machine busy and stop the processes from time to time meanwhile.
package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"forkhead/internal/server/clock"
	"forkhead/internal/server/recorder"
	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

const (
	maxCapturedEvents = 20_000_000
	readyTimeout      = 10 * time.Second // bounds the wait until every placer is connected to all hosts
)

// Options are the options of Run.
type Options struct {
	Log         zerolog.Logger             // receives the messages of placers, and errors of undoing faults
	NewModule   testcluster.ModuleFactory  // makes a module that breaks rules, for tests; nil: the real module
	OnFault     func(fault scenario.Fault) // called when a fault begins, from several goroutines; nil: not called
	RecordSteps bool                       // whether Result.Recordings has the steps of the placers' cores
}

// runner is one run of a scenario.
type runner struct {
	ctx      context.Context
	opt      Options
	scenario *scenario.Scenario
	cluster  *testcluster.Cluster
	recorder *recorder.Recorder
	start    time.Time
	workers  sync.WaitGroup // goroutines of loads, faults and submissions

	// The fields below change during faults that concern clients and for the injected bugs of clients.
	loadPerMille      atomic.Uint64 // multiplier of the scenario's rates of submissions, in thousandths
	disconnectClients atomic.Bool   // streams of new submissions break after some bytes
	slowReaders       atomic.Bool   // clients of new submissions read late
	duplicateOutcomes atomic.Bool   // clients read the first outcome of a response twice, with different results

	submissions         atomic.Int64
	rejectedSubmissions atomic.Int64
	resentSubmissions   atomic.Int64
	latencies           latencies
	projects            projectSet
}

// Run runs a scenario to its end and checks the rules on the captured traffic. It returns an error if the cluster does
// not start, a bug cannot be injected, the context is canceled or there is too much traffic to capture. Breaches of
// rules are in the result, not in the error.
func Run(ctx context.Context, s *scenario.Scenario, opt Options) (*Result, error) {
	captured := recorder.New(maxCapturedEvents)
	cluster, err := testcluster.Start(s, testcluster.Options{
		Log: opt.Log, Recorder: captured, NewModule: opt.NewModule, RecordSteps: opt.RecordSteps,
	})
	if err != nil {
		return nil, err
	}
	stop := sync.OnceFunc(cluster.Stop)
	defer stop()
	if err := cluster.WaitReady(readyTimeout); err != nil {
		return nil, err
	}
	r := newRunner(ctx, s, opt, cluster, captured)
	if err := r.run(); err != nil {
		return nil, err
	}
	vetoes, defects := cluster.Totals()
	stop()
	events, complete := captured.Events()
	if !complete {
		return nil, fmt.Errorf("the run had more than %d events: an incomplete capture proves nothing", maxCapturedEvents)
	}
	return r.result(events, vetoes, defects), nil
}

func newRunner(
	ctx context.Context, s *scenario.Scenario, opt Options, cluster *testcluster.Cluster, captured *recorder.Recorder,
) *runner {
	r := &runner{
		ctx: ctx, opt: opt, scenario: s, cluster: cluster, recorder: captured, start: time.Now(),
		latencies: newLatencies(), projects: newProjectSet(),
	}
	r.loadPerMille.Store(normalLoadPerMille)
	return r
}

// run starts the loads and the faults, injects the bugs, and waits until all loads, faults and submissions have ended.
func (r *runner) run() error {
	for i := range r.scenario.Loads {
		r.workers.Go(func() { r.generateLoad(&r.scenario.Loads[i], uint64(i)) })
	}
	for i, fault := range r.scenario.Faults {
		r.workers.Go(func() { r.scheduleFault(fault, uint64(i)) })
	}
	for _, bug := range r.scenario.InjectedBugs {
		if err := r.injectBug(bug); err != nil {
			return fmt.Errorf("injecting bug %s: %w", bug, err)
		}
	}
	r.workers.Wait()
	return r.ctx.Err()
}

// scheduleFault injects a fault at its time. The random draws of a fault follow from the scenario's seed and the fault's
// index in the scenario.
func (r *runner) scheduleFault(fault scenario.Fault, index uint64) {
	if !r.sleep(time.Until(r.start.Add(fault.At))) {
		return
	}
	if r.opt.OnFault != nil {
		r.opt.OnFault(fault)
	}
	r.injectFault(fault, rand.New(rand.NewPCG(uint64(r.scenario.Seed), index)))
}

// sleep waits for d and returns true. If the run is canceled, it returns false without further waiting.
func (r *runner) sleep(d time.Duration) bool { return clock.Sleep(r.ctx, d) == nil }
