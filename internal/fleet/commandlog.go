package fleet

// The record of commands that were sent to machines, and of attempts that heartbeats list unexpectedly.

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/events"
)

// CommandCounts counts the commands that a leader has sent in its term, and the attempts that its machines listed
// unexpectedly. An attempt is counted once for each uninterrupted series of heartbeats that list it.
type CommandCounts struct {
	Launches, Stops, Forgets uint64
	Prompts                  uint64 // direct requests that ask for a heartbeat
	SecondMachine            uint64 // live attempts on another machine than the one on which their task counts
	OtherAttempt             uint64 // live attempts on the expected machine that this leader did not launch there
}

// Counts returns the counts of this term.
func (f *Fleet) Counts() CommandCounts { return f.counts }

// commandRoute is the message that carries a command.
type commandRoute string

const (
	inResponse commandRoute = "response" // the response to a heartbeat
	inDirect   commandRoute = "direct"   // a direct request
)

// recordCommands counts commands that are sent to a machine, and logs each at level debug.
func (f *Fleet) recordCommands(machine *Machine, commands []Command, route commandRoute) {
	isLogged := slog.Default().Enabled(context.Background(), slog.LevelDebug)
	for i := range commands {
		f.counts.add(&commands[i])
		if isLogged {
			slog.Debug("command sent", "op", string(commands[i].Op), "task", commands[i].Task,
				"attempt", commands[i].Attempt, "cause", commands[i].cause, "machine", machine.Name, "route", string(route),
				"token", machine.Token, "session", machine.Session, "term", f.Term)
		}
	}
}

func (c *CommandCounts) add(command *Command) {
	switch {
	case command.Task == promptTask && command.Op == opStart:
		c.Prompts++
	case command.Op == opStart:
		c.Launches++
	case command.Op == opStop:
		c.Stops++
	case command.Op == opForget:
		c.Forgets++
	}
}

// unexpectedAttempt is an attempt that a heartbeat listed unexpectedly.
type unexpectedAttempt struct {
	task    string
	attempt uint64
}

// beginUnexpected starts the record of the unexpected attempts in a heartbeat.
func (m *Machine) beginUnexpected() {
	m.formerUnexpected, m.unexpected = m.unexpected, m.formerUnexpected[:0]
}

// isNewlyUnexpected records an unexpected attempt in the present heartbeat and reports whether the heartbeat before did
// not list it.
func (m *Machine) isNewlyUnexpected(report *TaskReport) bool {
	attempt := unexpectedAttempt{task: report.Task, attempt: report.Attempt}
	m.unexpected = append(m.unexpected, attempt)
	return !slices.Contains(m.formerUnexpected, attempt)
}

// recordSecondMachine records that a heartbeat lists a live attempt at a task that counts on another machine.
func (f *Fleet) recordSecondMachine(now time.Duration, machine *Machine, report *TaskReport) {
	if !machine.isNewlyUnexpected(report) {
		return
	}
	f.counts.SecondMachine++
	task := &report.job.Tasks[report.taskIndex]
	expected := f.machines[task.Machine]
	slog.Error("task listed by a machine that it was not sent to", "task", report.Task, "machine", machine.Name,
		"attempt", report.Attempt, "expected_machine", expected.Name, "expected_attempt", task.Attempt, "term", f.Term)
	f.Events.Add(events.Event{
		At:      now,
		Kind:    events.TaskOnSecondMachine,
		Job:     report.job.ID,
		Task:    report.taskIndex,
		Machine: machine.Index,
		Attempt: report.Attempt,
		Note:    expected.Name,
	})
}

// recordOtherAttempt records that a heartbeat lists a live attempt that this leader did not launch on the machine.
func (f *Fleet) recordOtherAttempt(machine *Machine, report *TaskReport) {
	if !machine.isNewlyUnexpected(report) {
		return
	}
	f.counts.OtherAttempt++
	task := &report.job.Tasks[report.taskIndex]
	slog.Info("unexpected attempt listed", "task", report.Task, "machine", machine.Name, "attempt", report.Attempt,
		"expected_attempt", task.Attempt, "state", task.State.String(), "term", f.Term)
}
