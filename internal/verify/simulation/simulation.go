// Package simulation tests a placer by deterministic simulation: it runs the placer's real core, with the real module,
// against emulated hosts on a clock of its own. Frames cross as bytes, connections break, hosts crash and stop answering,
// and all that is random is drawn from a seed, which determines a run. Tests of the core and `forkhead explore --lives` run it.
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

// Sim runs the core of one placer against emulated hosts on a clock of its own. Frames cross as bytes, in order and with
// a delay each way; what is on its way is lost with its connection. A Sim is not safe for concurrent use.
type Sim struct {
	t        TB
	Settings *settings.Settings
	Now      time.Duration // the time of the simulated clock; it starts at startTime
	timers   timerqueue.Queue[func()]

	// The placer.
	Core      *core.Core
	Epoch     uint64            // of the placer's incarnation
	Durable   bool              // the placer stores durable records, and its next incarnation restores them
	Disk      *Disk             // what was stored; nil unless Durable
	Accepted  []core.Accepted   // submissions
	Rejected  []core.Rejected   // submissions
	Offers    []Offer           // sent to hosts
	Logs      []string          // every line that the core logged
	Defects   []string          // those of Logs that are invariant violations
	Captured  []capture.Event   // the traffic of the placer, as it would be captured at its sockets
	crashed   bool              // at a crash point; RestartPlacer begins the next incarnation
	NextCrash func() CrashPoint // called at each step that has durable records; nil: the placer never crashes

	// The hosts, their list and the network.
	Hosts      map[string]*Host
	HostNames  []string                                  // in the order in which they were added
	CatalogUp  bool                                      // the endpoint list can be read
	subscribed bool                                      // the core has subscribed to the endpoint list
	Delay      time.Duration                             // of a frame, each way
	ToHost     func(host string, f hostproto.Frame) bool // called for each frame that arrives; false loses it; may be nil
	FromHost   func(host string, f hostproto.Frame) bool // the same for frames from hosts
}

const (
	startTime = time.Hour              // so that hosts may have started long ago
	warmUp    = 200 * time.Millisecond // by then all hosts are connected
)

// TB is as much of testing.TB as a Sim needs.
type TB interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// Settings returns settings of one placer with a class of each kind, to which extra adds clauses. It fails the test if the
// settings can't be parsed.
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
		t.Fatal(err)
	}
	return s.ForPlacer(0)
}

// New starts a placer and so many hosts, h0, h1, ...: the even ones small, the odd ones large, two to a rack. change, if
// any, changes the configuration of the core.
func New(t TB, set *settings.Settings, hosts int, change ...func(*core.Config)) *Sim {
	return start(&Sim{t: t, Settings: set}, hosts, change...)
}

// NewDurable is New with a placer that stores durable records and restores them when it is restarted.
func NewDurable(t TB, set *settings.Settings, hosts int) *Sim {
	return start(&Sim{t: t, Settings: set, Durable: true, Disk: NewDisk()}, hosts)
}

// start adds the hosts, starts the core and lets it connect.
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

// After calls do when d has passed on the simulated clock.
func (s *Sim) After(d time.Duration, do func()) {
	s.timers.Add(s.Now+d, do)
}

// Advance advances the clock by d and does all that is due until then.
func (s *Sim) Advance(d time.Duration) {
	end := s.Now + d
	for {
		at, do := s.nextEvent(end)
		s.Now = max(s.Now, at) // what is overdue is done now
		if do == nil {
			return
		}
		do()
	}
}

// nextEvent returns the earliest event until end, or end and nil. Of one time the timers come first, then the core, then
// the hosts. A timer of end itself is returned; the core and the hosts do what is due then when the clock advances.
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

// fireTimer does what the first timer is for.
func (s *Sim) fireTimer() {
	if do, due := s.timers.PopDue(s.Now); due {
		do()
	}
}
