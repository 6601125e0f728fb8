package internal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// codeName matches a reference to code in docs/architecture.md: the path of a package, then Function, Type or
// Type.method.
var codeName = regexp.MustCompile("`((?:[a-z0-9]+/)*[a-z0-9]+)\\.([A-Za-z]\\w*(?:\\.\\w+)?)`")

// fileExtensions lists extensions of file names, because codeName also matches file names.
var fileExtensions = map[string]bool{"md": true, "go": true, "toml": true}

// declaredNames returns the functions, types and methods of a package as Function, Type and Type.method.
func declaredNames(t *testing.T, dir string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			addDeclaredNames(names, declaration)
		}
	}
	return names
}

// addDeclaredNames adds the names that a declaration declares to names.
func addDeclaredNames(names map[string]bool, declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		names[receiverPrefix(declaration)+declaration.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			if spec, ok := spec.(*ast.TypeSpec); ok {
				names[spec.Name.Name] = true
			}
		}
	}
}

// receiverPrefix returns the receiver's type and a dot for a method, or "" for a function.
func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	receiver := function.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// docs/architecture.md must not refer to functions, types or methods that have been renamed or removed.
func TestArchitecturePageRefersToDeclaredNames(t *testing.T) {
	text, err := os.ReadFile("../docs/architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	declared := map[string]map[string]bool{}
	found := 0
	for _, match := range codeName.FindAllStringSubmatch(string(text), -1) {
		dir, name := match[1], match[2]
		if fileExtensions[name] {
			continue
		}
		if declared[dir] == nil {
			declared[dir] = declaredNames(t, packageDir(dir))
		}
		if !declared[dir][name] {
			t.Errorf("docs/architecture.md refers to %s.%s, want a name that package %s declares", dir, name, dir)
		}
		found++
	}
	if found < 50 {
		t.Errorf("references to code found in docs/architecture.md = %d, want at least 50; has the format of the page changed?", found)
	}
}

// packageDir returns the directory of a package, relative to that of this test.
func packageDir(path string) string {
	if path == module {
		return ".."
	}
	return path
}
