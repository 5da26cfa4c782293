package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/rollout"
)

// architecturePage is the path of the architecture page.
var architecturePage = filepath.Join("..", "..", "docs", "architecture.md")

func readArchitecture(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

func TestArchitectureNamesEveryKeyPrefix(t *testing.T) {
	page := readArchitecture(t)
	for _, format := range rollout.RecordKinds {
		if !strings.Contains(page, "`"+format.Prefix+"`") {
			t.Errorf("the page does not name prefix %q of records of kind %s", format.Prefix, format.Kind)
		}
	}
}

func TestArchitectureNamesNoPrefixWithoutRecords(t *testing.T) {
	prefix := regexp.MustCompile("`((?:h|p|a|s)/[a-z@/]*)`")
	known := map[string]bool{"h/": true} // the common prefix of all watched keys
	for _, format := range rollout.RecordKinds {
		known[format.Prefix] = true
	}
	for _, found := range prefix.FindAllStringSubmatch(readArchitecture(t), -1) {
		if !known[found[1]] {
			t.Errorf("the page names prefix %q, but no record format has it", found[1])
		}
	}
}

func TestArchitectureNamesEveryPackage(t *testing.T) {
	page := readArchitecture(t)
	entries, err := os.ReadDir(filepath.Join("..", "..", "internal"))
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		isNamed := strings.Contains(page, "`"+entry.Name()) || strings.Contains(page, "internal/"+entry.Name())
		if entry.IsDir() && !isNamed {
			t.Errorf("the page does not name package %s", entry.Name())
		}
	}
}

func TestArchitectureNamesFilesThatExist(t *testing.T) {
	file := regexp.MustCompile("`((?:internal/|cmd/)?[a-z]+/[a-z]+(?:/[a-z]+)?\\.go)`")
	for _, found := range file.FindAllStringSubmatch(readArchitecture(t), -1) {
		path := found[1]
		if !strings.HasPrefix(path, "internal/") && !strings.HasPrefix(path, "cmd/") {
			path = "internal/" + path
		}
		if _, err := os.Stat(filepath.Join("..", "..", path)); err != nil {
			t.Errorf("the page names %s: %v", found[1], err)
		}
	}
}

// repositoryRoot is the path of the repository's root from the working directory of this package's tests.
var repositoryRoot = filepath.Join("..", "..")

// docPages returns the texts of the pages that match the patterns, by path. Patterns are relative to the repository's
// root. Callers leave out the journal and the incidents, which describe former states of the code.
func docPages(t *testing.T, patterns ...string) map[string]string {
	t.Helper()
	pages := map[string]string{}
	for _, pattern := range patterns {
		paths, err := filepath.Glob(filepath.Join(repositoryRoot, filepath.FromSlash(pattern)))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			pages[path] = string(text)
		}
	}
	if len(pages) == 0 {
		t.Fatalf("no page matches the patterns %q", patterns)
	}
	return pages
}

// testFunctions returns the names of all test functions of the repository.
func testFunctions(t *testing.T) map[string]bool {
	t.Helper()
	declaration := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	names := map[string]bool{}
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, found := range declaration.FindAllStringSubmatch(string(source), -1) {
			names[found[1]] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func TestDocsNameTestsThatExist(t *testing.T) {
	testName := regexp.MustCompile(`\bTest[A-Z]\w*`)
	exists := testFunctions(t)
	named := 0
	for path, text := range docPages(t, "docs/*.md", "docs/days/*", "README.md") {
		for _, name := range testName.FindAllString(text, -1) {
			named++
			if !exists[name] {
				t.Errorf("%s names %s, which no test file declares", path, name)
			}
		}
	}
	if named == 0 {
		t.Error("no page names a test: the regular expression no longer matches")
	}
}

func TestDocsNamePathsThatExist(t *testing.T) {
	sourcePath := regexp.MustCompile(`\b(?:internal|cmd)/[\w./-]*\w`)
	named := 0
	for path, text := range docPages(t, "docs/*.md", "README.md") {
		for _, source := range sourcePath.FindAllString(text, -1) {
			named++
			if _, err := os.Stat(filepath.Join(repositoryRoot, filepath.FromSlash(source))); err != nil {
				t.Errorf("%s names %s: %v", path, source, err)
			}
		}
	}
	if named == 0 {
		t.Error("no page names a path: the regular expression no longer matches")
	}
}
