// Package simulation tests a placer by deterministic simulation: it runs the placer's real core, with the real module,
// against emulated hosts on a simulated clock. Frames are transferred as bytes, connections break, and hosts crash and
// stop answering. All random choices are drawn from a seed, so the seed determines the run. The package is used by the
// tests of the core and by `forkhead explore --lives`.
package simulation

import (
	"fmt"
	"strings"
	"time"

	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/parse/settings"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/timerqueue"
)

// Sim runs the core of one placer against emulated hosts on a simulated clock. Frames are transferred as bytes, in
// order and with a delay in each direction; frames in flight are lost when their connection ends. A Sim is not safe for
// concurrent use.
type Sim struct {
	t        TB
	Settings *settings.Settings
	Now      time.Duration // time of the simulated clock, which starts at startTime
	timers   timerqueue.Queue[func()]

	// Fields of the placer.
	Core      *core.Core
	Epoch     uint64            // epoch of the placer's current incarnation
	Durable   bool              // the placer stores durable records and restores them after a restart
	Disk      *Disk             // the placer's store; nil unless Durable
	Accepted  []core.Accepted   // answers to the accepted submissions
	Rejected  []core.Rejected   // answers to the rejected submissions
	Offers    []Offer           // offers that were sent to hosts
	Logs      []string          // texts of all messages that the core logged
	Defects   []string          // texts of the logged invariant violations, which are in Logs too
	Captured  []capture.Event   // the placer's traffic, as a capture at its sockets would show it
	crashed   bool              // the placer crashed at a crash point and was not restarted yet
	NextCrash func() CrashPoint // called in each step with durable records; if nil, the placer never crashes

	// Fields of the hosts, the endpoint list and the network.
	Hosts      map[string]*Host
	HostNames  []string                                  // names in the order in which the hosts were added
	CatalogUp  bool                                      // the endpoint list can be read
	subscribed bool                                      // the core has subscribed to the endpoint list
	Delay      time.Duration                             // network delay in each direction
	ToHost     func(host string, f hostproto.Frame) bool // if not nil, called for each arriving frame; false: drop the frame
	FromHost   func(host string, f hostproto.Frame) bool // like ToHost, for frames from hosts that reach the placer
}

const (
	startTime = time.Hour              // not 0, so that hosts can have started long before
	warmUp    = 200 * time.Millisecond // time in which the placer connects to all hosts
)

// TB is the subset of testing.TB that a Sim uses. It is implemented outside tests too (see CheckRandom).
type TB interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// Settings returns the settings of a single placer with classes of each effect. The parameter extra has further
// clauses. Settings fails the test if the text cannot be parsed.
func Settings(t TB, extra string) *settings.Settings {
	t.Helper()
	text := `(forkhead (placer (zone a) (http "127.0.0.1:1") (tell "127.0.0.1:2"))
	  (kind small (cores 8) (memory 16GiB)) (kind large (cores 32) (memory 64GiB))
	  (class web (effect safe) (wait 2s) (patience 6s))
	  (class keyed (effect keyed) (window 8s) (wait 2s) (patience 6s))
	  (class cell (effect keyed) (group rack) (window 8s) (wait 2s) (patience 6s))
	  (class ledger (effect unsafe) (wait 2s) (patience 20s))
	  (class batch (effect safe) (kind large) (spread rack 2) (wait 2s) (patience 4s) (priority 1))
	  (tenant courts (share 0.5))
	  (links (lost-after 2s)) (bound running) ` + extra + `)`
	if !strings.Contains(extra, "(owner") {
		text = text[:len(text)-1] + "(owner (first 200ms) (wait 1s)))"
	}
	s, err := settings.Parse("test", []byte(text))
	if err != nil {
		t.Fatalf("settings.Parse(%s): %v", text, err)
	}
	return s.ForPlacer(0)
}

// New starts a placer and the given number of hosts, h0, h1, ... Even hosts are small and odd ones large; a rack holds
// two hosts. The given functions first modify the core's configuration.
func New(t TB, set *settings.Settings, hosts int, change ...func(*core.Config)) *Sim {
	return start(&Sim{t: t, Settings: set}, hosts, change...)
}

// NewDurable is like New, with a placer that stores durable records and restores them after a restart.
func NewDurable(t TB, set *settings.Settings, hosts int) *Sim {
	return start(&Sim{t: t, Settings: set, Durable: true, Disk: NewDisk()}, hosts)
}

// start adds the hosts, starts the core and advances the clock by warmUp, in which the core connects to the hosts.
func start(s *Sim, hosts int, change ...func(*core.Config)) *Sim {
	s.Now, s.Delay, s.Epoch = startTime, time.Millisecond, 1
	s.Hosts, s.CatalogUp = map[string]*Host{}, true
	for i := range hosts {
		machineType, cores, memory := "small", 8., 16.
		if i%2 == 1 {
			machineType, cores, memory = "large", 32, 64
		}
		s.AddHost(hostmodel.DefaultConfig(fmt.Sprintf("h%d", i), machineType, "a", fmt.Sprintf("r%d", i/2), cores, memory))
	}
	s.startCore(change...)
	s.Advance(warmUp)
	return s
}

// After calls a function when the simulated clock has advanced by d.
func (s *Sim) After(d time.Duration, do func()) {
	s.timers.Add(s.Now+d, do)
}

// Advance advances the clock by d and runs all events that are due until then.
func (s *Sim) Advance(d time.Duration) {
	end := s.Now + d
	for {
		at, do := s.nextEvent(end)
		s.Now = max(s.Now, at) // the clock must not go back to the time of an overdue event
		if do == nil {
			return
		}
		do()
	}
}

// nextEvent returns the time and function of the earliest event that is due until end, or end and nil if there is none.
// Of events at the same time, timers come first, then the core, then the hosts. Timers that are due at end itself are
// included; events of the core and the hosts at end are not, and run when the clock next advances.
func (s *Sim) nextEvent(end time.Duration) (at time.Duration, do func()) {
	at = end
	if due, ok := s.timers.Next(); ok && due <= at {
		at, do = due, s.fireTimer
	}
	if due, ok := s.Core.Next(); ok && due < at {
		at, do = due, func() { s.Step() }
	}
	for _, name := range s.HostNames {
		model := s.Hosts[name].Model
		if due, ok := model.Next(); ok && due < at {
			at, do = due, func() { s.ExecuteHostOutputs(name, model.Step(s.Now)) }
		}
	}
	return at, do
}

// fireTimer calls the function of the first timer if it is due.
func (s *Sim) fireTimer() {
	if do, due := s.timers.PopDue(s.Now); due {
		do()
	}
}
