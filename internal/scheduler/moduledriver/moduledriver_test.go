package moduledriver

import (
	"errors"
	"testing"
	"time"

	"forkhead"
)

// echo answers each round with one action.
func echo(rounds *int) Decide {
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

func TestDriverRunsUntilNoEventIsLeft(t *testing.T) {
	rounds := 0
	driver := newDriver(t, echo(&rounds), 0)
	driver.Add(forkhead.TimerFired{})
	err := driver.Run(time.Second, func(forkhead.Action) {
		if rounds < 3 {
			driver.Add(forkhead.TimerFired{})
		}
	})
	if err != nil || rounds != 3 {
		t.Errorf("%d rounds and error %v, want 3 and none", rounds, err)
	}
}

func TestDriverWithoutEventsDoesNotStepTheModule(t *testing.T) {
	rounds := 0
	driver := newDriver(t, echo(&rounds), 0)
	if err := driver.Run(time.Second, func(forkhead.Action) {}); err != nil || rounds != 0 {
		t.Errorf("%d rounds and error %v, want none", rounds, err)
	}
	if err := driver.RunAtLeastOnce(time.Second, func(forkhead.Action) {}); err != nil || rounds != 1 {
		t.Errorf("%d rounds and error %v, want one round", rounds, err)
	}
}

func TestDriverStopsAtTheLimitOfRounds(t *testing.T) {
	rounds := 0
	driver := newDriver(t, echo(&rounds), 4)
	driver.Add(forkhead.TimerFired{})
	err := driver.Run(time.Second, func(forkhead.Action) { driver.Add(forkhead.TimerFired{}) })
	if !errors.Is(err, ErrTooManyRounds) || rounds != 4 {
		t.Errorf("%d rounds and error %v, want 4 and ErrTooManyRounds", rounds, err)
	}
	if err := driver.Run(time.Second, func(forkhead.Action) {}); err != nil {
		t.Errorf("the events that were left are still there: %v", err)
	}
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	if _, err := New(forkhead.Settings{}, 1, nil, 0); err == nil {
		t.Error("empty settings were taken")
	}
}
