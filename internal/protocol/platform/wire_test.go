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

// wireConstants returns the typed constants of wire.go with what they are on the wire.
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
			if !ok || value.Type == nil { // NoCause and sizes, which are not on the wire
				continue
			}
			words[value.Names[0].Name] = strings.Trim(literal.Value, `"`)
		}
	}
	return words
}

// packageTable returns the package comment, which holds the table.
func packageTable(t *testing.T) string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "doc.go", nil, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	return file.Doc.Text()
}

// The package comment's table translates each constant of the wire.
func TestPackageTableHoldsWireConstants(t *testing.T) {
	constants, table := wireConstants(t), packageTable(t)
	if len(constants) < 40 {
		t.Fatalf("%d constants are found in wire.go; this tests nothing", len(constants))
	}
	for name, word := range constants {
		row := regexp.MustCompile(`(?m)^.*\b` + name + `\b.*$`).FindString(table)
		if !regexp.MustCompile(`\b` + regexp.QuoteMeta(word) + `\b`).MatchString(row) {
			t.Errorf("%s is %q on the wire; its row is %q", name, word, row)
		}
	}
}

// The package comment's table translates each JSON key of the watch that has another name here.
func TestPackageTableHoldsWatchKeys(t *testing.T) {
	table := packageTable(t)
	for _, value := range []any{WatchEvent{}, EndpointList{}, Endpoint{}} {
		owner := reflect.TypeOf(value)
		for i := range owner.NumField() {
			field := owner.Field(i)
			row := fmt.Sprintf(`(?m)\b%s +%s\.%s$`, field.Tag.Get("json"), owner.Name(), field.Name)
			if !regexp.MustCompile(row).MatchString(table) {
				t.Errorf("no row %s for %s", strconv.Quote(row), field.Name)
			}
		}
	}
}
