package fleet

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/store"
)

// longestName returns the longest name of a task, with a task number.
func longestName(number int) string {
	return "req-" + strings.Repeat("9", jobs.MaxTaskNameBytes-len("req-/99999")) + fmt.Sprintf("/%05d", number)
}

// A message with as many commands as limitCommands allows must fit into the protocol's limit, with the longest names and
// numbers.
func TestLongestMessagesFitTheLimit(t *testing.T) {
	var commands []Command
	for i := range 2000 {
		commands = append(commands, stopCommand(longestName(i), math.MaxUint64, 1234567.125))
	}
	request := DirectCommands{Token: math.MaxUint64, Session: math.MaxUint64, Commands: limitCommands(commands)}
	body, err := json.Marshal(request.Wire())
	if err != nil || len(body) > maxMessageBytes || len(request.Commands) < maxTasksOnMachine {
		t.Errorf("got %d bytes, %d commands, error %v, want at most %d bytes, at least %d commands",
			len(body), len(request.Commands), err, maxMessageBytes, maxTasksOnMachine)
	}
	heartbeat := newHeartbeat(strings.Repeat("m", maxMachineNameBytes), math.MaxUint64, math.MaxUint64, math.MaxUint64)
	for i := range maxTasksOnMachine {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskReport{
			Task: longestName(i), Attempt: math.MaxUint64, State: taskExited, ExitCause: exitUnknown,
		})
	}
	body, err = json.MarshalIndent(heartbeat.Wire(), "", " ")
	if err != nil || len(body) > maxMessageBytes {
		t.Errorf("got a heartbeat of %d bytes, error %v, want at most %d", len(body), err, maxMessageBytes)
	}
}

// The commands that don't fit into a message are launches before forgets, and forgets before stops.
func TestStopsComeFirstInAMessage(t *testing.T) {
	var commands []Command
	for i := range maxTasksOnMachine {
		commands = append(commands, startCommand(longestName(i), 1), forgetCommand(longestName(i), 2), stopCommand(longestName(i), 3, 0))
	}
	sent := limitCommands(slices.Clone(commands))
	if len(sent) == len(commands) || !slices.IsSortedFunc(sent, func(a, b Command) int { return commandOrder(a) - commandOrder(b) }) {
		t.Errorf("got %d of %d commands, want fewer, in the order stop, forget, launch", len(sent), len(commands))
	}
	if stops := countOp(sent, opStop); stops != maxTasksOnMachine {
		t.Errorf("got %d stops, want all %d", stops, maxTasksOnMachine)
	}
}

func countOp(commands []Command, op Operation) (n int) {
	for _, command := range commands {
		if command.Op == op {
			n++
		}
	}
	return n
}

// Thousands of tiny tasks on one machine must all run, and no message may exceed the protocol's limit.
func TestThousandsOfTinyTasksRunOnOneMachine(t *testing.T) {
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}})
	g.Types = func(int32) *MachineType {
		return &MachineType{Size: planner.Size{CPUs: 32, Mem: 256}, CacheGB: 10, FetchGB: 1}
	}
	tiny := spec(1, 3000)
	tiny.CPUs, tiny.MemoryGB = 0.01, 0.01
	g.heartbeat("m", 1, fenced)
	job := g.submit(tiny)
	worker := map[string]*TaskReport{}
	for range 400 {
		g.settleFor(3, store.Committed)
		heartbeat := newHeartbeat("m", 1, 0, fenced)
		g.seq++
		heartbeat.Seq = g.seq
		for _, report := range worker {
			heartbeat.Tasks = append(heartbeat.Tasks, *report)
		}
		checkSize(t, heartbeat.Wire())
		response, _ := g.HandleHeartbeat(g.now, heartbeat)
		checkSize(t, response.Wire())
		for _, report := range worker { // each task ends between two heartbeats
			report.State, report.ExitCause = taskExited, exitDone
		}
		for _, command := range response.Commands {
			switch command.Op {
			case opStart:
				worker[command.Task] = &TaskReport{Task: command.Task, Attempt: command.Attempt, State: taskRunning}
			case opForget:
				delete(worker, command.Task)
			case opStop:
			}
		}
		if job.State == jobs.Done {
			return
		}
		g.now += 500 * time.Millisecond
	}
	t.Errorf("got %d of %d tasks done, want all", job.FinishedTasks, job.TaskCount)
}

// checkSize checks that a message is within the protocol's limit.
func checkSize(t *testing.T, message any) {
	t.Helper()
	body, err := json.Marshal(message)
	if err != nil || len(body) > maxMessageBytes {
		t.Fatalf("got a message of %d bytes, error %v, want at most %d", len(body), err, maxMessageBytes)
	}
}
