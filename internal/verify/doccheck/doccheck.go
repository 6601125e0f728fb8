// Package doccheck holds the pages under docs against the code, in tests.
package doccheck

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Contains fails the test unless a page, named from the repository's root, holds each of the texts.
func Contains(t testing.TB, name string, texts ...string) {
	t.Helper()
	root, err := os.Getwd()
	for ; err == nil; root = filepath.Dir(root) {
		if _, err := os.Stat(filepath.Join(root, "go.mod")); err == nil {
			break
		}
		if root == filepath.Dir(root) {
			t.Fatal("no go.mod above the test's folder")
		}
	}
	text, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(name)))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range texts {
		if !strings.Contains(string(text), want) {
			t.Errorf("%s does not hold:\n%s", name, want)
		}
	}
}
