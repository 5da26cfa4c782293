package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with the time since the start.
type recorder struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	broken []string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// logf adds a line.
func (r *recorder) logf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, values...))
}

func (r *recorder) write(line string) {
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), line)
}

// breakRule records that a rule of the pages was broken.
func (r *recorder) breakRule(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := "RULE BROKEN: " + fmt.Sprintf(format, values...)
	r.broken = append(r.broken, line)
	r.write(line)
}

// violations returns the lines of all broken rules.
func (r *recorder) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

func (r *recorder) close() { _ = r.file.Close() }
