package internal

import (
	"os"
	"testing"

	"go.yaml.in/yaml/v3"
)

// lintConfig is the part of .golangci.yml that says what the linter leaves out.
type lintConfig struct {
	Linters, Formatters struct {
		Exclusions map[string]any
	}
}

// The linter and the formatter leave out no package, file or finding. Where a finding is wrong, its line says so by a nolint
// comment, which needs a reason.
func TestLinterExcludesNothing(t *testing.T) {
	text, err := os.ReadFile("../.golangci.yml")
	if err != nil {
		t.Fatal(err)
	}
	var config lintConfig
	if err := yaml.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	for key, value := range config.Linters.Exclusions {
		t.Errorf("linters: %s excludes %v", key, value)
	}
	for key, value := range config.Formatters.Exclusions {
		t.Errorf("formatters: %s excludes %v", key, value)
	}
}
