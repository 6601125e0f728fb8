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

// CrashPoint is where in a step that has durable records the placer crashes.
type CrashPoint uint8

// The crash points.
const (
	NoCrash          CrashPoint = iota // it doesn't
	BeforeCommit                       // no record of the step is stored, and no output executed
	AfterCommit                        // the records are stored, and no output executed
	AfterHalfOutputs                   // the records are stored, and half of the outputs executed
)

// Offer is an offer that the core has sent.
type Offer struct {
	At    time.Duration
	Host  string
	Offer hostproto.Offer
}

// coreSeed determines what every core draws.
const coreSeed = 7

// startCore starts an incarnation of the placer.
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

func (s *Sim) newCore(cfg core.Config) *core.Core {
	c, err := core.New(cfg)
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// RestartPlacer kills the placer and starts its next incarnation.
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

// Crashed reports whether the placer has crashed at a crash point. RestartPlacer starts its next incarnation.
func (s *Sim) Crashed() bool { return s.crashed }

// Step hands inputs to the core, stores the durable records of the step and executes its outputs, as far as the step's
// crash point allows. A placer that has crashed does nothing.
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

// splitRecords separates the durable records of a step from its other outputs.
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

// crash ends the incarnation. The next one can't start here, since the caller may still be handling outputs of this one; until
// it does, Core is one that has received nothing and does nothing.
func (s *Sim) crash() {
	s.crashed = true
	s.Core = s.newCore(core.Config{Settings: s.Settings, Seed: coreSeed, Epoch: s.Epoch})
}

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
