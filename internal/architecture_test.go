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

// codeName matches a name of code in docs/architecture.md: a package's path, then Function, Type or Type.method.
var codeName = regexp.MustCompile("`((?:[a-z0-9]+/)*[a-z0-9]+)\\.([A-Za-z]\\w*(?:\\.\\w+)?)`")

// notCode are the endings of file names, which look like names of code.
var notCode = map[string]bool{"md": true, "go": true, "toml": true}

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
			addDeclared(names, declaration)
		}
	}
	return names
}

func addDeclared(names map[string]bool, declaration ast.Decl) {
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

// receiverPrefix is the receiver's type with a dot, or "" for a function.
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

// The page that is read first names code that exists.
func TestArchitecturePageNamesCodeThatExists(t *testing.T) {
	text, err := os.ReadFile("../docs/architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	declared := map[string]map[string]bool{}
	found := 0
	for _, match := range codeName.FindAllStringSubmatch(string(text), -1) {
		dir, name := match[1], match[2]
		if notCode[name] {
			continue
		}
		if declared[dir] == nil {
			declared[dir] = declaredNames(t, packageFolder(dir))
		}
		if !declared[dir][name] {
			t.Errorf("%s.%s is not in the code", dir, name)
		}
		found++
	}
	if found < 50 {
		t.Errorf("%d names of code found, want at least 50: has the page's form changed?", found)
	}
}

func packageFolder(path string) string {
	if path == module {
		return ".."
	}
	return path
}
