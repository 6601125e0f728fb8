package forkhead

import "time"

// timerPurpose is the purpose of a timer. It is the upper half of the timer's number; the lower half is the
// number of a task, a machine or a poll.
type timerPurpose uint32

const (
	timerDeadline timerPurpose = iota + 1 // a task's final answer is due
	timerAttempt                          // an attempt has no answer yet
	timerRetry                            // the queued tasks are retried
	timerPoll                             // the list is polled
	timerSuspect                          // a suspect machine is probed again
)

const timerPurposeShift = 32

// timerNumber returns the number of the timer with the purpose for a task, a machine or a poll.
func timerNumber(purpose timerPurpose, id uint32) uint64 {
	return uint64(purpose)<<timerPurposeShift | uint64(id)
}

func (p *Placer) setTimer(purpose timerPurpose, id uint32, after time.Duration) {
	p.emit(SetTimer{Timer: timerNumber(purpose, id), At: p.now + after})
}

func (p *Placer) handleTimer(timer uint64) {
	id := uint32(timer)
	switch timerPurpose(timer >> timerPurposeShift) {
	case timerDeadline:
		if t := p.tasks[TaskID(id)]; t != nil {
			p.finish(t)
		}
	case timerAttempt:
		if t := p.tasks[TaskID(id)]; t != nil {
			p.checkAttempt(t)
		}
	case timerRetry:
		p.retryTimerSet, p.capacityChanged = false, true
	case timerPoll:
		if id == p.listPolling.currentTimer && p.listPolling.awaitingReply {
			p.poll()
		}
	case timerSuspect:
		if m := p.machines[MachineID(id)]; m != nil && m.failures > 0 {
			p.probe(m)
		}
	}
}

// jitter returns a random duration from half of d up to d, so that placers don't all act at the same moment.
func (p *Placer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + p.rng.Float64()/2))
}
