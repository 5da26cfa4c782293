package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/rollout"
)

// architecturePage is the page of architecture, beside the repository's other documents.
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
	for _, format := range rollout.RecordFormats {
		if !strings.Contains(page, "`"+format.Prefix+"`") {
			t.Errorf("the table lacks %q, where records of kind %s stand", format.Prefix, format.Kind)
		}
	}
}

func TestArchitectureNamesNoPrefixWithoutRecords(t *testing.T) {
	prefix := regexp.MustCompile("`((?:h|p|a|s)/[a-z@/]*)`")
	known := map[string]bool{"h/": true} // the prefix of all that is followed
	for _, format := range rollout.RecordFormats {
		known[format.Prefix] = true
	}
	for _, found := range prefix.FindAllStringSubmatch(readArchitecture(t), -1) {
		if !known[found[1]] {
			t.Errorf("the page names prefix %q, where no record stands", found[1])
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
			t.Errorf("the page doesn't name package %s", entry.Name())
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
