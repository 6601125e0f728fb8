package main

import (
	"fmt"

	"forkhead"
	"forkhead/internal/parse/platformconfig"
	"forkhead/internal/simadapter"
)

// translate returns the module's event for an event of the wire, and the number of the placer that the event is for.
func (a *adapter) translate(event simadapter.Event) (placer uint32, translated forkhead.Event, err error) {
	switch e := event.(type) {
	case simadapter.ListUpdate:
		translated, err = a.listUpdate(e)
		return e.Placer, translated, err
	case simadapter.PlacementRequest:
		return e.Placer, forkhead.PlacementRequest{Task: newTask(e)}, nil
	case simadapter.HandOver:
		return e.Placer, forkhead.HandedOver{Task: newTask(e.PlacementRequest), Machine: forkhead.MachineID(e.Machine)}, nil
	case simadapter.Bound:
		return e.Placer, forkhead.Bound{
			Task: forkhead.TaskID(e.Task), Attempt: int(e.Attempt), Machine: forkhead.MachineID(e.Machine),
			Took: platformconfig.Duration(e.Took),
		}, nil
	case simadapter.Note:
		return e.Placer, forkhead.Note{
			Task: forkhead.TaskID(e.Task), Attempt: int(e.Attempt), Machine: forkhead.MachineID(e.Machine),
			Kind: forkhead.NoteKind(e.Kind), Amount: float64(e.Amount),
		}, nil
	case simadapter.Outcome:
		translated, err = a.outcome(e)
		return e.Placer, translated, err
	case simadapter.Probed:
		translated, err = a.probed(e)
		return e.Placer, translated, err
	case simadapter.RequestCanceled:
		return e.Placer, forkhead.RequestCanceled{Task: forkhead.TaskID(e.Task)}, nil
	case simadapter.TimerFired:
		return e.Placer, forkhead.TimerFired{Timer: e.Timer}, nil
	case simadapter.Received:
		return e.Placer, forkhead.GossipReceived{From: int(e.From), Data: e.Data}, nil
	default:
		return 0, nil, fmt.Errorf("%T is not an event for a placer", event)
	}
}

func newTask(r simadapter.PlacementRequest) forkhead.Task {
	t := forkhead.Task{
		ID: forkhead.TaskID(r.Task), Key: r.Key, Service: r.Service, Class: int(r.Class), Tenant: int(r.Tenant),
		Timeout: platformconfig.Duration(r.Timeout), Cores: float64(r.Cores), Memory: float64(r.Memory),
		Resubmitted: r.Flags&simadapter.FlagsResubmitted != 0,
	}
	if r.Flags&simadapter.FlagLifetimeKnown != 0 {
		t.RemainingLifetime = platformconfig.Duration(r.RemainingLifetime)
	}
	return t
}

func (a *adapter) outcome(e simadapter.Outcome) (forkhead.Event, error) {
	result, err := translateResult(e.Result)
	return forkhead.Outcome{
		Task: forkhead.TaskID(e.Task), Attempt: int(e.Attempt), Machine: forkhead.MachineID(e.Machine),
		Result: result, Reason: forkhead.RejectReason(e.Reason), Took: platformconfig.Duration(e.Took), Final: e.Final,
		Report: a.loadReport(e.Placer, e.Report),
	}, err
}

func (a *adapter) probed(e simadapter.Probed) (forkhead.Event, error) {
	result, err := translateResult(e.Result)
	return forkhead.Probed{
		Machine: forkhead.MachineID(e.Machine), Result: result, Took: platformconfig.Duration(e.Took),
		Report: a.loadReport(e.Placer, e.Report),
	}, err
}

// results maps the wire's codes for the results of attempts and probes to the module's results.
var results = map[uint8]forkhead.Result{
	10: forkhead.OK, 20: forkhead.Errored, 30: forkhead.Rejected, 40: forkhead.TimedOut,
	50: forkhead.ConnectFailed, 60: forkhead.Reset, 70: forkhead.Withdrawn, 80: forkhead.NotSent,
}

