package sessions

import (
	"encoding/json"
	"fmt"
)

// Heartbeat is the status that a session's agent sends, in the format that docs/sessions.md publishes. All times are
// ages in seconds, so that the agent's clock doesn't matter.
type Heartbeat struct {
	Attempt      uint64            `json:"attempt"` // the task's attempt number, which its worker was given
	Seq          uint64            `json:"seq"`     // sequence number, increases with every heartbeat of an attempt
	SinceInputS  float64           `json:"input_s"`
	CellRunning  bool              `json:"cell"`
	CellRunningS float64           `json:"cell_s"`
	CPU          float64           `json:"cpu"` // cores in use
	GPU          float64           `json:"gpu"` // accelerators in use
	UnsavedMB    float64           `json:"unsaved_mb"`
	Frozen       bool              `json:"frozen"`  // the session takes no input until it is thawed
	Fresh        bool              `json:"fresh"`   // the agent has not been thawed since it started
	ResumedFrom  string            `json:"resumed"` // the checkpoint that a fresh agent has resumed from
	Checkpoint   *CheckpointResult `json:"save"`
}

// CheckpointResult is the outcome of a checkpoint. The agent repeats the result of an ordered checkpoint while it is
// frozen. It repeats the result of a checkpoint that it made by itself (Order 0) until a response names its reference.
type CheckpointResult struct {
	Order uint64  `json:"order"`
	OK    bool    `json:"ok"`
	Cause string  `json:"why,omitempty"` // cause of the failure; "" for a successful checkpoint
	Ref   string  `json:"ref,omitempty"`
	MB    float64 `json:"mb,omitempty"`
}

// HeartbeatResponse is the response to an agent's heartbeat.
type HeartbeatResponse struct {
	State string `json:"state"`
	// ReclaimInS is the time until the checkpoint of a warned session is ordered, in seconds. Cause is why the session
	// is reclaimed.
	ReclaimInS *float64 `json:"reclaim_in_s,omitempty"`
	Cause      string   `json:"why,omitempty"`
	// CheckpointOrder is the id of an order to save all work, freeze, and report the result with this id; 0: no order.
	CheckpointOrder uint64 `json:"save,omitempty"`
	// Thaw orders a frozen agent to continue.
	Thaw bool `json:"thaw,omitempty"`
	// ResumeFrom is the checkpoint to resume from. It is sent until the agent reports that it has resumed; the agent
	// is thawed only afterwards.
	ResumeFrom string `json:"resume,omitempty"`
	// CheckpointRef is the stored checkpoint, from which the next start would resume; "": none.
	CheckpointRef string `json:"kept,omitempty"`
	// NextHeartbeatS is the time within which the next heartbeat is expected, in seconds.
	NextHeartbeatS float64 `json:"report_s"`
}

// Limits of the values in a heartbeat.
const (
	// maxHeartbeatValue limits each number: ages in seconds, and amounts in their units.
	maxHeartbeatValue = 1e8
	// maxHeartbeatString is in bytes. It limits the reference of the resumed checkpoint, and the total length of the
	// reference and the cause of a new checkpoint.
	maxHeartbeatString = 1000
)

// InvalidFieldError is the error for a heartbeat with an invalid value.
type InvalidFieldError struct {
	Field   string // the name in the JSON object; several names are joined by "and" or "or"
	Problem string
}

// Error returns the message, which is sent to the agent.
func (e *InvalidFieldError) Error() string { return e.Field + " " + e.Problem }

// ParseHeartbeat decodes and checks an agent's heartbeat. It returns an *InvalidFieldError for an invalid value.
func ParseHeartbeat(raw []byte) (Heartbeat, error) {
	var heartbeat Heartbeat
	if err := json.Unmarshal(raw, &heartbeat); err != nil {
		return heartbeat, fmt.Errorf("malformed heartbeat: %w", err)
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
		return &InvalidFieldError{Field: "attempt and seq", Problem: "must be set"}
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
