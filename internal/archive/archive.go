// Package archive stores ended jobs as small entries outside the keys that every controller follows with a watch. The
// memory of a controller, its watch and its reads at startup therefore depend only on live and recently ended jobs.
//
// An ended job is stored in exactly one of two places: as its record under jobs.RecordPrefix, or as its archive entry
// under Prefix. One transaction moves it to the archive, and no transaction moves it back. The entry's key follows from
// the job's id, so an entry is found with one read and there is no index. Two rules follow for all other packages:
//
//   - A write that creates a job's record depends on the absence of both the record's key and the entry's key. The
//     transaction of a first submission thus fails if it arrives after the job has ended and was moved, no matter how
//     late.
//   - A search for a job reads the record first and the entry second (Reader.Locate), or both in one transaction. In
//     the opposite order, a job that is moved between the two reads would look as if it had never been accepted.
//
// The package has no clock and no goroutine. An Archiver runs in the leader's event loop, a Reader in that of every
// controller. The controller decides which jobs have ended and how long their records are retained.
package archive

import (
	"fmt"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Prefix is the key prefix of the archive entries. Controllers do not watch these keys.
const Prefix = "a/"

// Key returns the key of a job's archive entry.
func Key(id string) string { return Prefix + id }

// AbsentCondition returns the condition that a job has no archive entry. Every write that creates a job's record needs
// it.
func AbsentCondition(id string) store.Condition { return store.Condition{Key: Key(id)} }

// Entry is a job's archive entry: all that is stored of an archived job.
type Entry struct {
	State jobs.State // jobs.Done or jobs.Cancelled
	Tasks int
	Done  int // number of tasks that were done when the job ended; for display only
}

// TxnLimitError is the error of CheckLimits if the state service's transactions allow too few changes to move a job.
type TxnLimitError struct {
	Ops int // maximum number of changes in one transaction
}

// Error returns a message that names the setting of the platform.
func (e *TxnLimitError) Error() string {
	return fmt.Sprintf(
		`archive: "params.state.txn_ops" is %d, but moving a job takes %d changes in one transaction`,
		e.Ops,
		opsPerMove,
	)
}

// ValueLimitError is the error of CheckLimits if the state service's values are too small for an archive entry.
type ValueLimitError struct {
	Bytes int // maximum size of one value
}

// Error returns a message that names the setting of the platform.
func (e *ValueLimitError) Error() string {
	return fmt.Sprintf(
		`archive: "params.state.value_kb" allows values of %d bytes, but an archive entry takes up to %d`,
		e.Bytes,
		maxEntryBytes,
	)
}

// CheckLimits returns an error if the state service's limits are too small for archiving a job. txnOps is the maximum
// number of changes in a transaction, valueBytes the maximum size of a value. The error is a *TxnLimitError or a
// *ValueLimitError.
func CheckLimits(txnOps, valueBytes int) error {
	if txnOps < opsPerMove {
		return &TxnLimitError{Ops: txnOps}
	}
	if valueBytes < maxEntryBytes {
		return &ValueLimitError{Bytes: valueBytes}
	}
	return nil
}
