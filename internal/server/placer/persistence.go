package placer

import (
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/durable"
	"forkhead/internal/server/store"
)

// maxFlushDelay bounds how long a record that no output waits for may stay in memory.
const maxFlushDelay = 50 * time.Millisecond

// persister writes the core's records to the store. It belongs to the loop.
type persister struct {
	store   *store.Store  // nil: nothing is stored
	flushBy time.Duration // when what the store holds in memory is to be written at the latest; 0: it holds nothing
}

// persist writes the records among a step's outputs, with one fsync if any of them has to be waited for. It must return
// before the step's other outputs are executed.
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

// persist makes a step durable and reports whether its outputs may be executed. Once the store has failed none may ever
// be: what this incarnation has sent must not differ from what the next one starts with.
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
