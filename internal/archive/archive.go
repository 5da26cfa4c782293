// Package archive keeps the answers about jobs that have ended, outside the keys that every controller follows, so
// that what a controller holds, follows and reads at its start depends on live and lately ended jobs only.
//
// An ended job stands in exactly one of two places: its record under jobs.Prefix, or its answer under Prefix. One
// transaction moves it, and nothing moves it back. The place follows from the job's id alone, so an answer is found
// with one read and there is no index. Two rules follow for everybody else:
//
//   - Who makes a job's record depends on the answer's key being absent as well as the record's. A first submission
//     whose transaction lands after the job has ended and been moved fails on that, however late it is.
//   - Who looks for a job reads the record first and the answer second, or both in one transaction. In the other
//     order a move between the two reads would look like a job that was never accepted.
//
// The package has no clock and no goroutine. Mover belongs to the leader's event loop, Reader to every controller's.
package archive

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Prefix is where the answers of archived jobs stand. Nobody follows it.
const Prefix = "a/"

// Key is where the answer about a job stands once it is archived.
func Key(id string) string { return Prefix + id }

// Absent is the condition that a job isn't archived. It goes with every write that makes a job's record.
func Absent(id string) store.Condition { return store.Condition{Key: Key(id)} }

// Answer is all that is ever told of an archived job.
type Answer struct {
	State jobs.State // jobs.Done or jobs.Cancelled
	Tasks int
	Done  int // tasks that were done when it ended; for display
}

// record is an answer's stored form, format 1.
type record struct {
	Format int    `json:"v,omitempty"` // 0: 1
	Stance string `json:"stance"`
	Tasks  int    `json:"n"`
	Done   int    `json:"done"`
}

// newestFormat is the newest stored form that this release reads.
const newestFormat = 1

// ErrUnreadable wraps every reason why a stored answer can't be read. Nothing may be told of its job, and nothing done.
var ErrUnreadable = errors.New("an archived answer cannot be read")

// Encode writes an answer.
func Encode(answer Answer) json.RawMessage {
	raw, _ := json.Marshal(record{Stance: answer.State.String(), Tasks: answer.Tasks, Done: answer.Done})
	return raw
}

// MaxRecordBytes is more than the largest stored answer takes.
const MaxRecordBytes = 96

// Decode reads an answer. Its error wraps ErrUnreadable.
func Decode(raw json.RawMessage) (Answer, error) {
	var r record
	if err := json.Unmarshal(raw, &r); err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if r.Format > newestFormat {
		return Answer{}, fmt.Errorf("%w: format %d", ErrUnreadable, r.Format)
	}
	for _, s := range []jobs.State{jobs.Done, jobs.Cancelled} {
		if r.Stance == s.String() {
			return Answer{State: s, Tasks: r.Tasks, Done: r.Done}, nil
		}
	}
	return Answer{}, fmt.Errorf("%w: stance %q", ErrUnreadable, r.Stance)
}

// MinTxnOps is how many changes a transaction must be able to hold for a job to be moved: the answer's key is
// written and the record's dropped together.
const MinTxnOps = 2

// Fits tells whether jobs can be archived within the state service's limits: changes in a transaction, and bytes of a
// value. Its error names the limit that is too small.
func Fits(txnOps, valueBytes int) error {
	if txnOps < MinTxnOps {
		return fmt.Errorf("archive: \"params.state.txn_ops\" is %d, and moving a job takes %d changes in one transaction", txnOps, MinTxnOps)
	}
	if valueBytes < MaxRecordBytes {
		return fmt.Errorf("archive: \"params.state.value_kb\" allows values of %d bytes, and an answer takes up to %d", valueBytes, MaxRecordBytes)
	}
	return nil
}
