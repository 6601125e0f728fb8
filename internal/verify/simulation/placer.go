package simulation

import (
	"maps"
	"slices"
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/durable"
	"forkhead/internal/verify/replay"
)

// CrashPoint is the point of a step with durable records at which the placer crashes.
type CrashPoint uint8

// The crash points.
const (
	NoCrash          CrashPoint = iota // the placer does not crash
	BeforeCommit                       // no record of the step is stored and no output is executed
	AfterCommit                        // the records are stored and no output is executed
	AfterHalfOutputs                   // the records are stored and the first half of the outputs is executed
)

// Offer is an offer that the core has sent to a host.
type Offer struct {
	At    time.Duration
	Host  string
	Offer hostproto.Offer
}

// coreSeed is the seed of every core. Together with the epoch of the placer's incarnation it determines the core's
// random choices.
const coreSeed = 7

// startCore starts an incarnation of the placer. The given functions first modify the core's configuration.
func (s *Sim) startCore(change ...func(*core.Config)) {
	cfg := core.Config{Settings: s.Settings, Seed: coreSeed, Epoch: s.Epoch, Durable: s.Durable}
	for _, c := range change {
		c(&cfg)
	}
	s.Core, s.subscribed, s.crashed = s.newCore(cfg), false, false
	if s.Durable {
		s.Step(core.Restore{Snapshot: s.Disk.Snapshot()})
		return
	}
	s.Step()
}

// newCore returns a new core. It fails the test if the configuration is invalid.
func (s *Sim) newCore(cfg core.Config) *core.Core {
	c, err := core.New(cfg)
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// RestartPlacer kills the placer, which ends all its connections, and starts its next incarnation.
func (s *Sim) RestartPlacer() {
	for _, name := range s.HostNames {
		h := s.Hosts[name]
		h.connGeneration++
		for _, conn := range slices.Sorted(maps.Keys(h.conns)) {
			s.ExecuteHostOutputs(name, h.Model.ConnectionClosed(s.Now, s.connID(conn)))
		}
		h.conns = map[uint32]bool{}
	}
	s.Epoch++
	s.startCore()
}

// Crashed reports whether the placer has crashed at a crash point and has not been restarted by RestartPlacer.
func (s *Sim) Crashed() bool { return s.crashed }

// Step passes inputs to the core, stores the durable records of the step and executes its outputs. If NextCrash returns
// a crash point, Step stops there and the placer is crashed. After a crash, Step does nothing until RestartPlacer is
// called.
func (s *Sim) Step(in ...core.Input) {
	if s.crashed {
		return
	}
	records, out := splitRecords(s.Core.Step(s.Now, in...))
	crash := NoCrash
	if len(records) > 0 && s.NextCrash != nil {
		crash = s.NextCrash()
	}
	if len(records) > 0 && crash != BeforeCommit {
		s.Disk.Persist(records)
	}
	switch crash {
	case BeforeCommit, AfterCommit:
		out = nil
	case AfterHalfOutputs:
		out = out[:len(out)/2]
	}
	base := capture.Event{AtPlacer: true, Placer: s.Settings.Module.Self, PlacerEpoch: s.Epoch}
	s.Captured = append(s.Captured, replay.CaptureEvents(base, s.Now, 0, in, out)...)
	for _, o := range out {
		s.execute(o)
	}
	if crash != NoCrash {
		s.crash()
	}
}

// splitRecords separates the durable records among the outputs of a step from the other outputs.
func splitRecords(out []core.Output) (records []durable.Record, others []core.Output) {
	for _, o := range out {
		if p, ok := o.(core.Persist); ok {
			records = append(records, p.Record)
		} else {
			others = append(others, o)
		}
	}
	return records, others
}

// crash ends the current incarnation. The next incarnation cannot start here, because callers may still be executing
// outputs of the current one. Until RestartPlacer starts the next incarnation, Core is a new core without inputs, which
// Step does not run.
func (s *Sim) crash() {
	s.crashed = true
	s.Core = s.newCore(core.Config{Settings: s.Settings, Seed: coreSeed, Epoch: s.Epoch})
}

// execute executes an output of the core.
func (s *Sim) execute(o core.Output) {
	switch o := o.(type) {
	case core.DialHost:
		s.dial(o)
	case core.CloseHostConnection:
		s.closeConnection(o)
	case core.SendToHost:
		s.sendToHost(o)
	case core.Subscribe:
		s.subscribed = true
		s.afterDelay(s.SendHostList)
	case core.Accepted:
		s.Accepted = append(s.Accepted, o)
	case core.Rejected:
		s.Rejected = append(s.Rejected, o)
	case core.Log:
		s.Logs = append(s.Logs, o.Text)
		if o.Defect {
			s.Defects = append(s.Defects, o.Text)
		}
	}
}
