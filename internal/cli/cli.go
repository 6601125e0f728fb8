// Package cli is the command line of forkhead.
package cli

import (
	"context"
	"encoding/json"
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
	exitOK    = 0
	exitOurs  = 1 // our own trouble
	exitInput = 2 // bad usage or input
	exitNo    = 3 // the answer is no
)

// errNo says that all went well and the answer is no.
var errNo = errors.New("the answer is no")

// inputError is the user's: bad usage or bad input.
type inputError struct{ err error }

func (e inputError) Error() string { return e.err.Error() }
func (e inputError) Unwrap() error { return e.err }

func badInput(err error) error {
	if err == nil {
		return nil
	}
	return inputError{err}
}

// app is what all commands share.
type app struct {
	out, errs io.Writer
	output    string
	level     string
	log       zerolog.Logger
}

// Run runs the command line and returns the exit code.
func Run(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{out: out, errs: errs}
	root := a.root()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	var in inputError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errNo):
		return exitNo
	case errors.As(err, &in) || diagnostic.First(err) != nil || strings.HasPrefix(err.Error(), "unknown command"):
		fmt.Fprintln(errs, err)
		return exitInput
	default:
		fmt.Fprintln(errs, "forkhead:", err)
		return exitOurs
	}
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "forkhead",
		Short:         "forkhead places long-running work on the machines of a cluster",
		SilenceErrors: true, SilenceUsage: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if a.output != "text" && a.output != "json" {
				return badInput(fmt.Errorf("--output is %q, want text or json", a.output))
			}
			level, err := zerolog.ParseLevel(a.level)
			if err != nil {
				return badInput(fmt.Errorf("--log is %q, want debug, info, warn or error", a.level))
			}
			a.log = zerolog.New(a.errs).Level(level).With().Timestamp().Logger()
			return nil
		},
	}
	root.SetOut(a.errs)
	root.SetErr(a.errs)
	root.PersistentFlags().StringVar(&a.output, "output", "text", "text or json: one object a line on standard output")
	root.PersistentFlags().StringVar(&a.level, "log", "warn", "least level of the log on standard error: debug, info, warn, error")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return badInput(err) })
	root.AddCommand(a.serveCommand(), a.hostCommand(), a.catalogueCommand(), a.tryCommand(), a.submitCommand(), a.checkCommand(), a.baddayCommand(),
		a.exploreCommand(), a.planCommand(), a.storeCommand(), a.nodeCommand())
	for _, c := range root.Commands() {
		if args := c.Args; args != nil {
			c.Args = func(cmd *cobra.Command, given []string) error { return badInput(args(cmd, given)) }
		}
	}
	return root
}

// json writes one object as a line.
func (a *app) json(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = a.out.Write(append(line, '\n'))
	return err
}

// file reads a file of the user's. want says what is looked for in it, where it cannot be read.
func file(name, want string) ([]byte, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, unreadable(err, want)
	}
	return text, nil
}

func unreadable(err error, want string) error {
	return badInput(fmt.Errorf("%w; want a file that can be read, with %s", err, want))
}
