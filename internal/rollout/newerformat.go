package rollout

import "fmt"

// NewerFormatError is the error for a stored record in a format that is newer than those this release reads.
type NewerFormatError struct {
	Record string // the kind of record, for operators; "" where the context names it
	Format int
}

// Error returns the message, which operators read among the records that can't be read.
func (e *NewerFormatError) Error() string {
	if e.Record == "" {
		return fmt.Sprintf("format %d", e.Format)
	}
	return fmt.Sprintf("%s in format %d", e.Record, e.Format)
}
