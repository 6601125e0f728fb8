package cli

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"forkhead/internal/goldentest"
)

// goldenRun runs the command line, wants the exit code and nothing on standard error, and returns standard output.
func goldenRun(t *testing.T, want int, args ...string) string {
	t.Helper()
	code, out, errs := run(args...)
	if code != want || errs != "" {
		t.Fatalf("%v: exit %d, want %d; %s", args, code, want, errs)
	}
	return out
}

// The store of an earlier build is verified and dumped byte for byte.
func TestStoreCommandGolden(t *testing.T) {
	const file = "../server/store/testdata/placer.db"
	goldentest.Check(t, "store-verify.txt", goldenRun(t, exitOK, "store", "verify", file))
	goldentest.Check(t, "store-verify.jsonl", goldenRun(t, exitOK, "store", "verify", file, "--output", "json"))
	goldentest.Check(t, "store-dump.txt", goldenRun(t, exitOK, "store", "dump", file))
	goldentest.Check(t, "store-dump.jsonl", goldenRun(t, exitOK, "store", "dump", file, "--output", "json"))
}

// A copy without free space holds the same.
func TestStoreCompactGolden(t *testing.T) {
	compact := filepath.Join(t.TempDir(), "copy.db")
	out := goldenRun(t, exitOK, "store", "compact", "../server/store/testdata/placer.db", compact, "--output", "json")
	// Sizes are whole pages of the machine's.
	if got, want := regexp.MustCompile(`\d+`).ReplaceAllString(out, "N"), `{"after":N,"before":N}`+"\n"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	goldentest.Check(t, "store-dump.jsonl", goldenRun(t, exitOK, "store", "dump", compact, "--output", "json"))
}

// Recordings of an earlier build replay to the same verdict.
func TestReplayCommandGolden(t *testing.T) {
	for _, name := range []string{"placer-0-life-2", "placer-1-life-1"} {
		file := "../verify/replay/testdata/" + name + ".tape"
		goldentest.Check(t, "replay-"+name+".jsonl", goldenRun(t, exitOK, "chaos", "--replay", file, "--output", "json"))
		goldentest.Check(t, "replay-"+name+".txt", goldenRun(t, exitOK, "chaos", "--replay", file))
		goldentest.Check(t, "replay-"+name+".txt", goldenRun(t, exitOK, "badday", "--replay", file)) // the command's earlier name
	}
}

// masked hides what differs from run to run: the values of the keys, the ids of submissions and, with numbers, all numbers.
func masked(text string, numbers bool, keys ...string) string {
	for _, key := range keys {
		text = regexp.MustCompile(`"`+key+`":("[^"]*"|[^,}]*)`).ReplaceAllString(text, `"`+key+`":"*"`)
	}
	text = regexp.MustCompile(`submission [a-z0-9]+-[a-z0-9]+`).ReplaceAllString(text, "submission *")
	if numbers {
		text = regexp.MustCompile(`:( ?)-?[0-9][0-9.e+-]*`).ReplaceAllString(text, ":${1}0")
	}
	return text
}

// sortedOnce returns the different lines of a text in order.
func sortedOnce(text string) string {
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	slices.Sort(lines)
	return strings.Join(slices.Compact(lines), "\n") + "\n"
}

const examples = "../../examples/"

func TestCheckCommandGolden(t *testing.T) {
	const settings = "../parse/settings/testdata/"
	goldentest.Check(t, "check.jsonl", goldenRun(t, exitOK, "check", settings+"all.sexp", examples+"calendar.compose.yaml", "--output", "json"))
	goldentest.Check(t, "check.txt", goldenRun(t, exitOK, "check", settings+"all.sexp", examples+"calendar.compose.yaml"))
	code, out, errs := run("check", examples+"broken.compose.yaml", "--output", "json")
	if code != exitInput || out != "" {
		t.Errorf("exit %d, %s", code, out)
	}
	goldentest.Check(t, "check-broken.txt", errs)
}

