package jobs

import (
	"encoding/json"
	"fmt"
	"regexp"
	"time"

	"github.com/harewalk/harewalk/internal/planner"
)

// Kind is the way in which a job's tasks are scheduled together.
type Kind string

// The kinds of jobs, by their names in the protocol.
const (
	// Array tasks run independently of one another.
	Array Kind = "sweep"
	// Gang tasks run all at the same time or not at all.
	Gang Kind = "gang"
	// Service tasks run until the job is cancelled.
	Service Kind = "daemon"
)

func (k Kind) known() bool { return k == Array || k == Gang || k == Service }

// priorityLevels maps the protocol's names of priorities to levels. A job with a higher level is scheduled first.
var priorityLevels = map[string]int{"prod": 3, "urgent": 2, "standard": 1, "best_effort": 0}

// MaxTasks is the protocol's limit on the number of tasks of a job.
const MaxTasks = 100_000

// Spec is the specification of a submitted job. Its JSON form is that of WireSpec, whose fields must be the same in
// number, order and type.
type Spec struct {
	ID          string
	Class       string
	Team        string
	Kind        Kind
	Priority    string
	Tasks       int
	CPUs        float64  // cores of each task
	GPUs        float64  // accelerators of each task
	MemoryGB    float64  // memory of each task, in gigabytes
	Image       string   // the container image
	ImageGB     float64  // size of the image, in gigabytes
	Types       []string // the machine types that may run the job; nil for all
	Zone        *string  // the only zone that may run the job; nil for any zone
	OneZone     bool     // all tasks run in the same zone
	Spread      bool     // no zone runs more than half of the tasks
	Spot        bool     // preemptible machines may run the job
	EstimateS   float64  // the user's estimate of a task's run time, in seconds
	CheckpointS float64  // seconds of progress between checkpoints; 0 for no checkpoints
	SaveS       float64  // seconds that a stopped task needs to save a checkpoint
	DeadlineS   *float64 // deadline in seconds after submission; nil for none
	// Licences maps licence pools to the number of units that each task holds while it is on a machine. The field is an
	// optional extension of the protocol: a submission without it needs no licences.
	Licences map[string]int
	// Follows holds the ids of the predecessors: the jobs that must be done before any task of this job starts. A stored
	// job lacks the predecessors that were known to be done when the job was accepted.
	Follows []string
}

// MarshalJSON returns the JSON form of the specification in a submission.
func (s Spec) MarshalJSON() ([]byte, error) { return json.Marshal(WireSpec(s)) }

// UnmarshalJSON decodes the specification from the JSON of a submission. It checks types only; ParseSpec checks values
// too.
func (s *Spec) UnmarshalJSON(raw []byte) error { return json.Unmarshal(raw, (*WireSpec)(s)) }

// Size returns the resources of one task.
func (s *Spec) Size() planner.Size { return planner.Size{CPUs: s.CPUs, GPUs: s.GPUs, Mem: s.MemoryGB} }

// PriorityLevel returns the priority as a number. A job with a higher number is scheduled first.
func (s *Spec) PriorityLevel() int { return priorityLevels[s.Priority] }

// ZoneLimit returns the maximum number of tasks in one zone, 0 if there is no limit.
func (s *Spec) ZoneLimit() int {
	if s.Spread {
		return (s.Tasks + 1) / 2
	}
	return 0
}

// The form of a job id: a prefix and digits.
const (
	idPrefix    = "req-"
	maxIDDigits = 18
)

// maxTaskNumberDigits is the number of digits of the highest task number, MaxTasks - 1.
const maxTaskNumberDigits = 5

// MaxTaskNameBytes is the length of the longest name of a task, a job's id and a task number.
const MaxTaskNameBytes = len(idPrefix) + maxIDDigits + len("/") + maxTaskNumberDigits

var idPattern = regexp.MustCompile(fmt.Sprintf(`^%s[0-9]{1,%d}$`, idPrefix, maxIDDigits))

// ValidID reports whether a job id has the protocol's form.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// Seconds converts a number of seconds, the unit on the wire and in the settings, to a time.Duration.
func Seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
