package fleet

import (
	"errors"
	"sync"

	"github.com/go-json-experiment/json"
)

// The types in this file are the protocol's JSON forms of the messages in messages.go. They are converted once, where
// a message is received or sent; nothing else in the package depends on the protocol's names.

// WireHeartbeat is a Heartbeat as on the wire.
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

// wireTaskReport is a TaskReport as on the wire.
type wireTaskReport struct {
	Task      string       `json:"hop"`
	Attempt   uint64       `json:"try"`
	State     AttemptState `json:"stance"`
	ExitCause ExitCause    `json:"cause"`
	Saved     bool         `json:"kept"`
}

// WireCommand is a Command as on the wire.
type WireCommand struct {
	Op      Operation `json:"call"`
	Task    string    `json:"hop"`
	Attempt uint64    `json:"try"`
	GraceS  *float64  `json:"mercy_s,omitempty"` // nil unless it is a stop
}

// WireResponse is a HeartbeatResponse as on the wire.
type WireResponse struct {
	Token    uint64        `json:"mark"`
	Commands []WireCommand `json:"calls"`
}

// WireDirectCommands is a DirectCommands as on the wire.
type WireDirectCommands struct {
	Token    uint64        `json:"mark"`
	Session  uint64        `json:"run"`
	Commands []WireCommand `json:"calls"`
}

// maxMachineNameBytes bounds the name of a machine in a heartbeat.
const maxMachineNameBytes = 200

// errIncompleteHeartbeat is returned by ParseHeartbeat for a message that lacks a required field or has an overlong
// name.
var errIncompleteHeartbeat = errors.New("heartbeat lacks a required field")

// wireHeartbeats holds WireHeartbeat values that ParseHeartbeat reuses, since the decoder fills their task lists
// without growing them anew for each heartbeat.
var wireHeartbeats = sync.Pool{New: func() any { return &WireHeartbeat{} }}

// ParseHeartbeat decodes a heartbeat. It returns an error if the body is not valid JSON for it or lacks a required
// field. It may be called by several goroutines at once.
//
// It is the hottest decoder of a leader: with encoding/json it took a quarter of its processor time. This is the
// second version of that package, as a module of its own until the standard library has it.
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

// isComplete reports whether a heartbeat has all required fields, and a name of acceptable length.
func (w *WireHeartbeat) isComplete() bool {
	hasName := w.Machine != "" && len(w.Machine) <= maxMachineNameBytes
	return hasName && w.Type != "" && w.Zone != "" && w.Session != 0
}

// heartbeat converts a heartbeat from its form on the wire. The result shares no memory with it that a later decoding
// into w changes.
func (w *WireHeartbeat) heartbeat() *Heartbeat {
	heartbeat := &Heartbeat{
		Machine: w.Machine,
		Addr:    w.Addr,
		Type:    w.Type,
		Zone:    w.Zone,
		Spot:    w.Spot,
		Session: w.Session,
		Seq:     w.Seq,
		Token:   w.Token,
		NoticeS: w.NoticeS,
		Tasks:   make([]TaskReport, len(w.Tasks)),
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

// Wire converts a heartbeat to its form on the wire.
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
		NoticeS: h.NoticeS,
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

// Wire converts a response to its form on the wire.
func (r HeartbeatResponse) Wire() WireResponse {
	return WireResponse{Token: r.Token, Commands: wireCommands(r.Commands)}
}

// Wire converts a request with direct commands to its form on the wire.
func (d DirectCommands) Wire() WireDirectCommands {
	return WireDirectCommands{Token: d.Token, Session: d.Session, Commands: wireCommands(d.Commands)}
}

// wireCommands converts commands to their form on the wire, which is an empty list, not null, if there are none. The
// result points into commands, which must not be changed before it is encoded.
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

// Command converts a command from its form on the wire.
func (w WireCommand) Command() Command {
	command := Command{Op: w.Op, Task: w.Task, Attempt: w.Attempt}
	if w.GraceS != nil {
		command.GraceS = *w.GraceS
	}
	return command
}
