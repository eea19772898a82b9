// Package docs has no code: its test holds the pages to the code.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// architecturePage names packages, files and declarations of the program, each in backquotes.
const architecturePage = "ARCHITECTURE.md"

// minNames is how many names the page has at least: fewer mean that the test reads it wrongly.
const minNames = 60

// sourceFolders are the folders whose names the page may use as paths.
var sourceFolders = []string{"cmd", "internal", "policy", "docs", "deploy", "scenarios", ".ci"}

var (
	quoted     = regexp.MustCompile("`([^`\n]+)`")
	identifier = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z]\w*)(?:\.([A-Za-z]\w*))?$`)
)

// TestArchitectureNamesExist checks that each path, and each name of the form package.Name or package.Type.Member, that stands
// in backquotes on the architecture page is there in the code.
func TestArchitectureNamesExist(t *testing.T) {
	text, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	declared := declaredNames(t, "..")
	names := 0
	for _, match := range quoted.FindAllStringSubmatch(string(text), -1) {
		name := match[1]
		switch {
		case isSourcePath(name):
			names++
			if _, err := os.Stat(filepath.Join("..", name)); err != nil {
				t.Errorf("%s is no path: %v", name, err)
			}
		case identifier.MatchString(name):
			names++
			if !declared[name] {
				t.Errorf("%s is declared nowhere", name)
			}
		}
	}
	if names < minNames {
		t.Errorf("only %d names were found on the page", names)
	}
}

// isSourcePath reports whether a name on the page is a path in the tree.
func isSourcePath(name string) bool {
	first, _, nested := strings.Cut(name, "/")
	for _, folder := range sourceFolders {
		if first == folder && (nested || name == "policy") {
			return !strings.ContainsAny(name, " *")
		}
	}
	return false
}

// declaredNames collects what the packages below a folder declare outside their tests, as package.Name and package.Type.Member.
func declaredNames(t *testing.T, root string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || path.Ext(file) != ".go" || strings.HasSuffix(file, "_test.go") {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, declaration := range parsed.Decls {
			addDeclaration(names, parsed.Name.Name, declaration)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func addDeclaration(names map[string]bool, packageName string, declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		if receiver := receiverType(declaration); receiver != "" {
			names[packageName+"."+receiver+"."+declaration.Name.Name] = true
			return
		}
		names[packageName+"."+declaration.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			addSpec(names, packageName, spec)
		}
	}
}

func addSpec(names map[string]bool, packageName string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names[packageName+"."+name.Name] = true
		}
	case *ast.TypeSpec:
		names[packageName+"."+spec.Name.Name] = true
		structure, ok := spec.Type.(*ast.StructType)
		if !ok {
			return
		}
		for _, field := range structure.Fields.List {
			for _, name := range field.Names {
				names[packageName+"."+spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// receiverType is the name of a method's receiver type; empty for a function.
func receiverType(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	expression := function.Recv.List[0].Type
	if pointer, ok := expression.(*ast.StarExpr); ok {
		expression = pointer.X
	}
	switch receiver := expression.(type) {
	case *ast.Ident:
		return receiver.Name
	case *ast.IndexExpr:
		if base, ok := receiver.X.(*ast.Ident); ok {
			return base.Name
		}
	}
	return ""
}
