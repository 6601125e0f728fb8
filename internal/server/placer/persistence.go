package placer

import (
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/durable"
	"forkhead/internal/server/store"
)

// maxFlushDelay bounds the time for which a record that no output waits for stays in memory.
const maxFlushDelay = 50 * time.Millisecond

// persister writes the core's records to the store. It belongs to the loop.
type persister struct {
	store   *store.Store  // nil: nothing is stored
	flushBy time.Duration // latest time to flush the store's pending changes; 0: no changes are pending
}

// persist commits the records among the outputs of a step, with one fsync if an output has to wait for any of them.
// persist must return before the other outputs are executed.
func (p *persister) persist(now time.Duration, outputs []core.Output) error {
	if p.store == nil {
		return nil
	}
	var records []durable.Record
	for _, o := range outputs {
		if output, ok := o.(core.Persist); ok {
			records = append(records, output.Record)
		}
	}
	if len(records) > 0 {
		if err := p.store.Commit(records); err != nil {
			return err
		}
	}
	if p.flushBy > 0 && now >= p.flushBy {
		if err := p.store.Flush(); err != nil {
			return err
		}
	}
	if !p.store.HasPending() {
		p.flushBy = 0
	} else if p.flushBy == 0 {
		p.flushBy = now + maxFlushDelay
	}
	return nil
}

// persist makes a step durable and reports whether its outputs may be executed. It returns false for every step once
// the store has failed: what this incarnation has sent must not differ from the state with which the next one starts.
func (s *Server) persist(now time.Duration, outputs []core.Output) bool {
	if s.storeFailed {
		return false
	}
	err := s.persister.persist(now, outputs)
	if err == nil {
		return true
	}
	s.storeFailed = true
	s.log.Error().Err(err).Msg("store failed, placer stops")
	s.stopAccepting()
	s.storeError <- err
	return false
}
