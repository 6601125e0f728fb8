package forkhead

import "time"

// timerPurpose is what a timer is for. A timer's number carries it in the upper half; the lower half is the
// number of a task, a machine or a poll.
type timerPurpose uint32

const (
	timerDeadline timerPurpose = iota + 1 // of a task
	timerAttempt                          // of a task's attempt without an answer
	timerRetry                            // of the queue
	timerPoll                             // of the list
	timerSuspect                          // of a machine
)

const timerPurposeShift = 32

// timerNumber is the number of the timer of that purpose for a task, a machine or a poll.
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

// jitter spreads placers that would all act at one moment: it returns from half of the duration up to all
// of it.
func (p *Placer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + p.rng.Float64()/2))
}
