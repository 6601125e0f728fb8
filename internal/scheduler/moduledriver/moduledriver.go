// Package moduledriver drives the module for a core: it collects the events of a step and lets the module decide on
// them until there are none left. It is pure.
package moduledriver

import (
	"errors"
	"time"

	"forkhead"
)

// ErrTooManyRounds means that the actions of the module kept causing events at one moment. The events that were left
// are dropped.
var ErrTooManyRounds = errors.New("the module was asked too often at one moment")

// NoRoundLimit as the maxRounds of New lets a step run the module until it causes no more events.
const NoRoundLimit = 0

// Decide takes the events of one moment in order and returns the module's actions in order.
type Decide func(now time.Duration, events []forkhead.Event) []forkhead.Action

// Driver holds the events that the module has not seen yet. It is not safe for concurrent use.
type Driver struct {
	decide    Decide
	maxRounds int // or NoRoundLimit
	events    []forkhead.Event
}

// New returns a driver of a new module, or an error that names the setting that it cannot use. A decide that is not
// nil replaces the module, for tests. A step runs the module at most maxRounds times, or NoRoundLimit.
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

// Run hands the module its events until none are left: some actions cause further events at once. Each action is
// executed in order. It returns ErrTooManyRounds when the limit of rounds is reached.
func (d *Driver) Run(now time.Duration, execute func(forkhead.Action)) error {
	for round := 0; len(d.events) > 0; round++ {
		if d.maxRounds != NoRoundLimit && round >= d.maxRounds {
			d.events = nil
			return ErrTooManyRounds
		}
		d.round(now, execute)
	}
	return nil
}

// RunAtLeastOnce is Run, but the module decides once even when there are no events: its first step begins to poll.
func (d *Driver) RunAtLeastOnce(now time.Duration, execute func(forkhead.Action)) error {
	if len(d.events) == 0 {
		d.round(now, execute)
	}
	return d.Run(now, execute)
}

func (d *Driver) round(now time.Duration, execute func(forkhead.Action)) {
	events := d.events
	d.events = nil
	for _, action := range d.decide(now, events) {
		execute(action)
	}
}
