package jobs

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/harewalk/harewalk/internal/rollout"
)

// State is a job's stored state. A job that is shown to users as running has the state Pending: whether it runs is
// derived from its tasks and isn't stored.
type State uint8

// The states of a job.
//
//	Pending -> Done       all tasks have finished
//	Pending -> Cancelled  a user cancelled the job
//
// Done and Cancelled are terminal.
const (
	Pending State = iota
	Done
	Cancelled
)

// String returns the state's name in records and answers.
func (s State) String() string { return [...]string{"pending", "done", "cancelled"}[s] }

// Terminal reports whether the state is final.
func (s State) Terminal() bool { return s != Pending }

// ParseState returns the state with a name in records and answers. Its error is an *UnknownStateError.
func ParseState(name string) (State, error) {
	for _, state := range []State{Pending, Done, Cancelled} {
		if name == state.String() {
			return state, nil
		}
	}
	return 0, &UnknownStateError{Name: name}
}

// The formats of job records.
const (
	// dependentRecordFormat is the format of the record of a pending job with predecessors. All other records have
	// format 1. The separate number keeps a release without support for predecessors from starting the job too early.
	dependentRecordFormat = 2
	// newestRecordFormat is the newest format that this release reads.
	newestRecordFormat = dependentRecordFormat
)

// Record is a job as the state service stores it. The record of a done job has no specification. The record of a
// cancelled job keeps it: after a failover its tasks may still be on machines, and they count against the team's limit
// until they are gone.
type Record struct {
	Format int       `json:"v,omitempty"` // 0 means 1
	State  string    `json:"stance"`
	AtMS   int64     `json:"at_ms,omitempty"` // time of submission, in wall-clock milliseconds
	Tasks  int       `json:"n"`               // number of tasks
	Spec   *WireSpec `json:"spec,omitempty"`
	// Follows is the packed form of Spec.Follows, which itself is not stored.
	Follows string `json:"follows,omitempty"`
}

// RecordPrefix is the prefix of the keys of job records.
const RecordPrefix = "h/j/"

// RecordKey returns the key of a job's record.
func RecordKey(id string) string { return RecordPrefix + id }

// IDOfKey returns the id of the job whose record has the given key, or "" if the key isn't that of a job's record.
func IDOfKey(key string) string {
	id, ok := strings.CutPrefix(key, RecordPrefix)
	if !ok {
		return ""
	}
	return id
}

// EncodeRecord returns the stored form of a job's record. submittedAtMS is the time of submission, in wall-clock
// milliseconds.
func EncodeRecord(state State, submittedAtMS int64, tasks int, spec *Spec) json.RawMessage {
	record := Record{State: state.String(), Tasks: tasks}
	if state != Done {
		record.AtMS = submittedAtMS
		record.Spec = storedSpec(state, spec)
	}
	if state == Pending && spec != nil && len(spec.Follows) > 0 {
		record.Format = dependentRecordFormat
		record.Follows = packIDs(spec.Follows)
	}
	raw, _ := json.Marshal(record) // can't fail: a specification has no NaN and no infinity
	return raw
}

// storedSpec returns the part of a specification that a record stores, nil if spec is nil. It omits the predecessors,
// which Record.Follows holds.
func storedSpec(state State, spec *Spec) *WireSpec {
	if spec == nil {
		return nil
	}
	stored := WireSpec(*spec)
	stored.Follows = nil
	if state == Cancelled {
		// The tasks' resources count against limits until the tasks are gone, but the machine types that they may use
		// don't matter any more. Without this list, the only part of unlimited size, the record fits into any value
		// that the state service accepts.
		stored.Types = nil
	}
	return &stored
}

// decodeRecord decodes a stored record. For a format above newestFormat it returns a *rollout.NewerFormatError.
func decodeRecord(raw json.RawMessage, newestFormat int) (Record, State, error) {
	var record Record
	if err := json.Unmarshal(raw, &record); err != nil {
		return record, 0, err
	}
	if record.Format > newestFormat {
		return record, 0, &rollout.NewerFormatError{Record: "record", Format: record.Format}
	}
	state, err := ParseState(record.State)
	if err != nil {
		return record, 0, err
	}
	if state == Pending && record.Spec == nil {
		return record, 0, errors.New("record of a pending job has no spec")
	}
	if record.Follows == "" {
		return record, state, nil
	}
	predecessors, err := unpackIDs(record.Follows)
	if err != nil {
		return record, 0, err
	}
	if record.Spec != nil {
		record.Spec.Follows = predecessors
	}
	return record, state, nil
}
