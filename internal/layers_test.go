package internal

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
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
	".", "parse", "protocol", "scheduler", "planning", "emulator/hostmodel", "emulator/platformmodel",
	"verify/simulation", "verify/platformsim", "verify/rules", "verify/scenario", "verify/replay",
	"verify/platformreplay",
}

// What is forbidden in a pure package: imports, by themselves or with all below them, and names of a package.
var (
	impureImports = []string{"net", "net/http", "os", "sync", "syscall", "runtime", "unsafe", "github.com/lesismal", "go.etcd.io"}
	impureNames   = map[string][]string{
		"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"},
		"math/rand/v2": {
			"Int", "IntN", "Int32", "Int64", "Int64N", "N", "Uint32", "Uint64", "Uint64N", "Float32", "Float64", "ExpFloat64",
			"NormFloat64", "Perm", "Shuffle",
		},
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
	first, _, _ := strings.Cut(rest, "/")
	return first
}

func isPure(dir string) bool {
	return slices.ContainsFunc(pure, func(p string) bool { return dir == p || p != "." && strings.HasPrefix(dir, p+"/") })
}

// isImpure reports whether a pure package may not import a path.
func isImpure(imported string) bool {
	if imported == "net/url" || imported == "net/netip" { // values, no sockets
		return false
	}
	return slices.ContainsFunc(impureImports, func(i string) bool { return imported == i || strings.HasPrefix(imported, i+"/") })
}

// importName is the name by which a file uses an import.
func importName(spec *ast.ImportSpec, imported string) string {
	if spec.Name != nil {
		return spec.Name.Name
	}
	name := path.Base(imported)
	if strings.HasPrefix(name, "v") && len(name) == len("v2") {
		return path.Base(path.Dir(imported))
	}
	return name
}

// violations returns what is wrong with a file of a package, which is named from internal: "." is the module.
func violations(dir string, file *ast.File) []string {
	var wrong []string
	own, _, _ := strings.Cut(dir, "/")
	imports := map[string]string{} // paths by the names that the file uses
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return []string{err.Error()}
		}
		imports[importName(spec, imported)] = imported
		if l := layer(imported); l != "" && l != own && !slices.Contains(mayImport[own], l) {
			wrong = append(wrong, fmt.Sprintf("%s imports %s: layer %s may import %v", dir, imported, own, mayImport[own]))
		}
		if isPure(dir) && isImpure(imported) {
			wrong = append(wrong, fmt.Sprintf("%s, which is pure, imports %s", dir, imported))
		}
	}
	if isPure(dir) {
		wrong = append(wrong, impurities(dir, file, imports)...)
	}
	return wrong
}

// impurities returns what a file of a pure package does that it may not. imports are paths by the names that the file uses.
func impurities(dir string, file *ast.File, imports map[string]string) []string {
	var wrong []string
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.GoStmt:
			wrong = append(wrong, dir+", which is pure, starts a goroutine")
		case *ast.SelectorExpr:
			name, ok := node.X.(*ast.Ident)
			if ok && name.Obj == nil && slices.Contains(impureNames[imports[name.Name]], node.Sel.Name) {
				wrong = append(wrong, fmt.Sprintf("%s, which is pure, uses %s.%s", dir, name.Name, node.Sel.Name))
			}
		}
		return true
	})
	return wrong
}

// sourceFiles parses the Go files of the repository that are no tests, by their paths from its root.
func sourceFiles(t *testing.T) map[string]*ast.File {
	t.Helper()
	files := map[string]*ast.File{}
	fset := token.NewFileSet()
	err := filepath.WalkDir("..", func(name string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		fromRoot := filepath.ToSlash(strings.TrimPrefix(strings.TrimPrefix(name, ".."), string(filepath.Separator)))
		if entry.IsDir() {
			if strings.HasPrefix(entry.Name(), ".") && name != ".." || fromRoot == "journal" || fromRoot == "bin" {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		files[fromRoot], err = parser.ParseFile(fset, name, nil, parser.ParseComments)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// The tree is as internal/doc.go says.
func TestLayers(t *testing.T) {
	documented := map[string]bool{}
	files := sourceFiles(t)
	for _, name := range slices.Sorted(maps.Keys(files)) {
		dir, file := path.Dir(name), files[name]
		documented[dir] = documented[dir] || file.Doc != nil && len(strings.Fields(file.Doc.Text())) > 3
		fromInternal, isInternal := strings.CutPrefix(dir, "internal/")
		if !isInternal && dir != "." {
			continue
		}
		if isInternal && mayImport[strings.Split(fromInternal, "/")[0]] == nil {
			t.Errorf("%s is of no layer; want one of those in this test", dir)
			continue
		}
		for _, wrong := range violations(fromInternal, file) {
			t.Error(wrong)
		}
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
func TestViolations(t *testing.T) {
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
		wrong := strings.Join(violations(c.dir, f), "; ")
		if c.want == "" && wrong != "" || !strings.Contains(wrong, c.want) {
			t.Errorf("%s in %s: %q, want %q", text, c.dir, wrong, c.want)
		}
	}
}
