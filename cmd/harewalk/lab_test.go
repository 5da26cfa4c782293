package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// `harewalk lab` prints tables or JSON, without progress in a pipe, and writes a report. A wrong scenario ends with
// exit code 2 and an error that names the setting.
func TestLabPrintsAndWritesReports(t *testing.T) {
	dir := t.TempDir()
	file, page := filepath.Join(dir, "s.hcl"), filepath.Join(dir, "report.html")
	scenario := `
name       = "two minutes"
duration_s = 120
machines   = 4
type "m" {
  cpus      = 8
  memory_gb = 32
  price     = 1
  boot_s    = 5
}
team "red" {}
load "arrays" {
  team       = "red"
  cpus       = 1
  per_minute = 10
  tasks "fixed" { value = 4 }
  seconds "fixed" { value = 5 }
}
fault {
  at_s = 60
  do   = "drain-leader 5s"
}
`
	writeFile(t, file, scenario)
	out, code := runCommand(t, "lab", file, "--html", page)
	if code != 0 || !strings.Contains(out, "drain-leader 5s") || strings.Contains(out, "\r") {
		t.Fatalf("table: got exit code %d, want 0, the fault's row and no progress; output: %q", code, out)
	}
	if raw, err := os.ReadFile(page); err != nil || !strings.Contains(string(raw), "<svg") {
		t.Fatalf("report: got error %v, want a file with <svg", err)
	}
	out, code = runCommand(t, "lab", file, "-o", "json", "--repetitions", "2")
	if code != 0 || !strings.Contains(out, `"seeds": [`) || !strings.HasPrefix(out, "{") {
		t.Fatalf("JSON: got exit code %d, want 0 and an object with seeds; output: %s", code, out)
	}
	expectCommand(t, 0, "at_s=60", "lab", file, "--repetitions", "1", "--log-level", "info")
	writeFile(t, file, strings.Replace(scenario, "per_minute = 10", "per_minute = 0", 1))
	expectCommand(t, 2, "PerMinute", "lab", file)
	if _, code := runCommand(t, "lab", filepath.Join(dir, "none.hcl")); code != 2 {
		t.Fatalf("missing scenario file: got exit code %d, want 2", code)
	}
}
