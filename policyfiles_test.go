package forkhead

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// policyFiles returns the names of the files that deploy/balancer.toml lists under policy.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		list, ok := strings.CutPrefix(line, "policy = ")
		if !ok {
			continue
		}
		var files []string
		if err := json.Unmarshal([]byte(list), &files); err != nil {
			t.Fatalf("parse the policy list in deploy/balancer.toml: %v", err)
		}
		return files
	}
	t.Fatal("deploy/balancer.toml has no line that starts with \"policy = \", want one")
	return nil
}

// Lines of the policy files have at most 110 characters; a tab counts as 4.
func TestPolicyFilesStayReadable(t *testing.T) {
	const maxLineLength = 110
	for _, name := range policyFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if n := len(strings.ReplaceAll(line, "\t", "    ")); n > maxLineLength {
				t.Errorf("%s:%d: got %d characters, want at most %d", name, i+1, n, maxLineLength)
			}
		}
	}
}

// Durations are part of the policy, so files of the package outside the policy must not define any.
func TestDurationsStayInThePolicy(t *testing.T) {
	policy := policyFiles(t)
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") || slices.Contains(policy, name) {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if selector, ok := node.(*ast.SelectorExpr); ok && isDurationUnit(selector) {
				t.Errorf("%s uses time.%s, want durations in the policy files only", name, selector.Sel.Name)
			}
			return true
		})
	}
}

func isDurationUnit(selector *ast.SelectorExpr) bool {
	x, ok := selector.X.(*ast.Ident)
	units := []string{"Nanosecond", "Microsecond", "Millisecond", "Second", "Minute", "Hour"}
	return ok && x.Name == "time" && slices.Contains(units, selector.Sel.Name)
}
