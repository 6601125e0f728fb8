package cli

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/settings"
	"forkhead/internal/parse/sexp"
	"forkhead/internal/verify/scenario"
)

func (a *app) checkCommand() *cobra.Command {
	var pf projectFlags
	var config string
	c := &cobra.Command{
		Use: "check FILE...", Short: "check settings, scripts or descriptions", Args: cobra.MinimumNArgs(1),
		Long: "check reads files and tells what is wrong with them, without sending anything. Files that hold\n" +
			"(forkhead ...) are settings, (badday ...) scripts; all others are one Compose description.",
		RunE: func(_ *cobra.Command, names []string) error {
			s, err := readSettings(config)
			if err != nil {
				return err
			}
			var rest []string
			errs := &diagnostic.List{}
			for _, name := range names {
				text, err := file(name, "settings, a script or a Compose description")
				if err != nil {
					return err
				}
				switch head(name, text) {
				case "forkhead":
					_, err = settings.Read(name, text)
				case "badday":
					_, err = scenario.Read(name, text)
				default:
					rest = append(rest, name)
					continue
				}
				errs.Add(err)
				if err == nil {
					a.good(name, "")
				}
			}
			if len(rest) > 0 {
				e, err := pf.envelope(rest)
				if err != nil {
					return err
				}
				d, err := parse(e, s)
				errs.Add(err)
				if err == nil {
					for _, n := range d.Notes {
						fmt.Fprintf(a.errs, "%s: note: %s\n", n.Pos, n.Text)
					}
					a.good(strings.Join(rest, ", "), strconv.Itoa(len(d.Services))+" services, "+strconv.Itoa(d.Tasks())+" tasks")
				}
			}
			return badInput(errs.Err())
		},
	}
	pf.add(c.Flags())
	c.Flags().StringVar(&config, "config", "", "settings whose classes and tenants descriptions may name (default: built-in ones)")
	return c
}

// head is the first word of a file that holds an S-expression.
func head(name string, text []byte) string {
	trimmed := strings.TrimSpace(string(text))
	if !strings.HasPrefix(trimmed, "(") && !strings.HasPrefix(trimmed, ";") {
		return ""
	}
	nodes, err := sexp.Parse(name, text)
	if err != nil || len(nodes) == 0 {
		if strings.HasSuffix(name, ".sexp") {
			return "forkhead" // its reader tells what is wrong
		}
		return ""
	}
	return nodes[0].Head()
}

func (a *app) good(name, what string) {
	if a.output == "json" {
		_ = a.json(map[string]any{"file": name, "ok": true, "what": what})
		return
	}
	if what != "" {
		what = ": " + what
	}
	fmt.Fprintf(a.out, "%s: good%s\n", name, what)
}
