// Package access authenticates connections and users: it holds the keys and certificates of TLS, and the users with
// their tokens and teams.
//
// Both come from files that may change while the daemon runs. Reload takes changed files over as a whole, or returns an
// error and keeps the former state. The package never decides whether a request is served: api and peers ask it who the
// client is. Package config loads the files, and the controller calls Reload from time to time.
//
// The state is read by connection goroutines and replaced as one pointer; Reload is called by one goroutine at a time.
package access

import (
	"crypto/sha256"
	"os"
)

// watchedFiles is a set of files that are read together.
type watchedFiles struct {
	paths   []string
	lastSum [sha256.Size]byte // of the last contents that were read, whether they were valid or not
}

// read returns the contents of the files, and whether any differs from the last time.
func (w *watchedFiles) read() (contents [][]byte, changed bool, err error) {
	total := sha256.New()
	for _, path := range w.paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, false, err
		}
		contents = append(contents, content)
		// A sum of each file: bytes that move from one file to the next are a change.
		sum := sha256.Sum256(content)
		total.Write(sum[:])
	}
	sum := [sha256.Size]byte(total.Sum(nil))
	changed = sum != w.lastSum
	w.lastSum = sum
	return contents, changed, nil
}
