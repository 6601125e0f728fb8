package chaos

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Repeat says how a day is played again and again, each time in a process of its own.
type Repeat struct {
	Runs      int
	Parallel  int           // at once
	Seed      int           // of the first; each has the next
	BusyLoops int           // loops that do nothing but keep a processor busy
	MaxStop   time.Duration // each play is stopped for up to so long about once a second; 0: not
	Command   func(seed int) []string
	OnDone    func(ProcessResult)
}

// ProcessResult is the result of one of the runs.
type ProcessResult struct {
	Seed     int             `json:"seed"`
	ExitCode int             `json:"code"` // of its process
	Result   json.RawMessage `json:"result,omitempty"`
	Breaches []string        `json:"breaches,omitempty"`
	Error    string          `json:"error,omitempty"`
}

// Totals are those of all plays.
type Totals struct {
	Runs     int `json:"plays"`
	Broken   int `json:"broken"` // a rule or a veto
	Failed   int `json:"failed"` // not played to the end
	Tasks    int `json:"tasks"`
	Offers   int `json:"offers"`
	Vetoes   int `json:"vetoes"`
	Defects  int `json:"defects"`
	Breaches int `json:"breaches"`
}

// Run plays all of them.
func (r *Repeat) Run(ctx context.Context) Totals {
	ctx, cancel := context.WithCancel(ctx)
	var spinning sync.WaitGroup
	for range r.BusyLoops {
		spinning.Add(1)
		go spin(ctx, &spinning)
	}
	var next atomic.Int64
	var mu sync.Mutex
	var total Totals
	var plays sync.WaitGroup
	for range max(min(r.Parallel, r.Runs), 1) {
		plays.Add(1)
		go func() {
			defer plays.Done()
			for i := next.Add(1) - 1; i < int64(r.Runs) && ctx.Err() == nil; i = next.Add(1) - 1 {
				p := r.play(ctx, r.Seed+int(i))
				mu.Lock()
				total.add(p)
				r.OnDone(p)
				mu.Unlock()
			}
		}()
	}
	plays.Wait()
	cancel()
	spinning.Wait()
	return total
}

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
	t.Tasks, t.Offers, t.Vetoes, t.Defects = t.Tasks+r.Tasks, t.Offers+r.Offers, t.Vetoes+int(r.Vetoes), t.Defects+int(r.Defects)
	for _, n := range r.Rules {
		t.Breaches += n
	}
}

// spin keeps a processor busy.
func spin(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	for x := uint64(1); ; x = x*6364136223846793005 + 1442695040888963407 {
		if x%(1<<20) == 0 {
			runtime.Gosched()
		}
		if x&0xfff == 0 && ctx.Err() != nil {
			return
		}
	}
}

// mostLine bounds a line of a play's output, in bytes.
const mostLine = 1 << 20

func (r *Repeat) play(ctx context.Context, seed int) ProcessResult {
	p := ProcessResult{Seed: seed}
	words := r.Command(seed)
	cmd := exec.CommandContext(ctx, words[0], words[1:]...)
	var errs bytes.Buffer
	cmd.Stderr = &head{b: &errs, most: 4096}
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		p.ExitCode, p.Error = -1, err.Error()
		return p
	}
	ended := make(chan struct{})
	var halting sync.WaitGroup
	if r.MaxStop > 0 {
		halting.Add(1)
		go func() {
			defer halting.Done()
			halt(cmd, rand.New(rand.NewPCG(uint64(seed), 5)), r.MaxStop, ended)
		}()
	}
	scan := bufio.NewScanner(out)
	scan.Buffer(nil, mostLine)
	for scan.Scan() {
		if line := scan.Text(); strings.Contains(line, `"breach":`) {
			p.Breaches = append(p.Breaches, line)
		} else {
			p.Result = append(json.RawMessage(nil), line...)
		}
	}
	close(ended)
	halting.Wait() // a process that is stopped does not end
	err = cmd.Wait()
	var exit *exec.ExitError
	switch {
	case scan.Err() != nil:
		p.Error = scan.Err().Error()
	case errors.As(err, &exit) && exit.ExitCode() == 3:
		p.ExitCode = 3
	case err != nil:
		p.ExitCode, p.Error = -1, fmt.Sprintf("%v: %s", err, errs.Bytes())
	}
	return p
}

// halt stops and continues a process, as a machine that is short of processors would.
func halt(cmd *exec.Cmd, rng *rand.Rand, most time.Duration, ended <-chan struct{}) {
	wait := func(d time.Duration) bool {
		select {
		case <-ended:
			return false
		case <-time.After(d):
			return true
		}
	}
	for wait(time.Duration((0.5 + rng.Float64()) * float64(time.Second))) {
		if cmd.Process.Signal(syscall.SIGSTOP) != nil {
			return
		}
		on := wait(time.Duration(rng.Float64() * float64(most)))
		if cmd.Process.Signal(syscall.SIGCONT) != nil || !on {
			return
		}
	}
}

// head keeps the first bytes that are written.
type head struct {
	b    *bytes.Buffer
	most int
}

// Write takes all and keeps what there is space for.
func (t *head) Write(p []byte) (int, error) {
	t.b.Write(p[:min(len(p), max(t.most-t.b.Len(), 0))])
	return len(p), nil
}
