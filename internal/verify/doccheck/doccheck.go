// Package doccheck compares the pages under docs with the code, in tests.
package doccheck

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Contains fails the test unless a page contains each of the texts. The page is named by its path from the repository's
// root, with slashes.
func Contains(t testing.TB, page string, texts ...string) {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(repositoryRoot(t), filepath.FromSlash(page)))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range texts {
		if !strings.Contains(string(content), want) {
			t.Errorf("%s does not hold:\n%s", page, want)
		}
	}
}

// repositoryRoot is the nearest folder above the test's that has a go.mod.
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
			t.Fatal("no go.mod above the test's folder")
		}
		dir = parent
	}
}
