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

// mayImport says which layers a layer may import beside itself. Tests may import any.
var mayImport = map[string][]string{
	"parse":      {"."},
	"protocol":   {".", "parse"},
	"scheduler":  {".", "parse", "protocol"},
	"planning":   {".", "parse"},
	"server":     {".", "parse", "protocol", "scheduler", "planning"},
	"client":     {".", "parse", "protocol", "scheduler", "planning", "server"},
	"emulator":   {".", "parse", "protocol", "scheduler", "server"},
	"verify":     {".", "parse", "protocol", "scheduler", "planning", "server", "client", "emulator"},
	"cli":        {".", "parse", "protocol", "scheduler", "planning", "server", "client", "emulator", "verify"},
	"simadapter": {"."},
	"goldentest": {}, // for tests
}

// pure names the layers and packages that hold no socket, clock, goroutine or global.
var pure = []string{
	".", "parse", "protocol", "scheduler", "planning", "emulator/hostmodel", "verify/simulation", "verify/platformsim",
	"verify/rules", "verify/scenario", "verify/replay",
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

// layer returns the layer of an import path of this module: "." for the module itself, "" for none.
func layer(imported string) string {
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
		if l := layer(p); l != "" && l != own && !slices.Contains(mayImport[own], l) {
			wrong = append(wrong, fmt.Sprintf("%s imports %s: layer %s may import %v", dir, p, own, mayImport[own]))
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
func TestLayers(t *testing.T) {
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
		case ok && mayImport[strings.Split(inner, "/")[0]] == nil:
			t.Errorf("%s is of no layer; want one of those in this test", dir)
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
	for l := range mayImport {
		if _, err := os.Stat(l); err != nil {
			t.Errorf("layer %s is gone", l)
		}
	}
}

// What is forbidden is found.
func TestPlantedArrows(t *testing.T) {
	for text, c := range map[string]struct{ dir, want string }{
		`import "forkhead/internal/server/netio"`:                                {"scheduler/core", "layer scheduler may import"},
		`import "forkhead/internal/verify/rules"`:                                {"server/placer", "layer server may import"},
		`import "forkhead/internal/cli"`:                                         {"verify/chaos", "layer verify may import"},
		`import "net"`:                                                           {"scheduler/core", "imports net"},
		`import "net/http"`:                                                      {"parse/compose", "imports net/http"},
		`import "os"`:                                                            {"planning/solver", "imports os"},
		`import "sync/atomic"`:                                                   {"protocol/capture", "imports sync/atomic"},
		`import "github.com/lesismal/nbio"`:                                      {"emulator/hostmodel", "imports github.com/lesismal/nbio"},
		"import \"time\"\nvar x = time.Now()":                                    {".", "uses time.Now"},
		"import clock \"time\"\nvar x = clock.Sleep":                             {"verify/simulation", "uses clock.Sleep"},
		"import \"math/rand/v2\"\nvar x = rand.IntN(3)":                          {"scheduler/core", "uses rand.IntN"},
		"func f() { go f() }":                                                    {"scheduler/attempt", "starts a goroutine"},
		"import \"math/rand/v2\"\nvar x = rand.New(nil)":                         {"scheduler/core", ""},
		"import \"net/url\"\nimport \"time\"\nvar x time.Duration = time.Second": {"parse/compose", ""},
		`import "forkhead/internal/scheduler/core"`:                              {"server/placer", ""},
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
