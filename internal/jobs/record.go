package jobs

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/harewalk/harewalk/internal/rollout"
)

// State is a job's state as it is stored and as users see it. A job that users see as running is Pending here:
// running is derived from its tasks and isn't stored.
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

// Terminal reports whether the state can't change any more.
func (s State) Terminal() bool { return s != Pending }

// ParseState returns the state of a name in records and answers. Its error is an *UnknownStateError.
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
	// dependentRecordFormat is that of a pending job with predecessors; all others have format 1. A release that
	// doesn't know it must not start the job, so it has a number of its own.
	dependentRecordFormat = 2
	// newestRecordFormat is the newest format that this release reads.
	newestRecordFormat = dependentRecordFormat
)

// Record is a job as the state service stores it. That of a done job has no specification. That of a cancelled one
// keeps it: its tasks may still be on machines when another controller takes over, and count against the team's limit
// until they are gone.
type Record struct {
	Format int       `json:"v,omitempty"` // 0 means 1
	State  string    `json:"stance"`
	AtMS   int64     `json:"at_ms,omitempty"` // submission, in wall-clock milliseconds
	Tasks  int       `json:"n"`
	Spec   *WireSpec `json:"spec,omitempty"`
	// Follows holds Spec.Follows, which is left out there, in packed form.
	Follows string `json:"follows,omitempty"`
}

// Prefix is the prefix of the keys of job records.
const Prefix = "h/j/"

// RecordKey returns the key of a job's record.
func RecordKey(id string) string { return Prefix + id }

// IDOfKey returns the id of the job whose record stands at a key, "" if the key isn't that of a job's record.
func IDOfKey(key string) string {
	id, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return ""
	}
	return id
}

// EncodeRecord returns the stored form of a job's record. submittedAtMS is in wall-clock milliseconds.
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
	raw, _ := json.Marshal(record) // it can't fail: a specification has no NaN and no infinity
	return raw
}

// storedSpec returns what a record keeps of a specification, nil for none. Predecessors are kept in packed form.
func storedSpec(state State, spec *Spec) *WireSpec {
	if spec == nil {
		return nil
	}
	stored := WireSpec(*spec)
	stored.Follows = nil
	if state == Cancelled {
		// The resources of its tasks count until they are gone; where they might run doesn't matter any more. Without
		// the list of machine types, the only part without a limit, the record fits into any value that the state
		// service accepts.
		stored.Types = nil
	}
	return &stored
}

// decodeRecord reads a stored record. It refuses formats that are newer than one.
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
		return record, 0, errors.New("pending record without a spec")
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
