// Package doccheck lets tests compare the pages under docs with the code.
package doccheck

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Contains fails the test unless a page contains each of the texts. The page is given by its slash-separated path
// from the repository's root.
func Contains(t testing.TB, page string, texts ...string) {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(repositoryRoot(t), filepath.FromSlash(page)))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range texts {
		if !strings.Contains(string(content), want) {
			t.Errorf("%s: text not found, want:\n%s", page, want)
		}
	}
}

// repositoryRoot returns the nearest directory with a go.mod, from the test's working directory upwards.
func repositoryRoot(t testing.TB) string {
	t.Helper()
	dir, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			t.Fatal("no go.mod in the test's working directory or above it")
		}
		dir = parent
	}
}
