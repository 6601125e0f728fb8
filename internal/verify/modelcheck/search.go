package modelcheck

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
)

// Config bounds a search. It is stored with a violation's trace: the names in its tags are those of traces that exist.
type Config struct {
	Tasks, Hosts int             // at least 1; at most maxTasks and maxHosts
	Effect       forkhead.Effect // of a repeated start of a task
	Requests     int             `json:"Asks"` // most placement requests of a task in one incarnation of the placer
	Attempts     int             // most attempts of a task in all requests and incarnations; 1 to maxAttempts
	Faults       int             // most faults in all: connections cut, hosts that die or drain, crashes of the placer
	NoCrash      bool            // the placer does not crash
	TasksEnd     bool            `json:"Ends"`   // tasks may end by themselves
	FindCycles   bool            `json:"Cycles"` // also search for cycles of fair steps; takes 16 bytes more a step
	SpreadLimit  int             `json:"Spread"` // all tasks are of one service, of which a host may have so many; 0: no limit
	InjectedBug  string          `json:"Plant"`  // name of one of InjectedBugs; "": none
	Workers      int             // goroutines; 0: one a processor
	MaxStates    int             `json:"MostStates"` // the search stops after so many; 0: defaultMaxStates

	// Progress, unless it is nil, is called after each level of the search.
	Progress func(states, depth int) `json:"-"`

	keyed bool
	named bool
}

// Violation is a property that does not hold, with a shortest trace to where it breaks.
type Violation struct {
	Property string   `json:"property"`
	Message  string   `json:"why"`
	Trace    []string `json:"trace"`
}

// Trace is a violation with the search that found it, as it is stored in a file.
type Trace struct {
	Config    Config
	Violation Violation
}

// Result is the result of a search.
type Result struct {
	States      int           `json:"states"`
	Steps       int           `json:"steps"` // transitions between states
	EndStates   int           `json:"ends"`  // states without a fair step
	Depth       int           `json:"depth"` // of the search: steps from the first state to the farthest
	Complete    bool          `json:"complete"`
	Violations  []Violation   `json:"violations"`
	Duration    time.Duration `json:"took"`
	MemoryBytes uint64        `json:"bytes"` // obtained from the operating system by the end
}

// Properties and what each says.
var Properties = []struct{ Name, Text string }{
	{"one-outcome", "A task is told one outcome in one life of its placer."},
	{"liveness", "Where nothing fair is left to happen, every task has been told its outcome; and fair steps never lead round in a circle, so a fair run comes there."},
	{"one-out", "No offer is written while another of the same ask is waiting or unanswered."},
	{"no-repeat", "No offer of an unsafe task, or of a keyed one after its window, is written while an earlier attempt of any ask or life may run or have run, unless the placer knows that it is over and the ask is a new one; and no unsafe task starts while another start of it runs."},
	{"drain", "No offer is written to a host after the grace of a drain that the placer was told of."},
	{"spread", "Where the search has a spread, no offer is written to a host that has as many of the service's tasks, waiting, out, placed or silent, as it may."},
	{"after-outcome", "No offer is written for a task that was told refused or failed."},
	{"promise", "No unsafe task is told refused while an attempt that the placer does not know the fate of may run."},
	{"no-leak", "Where nothing fair is left to happen, every attempt is settled or placed, every task that a host holds is some owner's placed one, and every placed one is held."},
	{"absurd", "No host that follows its machine says what the placer's machine calls absurd."},
}

// defaultMaxStates bounds a search whose Config does not; so many take about 8 GiB.
const defaultMaxStates = 100_000_000

const shards = 256

type entry struct {
	parent uint64
	action uint16
}

type shard struct {
	mu   sync.Mutex
	seen map[uint64]entry
}

type search struct {
	model
	shards [shards]shard
	count  atomic.Int64
	steps  atomic.Int64
	ends   atomic.Int64
	mu     sync.Mutex
	found  []hit
	edges  [][][2]uint64 // of fair steps, by worker
}

type hit struct {
	hash     uint64 // of the state from which
	action   int    // this action breaks it; -1: the state itself does
	property string
	why      string
}

