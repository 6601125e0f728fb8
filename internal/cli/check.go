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

// The keywords with which files of S-expressions begin.
const (
	settingsKeyword = "forkhead"
	scenarioKeyword = "badday"
)

// checkFlags are the flags of check.
type checkFlags struct {
	specification specificationFlags
	settingsFile  string
}

// checkResult is the JSON output for a valid file, or for several files that make one valid specification.
type checkResult struct {
	File string `json:"file"`
	OK   bool   `json:"ok"`
	What string `json:"what"` // number of services and of tasks in a valid specification; "" for settings and scenarios
}

func (a *app) checkCommand() *cobra.Command {
	var f checkFlags
	c := &cobra.Command{
		Use: "check FILE...", Short: "check settings, scenarios or service specifications", Args: cobra.MinimumNArgs(1),
		Long: "check reads files and reports their errors; it sends nothing. Files that contain (forkhead ...) are settings, and\n" +
			"files that contain (badday ...) are scenarios; all other files together make one service specification in the\n" +
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
		text, err := readFile(name, "settings, a scenario or a Compose file")
		if err != nil {
			return err
		}
		switch sexpKeyword(name, text) {
		case settingsKeyword:
			_, err = settings.Parse(name, text)
		case scenarioKeyword:
			_, err = scenario.Read(name, text)
		default:
			specification = append(specification, name)
			continue
		}
		errs.Add(err)
		if err == nil {
			a.reportValid(name, "")
		}
	}
	if len(specification) > 0 {
		envelope, err := f.specification.envelope(specification)
		if err != nil {
			return err
		}
		errs.Add(a.checkSpecification(envelope, s, specification))
	}
	return asInputError(errs.Err())
}

// checkSpecification parses an envelope and reports that it is valid, or returns its errors. The parameter names lists
// the files that make the specification.
func (a *app) checkSpecification(envelope *placer.Envelope, s *settings.Settings, names []string) error {
	description, err := parseSpecification(envelope, s)
	if err != nil {
		return err
	}
	for _, n := range description.Notes {
		a.warnf("%s: note: %s\n", n.Pos, n.Text)
	}
	a.reportValid(strings.Join(names, ", "), fmt.Sprintf("%d services, %d tasks", len(description.Services), description.Tasks()))
	return nil
}

// sexpKeyword returns the keyword with which a file of S-expressions begins, or "" for any other file.
func sexpKeyword(name string, text []byte) string {
	trimmed := strings.TrimSpace(string(text))
	if !strings.HasPrefix(trimmed, "(") && !strings.HasPrefix(trimmed, ";") {
		return ""
	}
	nodes, err := sexp.Parse(name, text)
	if err != nil || len(nodes) == 0 {
		if strings.HasSuffix(name, ".sexp") {
			return settingsKeyword // the caller parses the file as settings, and so reports the error
		}
		return ""
	}
	return nodes[0].Head()
}

// reportValid writes that a file is valid. The parameter what summarizes the content of the file, and may be empty.
func (a *app) reportValid(name, what string) {
	if a.wantsJSON() {
		_ = a.writeJSON(checkResult{File: name, OK: true, What: what}) // errors of writing are ignored, as in printf
		return
	}
	if what != "" {
		what = ": " + what
	}
	a.printf("%s: good%s\n", name, what)
}
