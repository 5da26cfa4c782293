package main

import (
	"errors"
	"io"
	"path/filepath"
	"testing"
)

// The error of a file that can't be created or written names the flag that asked for it.
func TestOutputFileErrorNamesItsFlag(t *testing.T) {
	errWrite := errors.New("disk full")
	path := filepath.Join(t.TempDir(), "report.html")
	failing := outputFile{flag: "--html", name: "report", path: path, write: func(io.Writer) error { return errWrite }}
	if err := failing.create(); !errors.Is(err, errWrite) || err.Error() != "--html report: disk full" {
		t.Errorf("error %v", err)
	}
	failing.path = filepath.Join(path, "below-a-file")
	want := "--html: open " + failing.path + ": not a directory"
	if err := failing.create(); err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}
