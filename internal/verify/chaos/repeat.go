package chaos

import (
	"context"
	"encoding/json"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// Repeat runs a scenario many times, each time in a process of its own.
type Repeat struct {
	Runs      int
	Parallel  int                     // number of runs at a time; a value below 1 means 1
	Seed      int                     // seed of the first run; each further run has the next seed
	BusyLoops int                     // goroutines that only keep a processor busy
	MaxStop   time.Duration           // each process is stopped about once a second, for at most this long; 0: never
	Command   func(seed int) []string // returns a run's program and arguments; the program writes JSON lines
	OnDone    func(ProcessResult)     // called with each result, one at a time
}

// ProcessResult is the result of one run in a process of its own.
type ProcessResult struct {
	Seed     int             `json:"seed"`
	ExitCode int             `json:"code"`             // 0, exitRuleBroken, or exitUnknown if the run ended otherwise
	Result   json.RawMessage `json:"result,omitempty"` // JSON of a Result: the last output line that is no breach
	Breaches []string        `json:"breaches,omitempty"`
	Error    string          `json:"error,omitempty"`
}

// Totals holds the sums over all runs.
type Totals struct {
	Runs     int `json:"plays"`
	Broken   int `json:"broken"` // runs that broke a rule or in which an action was vetoed
	Failed   int `json:"failed"` // runs that did not finish or have no readable result
	Tasks    int `json:"tasks"`
	Offers   int `json:"offers"`
	Vetoes   int `json:"vetoes"`
	Defects  int `json:"defects"`
	Breaches int `json:"breaches"`
}

// Run performs all runs and returns their totals. It starts no further run once ctx is canceled.
func (r *Repeat) Run(ctx context.Context) Totals {
	ctx, cancel := context.WithCancel(ctx)
	var busy, workers sync.WaitGroup
	for range r.BusyLoops {
		busy.Go(func() { keepBusy(ctx) })
	}
	var started atomic.Int64
	var mu sync.Mutex // guards totals, and serializes calls of OnDone
	var totals Totals
	for range max(min(r.Parallel, r.Runs), 1) {
		workers.Go(func() {
			for i := started.Add(1) - 1; i < int64(r.Runs) && ctx.Err() == nil; i = started.Add(1) - 1 {
				result := r.runProcess(ctx, r.Seed+int(i))
				mu.Lock()
				totals.add(result)
				r.OnDone(result)
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	cancel()
	busy.Wait()
	return totals
}

// add adds a run to the totals. A failed run is counted in Runs and Failed only.
func (t *Totals) add(p ProcessResult) {
	t.Runs++
	var r Result
	if err := json.Unmarshal(p.Result, &r); err != nil || p.Error != "" {
		t.Failed++
		return
	}
	if p.ExitCode != 0 {
		t.Broken++
	}
	t.Tasks += r.Tasks
	t.Offers += r.Offers
	t.Vetoes += int(r.Vetoes)
	t.Defects += int(r.Defects)
	for _, breaches := range r.Rules {
		t.Breaches += breaches
	}
}

// keepBusy keeps a processor busy until ctx is canceled. It computes a linear congruential generator.
func keepBusy(ctx context.Context) {
	for x := uint64(1); ; x = x*6364136223846793005 + 1442695040888963407 {
		if x%(1<<20) == 0 {
			runtime.Gosched()
		}
		if x&0xfff == 0 && ctx.Err() != nil {
			return
		}
	}
}
