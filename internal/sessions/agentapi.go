package sessions

import (
	"encoding/json"
	"fmt"
)

// Heartbeat is the status that a session's agent sends, as docs/sessions.md publishes it. Times are ages in seconds:
// the agent's clock doesn't count.
type Heartbeat struct {
	Attempt      uint64            `json:"attempt"` // of the task, as its worker was given it
	Seq          uint64            `json:"seq"`     // increases with every heartbeat of an attempt
	SinceInputS  float64           `json:"input_s"`
	CellRunning  bool              `json:"cell"`
	CellRunningS float64           `json:"cell_s"`
	CPU          float64           `json:"cpu"`
	GPU          float64           `json:"gpu"`
	UnsavedMB    float64           `json:"unsaved_mb"`
	Frozen       bool              `json:"frozen"`  // it takes no input until it is thawed
	Fresh        bool              `json:"fresh"`   // it was not thawed yet since it started
	ResumedFrom  string            `json:"resumed"` // the checkpoint it has resumed from, while fresh
	Checkpoint   *CheckpointResult `json:"save"`
}

// CheckpointResult is the outcome of a checkpoint. One that was ordered is repeated while the agent is frozen, one that
// the agent made by itself (Order 0) until a response names it.
type CheckpointResult struct {
	Order uint64  `json:"order"`
	OK    bool    `json:"ok"`
	Cause string  `json:"why,omitempty"` // of a failure
	Ref   string  `json:"ref,omitempty"`
	MB    float64 `json:"mb,omitempty"`
}

// HeartbeatResponse is the response to an agent's heartbeat.
type HeartbeatResponse struct {
	State string `json:"state"`
	// ReclaimInS is in how many seconds the checkpoint of a warned session is ordered; Cause is why it is reclaimed.
	ReclaimInS *float64 `json:"reclaim_in_s,omitempty"`
	Cause      string   `json:"why,omitempty"`
	// CheckpointOrder orders the agent to save all work, freeze, and report the result with this number; 0: no order.
	CheckpointOrder uint64 `json:"save,omitempty"`
	// Thaw lets a frozen agent go on.
	Thaw bool `json:"thaw,omitempty"`
	// ResumeFrom is the checkpoint to resume from. It is sent until the agent reports that it has resumed, and until
	// then the agent isn't thawed.
	ResumeFrom string `json:"resume,omitempty"`
	// CheckpointRef is the checkpoint that a next start would resume from.
	CheckpointRef string `json:"kept,omitempty"`
	// NextHeartbeatS is within how many seconds the next heartbeat is expected.
	NextHeartbeatS float64 `json:"report_s"`
}

// Bounds of what a heartbeat may carry.
const (
	maxHeartbeatValue  = 1e8  // of ages, in seconds, and of amounts
	maxHeartbeatString = 1000 // of references and causes, in bytes
)

// InvalidFieldError is the error for a heartbeat with a value that no agent would send.
type InvalidFieldError struct {
	Field   string // as it is named on the wire; several are joined by a word
	Problem string
}

// Error returns the message, which the agent gets.
func (e *InvalidFieldError) Error() string { return e.Field + " " + e.Problem }

// ParseHeartbeat reads an agent's heartbeat. It returns an *InvalidFieldError for values that no agent would send.
func ParseHeartbeat(raw []byte) (Heartbeat, error) {
	var heartbeat Heartbeat
	if err := json.Unmarshal(raw, &heartbeat); err != nil {
		return heartbeat, fmt.Errorf("not a report: %w", err)
	}
	return heartbeat, heartbeat.validate()
}

func (h *Heartbeat) validate() error {
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"input_s", h.SinceInputS},
		{"cell_s", h.CellRunningS},
		{"cpu", h.CPU},
		{"gpu", h.GPU},
		{"unsaved_mb", h.UnsavedMB},
	} {
		if field.value < 0 || field.value > maxHeartbeatValue {
			return &InvalidFieldError{Field: field.name, Problem: "is out of range"}
		}
	}
	if h.Attempt == 0 || h.Seq == 0 {
		return &InvalidFieldError{Field: "attempt and seq", Problem: "must be there"}
	}
	isTooLong := len(h.ResumedFrom) > maxHeartbeatString
	if h.Checkpoint != nil && len(h.Checkpoint.Ref)+len(h.Checkpoint.Cause) > maxHeartbeatString {
		isTooLong = true
	}
	if isTooLong {
		return &InvalidFieldError{Field: "save or resumed", Problem: "is too long"}
	}
	return nil
}
