package moduledriver

import (
	"errors"
	"testing"
	"time"

	"forkhead"
)

// oneActionPerRound returns a Decide that counts the rounds and returns one action in each.
func oneActionPerRound(rounds *int) Decide {
	return func(time.Duration, []forkhead.Event) []forkhead.Action {
		*rounds++
		return []forkhead.Action{forkhead.Subscribe{}}
	}
}

func newDriver(t *testing.T, decide Decide, maxRounds int) *Driver {
	t.Helper()
	driver, err := New(forkhead.Settings{}, 1, decide, maxRounds)
	if err != nil {
		t.Fatal(err)
	}
	return driver
}

func TestDriverRunStopsWhenNoEventsAreLeft(t *testing.T) {
	rounds := 0
	driver := newDriver(t, oneActionPerRound(&rounds), 0)
	driver.Add(forkhead.TimerFired{})
	err := driver.Run(time.Second, func(forkhead.Action) {
		if rounds < 3 {
			driver.Add(forkhead.TimerFired{})
		}
	})
	if err != nil || rounds != 3 {
		t.Errorf("Run, with events caused in rounds 1 and 2: got %d rounds and error %v, want 3 and nil", rounds, err)
	}
}

func TestDriverWithoutEventsRunsModuleOnlyInRunAtLeastOnce(t *testing.T) {
	rounds := 0
	driver := newDriver(t, oneActionPerRound(&rounds), 0)
	if err := driver.Run(time.Second, func(forkhead.Action) {}); err != nil || rounds != 0 {
		t.Errorf("Run without events: got %d rounds and error %v, want 0 and nil", rounds, err)
	}
	if err := driver.RunAtLeastOnce(time.Second, func(forkhead.Action) {}); err != nil || rounds != 1 {
		t.Errorf("RunAtLeastOnce without events: got %d rounds and error %v, want 1 and nil", rounds, err)
	}
}

func TestDriverRunStopsAtMaxRounds(t *testing.T) {
	rounds := 0
	driver := newDriver(t, oneActionPerRound(&rounds), 4)
	driver.Add(forkhead.TimerFired{})
	err := driver.Run(time.Second, func(forkhead.Action) { driver.Add(forkhead.TimerFired{}) })
	if !errors.Is(err, ErrTooManyRounds) || rounds != 4 {
		t.Errorf("Run, with an event caused in each round: got %d rounds and error %v, want 4 and %v", rounds, err, ErrTooManyRounds)
	}
	if err := driver.Run(time.Second, func(forkhead.Action) {}); err != nil {
		t.Errorf("Run after ErrTooManyRounds, which drops the events that are left: got error %v, want nil", err)
	}
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	if _, err := New(forkhead.Settings{}, 1, nil, 0); err == nil {
		t.Error("New(empty settings) = nil error, want an error")
	}
}
