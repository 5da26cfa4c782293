// Package access authenticates connections and users. It holds the TLS keys and certificates, and the users with their
// tokens and teams.
//
// Both come from files that may change while the daemon runs. Reload applies changed files completely, or returns an
// error and keeps the former state. The package never decides whether a request is served: it only tells packages api
// and peers the client's identity. Package config loads the files, and the controller calls Reload periodically.
//
// Connection goroutines read the state, which is replaced atomically as one pointer. Only one goroutine at a time may
// call Reload.
package access

import (
	"crypto/sha256"
	"os"
)

// watchedFiles is a set of files that are read together and checked for changes.
type watchedFiles struct {
	paths   []string
	lastSum [sha256.Size]byte // checksum of the contents read last, valid or not
}

// read returns the contents of the files, and whether any of them has changed since the last successful read.
func (w *watchedFiles) read() (contents [][]byte, changed bool, err error) {
	total := sha256.New()
	for _, path := range w.paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, false, err
		}
		contents = append(contents, content)
		// The total is over a checksum of each file, so that it also changes if bytes move from one file to the next.
		sum := sha256.Sum256(content)
		total.Write(sum[:])
	}
	sum := [sha256.Size]byte(total.Sum(nil))
	changed = sum != w.lastSum
	w.lastSum = sum
	return contents, changed, nil
}
