package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"forkhead/internal/scheduler/core"
)

func run(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = Run(args, &o, &e)
	return code, o.String(), e.String()
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		p := filepath.Join(dir, name)
		if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return p
	}
	good := write("good.yaml", "services: {a: {image: '${TAG:-x}'}}")
	broken := write("broken.yaml", "services:\n  a: {imgae: x}")
	settings := write("settings.sexp", "(forkhead (kind k (cores 1) (memory 1GiB)) (class c))")
	for name, c := range map[string]struct {
		args []string
		code int
		want string // text that standard output or standard error must contain
	}{
		"good file":        {[]string{"check", good}, 0, "good: 1 services, 1 tasks"},
		"good settings":    {[]string{"check", settings}, 0, "good"},
		"as JSON":          {[]string{"check", good, "--output", "json"}, 0, `"ok":true`},
		"broken file":      {[]string{"check", broken}, 2, `broken.yaml:2:7: unknown element "imgae"`},
		"broken settings":  {[]string{"check", write("s.sexp", "(forkhead\n (kind k))")}, 2, "s.sexp:2:2: kind"},
		"unreadable":       {[]string{"check", write("t.sexp", "(forkhead")}, 2, "t.sexp:1:1: this ( is never closed"},
		"no such file":     {[]string{"check", filepath.Join(dir, "none")}, 2, "no such file or directory; want a file that can be read, with settings, a scenario or a Compose file"},
		"no recording":     {[]string{"chaos", "--replay", good}, 2, "good.yaml: not a tape"},
		"earlier name":     {[]string{"badday", "--replay", good}, 2, "good.yaml: not a tape"},
		"shares":           {[]string{"plan", "--hosts", "../../examples/hosts.json", "--shares"}, 0, "280.000 cores in all"},
		"no argument":      {[]string{"check"}, 2, "requires at least 1 arg"},
		"unknown flag":     {[]string{"check", "--fast", good}, 2, "unknown flag"},
		"unknown output":   {[]string{"check", good, "--output", "xml"}, 2, "want text or json"},
		"unknown level":    {[]string{"check", good, "--log", "loud"}, 2, "want debug"},
		"no such placer":   {[]string{"serve", "--self", "9"}, 2, "placers 0 to 2"},
		"broken scenario":  {[]string{"chaos", write("b.sexp", "(badday (hosts 0 (kind x)))")}, 2, "b.sexp:1:16"},
		"nobody serves":    {[]string{"submit", good, "--to", "127.0.0.1:1", "--tries", "1"}, 1, "refused"},
		"explore":          {[]string{"explore", "--tasks", "1", "--output", "json"}, 0, `"complete":true,"violations":[]}`},
		"explore a bug":    {[]string{"explore", "--plant", "double-send", "--output", "json"}, 3, `"property":"one-out"`},
		"lives":            {[]string{"explore", "--lives", "5", "--output", "json"}, 0, `"failed":[]`},
		"no trace":         {[]string{"explore", "--replay", good}, 2, "not a trace"},
		"plan":             {[]string{"plan", "--hosts", "../../examples/hosts.json", "../../examples/calendar.compose.yaml", "--output", "json"}, 0, `"feasible":true,"optimal":true,"cost":78,"bound":78`},
		"plan at capacity": {[]string{"plan", "--hosts", "../../examples/hosts.json", "../../examples/capacity.compose.yaml"}, 0, "8 hosts in use, cost 268, bound 268, gap 0.00%, proven: true"},
		"plan impossible":  {[]string{"plan", "--hosts", "../../examples/hosts.json", "../../examples/impossible.compose.yaml"}, 3, "at most 2 of calendar-batch in one rack"},
		"plan selfcheck":   {[]string{"plan", "--selfcheck", "200", "--output", "json"}, 0, `"agree":true`},
		"plan no hosts":    {[]string{"plan", good}, 2, "plan wants --hosts"},
		"plan bad hosts":   {[]string{"plan", "--hosts", write("h.json", "{\"hosts\":[\n {\"idd\":1}]}"), good}, 2, `h.json:2:`},
		"plan bad state":   {[]string{"plan", "--hosts", write("i.json", `{"hosts":[{"id":"a","state":"odd"}]}`), good}, 2, `want ready, cold, draining or gone`},
		"try impossible":   {[]string{"try", "../../examples/impossible.compose.yaml"}, 3, "at most 2 of calendar-batch in one rack"},
		"list bugs":        {[]string{"explore", "--list-plants"}, 0, "old-connection"},
		"no such bug":      {[]string{"explore", "--plant", "weeds"}, 2, `--plant is "weeds", want a name that --list-plants shows`},
		"no such effect":   {[]string{"explore", "--effect", "odd"}, 2, "want safe, keyed, unsafe or all"},
		"too many tasks":   {[]string{"explore", "--tasks", "9"}, 2, "want 1 to 3"},
		"try a broken one": {[]string{"try", broken}, 2, "broken.yaml:2:7"},
	} {
		code, out, errs := run(c.args...)
		if code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("%s: forkhead %q: exit code %d, output %q, standard error %q; want exit code %d and text with %q",
				name, c.args, code, out, errs, c.code, c.want)
		}
	}
	if code, _, errs := run("chekc", good); code != 2 {
		t.Errorf("unknown command: forkhead chekc: exit code %d, standard error %q; want exit code 2", code, errs)
	}
}

