package consul

import (
	"slices"
	"testing"
	"time"

	"forkhead/internal/protocol/consul"
)

const testService = "forkhead-host"

// listed returns the hosts that the store answers, each with "!" if a check of it is critical, and the index.
func listed(s *Store, now time.Duration) (names []string, index uint64) {
	entries, index := s.Health(now, testService)
	for _, e := range entries {
		name := e.Node.Node
		if slices.ContainsFunc(e.Checks, func(c consul.Check) bool { return c.Status == consul.StatusCritical }) {
			name += "!"
		}
		names = append(names, name)
	}
	return names, index
}

func newTestStore(names ...string) *Store {
	s := NewStore(Policy{CriticalAfter: 2 * time.Second, DeregisterAfter: 6 * time.Second})
	for _, name := range names {
		s.Register(0, consul.Registration{Node: name, Address: "127.0.0.1", Service: &consul.Service{Service: testService}})
	}
	return s
}

func TestStoreAppliesPolicy(t *testing.T) {
	s := newTestStore("b", "a")
	for _, c := range []struct {
		at   time.Duration
		want []string
	}{
		{2*time.Second - 1, []string{"a", "b"}},
		{2 * time.Second, []string{"a!", "b!"}},
		{6*time.Second - 1, []string{"a!", "b!"}},
		{6 * time.Second, nil},
	} {
		s.Tick(c.at)
		if got, _ := listed(s, c.at); !slices.Equal(got, c.want) {
			t.Errorf("at %v: %q, want %q", c.at, got, c.want)
		}
	}
}

func TestStoreAnswersWithLag(t *testing.T) {
	s := newTestStore("a")
	_, before := listed(s, 0)
	s.SetMaintenance(10*time.Second, "a", true)
	s.SetLag(3 * time.Second)
	if got, index := listed(s, 13*time.Second-1); !slices.Equal(got, []string{"a"}) || index != before {
		t.Errorf("before the lag is over: %q with index %d, want a with %d", got, index, before)
	}
	if got, index := listed(s, 13*time.Second); !slices.Equal(got, []string{"a!"}) || index != before+1 {
		t.Errorf("after the lag: %q with index %d, want a! with %d", got, index, before+1)
	}
}

func TestStoreFreezes(t *testing.T) {
	s := newTestStore("a")
	s.SetFrozen(time.Second, true)
	s.Deregister(2*time.Second, "a")
	if got, _ := listed(s, 3*time.Second); !slices.Equal(got, []string{"a"}) {
		t.Errorf("frozen: %q, want a", got)
	}
	s.SetFrozen(3*time.Second, false)
	if got, _ := listed(s, 3*time.Second); len(got) != 0 {
		t.Errorf("no longer frozen: %q, want none", got)
	}
}
