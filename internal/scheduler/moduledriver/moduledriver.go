// Package moduledriver runs the module for a core: it collects the events of a step and lets the module decide on them
// until none are left. The package is pure.
package moduledriver

import (
	"errors"
	"time"

	"forkhead"
)

// ErrTooManyRounds means that the module's actions still caused events after the maximum number of rounds in one Run.
// The events that were left are dropped.
var ErrTooManyRounds = errors.New("the module's actions still caused events after the maximum number of rounds")

// NoRoundLimit is the maxRounds with which Run runs the module until its actions cause no more events.
const NoRoundLimit = 0

// Decide takes the events of one moment, in order, and returns the module's actions, in order.
type Decide func(now time.Duration, events []forkhead.Event) []forkhead.Action

// Driver holds the events that the module has not received yet, and runs the module on them. It is not safe for
// concurrent use.
type Driver struct {
	decide    Decide
	maxRounds int // limit for one Run, or NoRoundLimit
	events    []forkhead.Event
}

// New returns a driver for a new module, or an error that names the setting that the module rejects. If the parameter
// decide is not nil, it replaces the module; this is for tests. The parameter maxRounds limits how often one Run runs
// the module, unless it is NoRoundLimit.
func New(settings forkhead.Settings, seed uint64, decide Decide, maxRounds int) (*Driver, error) {
	if decide == nil {
		module, err := forkhead.New(settings, seed)
		if err != nil {
			return nil, err
		}
		decide = module.Step
	}
	return &Driver{decide: decide, maxRounds: maxRounds}, nil
}

// Add queues an event for the module.
func (d *Driver) Add(event forkhead.Event) { d.events = append(d.events, event) }

// Run passes the queued events to the module and executes its actions in order, in rounds until no events are left,
// since some actions cause further events at once. It returns ErrTooManyRounds if events are left after maxRounds
// rounds.
func (d *Driver) Run(now time.Duration, execute func(forkhead.Action)) error {
	for round := 0; len(d.events) > 0; round++ {
		if d.maxRounds != NoRoundLimit && round >= d.maxRounds {
			d.events = nil
			return ErrTooManyRounds
		}
		d.runRound(now, execute)
	}
	return nil
}

// RunAtLeastOnce is like Run, but runs the module once even if there are no events. The module needs that in its first
// step, in which it starts to poll the endpoint list.
func (d *Driver) RunAtLeastOnce(now time.Duration, execute func(forkhead.Action)) error {
	if len(d.events) == 0 {
		d.runRound(now, execute)
	}
	return d.Run(now, execute)
}

// runRound runs the module once, on the queued events.
func (d *Driver) runRound(now time.Duration, execute func(forkhead.Action)) {
	events := d.events
	d.events = nil
	for _, action := range d.decide(now, events) {
		execute(action)
	}
}
