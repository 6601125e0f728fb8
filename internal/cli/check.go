package cli

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/settings"
	"forkhead/internal/parse/sexp"
	"forkhead/internal/server/placer"
	"forkhead/internal/verify/scenario"
)

// First words of the files that hold S-expressions.
const (
	settingsHead = "forkhead"
	scenarioHead = "badday"
)

// checkFlags are the flags of check.
type checkFlags struct {
	specification specificationFlags
	settingsFile  string
}

// checkResult is the line of a file, or of several that make one specification, in which nothing is wrong.
type checkResult struct {
	File string `json:"file"`
	OK   bool   `json:"ok"`
	What string `json:"what"` // what the files hold, or ""
}

func (a *app) checkCommand() *cobra.Command {
	var f checkFlags
	c := &cobra.Command{
		Use: "check FILE...", Short: "check settings, scenarios or service specifications", Args: cobra.MinimumNArgs(1),
		Long: "check reads files and reports what is wrong with them; nothing is sent. Files that hold (forkhead ...) are\n" +
			"settings, those that hold (badday ...) scenarios; all others together are one service specification in the\n" +
			"Compose format.",
		RunE: func(_ *cobra.Command, names []string) error { return a.check(&f, names) },
	}
	f.specification.add(c.Flags())
	c.Flags().StringVar(&f.settingsFile, "config", "", settingsFlagUsage)
	return c
}

// check checks files and reports all their errors together.
func (a *app) check(f *checkFlags, names []string) error {
	s, err := readSettings(f.settingsFile)
	if err != nil {
		return err
	}
	var specification []string
	errs := &diagnostic.List{}
	for _, name := range names {
		text, err := readFile(name, "settings, a script or a Compose description")
		if err != nil {
			return err
		}
		switch head(name, text) {
		case settingsHead:
			_, err = settings.Parse(name, text)
		case scenarioHead:
			_, err = scenario.Read(name, text)
		default:
			specification = append(specification, name)
			continue
		}
		errs.Add(err)
		if err == nil {
			a.reportGood(name, "")
		}
	}
	if len(specification) > 0 {
		envelope, err := f.specification.envelope(specification)
		if err != nil {
			return err
		}
		errs.Add(a.checkSpecification(envelope, s, specification))
	}
	return badInput(errs.Err())
}

// checkSpecification parses an envelope whose files have these names.
func (a *app) checkSpecification(envelope *placer.Envelope, s *settings.Settings, names []string) error {
	description, err := parseSpecification(envelope, s)
	if err != nil {
		return err
	}
	for _, n := range description.Notes {
		a.warnf("%s: note: %s\n", n.Pos, n.Text)
	}
	a.reportGood(strings.Join(names, ", "), fmt.Sprintf("%d services, %d tasks", len(description.Services), description.Tasks()))
	return nil
}

// head returns the first word of a file that holds an S-expression, or "" for any other file.
func head(name string, text []byte) string {
	trimmed := strings.TrimSpace(string(text))
	if !strings.HasPrefix(trimmed, "(") && !strings.HasPrefix(trimmed, ";") {
		return ""
	}
	nodes, err := sexp.Parse(name, text)
	if err != nil || len(nodes) == 0 {
		if strings.HasSuffix(name, ".sexp") {
			return settingsHead // reading it as settings reports the error
		}
		return ""
	}
	return nodes[0].Head()
}

// reportGood writes that nothing is wrong with a file.
func (a *app) reportGood(name, what string) {
	if a.wantsJSON() {
		_ = a.writeJSON(checkResult{File: name, OK: true, What: what}) // as text, which nobody checks either
		return
	}
	if what != "" {
		what = ": " + what
	}
	a.printf("%s: good%s\n", name, what)
}
