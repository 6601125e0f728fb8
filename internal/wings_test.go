package internal

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "forkhead"

// may says which wings a wing may import beside itself. Tests may import any.
var may = map[string][]string{
	"reading":  {"."},
	"protocol": {".", "reading"},
	"placing":  {".", "reading", "protocol"},
	"planning": {".", "reading"},
	"running":  {".", "reading", "protocol", "placing", "planning"},
	"standins": {".", "reading", "protocol", "placing", "running"},
	"proving":  {".", "reading", "protocol", "placing", "planning", "running", "standins"},
	"cli":      {".", "reading", "protocol", "placing", "planning", "running", "standins", "proving"},
	"wire":     {"."},
}

// pure names the wings and packages that hold no socket, clock, goroutine or global.
var pure = []string{
	".", "reading", "protocol", "placing", "planning", "standins/standin", "proving/lives", "proving/nodelives", "proving/rules", "proving/script", "proving/tape",
}

// forbidden in a pure package: imports, by themselves or with all below them, and names of a package.
var (
	impure = []string{"net", "net/http", "os", "sync", "syscall", "runtime", "unsafe", "github.com/lesismal", "go.etcd.io"}
	calls  = map[string][]string{
		"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"},
		"math/rand/v2": {"Int", "IntN", "Int32", "Int64", "Int64N", "N", "Uint32", "Uint64", "Uint64N", "Float32", "Float64", "ExpFloat64",
			"NormFloat64", "Perm", "Shuffle"},
		"math/rand": {"Int", "Intn", "Float64", "Perm", "Shuffle", "Seed"},
	}
)

// wing returns the wing of an import path of this module: "." for the module itself, "" for none.
func wing(imported string) string {
	if imported == module {
		return "."
	}
	rest, ok := strings.CutPrefix(imported, module+"/internal/")
	if !ok {
		return ""
	}
	w, _, _ := strings.Cut(rest, "/")
	return w
}

func isPure(dir string) bool {
	return slices.ContainsFunc(pure, func(p string) bool { return dir == p || p != "." && strings.HasPrefix(dir, p+"/") })
}

// judge says what is wrong with a file of a package, named from internal: "." is the module.
func judge(dir string, f *ast.File) []string {
	var wrong []string
	own, _, _ := strings.Cut(dir, "/")
	names := map[string]string{}
	for _, im := range f.Imports {
		p, err := strconv.Unquote(im.Path.Value)
		if err != nil {
			return []string{err.Error()}
		}
		name := path.Base(p)
		if strings.HasPrefix(name, "v") && len(name) == 2 {
			name = path.Base(path.Dir(p))
		}
		if im.Name != nil {
			name = im.Name.Name
		}
		names[name] = p
		if w := wing(p); w != "" && w != own && !slices.Contains(may[own], w) {
			wrong = append(wrong, fmt.Sprintf("%s imports %s: wing %s may import %v", dir, p, own, may[own]))
		}
		if isPure(dir) && slices.ContainsFunc(impure, func(i string) bool { return p == i || strings.HasPrefix(p, i+"/") }) &&
			p != "net/url" && p != "net/netip" {
			wrong = append(wrong, fmt.Sprintf("%s, which is pure, imports %s", dir, p))
		}
	}
	if !isPure(dir) {
		return wrong
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			wrong = append(wrong, dir+", which is pure, starts a goroutine")
		case *ast.SelectorExpr:
			x, ok := n.X.(*ast.Ident)
			if ok && x.Obj == nil && slices.Contains(calls[names[x.Name]], n.Sel.Name) {
				wrong = append(wrong, fmt.Sprintf("%s, which is pure, uses %s.%s", dir, x.Name, n.Sel.Name))
			}
		}
		return true
	})
	return wrong
}

// The tree is as internal/doc.go says.
func TestWings(t *testing.T) {
	fset := token.NewFileSet()
	documented := map[string]bool{}
	err := filepath.WalkDir("..", func(name string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel := filepath.ToSlash(strings.TrimPrefix(strings.TrimPrefix(name, ".."), string(filepath.Separator)))
		if d.IsDir() {
			if strings.HasPrefix(d.Name(), ".") && name != ".." || rel == "journal" || rel == "bin" {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(fset, name, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		dir := path.Dir(rel)
		documented[dir] = documented[dir] || f.Doc != nil && len(strings.Fields(f.Doc.Text())) > 3
		switch inner, ok := strings.CutPrefix(dir, "internal/"); {
		case ok && may[strings.Split(inner, "/")[0]] == nil:
			t.Errorf("%s is of no wing; want one of those in this test", dir)
		case ok:
			for _, w := range judge(inner, f) {
				t.Error(w)
			}
		case dir == ".":
			for _, w := range judge(".", f) {
				t.Error(w)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for dir, ok := range documented {
		if !ok {
			t.Errorf("package %s has no doc comment", dir)
		}
	}
	for w := range may {
		if _, err := os.Stat(w); err != nil {
			t.Errorf("wing %s is gone", w)
		}
	}
}

// What is forbidden is found.
func TestPlantedArrows(t *testing.T) {
	for text, c := range map[string]struct{ dir, want string }{
		`import "forkhead/internal/running/netio"`:                               {"placing/core", "wing placing may import"},
		`import "forkhead/internal/proving/rules"`:                               {"running/placerd", "wing running may import"},
		`import "forkhead/internal/cli"`:                                         {"proving/badday", "wing proving may import"},
		`import "net"`:                                                           {"placing/core", "imports net"},
		`import "net/http"`:                                                      {"reading/compose", "imports net/http"},
		`import "os"`:                                                            {"planning/solve", "imports os"},
		`import "sync/atomic"`:                                                   {"protocol/record", "imports sync/atomic"},
		`import "github.com/lesismal/nbio"`:                                      {"standins/standin", "imports github.com/lesismal/nbio"},
		"import \"time\"\nvar x = time.Now()":                                    {".", "uses time.Now"},
		"import clock \"time\"\nvar x = clock.Sleep":                             {"proving/lives", "uses clock.Sleep"},
		"import \"math/rand/v2\"\nvar x = rand.IntN(3)":                          {"placing/core", "uses rand.IntN"},
		"func f() { go f() }":                                                    {"placing/attempt", "starts a goroutine"},
		"import \"math/rand/v2\"\nvar x = rand.New(nil)":                         {"placing/core", ""},
		"import \"net/url\"\nimport \"time\"\nvar x time.Duration = time.Second": {"reading/compose", ""},
		`import "forkhead/internal/placing/core"`:                                {"running/placerd", ""},
	} {
		f, err := parser.ParseFile(token.NewFileSet(), "x.go", "package x\n"+text, 0)
		if err != nil {
			t.Fatal(err)
		}
		wrong := strings.Join(judge(c.dir, f), "; ")
		if c.want == "" && wrong != "" || !strings.Contains(wrong, c.want) {
			t.Errorf("%s in %s: %q, want %q", text, c.dir, wrong, c.want)
		}
	}
}
