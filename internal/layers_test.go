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

// allowedImports lists the layers that each layer may import in addition to itself. Test files may import any layer.
var allowedImports = map[string][]string{
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
	"goldentest": {}, // used only by tests
	"seedtest":   {}, // the same
}

// purePaths lists the layers and packages that must not use sockets, clocks, goroutines or global state.
var purePaths = []string{
	".", "parse", "protocol", "scheduler", "planning", "emulator/hostmodel", "emulator/platformmodel",
	"verify/simulation", "verify/platformsim", "verify/rules", "verify/scenario", "verify/replay",
	"verify/platformreplay",
}

// Imports and names that are forbidden in pure packages.
var (
	// forbiddenImports lists import paths. Paths below them are forbidden, too.
	forbiddenImports = []string{"net", "net/http", "os", "sync", "syscall", "runtime", "unsafe", "github.com/lesismal", "go.etcd.io"}

	// forbiddenNames lists forbidden functions by the import path of their package. Those of math/rand use a global
	// generator.
	forbiddenNames = map[string][]string{
		"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"},
		"math/rand/v2": {
			"Int", "IntN", "Int32", "Int64", "Int64N", "N", "Uint32", "Uint64", "Uint64N", "Float32", "Float64", "ExpFloat64",
			"NormFloat64", "Perm", "Shuffle",
		},
		"math/rand": {"Int", "Intn", "Float64", "Perm", "Shuffle", "Seed"},
	}
)

// layer returns the layer that an import path belongs to: "." for the root package of this module, "" for paths of
// other modules.
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

// isPure reports whether the package in a directory is pure. dir is relative to internal; "." is the root package.
func isPure(dir string) bool {
	return slices.ContainsFunc(purePaths, func(p string) bool { return dir == p || p != "." && strings.HasPrefix(dir, p+"/") })
}

// isForbiddenInPure reports whether pure packages must not import a path.
func isForbiddenInPure(imported string) bool {
	if imported == "net/url" || imported == "net/netip" { // these packages only define values
		return false
	}
	return slices.ContainsFunc(forbiddenImports, func(i string) bool { return imported == i || strings.HasPrefix(imported, i+"/") })
}

// localName returns the name by which a file refers to an imported package.
func localName(spec *ast.ImportSpec, imported string) string {
	if spec.Name != nil {
		return spec.Name.Name
	}
	name := path.Base(imported)
	if strings.HasPrefix(name, "v") && len(name) == len("v2") {
		return path.Base(path.Dir(imported))
	}
	return name
}

// violations returns a description of each rule for layers and pure packages that a file breaks. dir is the directory
// of its package relative to internal; "." is the root package.
func violations(dir string, file *ast.File) []string {
	var wrong []string
	ownLayer, _, _ := strings.Cut(dir, "/")
	imports := map[string]string{} // import paths by local name
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return []string{err.Error()}
		}
		imports[localName(spec, imported)] = imported
		if l := layer(imported); l != "" && l != ownLayer && !slices.Contains(allowedImports[ownLayer], l) {
			wrong = append(wrong, fmt.Sprintf("%s imports %s: layer %s may import %v", dir, imported, ownLayer, allowedImports[ownLayer]))
		}
		if isPure(dir) && isForbiddenInPure(imported) {
			wrong = append(wrong, fmt.Sprintf("%s, which is pure, imports %s", dir, imported))
		}
	}
	if isPure(dir) {
		wrong = append(wrong, pureViolations(dir, file, imports)...)
	}
	return wrong
}

// pureViolations returns a description of each goroutine that a file of a pure package starts and each forbidden name
// that it uses. imports has the import paths of the file by local name.
func pureViolations(dir string, file *ast.File, imports map[string]string) []string {
	var wrong []string
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.GoStmt:
			wrong = append(wrong, dir+", which is pure, starts a goroutine")
		case *ast.SelectorExpr:
			name, ok := node.X.(*ast.Ident)
			if ok && name.Obj == nil && slices.Contains(forbiddenNames[imports[name.Name]], node.Sel.Name) {
				wrong = append(wrong, fmt.Sprintf("%s, which is pure, uses %s.%s", dir, name.Name, node.Sel.Name))
			}
		}
		return true
	})
	return wrong
}

// sourceFiles parses the Go files of the repository, except for tests and for files in hidden directories, journal and
// bin. The keys are their paths relative to the root of the repository.
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

// Each package belongs to a layer, imports only the layers in allowedImports, and has a doc comment. Pure
// packages use no sockets, clocks or goroutines.
func TestImportsFollowLayers(t *testing.T) {
	hasPackageDoc := map[string]bool{}
	files := sourceFiles(t)
	for _, name := range slices.Sorted(maps.Keys(files)) {
		dir, file := path.Dir(name), files[name]
		hasPackageDoc[dir] = hasPackageDoc[dir] || file.Doc != nil && len(strings.Fields(file.Doc.Text())) > 3
		fromInternal, isInternal := strings.CutPrefix(dir, "internal/")
		if !isInternal && dir != "." {
			continue
		}
		if isInternal && allowedImports[strings.Split(fromInternal, "/")[0]] == nil {
			t.Errorf("package %s belongs to no layer, want one of %v", dir, slices.Sorted(maps.Keys(allowedImports)))
			continue
		}
		for _, wrong := range violations(fromInternal, file) {
			t.Errorf("%s: got violation %q, want none", name, wrong)
		}
	}
	for dir, ok := range hasPackageDoc {
		if !ok {
			t.Errorf("package %s has no doc comment of more than 3 words, want one", dir)
		}
	}
	for l := range allowedImports {
		if _, err := os.Stat(l); err != nil {
			t.Errorf("directory of layer %s in allowedImports: %v, want it to exist", l, err)
		}
	}
}

func TestViolationsReportsForbiddenImportsNamesAndGoroutines(t *testing.T) {
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
			t.Errorf("violations(%q, %q) = %q, want a text that contains %q, or no text if that is empty", c.dir, text, wrong, c.want)
		}
	}
}
