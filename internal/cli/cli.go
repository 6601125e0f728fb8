// Package cli is the command line of forkhead: one file a command, and the exit codes.
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
	exitOK      = 0
	exitFailure = 1 // a failure of the program itself
	exitInput   = 2 // bad usage or input
	exitNo      = 3 // the answer is no
)

// errNo ends a command that did its work and whose answer is no.
var errNo = errors.New("the answer is no")

// inputError is an error of the user's: bad usage or bad input.
type inputError struct{ err error }

func (e inputError) Error() string { return e.err.Error() }
func (e inputError) Unwrap() error { return e.err }

// badInput marks an error as the user's; nil stays nil.
func badInput(err error) error {
	if err == nil {
		return nil
	}
	return inputError{err}
}

// app is what all commands share: where they write, and the flags of the root command.
type app struct {
	out, errs io.Writer
	output    string // formatText or formatJSON
	logLevel  string
	log       zerolog.Logger
}

// Run runs the command line args, which do not include the program's name, and returns the exit code. SIGINT and SIGTERM
// cancel the command's context.
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
	case errors.Is(err, errNo):
		return exitNo
	case isInputError(err):
		a.warnln(err)
		return exitInput
	default:
		a.warnln("forkhead:", err)
		return exitFailure
	}
}

// isInputError reports whether the user can mend what err says. Cobra has no type for an unknown command.
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
	flags.StringVar(&a.output, "output", formatText, "text or json: one object a line on standard output")
	flags.StringVar(&a.logLevel, "log", "warn", "lowest level of the log on standard error: debug, info, warn, error")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return badInput(err) })
	root.AddCommand(
		a.serveCommand(), a.nodeCommand(), a.hostCommand(), a.catalogCommand(),
		a.tryCommand(), a.submitCommand(), a.checkCommand(), a.planCommand(), a.storeCommand(),
		a.chaosCommand(), a.exploreCommand(), a.replayCommand(),
	)
	for _, c := range root.Commands() {
		if check := c.Args; check != nil {
			c.Args = func(cmd *cobra.Command, args []string) error { return badInput(check(cmd, args)) }
		}
	}
	return root
}

// applyRootFlags checks the flags of the root command and opens the log.
func (a *app) applyRootFlags() error {
	if a.output != formatText && a.output != formatJSON {
		return badInput(fmt.Errorf("--output is %q, want text or json", a.output))
	}
	level, err := zerolog.ParseLevel(a.logLevel)
	if err != nil {
		return badInput(fmt.Errorf("--log is %q, want debug, info, warn or error", a.logLevel))
	}
	a.log = zerolog.New(a.errs).Level(level).With().Timestamp().Logger()
	return nil
}
