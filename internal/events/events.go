// Package events keeps the recent events of jobs, tasks, machines, zones and rollouts. The log belongs to the leader.
// It is a bounded ring buffer in memory, starts empty with the leader's term and is never written to the state
// service. The package reads no clock and isn't safe for concurrent use: the controller's event loop is the only
// caller. The fleet and the controller add events, and the controller's API reads them.
package events

import "time"

// Kind is the kind of an event.
type Kind uint8

// The kinds of events. The names that Kind.String returns are part of the API.
const (
	TermStarted         Kind = iota // the leader's term began; earlier events aren't in the log
	JobAccepted                     // the leader read the job from the state service or accepted it
	JobReleased                     // the job's last predecessor is done, so its tasks may start
	JobDone                         // the job's end is durable
	JobCancelled                    // the job's cancellation is durable
	TaskLaunched                    // the task's launch was sent to a machine
	TaskFound                       // the task, launched by an earlier leader, was found on a machine or counted there
	TaskRunning                     // the task is running
	TaskStopping                    // the task is to be stopped
	TaskEnded                       // the task exited; the note has the reason
	TaskMissing                     // the task's machine no longer reports the task
	TaskLost                        // the task's machine is gone
	TaskDone                        // the task is done
	MachineStateChanged             // a machine's condition changed; the note has the new condition
	ZoneStateChanged                // a zone's state changed; the note has the zone and its new state
	RolloutStateChanged             // a rollout's state changed; the note has the new state and the reason
	TaskOnSecondMachine             // the machine lists the task, which counts on another machine, which the note names
)

var kindNames = [...]string{
	TermStarted:         "term",
	JobAccepted:         "job_accepted",
	JobReleased:         "job_released",
	JobDone:             "job_done",
	JobCancelled:        "job_cancelled",
	TaskLaunched:        "task_sent",
	TaskFound:           "task_found",
	TaskRunning:         "task_running",
	TaskStopping:        "task_stopping",
	TaskEnded:           "task_ended",
	TaskMissing:         "task_vanished",
	TaskLost:            "task_lost",
	TaskDone:            "task_done",
	MachineStateChanged: "machine",
	ZoneStateChanged:    "zone",
	RolloutStateChanged: "rollout",
	TaskOnSecondMachine: "task_second_machine",
}

// String returns the kind's name in the API.
func (k Kind) String() string { return kindNames[k] }

// None is the Task or Machine of an Event without one.
const None = -1

// Event is one event of the log.
type Event struct {
	Seq           uint64        // sequence number within the term, from 1; set by Log.Add
	At            time.Duration // time on the leader's monotonic clock
	Kind          Kind
	HasCheckpoint bool   // TaskEnded: the task wrote a checkpoint
	Job           string // the job's id, "" if none; an index would be invalid after the job is archived
	Task          int32  // the task's index in the job, or None
	Machine       int32  // the machine's dense index in the leader's fleet, or None
	Attempt       uint64 // attempt number of the task, 0 if none
	Note          string // see Kind, "" if none
}

// Log is a ring buffer of events. Add on a nil Log does nothing.
type Log struct {
	ring []Event
	next uint64 // sequence number of the next event
}

// New returns an empty log that keeps the last size events, and at least one.
func New(size int) *Log {
	return &Log{ring: make([]Event, 0, max(1, size)), next: 1}
}

// Add sets an event's sequence number and adds the event to the log. A full log drops its oldest event.
func (l *Log) Add(event Event) {
	if l == nil {
		return
	}
	event.Seq = l.next
	l.next++
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, event)
		return
	}
	*l.at(event.Seq) = event
}

// at returns the ring's element for a sequence number.
func (l *Log) at(seq uint64) *Event { return &l.ring[(seq-1)%uint64(len(l.ring))] }

// First returns the sequence number of the oldest event in the log, or Next if the log is empty.
func (l *Log) First() uint64 { return l.next - uint64(len(l.ring)) }

// Next returns the sequence number of the next event to be added.
func (l *Log) Next() uint64 { return l.next }

// Since calls visit for each event in the log with a sequence number of at least from, in order, until visit returns
// false. It returns the sequence number at which to continue: the number of the event for which visit returned false,
// or Next. visit must not keep or change the event.
func (l *Log) Since(from uint64, visit func(*Event) bool) uint64 {
	for seq := max(from, l.First()); seq < l.next; seq++ {
		if !visit(l.at(seq)) {
			return seq
		}
	}
	return l.next
}
