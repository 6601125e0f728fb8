package modelcheck

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"

	"forkhead/internal/scheduler/hostconn"
)

// StateSize is the size of a state in bytes.
const StateSize = int(unsafe.Sizeof(state{}))

// search is a breadth-first search of all states. It identifies states by their hashes, so two states with the same
// hash are taken for one. At 100 million states the probability that any two have the same hash is 3 in 10,000.
type search struct {
	model
	known [shardCount]shard // known states, by hash modulo shardCount

	states    atomic.Int64
	steps     atomic.Int64
	endStates atomic.Int64

	mu       sync.Mutex
	findings []finding

	fairSteps [][]fairStep // fair steps by worker; only with Config.FindCycles
}

const shardCount = 256

// shard holds a part of the known states, each with its origin. Shards reduce the contention between workers.
type shard struct {
	mu      sync.Mutex
	origins map[uint64]origin
}

// origin records how a state was first reached: the hash of its parent state, and the index of the action in the
// parent's list of actions.
type origin struct {
	parent uint64
	action uint16
}

// finding is a violated property.
type finding struct {
	hash     uint64 // hash of the state in which the action is taken
	action   int    // index in the state's list of actions; noAction: the state itself violates the property
	property string
	message  string
}

// noAction as the action of a finding means that the state itself violates the property.
const noAction = -1

// maxFindings bounds the findings that a search keeps. It ends after the first level with a finding and reports one.
const maxFindings = 100

// Run searches all states breadth first, so that the trace of the violation that it reports is a shortest one.
func Run(cfg Config) (*Result, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &search{model: newModel(cfg)}
	if cfg.InjectedBug != "" {
		bug, ok := FindInjectedBug(cfg.InjectedBug)
		if !ok {
			return nil, fmt.Errorf("no injected bug is named %q", cfg.InjectedBug)
		}
		bug.inject(&s.stateMachines)
	}
	for i := range s.known {
		s.known[i].origins = map[uint64]origin{}
	}
	s.fairSteps = make([][]fairStep, cfg.Workers)
	return s.run(), nil
}

// initialState returns the state in which the placer is connected to all hosts. Hosts are also connected after each
// break of a connection, so a search from this state covers connecting, too.
func initialState(cfg *Config) state {
	var s state
	for hi := range cfg.Hosts {
		h := &s.hosts[hi]
		h.up, h.epoch = true, 1
		h.connState, h.conn, h.knownEpoch, h.holdsReceived = hostconn.Up, 1, 1, true
		h.sessionConn, h.sessionOpen = 1, true
		h.streams[0] = stream{conn: 1, placerOpen: true, hostOpen: true}
	}
	return s
}

func (s *search) run() *Result {
	began := time.Now()
	root := initialState(&s.cfg)
	root = root.canonical(s.cfg.Tasks, s.cfg.Hosts)
	s.addState(xxhash.Sum64(root.bytes()), origin{})
	r := &Result{Complete: true, Violations: []Violation{}}
	s.searchLevels(root, r)
	if s.cfg.FindCycles && len(s.findings) == 0 && r.Complete {
		if hash, ok := findCycle(s.fairSteps); ok {
			s.addFinding(finding{hash, noAction, "liveness", "this state is on a cycle of fair steps, or is reachable from one: a fair run may never end"})
		}
	}
	if len(s.findings) > 0 { // all findings are of one level, so their traces have the same length: one is enough
		f := s.findings[0]
		r.Complete = false
		r.Violations = append(r.Violations, Violation{Property: f.property, Message: f.message, Trace: s.trace(root, f)})
	}
	r.States, r.Steps, r.EndStates = int(s.states.Load()), int(s.steps.Load()), int(s.endStates.Load())
	r.Duration = time.Since(began)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r.MemoryBytes = m.Sys
	return r
}

// searchLevels expands level after level until there are no further states, a property is violated, or there are more
// than Config.MaxStates states.
func (s *search) searchLevels(root state, r *Result) {
	frontier := []state{root}
	for len(frontier) > 0 && len(s.findings) == 0 {
		if int(s.states.Load()) > s.cfg.MaxStates {
			r.Complete = false
			return
		}
		frontier = s.expandLevel(frontier)
		if len(frontier) > 0 {
			r.Depth++
		}
		if s.cfg.Progress != nil {
			s.cfg.Progress(int(s.states.Load()), r.Depth)
		}
	}
}

// expandLevel expands the states of a level with all workers and returns the next level.
func (s *search) expandLevel(frontier []state) []state {
	const chunk = 256 // number of states that a worker takes at once
	var taken atomic.Int64
	workers := make([]worker, s.cfg.Workers)
	var wait sync.WaitGroup
	for i := range workers {
		wait.Go(func() {
			w := worker{search: s}
			for first := int(taken.Add(chunk)) - chunk; first < len(frontier); first = int(taken.Add(chunk)) - chunk {
				for j := first; j < min(first+chunk, len(frontier)); j++ {
					w.expand(&frontier[j])
				}
			}
			s.fairSteps[i] = append(s.fairSteps[i], w.fairSteps...)
			workers[i] = w
		})
	}
	wait.Wait()
	n := 0
	for i := range workers {
		n += len(workers[i].next)
	}
	next := make([]state, 0, n)
	for i := range workers {
		next = append(next, workers[i].next...)
	}
	return next
}

// worker expands states of one level.
type worker struct {
	*search
	next      []state    // states of the next level that this worker found first
	fairSteps []fairStep // only with Config.FindCycles
	actions   []action   // buffer for the actions of a state
}

// expand takes each action that is possible in a state and records the states that it leads to.
func (w *worker) expand(from *state) {
	hash := xxhash.Sum64(from.bytes())
	w.actions = w.model.actions(from, w.actions)
	hasFair := false
	for i := range w.actions {
		a := &w.actions[i]
		hasFair = hasFair || a.fair
		to := *from
		st := step{model: &w.model, s: &to}
		a.do(&st)
		if st.queueFull {
			// The action is impossible only because the model's queue or list of streams is full. Queues of real
			// placers and hosts are longer, and a connection is closed when its queue is full. So a state whose only
			// fair actions fail in this way is not an end state.
			continue
		}
		w.steps.Add(1)
		if st.property != "" {
			w.addFinding(finding{hash, i, st.property, st.message})
			continue
		}
		canonical := to.canonical(w.cfg.Tasks, w.cfg.Hosts)
		toHash := xxhash.Sum64(canonical.bytes())
		if w.addState(toHash, origin{hash, uint16(i)}) {
			w.next = append(w.next, canonical)
		}
		if w.cfg.FindCycles && a.fair {
			w.fairSteps = append(w.fairSteps, fairStep{hash, toHash})
		}
	}
	if !hasFair {
		w.endStates.Add(1)
		if property, message := w.checkEndState(from); property != "" {
			w.addFinding(finding{hash, noAction, property, message})
		}
	}
}

func (s *search) addFinding(f finding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.findings) < maxFindings {
		s.findings = append(s.findings, f)
	}
}

// addState adds the hash of a state to the known states. It returns false if the hash is known already.
func (s *search) addState(hash uint64, o origin) bool {
	sh := &s.known[hash%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if _, ok := sh.origins[hash]; ok {
		return false
	}
	sh.origins[hash] = o
	s.states.Add(1)
	return true
}
