// Package events keeps what happened lately to jobs, tasks and machines, for whoever asks. It is the
// leader's: a bounded ring in memory that begins with its term and takes no write of the state service.
// Machines are dense indices; whoever shows an event maps them back.
package events

import "time"

// Kind is what happened.
type Kind uint8

// The kinds. Their words are stable: programs may depend on them.
const (
	Term         Kind = iota // the leader's term began; what was before isn't kept here
	JobAccepted              // the leader has learnt of a job
	JobDone                  // its end is durable
	JobCancelled             // the same
	TaskSent                 // its launch goes to a machine
	TaskFound                // seen or counted on a machine that another leader sent it to
	TaskRunning              // it runs
	TaskStopping             // it is to be stopped
	TaskEnded                // it exited, and the note says why
	TaskVanished             // its machine knows it no more
	TaskLost                 // its machine is gone
	TaskDone                 // it is done
	Machine                  // a machine's condition changed; the note says to what
	Zone                     // a zone's state changed; the note says which, and to what
	Rollout                  // a rollout's state changed; the note says to which, and why
)

var kinds = [...]string{
	"term", "job_accepted", "job_done", "job_cancelled", "task_sent", "task_found", "task_running", "task_stopping",
	"task_ended", "task_vanished", "task_lost", "task_done", "machine", "zone", "rollout",
}

func (k Kind) String() string { return kinds[k] }

// None stands for no task or machine.
const None = -1

// Event is one thing that happened.
type Event struct {
	Seq     uint64        // 1 is the first of the term
	At      time.Duration // on the leader's steady clock
	Kind    Kind
	Saved   bool   // TaskEnded: with its work saved
	Job     string // its id, or ""; an ended job's index would mean nothing once it is archived
	Task    int32
	Machine int32 // by the leader's fleet, or None
	Attempt uint64
	Note    string
}

// Log is the ring. A nil Log takes nothing.
type Log struct {
	ring []Event
	next uint64 // sequence number of the next event
}

// New makes a log that keeps the last size events.
func New(size int) *Log { return &Log{ring: make([]Event, 0, max(1, size)), next: 1} }

// Add keeps an event and gives it its number.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}
	e.Seq = l.next
	l.next++
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[(e.Seq-1)%uint64(len(l.ring))] = e
}

// First is the number of the oldest event that is kept, Next that of the one to come.
func (l *Log) First() uint64 { return l.next - uint64(len(l.ring)) }

// Next is the number of the event to come.
func (l *Log) Next() uint64 { return l.next }

// Since calls f for each event that is kept, from a number on, until it says no; it returns the
// number of the first event that f has not taken.
func (l *Log) Since(from uint64, f func(*Event) bool) uint64 {
	for seq := max(from, l.First()); seq < l.next; seq++ {
		if !f(&l.ring[(seq-1)%uint64(len(l.ring))]) {
			return seq
		}
	}
	return l.next
}
