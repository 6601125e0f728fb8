package cli

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// The program serves any deployment from its configuration: no source file outside tests holds a name of one in deploy/sites.
func TestNoDeploymentNames(t *testing.T) {
	sites, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil || len(sites) == 0 {
		t.Fatalf("no site files: %v", err)
	}
	name := regexp.MustCompile(`(?m)^(?:name|zones) = (.*)$`)
	word := regexp.MustCompile(`"((?:[^"\\]|\\.)*)"`)
	words := map[string]string{}
	for _, site := range sites {
		text, err := os.ReadFile(site)
		if err != nil {
			t.Fatal(err)
		}
		// Troubles are the bench's, not the deployment's.
		body, _, _ := strings.Cut(string(text), "[[trouble]]")
		for _, line := range name.FindAllStringSubmatch(body, -1) {
			for _, w := range word.FindAllStringSubmatch(line[1], -1) {
				if len(w[1]) >= 4 { // shorter ones are words of any text
					words[strings.ReplaceAll(w[1], `\"`, `"`)] = site
				}
			}
		}
	}
	if len(words) < 12 {
		t.Fatalf("only %d names are found: %v", len(words), words)
	}
	err = filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel("../..", path)
		if d.IsDir() {
			if rel == ".git" || rel == "journal" || rel == "bin" || rel == "docs" || rel == filepath.Join("deploy", "sites") {
				return filepath.SkipDir
			}
			return nil
		}
		if strings.HasSuffix(path, "_test.go") || !strings.HasSuffix(path, ".go") && !strings.HasPrefix(rel, "deploy") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for w, site := range words {
			if strings.Contains(string(text), w) {
				t.Errorf("%s holds %q of %s", rel, w, site)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