// Run searches breadth first, so that the first violation has a shortest trace.
func Run(cfg Config) (*Result, error) {
	if cfg.Tasks < 1 || cfg.Tasks > maxTasks || cfg.Hosts < 1 || cfg.Hosts > maxHosts || cfg.Attempts < 1 || cfg.Attempts > maxAttempts {
		return nil, fmt.Errorf("%d tasks, %d hosts and %d attempts: want 1 to %d, 1 to %d and 1 to %d", cfg.Tasks, cfg.Hosts, cfg.Attempts, maxTasks, maxHosts, maxAttempts)
	}
	s := &search{model: model{m: real(), cfg: cfg, rules: attempt.Rules{Effect: cfg.Effect, DedupWindow: 10 * second, MaxAttempts: 2}}}
	s.cfg.keyed = cfg.Effect == forkhead.Keyed
	if cfg.InjectedBug != "" {
		p, ok := FindInjectedBug(cfg.InjectedBug)
		if !ok {
			return nil, fmt.Errorf("no plant is named %q", cfg.InjectedBug)
		}
		p.inject(&s.m)
	}
	if cfg.Workers == 0 {
		s.cfg.Workers = runtime.GOMAXPROCS(0)
	}
	if cfg.MaxStates == 0 {
		s.cfg.MaxStates = defaultMaxStates
	}
	for i := range s.shards {
		s.shards[i].seen = map[uint64]entry{}
	}
	return s.run()
}

// start is a placer that is connected to all its hosts: how it came to be is part of what follows
// each break, and nothing is lost by beginning there.
func start(cfg *Config) state {
	var s state
	for hi := range cfg.Hosts {
		h := &s.hosts[hi]
		h.up, h.epoch, h.known, h.conn, h.ready, h.link = 1, 1, 1, 1, 1, uint8(hostconn.Up)
		h.sConn, h.sOpen = 1, 1
		h.streams[0] = stream{num: 1, pOpen: 1, hOpen: 1}
	}
	return s
}

func (s *search) run() (*Result, error) {
	began := time.Now()
	root := start(&s.cfg)
	root = root.canonical(s.cfg.Tasks, s.cfg.Hosts)
	s.edges = make([][][2]uint64, s.cfg.Workers)
	frontier := []state{root}
	s.add(xxhash.Sum64(root.bytes()), 0, 0)
	r := &Result{Complete: true, Violations: []Violation{}}
	for len(frontier) > 0 && len(s.found) == 0 {
		if int(s.count.Load()) > s.cfg.MaxStates {
			r.Complete = false
			break
		}
		frontier = s.level(frontier)
		if len(frontier) > 0 {
			r.Depth++
		}
		if s.cfg.Progress != nil {
			s.cfg.Progress(int(s.count.Load()), r.Depth)
		}
	}
	if s.cfg.FindCycles && len(s.found) == 0 && r.Complete {
		if at, ok := s.cycle(); ok {
			s.found = append(s.found, hit{at, -1, "liveness", "fair steps lead from this state back to it: the service may go round for good"})
		}
	}
	for _, h := range s.found {
		r.Violations = append(r.Violations, Violation{Property: h.property, Message: h.why, Trace: s.trace(root, h)})
		break // of one depth, one is enough
	}
	r.Complete = r.Complete && len(s.found) == 0
	r.States, r.Steps, r.EndStates, r.Duration = int(s.count.Load()), int(s.steps.Load()), int(s.ends.Load()), time.Since(began)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r.MemoryBytes = m.Sys
	return r, nil
}

// level expands a frontier on all workers and returns the next one.
func (s *search) level(frontier []state) []state {
	const chunk = 256
	var at atomic.Int64
	parts := make([][]state, s.cfg.Workers)
	var wait sync.WaitGroup
	for w := range s.cfg.Workers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			var acts []action
			for {
				from := int(at.Add(chunk)) - chunk
				if from >= len(frontier) {
					return
				}
				for i := from; i < min(from+chunk, len(frontier)); i++ {
					parts[w], acts = s.expand(&frontier[i], parts[w], acts, w)
				}
			}
		}()
	}
	wait.Wait()
	n := 0
	for _, p := range parts {
		n += len(p)
	}
	out := make([]state, 0, n)
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

