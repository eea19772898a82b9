package docs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// minTestNames is how many names of tests the pages have at least: fewer mean that the test reads the pages wrongly.
const minTestNames = 80

// pagePatterns match the pages whose names have to be there in the tree.
var pagePatterns = []string{"*.md", "incidents/*.md", "../README.md"}

var (
	// testReference is the name of a test, fuzz target or benchmark, with or without its package's name before it.
	testReference = regexp.MustCompile(`^(?:[a-z][a-z0-9]*\.)?(?:Test|Fuzz|Benchmark)[A-Z]\w*$`)
	// goFileReference is the path of a Go file from the root of the tree; it may hold the wildcards of filepath.Match.
	goFileReference = regexp.MustCompile(`^(?:policy|internal|cmd)/\S*\.go$`)
)

// TestPagesNameExistingTests checks that each test, fuzz target and benchmark that a page names in backquotes is declared in a
// test file, and in the package that the page gives.
func TestPagesNameExistingTests(t *testing.T) {
	declared := declaredTests(t, "..")
	names := 0
	for _, page := range findPages(t) {
		for _, name := range quotedNames(t, page, testReference) {
			names++
			if !declared[name] {
				t.Errorf("%s: no test file declares %s", page, name)
			}
		}
	}
	if names < minTestNames {
		t.Errorf("only %d names of tests were found on the pages, fewer than %d", names, minTestNames)
	}
}

// TestPagesNameExistingGoFiles checks that each path of a Go file that a page names in backquotes exists.
func TestPagesNameExistingGoFiles(t *testing.T) {
	names := 0
	for _, page := range findPages(t) {
		for _, name := range quotedNames(t, page, goFileReference) {
			names++
			matches, err := filepath.Glob(filepath.Join("..", filepath.FromSlash(name)))
			if err != nil {
				t.Errorf("%s: %s is no path: %v", page, name, err)
				continue
			}
			if len(matches) == 0 {
				t.Errorf("%s: no file is at %s", page, name)
			}
		}
	}
	if names == 0 {
		t.Error("no path of a Go file was found on the pages")
	}
}

// findPages returns the paths of all pages. Each pattern has to match one at least.
func findPages(t *testing.T) []string {
	t.Helper()
	var pages []string
	for _, pattern := range pagePatterns {
		matches, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		if len(matches) == 0 {
			t.Fatalf("no page matches %s", pattern)
		}
		pages = append(pages, matches...)
	}
	return pages
}

// quotedNames returns what stands in backquotes on a page and matches an expression as a whole.
func quotedNames(t *testing.T, page string, expression *regexp.Regexp) []string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, match := range quoted.FindAllStringSubmatch(string(text), -1) {
		if expression.MatchString(match[1]) {
			names = append(names, match[1])
		}
	}
	return names
}

// declaredTests collects the functions of the test files below a folder, each as Name and as package.Name.
func declaredTests(t *testing.T, root string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(file string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(file, "_test.go") {
			return err
		}
		return addTests(names, file)
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// addTests adds the functions of one test file. A file in an external test package counts as one of the package that it tests.
func addTests(names map[string]bool, file string) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		return fmt.Errorf("parse test file: %w", err)
	}
	packageName := strings.TrimSuffix(parsed.Name.Name, "_test")
	for _, declaration := range parsed.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok || function.Recv != nil {
			continue
		}
		names[function.Name.Name] = true
		names[packageName+"."+function.Name.Name] = true
	}
	return nil
}
