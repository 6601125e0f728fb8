package platform

import (
	"time"

	platformcore "forkhead/internal/scheduler/platform"
	"forkhead/internal/server/eventloop"
)

// backlogTime is the time after a stall within which the bytes that came during the stall are read.
const backlogTime = 100 * time.Millisecond

// stallDetector finds out that the process did not run for some time. What peers sent meanwhile waited in the sockets.
// It is used by the event loop's goroutine only.
type stallDetector struct {
	lastStepAt time.Duration
	nextStepAt time.Duration // time at which the next step was due; 0: began was not called
	stalledAt  time.Duration // latest time at which the process is known to have run before its last stall
	resumedAt  time.Duration // time of the first step after the last stall; 0: there was none
}

// began records that owners may connect from now on. The first step is due at once.
func (d *stallDetector) began(now time.Duration) { d.stepped(now, now) }

// observe records a step.
func (d *stallDetector) observe(now time.Duration) {
	if d.nextStepAt > 0 && now > d.nextStepAt+eventloop.StalledAfter {
		d.stalledAt, d.resumedAt = d.lastStepAt, now
	}
}

// stepped records the time at which the step that was observed last wants the next one.
func (d *stallDetector) stepped(now, next time.Duration) { d.lastStepAt, d.nextStepAt = now, next }

// age returns how long bytes that were just read may have waited because of a stall.
func (d *stallDetector) age(now time.Duration) time.Duration {
	if d.resumedAt == 0 || now > d.resumedAt+backlogTime {
		return 0
	}
	return now - d.stalledAt
}

// setAges sets the age of the owners' data among the inputs of a step.
func (d *stallDetector) setAges(now time.Duration, inputs []platformcore.Input) {
	age := d.age(now)
	if age == 0 {
		return
	}
	for i, input := range inputs {
		if data, ok := input.(platformcore.OwnerData); ok {
			data.Age = age
			inputs[i] = data
		}
	}
}