func (s *search) expand(from *state, out []state, acts []action, w int) ([]state, []action) {
	hash := xxhash.Sum64(from.bytes())
	acts = s.actions(from, acts)
	fair := false
	for i := range acts {
		next := *from
		st := step{model: &s.model, s: &next}
		acts[i].do(&st)
		if st.full {
			// A queue is full. The program's own are longer and end their connection when they are, so
			// a state that goes on only here is not an end of anything.
			fair = fair || acts[i].fair
			continue
		}
		fair = fair || acts[i].fair
		s.steps.Add(1)
		if st.bad != "" {
			s.hit(hit{hash, i, st.bad, st.why})
			continue
		}
		c := next.canonical(s.cfg.Tasks, s.cfg.Hosts)
		to := xxhash.Sum64(c.bytes())
		if s.add(to, hash, uint16(i)) {
			out = append(out, c)
		}
		if s.cfg.FindCycles && acts[i].fair {
			s.edges[w] = append(s.edges[w], [2]uint64{hash, to})
		}
	}
	if !fair {
		s.ends.Add(1)
		if property, why := s.checkEnd(from); property != "" {
			s.hit(hit{hash, -1, property, why})
		}
	}
	return out, acts
}

// cycle looks for a cycle of fair steps: states are taken off as long as none that is left leads to
// them; what cannot be taken off lies on a cycle, or behind one.
func (s *search) cycle() (at uint64, found bool) {
	into := map[uint64]int32{}
	next := map[uint64][]uint64{}
	for _, part := range s.edges {
		for _, e := range part {
			into[e[1]]++
			next[e[0]] = append(next[e[0]], e[1])
		}
	}
	var free []uint64
	for from := range next {
		if into[from] == 0 {
			free = append(free, from)
		}
	}
	for len(free) > 0 {
		from := free[len(free)-1]
		free = free[:len(free)-1]
		for _, to := range next[from] {
			if into[to]--; into[to] == 0 {
				free = append(free, to)
			}
		}
		delete(next, from)
	}
	for from := range next {
		if into[from] > 0 && (!found || from < at) {
			at, found = from, true
		}
	}
	return at, found
}

func (s *search) hit(h hit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.found) < 100 {
		s.found = append(s.found, h)
	}
}

// add notes a state by its hash; it is false if it is known. Two states with one 64-bit hash are
// taken for one: at 100 million states the chance that any two are is 3 in 10,000.
func (s *search) add(hash, parent uint64, act uint16) bool {
	sh := &s.shards[hash%shards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if _, ok := sh.seen[hash]; ok {
		return false
	}
	sh.seen[hash] = entry{parent, act}
	s.count.Add(1)
	return true
}

// trace walks back from a hit to the root, and forward again on states as they are, not on
// canonical ones, so that task 1 stays task 1 throughout.
func (s *search) trace(root state, h hit) []string {
	rootHash := xxhash.Sum64(root.bytes())
	var want []uint64
	for at := h.hash; at != rootHash; {
		want = append(want, at)
		at = s.shards[at%shards].seen[at].parent
	}
	s.cfg.named = true
	defer func() { s.cfg.named = false }()
	cur := root
	var lines []string
	take := func(good func(next *state, st *step) bool) {
		for _, a := range s.actions(&cur, nil) {
			next := cur
			st := step{model: &s.model, s: &next}
			a.do(&st)
			if !st.full && good(&next, &st) {
				lines = append(lines, a.name)
				cur = next
				return
			}
		}
		lines = append(lines, "(two states share a hash: the trace is lost here)")
	}
	for i := len(want) - 1; i >= 0; i-- {
		take(func(next *state, st *step) bool {
			c := next.canonical(s.cfg.Tasks, s.cfg.Hosts)
			return st.bad == "" && xxhash.Sum64(c.bytes()) == want[i]
		})
	}
	if h.action >= 0 {
		take(func(_ *state, st *step) bool { return st.bad == h.property })
	}
	return lines
}

// StateSize is how many bytes a state takes.
const StateSize = int(unsafe.Sizeof(state{}))
