package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"time"

	"github.com/spf13/cobra"

	"forkhead/internal/verify/platformreplay"
)

// replayTimeFormat is the format in which the times of a trace are printed, in UTC.
const replayTimeFormat = "2006-01-02T15:04:05.000000"

// requestRefPattern matches the ref that identifies a placement request on the platform's wire.
var requestRefPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

func (a *app) replayCommand() *cobra.Command {
	var ref string
	c := &cobra.Command{
		Use: "replay FILE", Args: cobra.ExactArgs(1),
		Short: "step the platform placer's core through a trace that node --trace has written",
		Long: "replay passes the inputs of each step of a trace to the core of this build, and compares its outputs with those in\n" +
			"the trace. It exits with 0 if all outputs are the same, byte for byte. At the first step that differs, it prints\n" +
			"both outputs and exits with 3; with a trace of another build, it is the first step at which the builds decide\n" +
			"differently.",
		RunE: func(_ *cobra.Command, args []string) error {
			if ref != "" {
				return a.followRequest(args[0], ref)
			}
			return a.replayNode(args[0])
		},
	}
	c.Flags().StringVar(&ref, "request", "", "instead of replaying, show the messages that name this request (16 hex digits); exit 3 if there are none")
	return c
}

// readNodeTrace opens a trace, passes it to the function read, and returns the result of read. It returns errors as input
// errors, except for a panic of the core.
func readNodeTrace[T any](name string, read func(io.Reader) (T, error)) (T, error) {
	f, err := os.Open(name)
	if err != nil {
		var none T
		return none, unreadableFileError(err, "a trace that node --trace has written")
	}
	defer func() { _ = f.Close() }()
	result, err := read(f)
	if err != nil && !errors.As(err, &platformreplay.PanicError{}) {
		err = asInputError(err)
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", name, err)
	}
	return result, err
}

// replayNode replays a trace. It returns errNegativeResult if the core's outputs differ from the outputs in the trace.
func (a *app) replayNode(name string) error {
	result, err := readNodeTrace(name, func(from io.Reader) (*platformreplay.Result, error) { return platformreplay.Replay(from, nil) })
	if err != nil {
		return err
	}
	if a.wantsJSON() {
		if err := a.writeJSON(result); err != nil {
			return err
		}
	} else {
		a.printNodeReplay(result)
	}
	if result.Difference != nil {
		return errNegativeResult
	}
	return nil
}

func (a *app) printNodeReplay(result *platformreplay.Result) {
	if result.Truncated {
		a.println("the trace ends within a step, which is not replayed")
	}
	d := result.Difference
	if d == nil {
		a.printf("%d steps replayed, the outputs are the same\n", result.Steps)
		return
	}
	a.printf("step %d, at %s, differs from output %d on\n", d.Step, replayTime(d.Now), d.Output)
	for _, part := range []struct {
		name  string
		lines []string
	}{{"inputs", d.Inputs}, {"outputs in the trace", d.Want}, {"outputs now", d.Got}} {
		a.printf("%s:\n", part.name)
		for _, line := range part.lines {
			a.printf("  %s\n", line)
		}
	}
}

// followRequest prints the messages of one request. It returns errNegativeResult if no message names the request.
func (a *app) followRequest(name, ref string) error {
	if !requestRefPattern.MatchString(ref) {
		return asInputError(fmt.Errorf("--request is %q, want 16 hex digits", ref))
	}
	request, err := readNodeTrace(name, func(from io.Reader) (*platformreplay.Request, error) {
		return platformreplay.FollowRequest(from, ref)
	})
	if err != nil {
		return err
	}
	for i := range request.Messages {
		if err := a.writeRequestMessage(&request.Messages[i]); err != nil {
			return err
		}
	}
	if request.Truncated {
		a.warnln("the trace ends within a step, which is not shown")
	}
	if len(request.Messages) == 0 {
		return errNegativeResult
	}
	return nil
}

func (a *app) writeRequestMessage(m *platformreplay.Message) error {
	if a.wantsJSON() {
		return a.writeJSON(m)
	}
	peer := fmt.Sprintf("%s %d", m.Peer, m.Connection)
	if m.Address != "" {
		peer += " (" + m.Address + ")"
	}
	a.printf("%s  step %d  %-3s  %s  %s\n", replayTime(m.Now), m.Step, m.Direction, peer, m.Line)
	return nil
}

// replayTime formats a time. The parameter at is the duration from the Unix epoch to this time.
func replayTime(at time.Duration) string {
	return time.Unix(0, int64(at)).UTC().Format(replayTimeFormat)
}
