// Package eventloop runs a core, which does no I/O, on one goroutine. Other goroutines post jobs; the core is stepped
// after each batch of jobs and when its next timer is due.
package eventloop

import (
	"sync"
	"time"

	"forkhead/internal/server/clock"
)

// StalledAfter is how late a loop must be for a timer for the process to count as stalled: it was stopped, or got no
// processor.
const StalledAfter = 50 * time.Millisecond

// Handling of a stalled process. A loop that is late for a timer by more than StalledAfter did not get the processor,
// and neither did the goroutines that post jobs to it. Before it steps the core, the loop pauses for up to
// maxCatchUpRounds rounds of catchUpPause, so that these goroutines can post what arrived during the stall. Otherwise
// the core's timeouts would expire before the core gets the messages that peers sent in time, and the core would take
// these peers for unresponsive.
const (
	catchUpPause     = time.Millisecond
	maxCatchUpRounds = 10
)

// Step steps the core; now is the time of the loop's clock. The loop calls Step on its goroutine after each batch of
// jobs and at the time next that the previous call returned. If that call returned false for ok, the loop calls Step
// only after further jobs.
type Step func(now time.Duration) (next time.Duration, ok bool)

// Loop runs jobs and steps the core on one goroutine. Start starts the goroutine, and Stop ends it and waits for it;
// the loop's owner calls each of them once. The other methods are safe for concurrent use.
type Loop struct {
	clock  *clock.Clock
	step   Step
	limits Limits

	wake chan struct{} // holds a token when jobs were queued or the loop was stopped
	done chan struct{} // closed when the goroutine ends

	mu      sync.Mutex // guards the fields below
	space   *sync.Cond // signaled, with mu as its lock, when the queue was emptied or stopped was set
	jobs    []func()   // queued jobs, oldest first
	bytes   int        // sum of the sizes of the jobs that are queued or that the next step handles
	taken   int        // part of bytes that the next step handles
	stopped bool
}

// Limits bounds the queue of a loop.
type Limits struct {
	Jobs  int // PostBlocking and PostBytes wait while this many jobs or more are queued
	Bytes int // PostBytes also waits while the jobs for the next step have this many bytes or more; 0: no limit
}

// New returns a loop that is not started.
func New(c *clock.Clock, limits Limits, step Step) *Loop {
	l := &Loop{clock: c, step: step, limits: limits, wake: make(chan struct{}, 1), done: make(chan struct{})}
	l.space = sync.NewCond(&l.mu)
	return l
}

// Start starts the loop's goroutine.
func (l *Loop) Start() { go l.run() }

// Post queues a job without waiting. It is meant for jobs that the loop itself causes and for those whose number is
// bounded elsewhere. After Stop it drops the job and returns false.
func (l *Loop) Post(job func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.enqueue(job)
}

// PostBlocking waits until the queue has space or the loop is stopped, and then queues a job like Post. It must not be
// called from a job, which would wait for itself.
func (l *Loop) PostBlocking(job func()) bool { return l.PostBytes(0, job) }

// PostBytes is like PostBlocking, for a job that handles size bytes from a client. It also waits while the jobs for the
// next step have the loop's maximum number of bytes, so that the time of a step is bounded however short the clients'
// messages are, and however often the loop catches up before the step.
func (l *Loop) PostBytes(size int, job func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.isFull(size) && !l.stopped {
		l.space.Wait()
	}
	l.bytes += size
	return l.enqueue(job)
}

// isFull reports whether a job with a number of bytes has to wait. The caller holds mu.
func (l *Loop) isFull(size int) bool {
	return len(l.jobs) >= l.limits.Jobs || size > 0 && l.limits.Bytes > 0 && l.bytes >= l.limits.Bytes
}

// enqueue queues a job, or drops it and returns false if the loop is stopped. The caller holds mu.
func (l *Loop) enqueue(job func()) bool {
	if l.stopped {
		return false
	}
	l.jobs = append(l.jobs, job)
	l.wakeUp()
	return true
}

// wakeUp makes the loop's goroutine check its queue. It does not wait until the goroutine has done so.
func (l *Loop) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Call runs a job on the loop and waits until it has run. It returns false if the loop stops first; the job may have
// run even then. It must not be called from a job.
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

// Stop drops the queued jobs, ends the loop after the batch that is running, and waits for its goroutine. It must not
// be called from a job, nor on a loop that was not started.
func (l *Loop) Stop() {
	l.mu.Lock()
	l.stopped = true
	l.jobs = nil
	l.space.Broadcast()
	l.mu.Unlock()
	l.wakeUp()
	<-l.done
}

// run is the body of the loop's goroutine.
func (l *Loop) run() {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	next, hasNext := time.Duration(0), false
	for {
		ran, stopped := l.runJobs()
		if !stopped && hasNext && l.clock.Now() > next+StalledAfter {
			stopped = l.catchUp(ran)
		}
		if stopped {
			return
		}
		l.releaseBytes()
		if next, hasNext = l.step(l.clock.Now()); !hasNext {
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

// catchUp pauses and runs the jobs that were posted during the pause, until a pause brings no job or maxCatchUpRounds
// is reached. The parameter ran is the number of jobs in the batch before the first pause. catchUp pauses at least
// once, even if that batch was empty.
func (l *Loop) catchUp(ran int) (stopped bool) {
	for round := 0; (ran > 0 || round == 0) && round < maxCatchUpRounds; round++ {
		time.Sleep(catchUpPause)
		if ran, stopped = l.runJobs(); stopped {
			return true
		}
	}
	return false
}

// releaseBytes makes room in the queue for as many bytes as the step that begins handles.
func (l *Loop) releaseBytes() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes -= l.taken
	l.taken = 0
	l.space.Broadcast()
}

// runJobs runs the queued jobs and returns their number, or reports that the loop is stopped.
func (l *Loop) runJobs() (ran int, stopped bool) {
	l.mu.Lock()
	jobs, stopped := l.jobs, l.stopped
	l.jobs, l.taken = nil, l.bytes
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
