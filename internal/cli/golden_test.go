package cli

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// checkGolden compares text with testdata/name.
func checkGolden(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal([]byte(text), want) {
		t.Errorf("%s differs\ngot:\n%s\nwant:\n%s", path, text, want)
	}
}

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
	const file = "../running/store/testdata/placer.db"
	checkGolden(t, "store-verify.txt", goldenRun(t, exitOK, "store", "verify", file))
	checkGolden(t, "store-verify.jsonl", goldenRun(t, exitOK, "store", "verify", file, "--output", "json"))
	checkGolden(t, "store-dump.txt", goldenRun(t, exitOK, "store", "dump", file))
	checkGolden(t, "store-dump.jsonl", goldenRun(t, exitOK, "store", "dump", file, "--output", "json"))
}

// A copy without free space holds the same.
func TestStoreCompactGolden(t *testing.T) {
	compact := filepath.Join(t.TempDir(), "copy.db")
	out := goldenRun(t, exitOK, "store", "compact", "../running/store/testdata/placer.db", compact, "--output", "json")
	// Sizes are whole pages of the machine's.
	if got, want := regexp.MustCompile(`\d+`).ReplaceAllString(out, "N"), `{"after":N,"before":N}`+"\n"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	checkGolden(t, "store-dump.jsonl", goldenRun(t, exitOK, "store", "dump", compact, "--output", "json"))
}

// Tapes of an earlier build replay to the same verdict.
func TestReplayCommandGolden(t *testing.T) {
	for _, name := range []string{"placer-0-life-2", "placer-1-life-1"} {
		file := "../proving/tape/testdata/" + name + ".tape"
		checkGolden(t, "replay-"+name+".jsonl", goldenRun(t, exitOK, "badday", "--replay", file, "--output", "json"))
		checkGolden(t, "replay-"+name+".txt", goldenRun(t, exitOK, "badday", "--replay", file))
	}
}
