package chaos

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitRuleBroken    = 3       // exit code of a run that broke a rule or in which an action was vetoed
	exitUnknown       = -1      // the ExitCode in the result of a run that failed
	maxOutputLine     = 1 << 20 // bytes of a line of a run's output
	maxErrorOutput    = 4096    // bytes of a run's standard error that are kept, from its beginning
	processStopStream = 5       // keeps the random draws of stops independent of those of the run
)

// runProcess runs the scenario once, in a process of its own.
func (r *Repeat) runProcess(ctx context.Context, seed int) ProcessResult {
	result := ProcessResult{Seed: seed}
	command := r.Command(seed)
	cmd := exec.CommandContext(ctx, command[0], command[1:]...)
	errorOutput := &prefixBuffer{max: maxErrorOutput}
	cmd.Stderr = errorOutput
	output, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		result.ExitCode, result.Error = exitUnknown, err.Error()
		return result
	}
	ended := make(chan struct{})
	var stopper sync.WaitGroup
	if r.MaxStop > 0 {
		rng := rand.New(rand.NewPCG(uint64(seed), processStopStream))
		stopper.Go(func() { stopRepeatedly(cmd.Process, rng, r.MaxStop, ended) })
	}
	readErr := result.readOutput(output)
	close(ended)
	stopper.Wait() // must precede cmd.Wait, which would block on a process that is still stopped
	err = cmd.Wait()
	var exit *exec.ExitError
	switch {
	case readErr != nil:
		result.Error = readErr.Error()
	case errors.As(err, &exit) && exit.ExitCode() == exitRuleBroken:
		result.ExitCode = exitRuleBroken
	case err != nil:
		result.ExitCode, result.Error = exitUnknown, fmt.Sprintf("%v: %s", err, errorOutput.prefix)
	}
	return result
}

// readOutput reads the lines that a run writes: one line for each breach, then a line with the result.
func (p *ProcessResult) readOutput(output io.Reader) error {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxOutputLine)
	for lines.Scan() {
		if line := lines.Text(); strings.Contains(line, `"breach":`) {
			p.Breaches = append(p.Breaches, line)
		} else {
			p.Result = json.RawMessage(line)
		}
	}
	return lines.Err()
}

// stopRepeatedly stops a process after 0.5 to 1.5 s, continues it after at most maxStop, and repeats that until the
// process has ended. This imitates a machine that is short of processors.
func stopRepeatedly(process *os.Process, rng *rand.Rand, maxStop time.Duration, ended <-chan struct{}) {
	sleep := func(d time.Duration) bool {
		select {
		case <-ended:
			return false
		case <-time.After(d):
			return true
		}
	}
	for sleep(time.Duration((0.5 + rng.Float64()) * float64(time.Second))) {
		if process.Signal(syscall.SIGSTOP) != nil {
			return
		}
		running := sleep(time.Duration(rng.Float64() * float64(maxStop)))
		if process.Signal(syscall.SIGCONT) != nil || !running {
			return
		}
	}
}

// prefixBuffer keeps the first max bytes that are written to it.
type prefixBuffer struct {
	prefix []byte
	max    int
}

// Write keeps as much of p as there is space for. It reports all of p as written and never fails.
func (b *prefixBuffer) Write(p []byte) (int, error) {
	b.prefix = append(b.prefix, p[:min(len(p), b.max-len(b.prefix))]...)
	return len(p), nil
}
