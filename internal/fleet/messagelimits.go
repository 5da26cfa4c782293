package fleet

// The bounds on the size of messages to and from workers.

import (
	"cmp"
	"slices"

	"github.com/harewalk/harewalk/internal/jobs"
)

const (
	// maxMessageBytes is the protocol's limit on a request body and on a line of a response.
	maxMessageBytes = 64 << 10
	// messageHeaderBytes bounds the bytes of a message without its list of commands or tasks.
	messageHeaderBytes = 1 << 10
	// commandOverheadBytes bounds the bytes of a command without its task's name.
	commandOverheadBytes = 96
	// reportOverheadBytes bounds the bytes of a task in a heartbeat without its name, with white space between fields.
	reportOverheadBytes = 128
	// maxTasksOnMachine is the maximum number of tasks that a machine's heartbeat may list, so that the heartbeat fits
	// into a request body.
	maxTasksOnMachine = (maxMessageBytes - messageHeaderBytes) / (reportOverheadBytes + jobs.MaxTaskNameBytes)
)

// hasListRoom reports whether one more task fits into the heartbeats of a machine. Exited tasks are listed until they are
// forgotten.
func (m *Machine) hasListRoom() bool { return len(m.Tasks)+m.exitedListed < maxTasksOnMachine }

// commandOrder returns the place of an operation in a message: stops come first, and forget commands make room in the
// worker's list before tasks are launched.
func commandOrder(command Command) int {
	switch command.Op {
	case opStop:
		return 0
	case opForget:
		return 1
	}
	return 2
}

// limitCommands returns the commands that fit into one message, in the order of commandOrder. The others are sent with
// the next message, since the worker's next heartbeat calls for them again.
func limitCommands(commands []Command) []Command {
	slices.SortStableFunc(commands, func(a, b Command) int { return cmp.Compare(commandOrder(a), commandOrder(b)) })
	size := messageHeaderBytes
	for i := range commands {
		size += commandOverheadBytes + len(commands[i].Task)
		if size > maxMessageBytes {
			return commands[:i]
		}
	}
	return commands
}
