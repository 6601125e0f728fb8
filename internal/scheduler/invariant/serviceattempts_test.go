package invariant

import (
	"slices"
	"testing"
)

type testAttempt struct{ host *Host }

func (a *testAttempt) InvariantHost() *Host { return a.host }

func TestServiceAttemptsHostsAreInOrderOfAdd(t *testing.T) {
	first, second, third := &testAttempt{&Host{ID: 1}}, &testAttempt{&Host{ID: 2}}, &testAttempt{&Host{ID: 1}}
	attempts := ServiceAttempts[*testAttempt]{}
	attempts.Add(7, first)
	attempts.Add(7, second)
	attempts.Add(7, third)
	attempts.Add(8, second)

	got := slices.Collect(attempts.Hosts(7, nil))
	if want := []*Host{first.host, second.host, third.host}; !slices.Equal(got, want) {
		t.Errorf("Hosts(7, nil) = %v, want %v", got, want)
	}
	got = slices.Collect(attempts.Hosts(7, second))
	if want := []*Host{first.host, third.host}; !slices.Equal(got, want) {
		t.Errorf("Hosts(7, second) = %v, want %v", got, want)
	}
}

func TestServiceAttemptsRemoveDeletesEmptyServices(t *testing.T) {
	a, b := &testAttempt{&Host{}}, &testAttempt{&Host{}}
	attempts := ServiceAttempts[*testAttempt]{}
	attempts.Add(7, a)
	attempts.Add(7, b)
	attempts.Remove(7, a)
	if n := len(attempts[7]); n != 1 {
		t.Errorf("got %d attempts of service 7 after Remove of one of two, want 1", n)
	}
	attempts.Remove(7, b)
	attempts.Remove(8, b)
	if len(attempts) != 0 {
		t.Errorf("got entries %v after Remove of all attempts, want none", attempts)
	}
}
