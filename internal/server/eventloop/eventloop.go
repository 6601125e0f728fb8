// Package eventloop runs a pure core on one goroutine: jobs come from any goroutine, and the core is
// stepped after each batch of them and when its next timer is due.
package eventloop

import (
	"sync"
	"time"

	"forkhead/internal/server/clock"
)

// A loop that is called on so late for a timer stood still, and so did those that bring it jobs: it lets them bring what
// has come meanwhile, in rounds, before the timers that are due. It guards against a stall of our own that is taken for
// the silence of others.
const (
	lateAfter   = 50 * time.Millisecond
	catchUp     = time.Millisecond
	catchUpMost = 10
)

// Step is called on the loop's goroutine after a batch of jobs, or when the time that it last
// returned has come. It returns when it wants to be called next; ok is false for not at all.
type Step func(now time.Duration) (next time.Duration, ok bool)

// Loop is one such goroutine.
type Loop struct {
	clock *clock.Clock
	step  Step
	most  int

	mu    sync.Mutex
	space *sync.Cond
	jobs  []func()
	ended bool
	wake  chan struct{}
	done  chan struct{}
}

// New returns a loop that Start sets going. Producers that wait are held back while most jobs
// are queued.
func New(c *clock.Clock, most int, step Step) *Loop {
	l := &Loop{clock: c, step: step, most: most, wake: make(chan struct{}, 1), done: make(chan struct{})}
	l.space = sync.NewCond(&l.mu)
	return l
}

// Start sets the loop going, once.
func (l *Loop) Start() { go l.run() }

// Post queues a job without waiting: for what the loop itself causes, and what is bounded elsewhere.
// A job queued after Stop is dropped, and false returned.
func (l *Loop) Post(job func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.put(job)
}

// PostBlocking queues a job, and first waits until there is space. It must not be called from a job.
func (l *Loop) PostBlocking(job func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.jobs) >= l.most && !l.ended {
		l.space.Wait()
	}
	return l.put(job)
}

func (l *Loop) put(job func()) bool {
	if l.ended {
		return false
	}
	l.jobs = append(l.jobs, job)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// Call runs a job on the loop and waits for it. It returns false if the loop has ended.
func (l *Loop) Call(job func()) bool {
	ran := make(chan struct{})
	if !l.Post(func() { job(); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	}
}

// Stop ends the loop after the job in hand and waits for it. Queued jobs are dropped.
func (l *Loop) Stop() {
	l.mu.Lock()
	l.ended = true
	l.jobs = nil
	l.space.Broadcast()
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	<-l.done
}

func (l *Loop) run() {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	next, ok := time.Duration(0), false
	for {
		ran, ended := l.runJobs()
		late := ok && l.clock.Now() > next+lateAfter
		for round := 0; late && !ended && (ran > 0 || round == 0) && round < catchUpMost; round++ {
			time.Sleep(catchUp)
			ran, ended = l.runJobs()
		}
		if ended {
			return
		}
		if next, ok = l.step(l.clock.Now()); !ok {
			<-l.wake
			continue
		}
		timer.Reset(l.clock.Until(next))
		select {
		case <-l.wake:
		case <-timer.C:
		}
	}
}

// runJobs runs what is queued and returns how many jobs that were.
func (l *Loop) runJobs() (ran int, ended bool) {
	l.mu.Lock()
	jobs, ended := l.jobs, l.ended
	l.jobs = nil
	l.space.Broadcast()
	l.mu.Unlock()
	if ended {
		return 0, true
	}
	for _, job := range jobs {
		job()
	}
	return len(jobs), false
}
