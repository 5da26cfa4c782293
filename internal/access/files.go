// Package access decides who may connect and who may ask for what: the keys and certificates of
// TLS, and the users with their tokens. Both come from files that may change while the daemon runs:
// Check takes a changed file over whole, or keeps what it had and says why.
//
// Its state is read by connection goroutines and replaced as one pointer; nothing here knows the
// event loop.
package access

import (
	"crypto/sha256"
	"os"
)

// watchedFiles is a set of files that are read together.
type watchedFiles struct {
	names   []string
	lastSum [sha256.Size]byte // of what was read last, taken over or not
}

// read reads the files; changed tells whether anything differs from the last time.
func (w *watchedFiles) read() (raws [][]byte, changed bool, err error) {
	h := sha256.New()
	for _, n := range w.names {
		raw, err := os.ReadFile(n)
		if err != nil {
			return nil, false, err
		}
		raws = append(raws, raw)
		sum := sha256.Sum256(raw) // each on its own: what moves from one file to the next is a change
		h.Write(sum[:])
	}
	sum := [sha256.Size]byte(h.Sum(nil))
	changed = sum != w.lastSum
	w.lastSum = sum
	return raws, changed, nil
}