func TestPlanCommandGolden(t *testing.T) {
	plan := func(name string, code int, args ...string) {
		t.Helper()
		args = append([]string{"plan", "--hosts", examples + "hosts.json"}, args...)
		goldentest.Check(t, "plan-"+name+".txt", goldenRun(t, code, args...))
		goldentest.Check(t, "plan-"+name+".jsonl", masked(goldenRun(t, code, append(args, "--output", "json")...), false, "nodes"))
	}
	plan("calendar", exitOK, examples+"calendar.compose.yaml")
	plan("running", exitOK, "--running", "testdata/running.json", "--move", "2", "--home", "south", "--cross", "9", examples+"calendar.compose.yaml")
	plan("impossible", exitNo, examples+"impossible.compose.yaml")
	plan("shares", exitOK, "--shares", "--config", "../parse/settings/testdata/all.sexp")
	goldentest.Check(t, "plan-selfcheck.jsonl", goldenRun(t, exitOK, "plan", "--selfcheck", "5", "--output", "json"))
}

func TestExploreCommandGolden(t *testing.T) {
	const varying = `states_per_second`
	goldentest.Check(t, "explore.jsonl", masked(goldenRun(t, exitOK, "explore", "--tasks", "1", "--hosts", "1", "--output", "json"), false, varying, "mib"))
	goldentest.Check(t, "explore-plant.jsonl", masked(goldenRun(t, exitNo, "explore", "--plant", "double-send", "--output", "json"), false, varying, "mib"))
	goldentest.Check(t, "explore-plants.jsonl", masked(goldenRun(t, exitOK, "explore", "--list-plants", "--output", "json"), false, "what"))
	goldentest.Check(t, "explore-lives.jsonl", goldenRun(t, exitOK, "explore", "--lives", "1", "--output", "json"))
}

// A trace is written as an earlier build did, and an earlier build's is replayed through the core.
func TestTraceGolden(t *testing.T) {
	const kept = "double-send.trace.json"
	trace := filepath.Join(t.TempDir(), "trace.json")
	goldenRun(t, exitNo, "explore", "--plant", "double-send", "--trace", trace, "--output", "json")
	text, err := os.ReadFile(trace)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, kept, string(text))
	out := goldenRun(t, exitOK, "explore", "--replay", filepath.Join("testdata", kept), "--output", "json")
	goldentest.Check(t, "explore-replay.jsonl", regexp.MustCompile(`placer logs: [^"]*`).ReplaceAllString(out, "placer logs: *"))
}

func TestTryCommandGolden(t *testing.T) {
	out := goldenRun(t, exitOK, "try", examples+"calendar.compose.yaml", "--output", "json")
	goldentest.Check(t, "try.jsonl", sortedOnce(masked(out, false, "host", "zone", "rack", "attempts", "took_ms")))
}

// A short run on sockets whose placer is built to report an outcome twice: the lines of its breaches and its result, and
// the files that are written of it.
func TestChaosCommandGolden(t *testing.T) {
	dir := t.TempDir()
	script := filepath.Join(dir, "day.sexp")
	if err := os.WriteFile(script, []byte(`(badday (seed 3) (length 500ms) (settle 500ms) (hosts 2 (kind std-28) (zone north))
		(load web (class web) (rate 20) (replicas 1 1)) (plant one-answer))`), 0o600); err != nil {
		t.Fatal(err)
	}
	out := goldenRun(t, exitNo, "chaos", script, "--record-on-breach", dir, "--output", "json")
	goldentest.Check(t, "chaos.jsonl", sortedOnce(masked(out, true)))

	var kept []string
	files, err := os.ReadDir(filepath.Join(dir, "seed-3"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		kept = append(kept, f.Name())
	}
	if got, want := strings.Join(kept, " "), "placer-0-life-1.tape placer-1-life-1.tape placer-2-life-1.tape record.jsonl script.sexp verdict.json"; got != want {
		t.Errorf("kept %s, want %s", got, want)
	}
	verdict, err := os.ReadFile(filepath.Join(dir, "seed-3", "verdict.json"))
	if err != nil {
		t.Fatal(err)
	}
	// Breaches are as many as the machine was fast: one stands for all.
	text := regexp.MustCompile(`(?s)(\{[^{}]*\}),\n    \{.*?\n  \]`).ReplaceAllString(masked(string(verdict), true), "$1\n  ]")
	goldentest.Check(t, "chaos-verdict.json", text)
}