// The trace that a search writes must be replayable through the placer's real core. In the replay, the core must veto the
// action that the injected bug takes.
func TestExploreTraceReplaysWithVeto(t *testing.T) {
	trace := filepath.Join(t.TempDir(), "trace.json")
	if code, out, errs := run("explore", "--plant", "double-send", "--trace", trace); code != 3 || !strings.Contains(out, "BROKEN one-out") {
		t.Fatalf("explore --plant double-send: exit code %d, output %q, standard error %q; want exit code 3 and output with %q",
			code, out, errs, "BROKEN one-out")
	}
	if code, out, errs := run("explore", "--replay", trace); code != 0 || !strings.Contains(out, "1 vetoes, 1 offers written") {
		t.Fatalf("explore --replay: exit code %d, output %q, standard error %q; want exit code 0 and output with %q",
			code, out, errs, "1 vetoes, 1 offers written")
	}
}

// The command try must report the outcomes of two examples of the README. All tasks of the example calendar are placed.
// Some tasks of the example overspread are refused because of the spread limit.
func TestTryReportsPlacedAndRefusedTasks(t *testing.T) {
	for file, c := range map[string]struct{ code, placed, refused int }{
		"calendar": {0, 8, 0}, "overspread": {3, 6, 2},
	} {
		code, out, errs := run("try", "../../examples/"+file+".compose.yaml", "--output", "json")
		placed, refused := 0, 0
		for _, line := range strings.Split(strings.TrimSpace(out), "\n") {
			var o core.Outcome
			if err := json.Unmarshal([]byte(line), &o); err != nil {
				t.Fatalf("try %s: output line %q: error %v, want an outcome in JSON; standard error %q", file, line, err, errs)
			}
			switch o.Outcome {
			case core.OutcomePlaced:
				placed++
				if o.Host == "" || o.Attempts < 1 {
					t.Errorf("try %s: got outcome %+v of a placed task, want a host and at least 1 attempt", file, o)
				}
			case core.OutcomeRejected:
				refused++
				if !strings.Contains(o.Reason, "spread") {
					t.Errorf("try %s: got outcome %+v of a refused task, want a reason that contains %q", file, o, "spread")
				}
			}
		}
		if code != c.code || placed != c.placed || refused != c.refused {
			t.Errorf("try %s: got exit code %d, %d placed and %d refused tasks; want exit code %d, %d placed and %d refused; standard error %q",
				file, code, placed, refused, c.code, c.placed, c.refused, errs)
		}
	}
}
