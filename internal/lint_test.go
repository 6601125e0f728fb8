package internal

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"

	"go.yaml.in/yaml/v3"
)

// exclusions is what a section of .golangci.yml leaves out. The keys that are no paths must stay empty: they would hide findings
// beside the list of unfinished packages.
type exclusions struct {
	Paths       []string
	PathsExcept []string `yaml:"paths-except"`
	Presets     []string
	Rules       []any
	Generated   string
}

// lintConfig is the part of .golangci.yml that says what the linter leaves out.
type lintConfig struct {
	Linters    struct{ Exclusions exclusions }
	Formatters struct{ Exclusions exclusions }
}

// maxUnfinished is the most packages that the list may name: as many as are left. It goes down with the list, never up.
const maxUnfinished = 28

// unfinished matches an entry of the list: the files of one folder, not of those below it.
var unfinished = regexp.MustCompile(`^\^((?:[a-z0-9]+/)*)\[\^/\]\+\$$`)

// The linter leaves out whole packages that exist, each named once, and nothing else.
func TestUnfinishedPackages(t *testing.T) {
	text, err := os.ReadFile("../.golangci.yml")
	if err != nil {
		t.Fatal(err)
	}
	var config lintConfig
	if err := yaml.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	linters, formatters := config.Linters.Exclusions, config.Formatters.Exclusions
	if !slices.Equal(linters.Paths, formatters.Paths) {
		t.Error("linters and formatters leave out different packages; want one list")
	}
	for section, e := range map[string]exclusions{"linters": linters, "formatters": formatters} {
		if len(e.PathsExcept)+len(e.Presets)+len(e.Rules)+len(e.Generated) > 0 {
			t.Errorf("%s: something beside paths is excluded: %+v", section, e)
		}
	}
	if len(linters.Paths) > maxUnfinished {
		t.Errorf("%d packages are listed; want at most %d", len(linters.Paths), maxUnfinished)
	}
	named := map[string]bool{}
	for _, entry := range linters.Paths {
		match := unfinished.FindStringSubmatch(entry)
		if match == nil {
			t.Errorf("%s is not of the form ^FOLDER/[^/]+$", entry)
			continue
		}
		if named[entry] {
			t.Errorf("%s is listed twice", entry)
		}
		named[entry] = true
		files, err := filepath.Glob(filepath.Join("..", match[1], "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		if len(files) == 0 {
			t.Errorf("%s is listed, but the folder holds no Go file", entry)
		}
	}
}
