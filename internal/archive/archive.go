// Package archive keeps the answers about jobs that have ended, outside the keys that every controller follows, so
// that what a controller holds, follows and reads at its start depends on live and lately ended jobs only.
//
// An ended job is stored in exactly one of two places: its record under jobs.Prefix, or its answer under Prefix. One
// transaction moves it, and nothing moves it back. The place follows from the job's id alone, so an answer is found
// with one read and there is no index. Two rules follow for all other packages:
//
//   - A write that creates a job's record depends on the answer's key being absent as well as the record's. A first
//     submission whose transaction is carried out after the job has ended and been moved fails on that, however late
//     it is.
//   - A search for a job reads the record first and the answer second (Reader.Locate), or both in one transaction. In
//     the other order a move between the two reads would look like a job that was never accepted.
//
// The package has no clock and no goroutine. A Mover belongs to the leader's event loop, a Reader to every
// controller's. Neither decides which jobs have ended or for how long their records are retained: the controller
// does.
package archive

import (
	"fmt"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Prefix is where the answers of archived jobs are stored. No controller follows it.
const Prefix = "a/"

// Key returns the key of the answer about an archived job.
func Key(id string) string { return Prefix + id }

// Absent returns the condition that a job isn't archived. It goes with every write that creates a job's record.
func Absent(id string) store.Condition { return store.Condition{Key: Key(id)} }

// Answer is all that is kept of an archived job.
type Answer struct {
	State jobs.State // jobs.Done or jobs.Cancelled
	Tasks int
	Done  int // tasks that were done when the job ended; for display
}

// TxnLimitError is the error for a state service whose transactions are too small to move a job.
type TxnLimitError struct {
	Ops int // changes in one transaction, at most
}

// Error returns the message, which names the platform's setting.
func (e *TxnLimitError) Error() string {
	return fmt.Sprintf(
		`archive: "params.state.txn_ops" is %d, and moving a job takes %d changes in one transaction`,
		e.Ops,
		opsPerMove,
	)
}

// ValueLimitError is the error for a state service whose values are too small for an answer.
type ValueLimitError struct {
	Bytes int // of one value, at most
}

// Error returns the message, which names the platform's setting.
func (e *ValueLimitError) Error() string {
	return fmt.Sprintf(
		`archive: "params.state.value_kb" allows values of %d bytes, and an answer takes up to %d`,
		e.Bytes,
		maxRecordBytes,
	)
}

// Fits returns an error if jobs can't be archived within the state service's limits: changes in a transaction, and
// bytes of a value. The error is a *TxnLimitError or a *ValueLimitError.
func Fits(txnOps, valueBytes int) error {
	if txnOps < opsPerMove {
		return &TxnLimitError{Ops: txnOps}
	}
	if valueBytes < maxRecordBytes {
		return &ValueLimitError{Bytes: valueBytes}
	}
	return nil
}
