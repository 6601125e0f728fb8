// Benchlink hosts placers behind the simulator's wire on standard input and
// output. It translates and decides nothing.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"forkhead"
	"forkhead/internal/parse/platformconfig"
	"forkhead/internal/simadapter"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until input ends at a frame's edge.
func run(in io.Reader, out io.Writer) error {
	l := link{placers: map[uint32]*placer{}}
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	for {
		batch, err := simadapter.ReadBatch(r)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := l.answer(batch); err != nil {
			return err
		}
		if _, err := l.reply.WriteTo(w); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// link is the state of one process: the lists that came for it and its placers,
// which share nothing else.
type link struct {
	pages   [16]*simadapter.Page
	placers map[uint32]*placer
	touched []*placer
	reply   simadapter.Reply
}

// placer is one instance and its events of the batch in hand.
type placer struct {
	id           uint32
	core         *forkhead.Placer
	reportFields []string
	events       []forkhead.Event
}

func (l *link) answer(batch *simadapter.Batch) error {
	now := platformconfig.Duration(batch.Clock)
	l.reply.Reset()
	for i, ev := range batch.Events {
		if err := l.take(now, ev); err != nil {
			return fmt.Errorf("event %d of the batch at %g ms: %w", i, batch.Clock, err)
		}
	}
	for _, p := range l.touched {
		l.step(now, p)
	}
	l.touched = l.touched[:0]
	return nil
}

// step hands a placer the events it has; one whose life ended in this batch has none.
func (l *link) step(now time.Duration, p *placer) {
	if len(p.events) == 0 || l.placers[p.id] != p {
		return
	}
	for _, a := range p.core.Step(now, p.events) {
		l.write(p.id, a)
	}
	p.events = p.events[:0]
}

func (l *link) take(now time.Duration, ev any) error {
	switch ev := ev.(type) {
	case simadapter.Page:
		if int(ev.Roster) >= len(l.pages) {
			return fmt.Errorf("list number %d is not within 0 to %d", ev.Roster, len(l.pages)-1)
		}
		l.pages[ev.Roster] = &ev
		return nil
	case simadapter.Boot:
		info, err := platformconfig.Parse(ev.Info)
		if err != nil {
			return err
		}
		s, err := platformconfig.ModuleSettings(info)
		if err != nil {
			return err
		}
		core, err := forkhead.New(s, ev.Seed)
		if err != nil {
			return err
		}
		l.placers[ev.Placer] = &placer{id: ev.Placer, core: core, reportFields: info.LoadInfo.Fields}
		return nil
	case simadapter.Teardown:
		delete(l.placers, ev.Placer)
		return nil
	}
	id, event, err := l.translate(ev)
	if err != nil {
		return err
	}
	p := l.placers[id]
	if p == nil {
		return fmt.Errorf("%T for instance %d, which has not been started", ev, id)
	}
	if len(p.events) == 0 {
		l.touched = append(l.touched, p)
	}
	p.events = append(p.events, event)
	return nil
}

func (l *link) translate(ev any) (uint32, forkhead.Event, error) {
	switch ev := ev.(type) {
	case simadapter.DirectoryUpdate:
		u, err := l.update(ev)
		return ev.Placer, u, err
	case simadapter.Ask:
		return ev.Placer, forkhead.PlacementRequest{Task: task(ev)}, nil
	case simadapter.Existing:
		return ev.Placer, forkhead.HandedOver{Task: task(ev.Ask), Machine: forkhead.MachineID(ev.Host)}, nil
	case simadapter.Bound:
		return ev.Placer, forkhead.Bound{
			Task: forkhead.TaskID(ev.ID), Attempt: int(ev.Leg), Machine: forkhead.MachineID(ev.Host),
			Took: platformconfig.Duration(ev.Duration),
		}, nil
	case simadapter.StatusNote:
		return ev.Placer, forkhead.Note{
			Task: forkhead.TaskID(ev.ID), Attempt: int(ev.Leg), Machine: forkhead.MachineID(ev.Host),
			Kind: forkhead.NoteKind(ev.Kind), Amount: float64(ev.Amount),
		}, nil
	case simadapter.Answer:
		how, err := result(ev.How)
		return ev.Placer, forkhead.Outcome{
			Task: forkhead.TaskID(ev.ID), Attempt: int(ev.Leg), Machine: forkhead.MachineID(ev.Host),
			Result: how, Reason: forkhead.RejectReason(ev.Remark), Took: platformconfig.Duration(ev.Duration), Final: ev.Terminal,
			Report: l.report(ev.Placer, ev.Telemetry),
		}, err
	case simadapter.StatusBack:
		how, err := result(ev.How)
		return ev.Placer, forkhead.Probed{
			Machine: forkhead.MachineID(ev.Host), Result: how, Took: platformconfig.Duration(ev.Duration),
			Report: l.report(ev.Placer, ev.Telemetry),
		}, err
	case simadapter.ClientLeft:
		return ev.Placer, forkhead.RequestCanceled{Task: forkhead.TaskID(ev.ID)}, nil
	case simadapter.Fired:
		return ev.Placer, forkhead.TimerFired{Timer: ev.Label}, nil
	case simadapter.Peer:
		return ev.Placer, forkhead.Received{From: int(ev.Origin), Data: ev.Blob}, nil
	}
	return 0, nil, fmt.Errorf("%T is not an event for a placer", ev)
}

// Flag bits of an Ask.
const (
	flagHint  = 1
	flagAgain = 2 | 16
)

func task(a simadapter.Ask) forkhead.Task {
	t := forkhead.Task{
		ID: forkhead.TaskID(a.ID), Key: a.UID, Service: a.Group, Class: int(a.Class), Tenant: int(a.Owner),
		Timeout: platformconfig.Duration(a.Budget), Cores: float64(a.Cores), Memory: float64(a.Memory), Resubmitted: a.Flags&flagAgain != 0,
	}
	if a.Flags&flagHint != 0 {
		t.RemainingLifetime = platformconfig.Duration(a.RunsFor)
	}
	return t
}

var results = map[uint8]forkhead.Result{
	10: forkhead.OK, 20: forkhead.Errored, 30: forkhead.Rejected, 40: forkhead.TimedOut,
	50: forkhead.ConnectFailed, 60: forkhead.Reset, 70: forkhead.Withdrawn, 80: forkhead.NotSent,
}

func result(code uint8) (forkhead.Result, error) {
	r, ok := results[code]
	if !ok {
		return r, fmt.Errorf("unknown outcome code %d", code)
	}
	return r, nil
}

var listModes = map[uint8]forkhead.ListMode{
	0: forkhead.ListCached, 2: forkhead.ListSnapshot, 3: forkhead.ListDelta, 4: forkhead.ListFailed,
}

var states = map[uint8]forkhead.MachineState{0: forkhead.Draining, 1: forkhead.Ready, 2: forkhead.Removed}

func (l *link) update(ev simadapter.DirectoryUpdate) (forkhead.Event, error) {
	mode, ok := listModes[ev.How]
	if !ok {
		return nil, fmt.Errorf("unknown kind of list %d", ev.How)
	}
	u := forkhead.ListUpdate{Mode: mode}
	if mode == forkhead.ListFailed {
		return u, nil
	}
	if int(ev.Roster) >= len(l.pages) || l.pages[ev.Roster] == nil {
		return nil, fmt.Errorf("list number %d has not been sent", ev.Roster)
	}
	for i, e := range l.pages[ev.Roster].Entries {
		state, ok := states[e.Readiness]
		if !ok {
			return nil, fmt.Errorf("entry %d of list %d: unknown readiness %d", i, ev.Roster, e.Readiness)
		}
		u.Machines = append(u.Machines, forkhead.Machine{
			ID: forkhead.MachineID(e.Host), State: state, Type: int(e.Model), Zone: int(e.Zone),
			Cell: int(e.Pod), StartedAt: platformconfig.Duration(e.Launched),
			AvailableCores: float64(e.CPULeft), AvailableMemory: float64(e.MemLeft),
		})
	}
	return u, nil
}

func (l *link) write(id uint32, a forkhead.Action) {
	r := &l.reply
	switch a := a.(type) {
	case forkhead.Offer:
		r.Put(id, uint32(a.Task), uint32(a.Machine), platformconfig.Milliseconds(a.Timeout))
	case forkhead.Reject:
		r.NotNow(id, uint32(a.Task), platformconfig.Milliseconds(a.RetryAfter))
	case forkhead.Fail:
		r.GiveUp(id, uint32(a.Task))
	case forkhead.Withdraw:
		r.DropAttempt(id, uint32(a.Task), uint8(a.Attempt))
	case forkhead.Stop:
		r.Unseat(id, uint32(a.Task))
	case forkhead.SetTimer:
		r.Sleep(id, a.Timer, platformconfig.Milliseconds(a.At))
	case forkhead.Probe:
		r.Poll(id, uint32(a.Machine))
	case forkhead.Gossip:
		to := uint32(simadapter.EveryPeer)
		if a.To != forkhead.AllPlacers {
			to = uint32(a.To)
		}
		r.Tell(id, to, a.Data)
	case forkhead.Subscribe:
		r.Watch(id, true)
	case forkhead.Log:
		r.Log(id, a.Message)
	default:
		r.Crash(id, fmt.Sprintf("action %T has no form on the wire", a))
	}
}

// report names the values of a load report; those not told are NaN.
func (l *link) report(id uint32, values []float32) *forkhead.LoadReport {
	p := l.placers[id]
	if p == nil || len(values) == 0 {
		return nil
	}
	r := platformconfig.EmptyReport()
	for i, name := range p.reportFields {
		if i >= len(values) {
			break
		}
		platformconfig.SetReported(r, name, float64(values[i]))
	}
	return r
}
