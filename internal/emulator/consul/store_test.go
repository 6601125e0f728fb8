package consul

import (
	"slices"
	"testing"
	"time"

	"forkhead/internal/protocol/consul"
)

const testService = "forkhead-host"

// listedHosts returns the names of the hosts in the store's answer, with the suffix "!" where a check is critical, and
// the answer's index.
func listedHosts(s *Store, now time.Duration) (names []string, index uint64) {
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

// newTestStore returns a store in which hosts with the given names registered at time 0. Their checks are critical
// after 2 s, and they are deregistered after 6 s.
func newTestStore(names ...string) *Store {
	s := NewStore(Policy{CriticalAfter: 2 * time.Second, DeregisterAfter: 6 * time.Second})
	for _, name := range names {
		s.Register(0, consul.Registration{Node: name, Address: "127.0.0.1", Service: &consul.Service{Service: testService}})
	}
	return s
}

func TestStoreTickAppliesPolicyToHostsThatNoLongerRegister(t *testing.T) {
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
		if got, _ := listedHosts(s, c.at); !slices.Equal(got, c.want) {
			t.Errorf("Health after Tick(%v) = hosts %q, want %q", c.at, got, c.want)
		}
	}
}

func TestStoreHealthReturnsOldVersionDuringLag(t *testing.T) {
	s := newTestStore("a")
	_, before := listedHosts(s, 0)
	s.SetMaintenance(10*time.Second, "a", true)
	s.SetLag(3 * time.Second)
	if got, index := listedHosts(s, 13*time.Second-1); !slices.Equal(got, []string{"a"}) || index != before {
		t.Errorf("Health less than the lag after SetMaintenance(a) = hosts %q, index %d, want %q, %d", got, index, []string{"a"}, before)
	}
	if got, index := listedHosts(s, 13*time.Second); !slices.Equal(got, []string{"a!"}) || index != before+1 {
		t.Errorf("Health a full lag after SetMaintenance(a) = hosts %q, index %d, want %q, %d", got, index, []string{"a!"}, before+1)
	}
}

func TestStoreHealthReturnsSameVersionWhileFrozen(t *testing.T) {
	s := newTestStore("a")
	s.SetFrozen(time.Second, true)
	s.Deregister(2*time.Second, "a")
	if got, _ := listedHosts(s, 3*time.Second); !slices.Equal(got, []string{"a"}) {
		t.Errorf("Health of a frozen store after Deregister(a) = hosts %q, want %q", got, []string{"a"})
	}
	s.SetFrozen(3*time.Second, false)
	if got, _ := listedHosts(s, 3*time.Second); len(got) != 0 {
		t.Errorf("Health after Deregister(a) and SetFrozen(false) = hosts %q, want none", got)
	}
}