func translateResult(code uint8) (forkhead.Result, error) {
	result, ok := results[code]
	if !ok {
		return result, fmt.Errorf("unknown result code %d", code)
	}
	return result, nil
}

// loadReport converts the values of a machine's load report to the module's type. The settings of the placer that
// receives the report list the names of the values in their order. Values that are not reported are NaN. The result is
// nil if the placer is unknown or if there are no values.
func (a *adapter) loadReport(placer uint32, values []float32) *forkhead.LoadReport {
	p := a.placers[placer]
	if p == nil || len(values) == 0 {
		return nil
	}
	report := platformconfig.EmptyReport()
	for i, field := range p.reportFields {
		if i >= len(values) {
			break
		}
		platformconfig.SetReported(report, field, float64(values[i]))
	}
	return report
}

// listModes maps the wire's codes for the mode of a list update to the module's modes.
var listModes = map[uint8]forkhead.ListMode{
	0: forkhead.ListCached, 2: forkhead.ListSnapshot, 3: forkhead.ListDelta, 4: forkhead.ListFailed,
}

// machineStates maps the wire's codes for the state of a machine to the module's states.
var machineStates = map[uint8]forkhead.MachineState{0: forkhead.Draining, 1: forkhead.Ready, 2: forkhead.Removed}

func (a *adapter) listUpdate(e simadapter.ListUpdate) (forkhead.Event, error) {
	mode, ok := listModes[e.Mode]
	if !ok {
		return nil, fmt.Errorf("unknown mode %d of a list update", e.Mode)
	}
	update := forkhead.ListUpdate{Mode: mode}
	if mode == forkhead.ListFailed {
		return update, nil
	}
	if int(e.List) >= len(a.lists) || a.lists[e.List] == nil {
		return nil, fmt.Errorf("endpoint list number %d has not been received", e.List)
	}
	for i, m := range a.lists[e.List].Machines {
		state, ok := machineStates[m.State]
		if !ok {
			return nil, fmt.Errorf("endpoint list number %d: machine %d at index %d: unknown state %d", e.List, m.ID, i, m.State)
		}
		update.Machines = append(update.Machines, forkhead.Machine{
			ID: forkhead.MachineID(m.ID), State: state, Type: int(m.Type), Zone: int(m.Zone), Cell: int(m.Cell),
			StartedAt:      platformconfig.Duration(m.StartedAt),
			AvailableCores: float64(m.AvailableCores), AvailableMemory: float64(m.AvailableMemory),
		})
	}
	return update, nil
}

// writeAction adds an action of a placer to the reply.
func (a *adapter) writeAction(placer uint32, action forkhead.Action) {
	r := &a.reply
	switch action := action.(type) {
	case forkhead.Offer:
		r.Offer(placer, uint32(action.Task), uint32(action.Machine), platformconfig.Milliseconds(action.Timeout))
	case forkhead.Reject:
		r.Reject(placer, uint32(action.Task), platformconfig.Milliseconds(action.RetryAfter))
	case forkhead.Fail:
		r.Fail(placer, uint32(action.Task))
	case forkhead.Withdraw:
		r.Withdraw(placer, uint32(action.Task), uint8(action.Attempt))
	case forkhead.Stop:
		r.Stop(placer, uint32(action.Task))
	case forkhead.SetTimer:
		r.SetTimer(placer, action.Timer, platformconfig.Milliseconds(action.At))
	case forkhead.Probe:
		r.Probe(placer, uint32(action.Machine))
	case forkhead.Gossip:
		receiver := uint32(simadapter.AllPlacers)
		if action.To != forkhead.AllPlacers {
			receiver = uint32(action.To)
		}
		r.Gossip(placer, receiver, action.Data)
	case forkhead.Subscribe:
		r.Subscribe(placer)
	case forkhead.Log:
		r.Log(placer, action.Message)
	default:
		r.Crash(placer, fmt.Sprintf("action %T has no encoding on the wire", action))
	}
}
