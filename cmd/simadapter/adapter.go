package main

import (
	"fmt"
	"time"

	"forkhead"
	"forkhead/internal/parse/platformconfig"
	"forkhead/internal/simadapter"
)

// maxLists is how many endpoint lists can be referred to at a time.
const maxLists = 16

// adapter is the state of one process: the endpoint lists that came, and its placers, which share nothing else.
type adapter struct {
	lists   [maxLists]*simadapter.EndpointList // by number; nil: has not come
	placers map[uint32]*placer                 // by number
	pending []*placer                          // those with events of the current batch, in order of their first
	reply   simadapter.Reply
}

// placer is one instance of the module.
type placer struct {
	id           uint32
	module       *forkhead.Placer
	reportFields []string         // names of a load report's values
	events       []forkhead.Event // of the current batch
}

func newAdapter() *adapter { return &adapter{placers: map[uint32]*placer{}} }

// handleBatch hands the events of a batch to the placers and collects their actions in a.reply. Each placer gets all of its
// events at once, after the batch's lists, starts and teardowns.
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

// step hands a placer its events, unless it was torn down in this batch.
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
		return fmt.Errorf("list number %d is not within 0 to %d", list.Number, len(a.lists)-1)
	}
	a.lists[list.Number] = &list
	return nil
}

// startPlacer starts a placer. One that runs under its number is dropped.
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

// queueEvent appends an event to those of its placer.
func (a *adapter) queueEvent(event simadapter.Event) error {
	id, translated, err := a.translate(event)
	if err != nil {
		return err
	}
	p := a.placers[id]
	if p == nil {
		return fmt.Errorf("%T for instance %d, which has not been started", event, id)
	}
	if len(p.events) == 0 {
		a.pending = append(a.pending, p)
	}
	p.events = append(p.events, translated)
	return nil
}
