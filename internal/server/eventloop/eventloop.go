// Package eventloop runs a pure core on one goroutine: jobs come from any goroutine, and the core is stepped after each
// batch of them and when its next timer is due.
package eventloop

import (
	"sync"
	"time"

	"forkhead/internal/server/clock"
)

// A loop that runs so late for a timer was stalled, and so were those that post jobs to it: it lets them post what has
// come meanwhile, in rounds, before it steps the timers that are due. It guards against a stall of our own that is taken
// for unresponsive peers.
const (
	stalledAfter     = 50 * time.Millisecond
	catchUpPause     = time.Millisecond
	maxCatchUpRounds = 10
)

// Step steps the core. It is called on the loop's goroutine after a batch of jobs, or when the time that it last
// returned has come. Times are those of the loop's clock. It returns when it wants to be called next; ok is false if only
// after further jobs.
type Step func(now time.Duration) (next time.Duration, ok bool)

// Loop is one goroutine that runs jobs and steps. Start starts it, and Stop ends it and waits for it; both are called by
// the loop's owner, each once. The other methods may be called from any goroutine.
type Loop struct {
	clock     *clock.Clock
	step      Step
	maxQueued int // jobs beyond which PostBlocking waits

	wake chan struct{} // holds a token when there is something to do
	done chan struct{} // closed when the goroutine ends

	mu      sync.Mutex
	space   *sync.Cond // on mu: jobs were taken, or stopped was set
	jobs    []func()   // queued, in their order
	stopped bool
}

// New returns a loop that Start starts. PostBlocking waits while maxQueued jobs or more are queued.
func New(c *clock.Clock, maxQueued int, step Step) *Loop {
	l := &Loop{clock: c, step: step, maxQueued: maxQueued, wake: make(chan struct{}, 1), done: make(chan struct{})}
	l.space = sync.NewCond(&l.mu)
	return l
}

// Start starts the loop's goroutine.
func (l *Loop) Start() { go l.run() }

// Post queues a job without waiting: for what the loop itself causes, and what is bounded elsewhere.
// A job posted after Stop is dropped, and false returned.
func (l *Loop) Post(job func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.enqueue(job)
}

// PostBlocking queues a job like Post, and first waits until there is space or the loop is stopped. It must not be called
// from a job, which would wait for itself.
func (l *Loop) PostBlocking(job func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.jobs) >= l.maxQueued && !l.stopped {
		l.space.Wait()
	}
	return l.enqueue(job)
}

// enqueue is called with mu held.
func (l *Loop) enqueue(job func()) bool {
	if l.stopped {
		return false
	}
	l.jobs = append(l.jobs, job)
	l.wakeUp()
	return true
}

// wakeUp makes the loop look at its queue; it doesn't wait.
func (l *Loop) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Call runs a job on the loop and waits for it. It returns false if the loop is stopped; a job that was running then may
// have run. It must not be called from a job.
func (l *Loop) Call(job func()) bool {
	ran := make(chan struct{})
	posted := l.Post(func() {
		job()
		close(ran)
	})
	if !posted {
		return false
	}
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	}
}

// Stop ends the loop after the current job and waits for its goroutine. Queued jobs are dropped. It must not be called
// from a job, nor on a loop that was not started.
func (l *Loop) Stop() {
	l.mu.Lock()
	l.stopped = true
	l.jobs = nil
	l.space.Broadcast()
	l.mu.Unlock()
	l.wakeUp()
	<-l.done
}

// run is the loop's goroutine.
func (l *Loop) run() {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	next, timed := time.Duration(0), false
	for {
		ran, stopped := l.runJobs()
		if !stopped && timed && l.clock.Now() > next+stalledAfter {
			stopped = l.catchUp(ran)
		}
		if stopped {
			return
		}
		if next, timed = l.step(l.clock.Now()); !timed {
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

// catchUp lets producers post until a round has no job; ran is how many jobs the last one had.
func (l *Loop) catchUp(ran int) (stopped bool) {
	for round := 0; (ran > 0 || round == 0) && round < maxCatchUpRounds; round++ {
		time.Sleep(catchUpPause)
		if ran, stopped = l.runJobs(); stopped {
			return true
		}
	}
	return false
}

// runJobs runs what is queued and returns how many jobs that were, or that the loop is stopped.
func (l *Loop) runJobs() (ran int, stopped bool) {
	l.mu.Lock()
	jobs, stopped := l.jobs, l.stopped
	l.jobs = nil
	l.space.Broadcast()
	l.mu.Unlock()
	if stopped {
		return 0, true
	}
	for _, job := range jobs {
		job()
	}
	return len(jobs), false
}
