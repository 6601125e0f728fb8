// Package goldentest compares what a test produces with a file below the test's testdata folder. `go test -update` writes
// the files instead; it is for a change of form that is wanted, and its result is to be read before it is committed.
package goldentest

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// Updating says whether the golden files are written instead of compared with.
func Updating() bool { return *update }

// Check reports an error if the text differs from the golden file testdata/NAME.
func Check[T string | []byte](t *testing.T, name string, text T) {
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
