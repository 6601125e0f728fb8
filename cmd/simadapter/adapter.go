package main

import (
	"fmt"
	"time"

	"forkhead"
	"forkhead/internal/parse/platformconfig"
	"forkhead/internal/simadapter"
)

// maxLists is the number of endpoint lists that can be stored. Their numbers are 0 to maxLists-1.
const maxLists = 16

// adapter is the state of one process: the endpoint lists that it has received, and its placers. Placers share nothing but
// these lists.
type adapter struct {
	lists   [maxLists]*simadapter.EndpointList // indexed by list number; nil for a list that has not been received
	placers map[uint32]*placer                 // running placers, by number
	pending []*placer                          // placers with events in the current batch, ordered by their first event
	reply   simadapter.Reply
}

// placer is one instance of the module.
type placer struct {
	id           uint32
	module       *forkhead.Placer
	reportFields []string         // names of the values in a load report, in the order of the values
	events       []forkhead.Event // events of the current batch
}

func newAdapter() *adapter { return &adapter{placers: map[uint32]*placer{}} }

// handleBatch passes the events of a batch to the placers and collects the placers' actions in a.reply. Endpoint lists,
// starts and teardowns take effect in the order of the events. After the last event of the batch, each placer gets its
// other events in one step.
func (a *adapter) handleBatch(batch *simadapter.Batch) error {
	now := platformconfig.Duration(batch.Clock)
	a.reply.Reset()
	for i, event := range batch.Events {
		if err := a.handleEvent(event); err != nil {
			return fmt.Errorf("event %d of the batch at %g ms: %w", i, batch.Clock, err)
		}
	}
	for _, p := range a.pending {
		a.step(now, p)
	}
	a.pending = a.pending[:0]
	return nil
}

// step passes to a placer its events of the batch, unless the placer was torn down or replaced in the same batch.
func (a *adapter) step(now time.Duration, p *placer) {
	if len(p.events) == 0 || a.placers[p.id] != p {
		return
	}
	for _, action := range p.module.Step(now, p.events) {
		a.writeAction(p.id, action)
	}
	p.events = p.events[:0]
}

func (a *adapter) handleEvent(event simadapter.Event) error {
	switch event := event.(type) {
	case simadapter.EndpointList:
		return a.storeList(event)
	case simadapter.Start:
		return a.startPlacer(event)
	case simadapter.Teardown:
		delete(a.placers, event.Placer)
		return nil
	default:
		return a.queueEvent(event)
	}
}

func (a *adapter) storeList(list simadapter.EndpointList) error {
	if int(list.Number) >= len(a.lists) {
		return fmt.Errorf("endpoint list number %d, want 0 to %d", list.Number, len(a.lists)-1)
	}
	a.lists[list.Number] = &list
	return nil
}

// startPlacer starts a placer. The new placer replaces a running placer with the same number.
func (a *adapter) startPlacer(start simadapter.Start) error {
	config, err := platformconfig.Parse(start.Config)
	if err != nil {
		return err
	}
	settings, err := platformconfig.ModuleSettings(config)
	if err != nil {
		return err
	}
	module, err := forkhead.New(settings, start.Seed)
	if err != nil {
		return err
	}
	a.placers[start.Placer] = &placer{id: start.Placer, module: module, reportFields: config.LoadInfo.Fields}
	return nil
}

// queueEvent translates an event and appends it to the events of the placer that it is for.
func (a *adapter) queueEvent(event simadapter.Event) error {
	id, translated, err := a.translate(event)
	if err != nil {
		return err
	}
	p := a.placers[id]
	if p == nil {
		return fmt.Errorf("%T for placer %d, which has not been started", event, id)
	}
	if len(p.events) == 0 {
		a.pending = append(a.pending, p)
	}
	p.events = append(p.events, translated)
	return nil
}
