package rollout

import "fmt"

// NewerFormatError is the error for a stored record in a format that is newer than those this release reads.
type NewerFormatError struct {
	Record string // the kind of record, for operators; "" if the context of the error names it
	Format int    // the format that the record names
}

// Error returns the cause that operators read in the list of unreadable records.
func (e *NewerFormatError) Error() string {
	if e.Record == "" {
		return fmt.Sprintf("format %d", e.Format)
	}
	return fmt.Sprintf("%s in format %d", e.Record, e.Format)
}
