package internal

import (
	"os"
	"testing"

	"go.yaml.in/yaml/v3"
)

// lintConfig is the part of .golangci.yml that excludes findings.
type lintConfig struct {
	Linters, Formatters struct {
		Exclusions map[string]any
	}
}

// The configuration must not exclude any package, file or finding from the linters and formatters. A wrong finding is
// suppressed on its line by a nolint comment with a reason.
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
		t.Errorf(".golangci.yml: linters.exclusions has %s: %v, want no exclusions", key, value)
	}
	for key, value := range config.Formatters.Exclusions {
		t.Errorf(".golangci.yml: formatters.exclusions has %s: %v, want no exclusions", key, value)
	}
}
