package main

import (
	"errors"
	"io"
	"path/filepath"
	"testing"
)

// If an output file can't be created or written, the error names the flag.
func TestOutputFileErrorNamesItsFlag(t *testing.T) {
	errWrite := errors.New("disk full")
	path := filepath.Join(t.TempDir(), "report.html")
	failing := outputFile{flag: "--html", name: "report", path: path, write: func(io.Writer) error { return errWrite }}
	if err := failing.create(); !errors.Is(err, errWrite) || err.Error() != "--html report: disk full" {
		t.Errorf("failed write: got error %v, want --html report: disk full", err)
	}
	failing.path = filepath.Join(path, "below-a-file")
	want := "--html: open " + failing.path + ": not a directory"
	if err := failing.create(); err == nil || err.Error() != want {
		t.Errorf("failed creation: got error %v, want %s", err, want)
	}
}
