package fleet

import (
	"errors"
	"sync"

	"github.com/go-json-experiment/json"
)

// The types in this file are the protocol's JSON forms of the messages in messages.go. A message is converted once,
// where it is received or sent; no other file of the package depends on the protocol's field names.

// WireHeartbeat is the protocol's JSON form of a Heartbeat.
type WireHeartbeat struct {
	Machine string           `json:"den"`
	Addr    string           `json:"address"`
	Type    string           `json:"build"`
	Zone    string           `json:"meadow"`
	Spot    bool             `json:"stray"`
	Session uint64           `json:"run"`
	Seq     uint64           `json:"tally"`
	Token   uint64           `json:"mark"`
	NoticeS *float64         `json:"warning_s"`
	Tasks   []wireTaskReport `json:"hops"`
}

// wireTaskReport is the protocol's JSON form of a TaskReport.
type wireTaskReport struct {
	Task      string       `json:"hop"`
	Attempt   uint64       `json:"try"`
	State     AttemptState `json:"stance"`
	ExitCause ExitCause    `json:"cause"`
	Saved     bool         `json:"kept"`
}

// WireCommand is the protocol's JSON form of a Command.
type WireCommand struct {
	Op      Operation `json:"call"`
	Task    string    `json:"hop"`
	Attempt uint64    `json:"try"`
	GraceS  *float64  `json:"mercy_s,omitempty"` // nil unless the operation is a stop
}

// WireResponse is the protocol's JSON form of a HeartbeatResponse.
type WireResponse struct {
	Token    uint64        `json:"mark"`
	Commands []WireCommand `json:"calls"`
}

// WireDirectCommands is the protocol's JSON form of a DirectCommands.
type WireDirectCommands struct {
	Token    uint64        `json:"mark"`
	Session  uint64        `json:"run"`
	Commands []WireCommand `json:"calls"`
}

// maxMachineNameBytes is the maximum length of a machine's name in a heartbeat.
const maxMachineNameBytes = 200

// errIncompleteHeartbeat is returned by ParseHeartbeat for a message that lacks a required field or whose machine name
// is too long.
var errIncompleteHeartbeat = errors.New("heartbeat lacks a required field, or its machine name is too long")

// wireHeartbeats holds WireHeartbeat values that ParseHeartbeat reuses, so that the decoder need not allocate a task
// list for each heartbeat.
var wireHeartbeats = sync.Pool{New: func() any { return &WireHeartbeat{} }}

// ParseHeartbeat decodes a heartbeat. It returns an error if the body is not a heartbeat in valid JSON, lacks a
// required field or has a machine name that is too long. Several goroutines may call it at once.
//
// ParseHeartbeat is the hottest decoder of a leader: with encoding/json it used a quarter of the leader's processor
// time. It uses the second version of that package, which is a separate module until the standard library includes it.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	wire := wireHeartbeats.Get().(*WireHeartbeat)
	defer wireHeartbeats.Put(wire)
	*wire = WireHeartbeat{Tasks: wire.Tasks[:0]}
	if err := json.Unmarshal(body, wire); err != nil {
		return nil, err
	}
	if !wire.isComplete() {
		return nil, errIncompleteHeartbeat
	}
	return wire.heartbeat(), nil
}

// isComplete reports whether a heartbeat has all required fields, and a machine name that is not too long.
func (w *WireHeartbeat) isComplete() bool {
	hasName := w.Machine != "" && len(w.Machine) <= maxMachineNameBytes
	return hasName && w.Type != "" && w.Zone != "" && w.Session != 0
}

// heartbeat converts a heartbeat from the protocol's form. A later decoding into w does not change the result.
func (w *WireHeartbeat) heartbeat() *Heartbeat {
	heartbeat := &Heartbeat{
		Machine:    w.Machine,
		Addr:       w.Addr,
		Type:       w.Type,
		Zone:       w.Zone,
		Spot:       w.Spot,
		Session:    w.Session,
		Seq:        w.Seq,
		Token:      w.Token,
		ReclaimInS: w.NoticeS,
		Tasks:      make([]TaskReport, len(w.Tasks)),
	}
	for i := range w.Tasks {
		report := &w.Tasks[i]
		heartbeat.Tasks[i] = TaskReport{
			Task:      report.Task,
			Attempt:   report.Attempt,
			State:     report.State,
			ExitCause: report.ExitCause,
			Saved:     report.Saved,
		}
	}
	return heartbeat
}

// Wire converts a heartbeat to the protocol's form.
func (h *Heartbeat) Wire() WireHeartbeat {
	wire := WireHeartbeat{
		Machine: h.Machine,
		Addr:    h.Addr,
		Type:    h.Type,
		Zone:    h.Zone,
		Spot:    h.Spot,
		Session: h.Session,
		Seq:     h.Seq,
		Token:   h.Token,
		NoticeS: h.ReclaimInS,
		Tasks:   make([]wireTaskReport, len(h.Tasks)),
	}
	for i := range h.Tasks {
		report := &h.Tasks[i]
		wire.Tasks[i] = wireTaskReport{
			Task:      report.Task,
			Attempt:   report.Attempt,
			State:     report.State,
			ExitCause: report.ExitCause,
			Saved:     report.Saved,
		}
	}
	return wire
}

// Wire converts a response to the protocol's form.
func (r HeartbeatResponse) Wire() WireResponse {
	return WireResponse{Token: r.Token, Commands: wireCommands(r.Commands)}
}

// Wire converts a request with direct commands to the protocol's form.
func (d DirectCommands) Wire() WireDirectCommands {
	return WireDirectCommands{Token: d.Token, Session: d.Session, Commands: wireCommands(d.Commands)}
}

// wireCommands converts commands to the protocol's form. No commands give an empty list, not null. The result points
// into commands, which must not be changed before the result is encoded.
func wireCommands(commands []Command) []WireCommand {
	wire := make([]WireCommand, len(commands))
	for i := range commands {
		command := &commands[i]
		wire[i] = WireCommand{Op: command.Op, Task: command.Task, Attempt: command.Attempt}
		if command.Op == opStop {
			wire[i].GraceS = &command.GraceS
		}
	}
	return wire
}

// Command converts a command from the protocol's form.
func (w WireCommand) Command() Command {
	command := Command{Op: w.Op, Task: w.Task, Attempt: w.Attempt}
	if w.GraceS != nil {
		command.GraceS = *w.GraceS
	}
	return command
}
