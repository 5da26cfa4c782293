package fleet

import (
	"errors"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"

	"github.com/harewalk/harewalk/internal/jobs"
)

// Heartbeat is what a worker tells of itself.
type Heartbeat struct {
	Machine string       `json:"den"`
	Addr    string       `json:"address"`
	Type    string       `json:"build"`
	Zone    string       `json:"meadow"`
	Spot    bool         `json:"stray"`
	Session uint64       `json:"run"`
	Seq     uint64       `json:"tally"`
	Token   uint64       `json:"mark"`
	NoticeS *float64     `json:"warning_s"`
	Tasks   []TaskReport `json:"hops"`
}

// TaskReport is one task on a machine.
type TaskReport struct {
	Task    string `json:"hop"`
	Attempt uint64 `json:"try"`
	State   string `json:"stance"`
	Why     string `json:"cause"`
	Saved   bool   `json:"kept"`

	// The task as it is known here, once Fleet.take has looked it up; nil if it is not.
	job       *jobs.Job
	taskIndex int32
}

// The states of a task on a machine.
const (
	taskFetching = "pulling"
	taskWaiting  = "gathering"
	taskRunning  = "running"
	taskSaving   = "flushing"
	taskExited   = "exited"
)

// The reasons of an exit.
const (
	exitDone    = "done"
	exitStopped = "halted"
	exitError   = "error"
	exitNoRoom  = "full"
	exitBusy    = "in_use"
	exitUnknown = "no_such"
)

// Command tells a worker to start, stop or forget a task.
type Command struct {
	Op      string   `json:"call"`
	Task    string   `json:"hop"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"mercy_s,omitempty"`
}

// The operations.
const (
	opStart  = "launch"
	opStop   = "halt"
	opForget = "forget"
)

// HeartbeatResponse is the response to a report.
type HeartbeatResponse struct {
	Token    uint64    `json:"mark"`
	Commands []Command `json:"calls"`
}

// DirectCommands is the body of a direct command.
type DirectCommands struct {
	Token    uint64    `json:"mark"`
	Session  uint64    `json:"run"`
	Commands []Command `json:"calls"`
}

// ParseHeartbeat reads a report and refuses what no worker would send. Reading reports with
// encoding/json took a quarter of the leader's processor time; this is its second version,
// as a module of its own until the standard library has it.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	heartbeat := &Heartbeat{}
	if err := json.Unmarshal(body, heartbeat); err != nil {
		return nil, err
	}
	if heartbeat.Machine == "" || len(heartbeat.Machine) > 200 || heartbeat.Type == "" || heartbeat.Zone == "" || heartbeat.Session == 0 {
		return nil, errors.New("report lacks a field")
	}
	return heartbeat, nil
}

// parseTaskName takes "req-000412/3" apart.
func parseTaskName(name string) (job string, task int32, ok bool) {
	job, n, ok := strings.Cut(name, "/")
	if !ok {
		return "", 0, false
	}
	v, err := strconv.ParseInt(n, 10, 32)
	if err != nil || v < 0 {
		return "", 0, false
	}
	return job, int32(v), true
}
