// Package cli implements the command line of forkhead. Each command has a file of its own.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"forkhead/internal/parse/diagnostic"
)

// Exit codes.
const (
	exitOK             = 0
	exitFailure        = 1 // a failure that the command line and its input did not cause
	exitInput          = 2 // invalid command line or input
	exitNegativeResult = 3 // the command completed with a negative result
)

// errNegativeResult is returned by a command that completed with a negative result, for example a rule that was broken or a
// task that was not placed. The command has printed the result.
var errNegativeResult = errors.New("negative result")

// inputError is an error that an invalid command line or invalid input caused.
type inputError struct{ err error }

func (e inputError) Error() string { return e.err.Error() }
func (e inputError) Unwrap() error { return e.err }

// asInputError wraps an error in an inputError. It returns nil for nil.
func asInputError(err error) error {
	if err == nil {
		return nil
	}
	return inputError{err}
}

// app holds the output streams, the log and the flags of the root command, which all commands share.
type app struct {
	out, errs io.Writer // standard output and standard error
	output    string    // formatText or formatJSON
	logLevel  string
	log       zerolog.Logger
}

// Run runs the command line args, without the program's name, and returns the exit code. SIGINT and SIGTERM cancel the
// command's context.
func Run(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{out: out, errs: errs}
	root := a.rootCommand()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errNegativeResult):
		return exitNegativeResult
	case isInputError(err):
		a.warnln(err)
		return exitInput
	default:
		a.warnln("forkhead:", err)
		return exitFailure
	}
}

// isInputError reports whether an invalid command line or invalid input caused err. An unknown command is recognized by
// the text of the error, because Cobra has no error type for it.
func isInputError(err error) bool {
	return errors.As(err, &inputError{}) || diagnostic.First(err) != nil || strings.HasPrefix(err.Error(), "unknown command")
}

func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "forkhead",
		Short:         "forkhead places long-running work on the machines of a cluster",
		SilenceErrors: true, SilenceUsage: true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return a.applyRootFlags() },
	}
	root.SetOut(a.errs)
	root.SetErr(a.errs)
	flags := root.PersistentFlags()
	flags.StringVar(&a.output, "output", formatText, "format of standard output: text, or json with one object per line")
	flags.StringVar(&a.logLevel, "log", "warn", "lowest level that is logged on standard error: debug, info, warn, error")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return asInputError(err) })
	root.AddCommand(
		a.serveCommand(), a.nodeCommand(), a.hostCommand(), a.catalogCommand(),
		a.tryCommand(), a.submitCommand(), a.checkCommand(), a.planCommand(), a.storeCommand(),
		a.chaosCommand(), a.exploreCommand(), a.replayCommand(),
	)
	for _, c := range root.Commands() {
		if check := c.Args; check != nil {
			c.Args = func(cmd *cobra.Command, args []string) error { return asInputError(check(cmd, args)) }
		}
	}
	return root
}

// applyRootFlags checks the flags of the root command and sets a.log.
func (a *app) applyRootFlags() error {
	if a.output != formatText && a.output != formatJSON {
		return asInputError(fmt.Errorf("--output is %q, want text or json", a.output))
	}
	level, err := zerolog.ParseLevel(a.logLevel)
	if err != nil {
		return asInputError(fmt.Errorf("--log is %q, want debug, info, warn or error", a.logLevel))
	}
	a.log = zerolog.New(a.errs).Level(level).With().Timestamp().Logger()
	return nil
}
