package platform

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// wireConstants returns the typed constants of wire.go by name, with their values on the wire.
func wireConstants(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "wire.go", nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	words := map[string]string{}
	for _, declaration := range file.Decls {
		group, ok := declaration.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			value := spec.(*ast.ValueSpec)
			literal, ok := value.Values[0].(*ast.BasicLit)
			if !ok || value.Type == nil { // skips NoCause and the sizes, which are not on the wire
				continue
			}
			words[value.Names[0].Name] = strings.Trim(literal.Value, `"`)
		}
	}
	return words
}

// packageTable returns the package comment, which contains the table of terms.
func packageTable(t *testing.T) string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "doc.go", nil, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	return file.Doc.Text()
}

// The table in the package comment has a row for each wire constant, with its value on the wire.
func TestPackageTableHoldsWireConstants(t *testing.T) {
	constants, table := wireConstants(t), packageTable(t)
	if len(constants) < 40 {
		t.Fatalf("constants found in wire.go: got %d, want at least 40; the test would check nothing", len(constants))
	}
	for name, word := range constants {
		row := regexp.MustCompile(`(?m)^.*\b` + name + `\b.*$`).FindString(table)
		if !regexp.MustCompile(`\b` + regexp.QuoteMeta(word) + `\b`).MatchString(row) {
			t.Errorf("table row of %s: got %q, want a row with its value on the wire, %q", name, row, word)
		}
	}
}

// The table in the package comment has a row for each JSON key of the watch, with its field.
func TestPackageTableHoldsWatchKeys(t *testing.T) {
	table := packageTable(t)
	for _, value := range []any{WatchEvent{}, EndpointList{}, Endpoint{}} {
		owner := reflect.TypeOf(value)
		for i := range owner.NumField() {
			field := owner.Field(i)
			row := fmt.Sprintf(`(?m)\b%s +%s\.%s$`, field.Tag.Get("json"), owner.Name(), field.Name)
			if !regexp.MustCompile(row).MatchString(table) {
				t.Errorf("table row of %s.%s: got none, want one that matches %s", owner.Name(), field.Name, strconv.Quote(row))
			}
		}
	}
}
