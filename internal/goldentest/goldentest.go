// Package goldentest compares the output of a test with a golden file in the package's testdata directory. `go test
// -update` writes the golden files instead. Use it only when the output is meant to change, and read the diff of the
// files before committing them.
package goldentest

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// Updating reports whether golden files are written instead of compared with.
func Updating() bool { return *update }

// Check reports a test error if text differs from the golden file testdata/NAME. With -update it writes text to the
// file.
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
		t.Errorf("output differs from golden file %s\ngot:\n%s\nwant:\n%s", path, text, want)
	}
}
