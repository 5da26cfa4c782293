package jobs

import (
	"encoding/json"
	"fmt"
	"regexp"
	"time"

	"github.com/harewalk/harewalk/internal/planner"
)

// Kind is how a job's tasks belong together.
type Kind string

// The kinds of jobs, by their names in the protocol.
const (
	// Array tasks run independently of one another.
	Array Kind = "sweep"
	// Gang tasks run all at once or not at all.
	Gang Kind = "gang"
	// Service tasks run until the job is cancelled.
	Service Kind = "daemon"
)

func (k Kind) known() bool { return k == Array || k == Gang || k == Service }

// priorityLevels maps the protocol's names of priorities to levels; a higher level is scheduled first.
var priorityLevels = map[string]int{"prod": 3, "urgent": 2, "standard": 1, "best_effort": 0}

// MaxTasks is the protocol's limit on the number of tasks of a job.
const MaxTasks = 100_000

// Spec is the specification of a submitted job. It is read from and written as JSON in the form of WireSpec, whose
// fields must be the same in number, order and type.
type Spec struct {
	ID          string
	Class       string
	Team        string
	Kind        Kind
	Priority    string
	Tasks       int
	CPUs        float64  // of each task
	GPUs        float64  // of each task
	MemoryGB    float64  // of each task
	Image       string   // the container image
	ImageGB     float64  // its size
	Types       []string // the machine types that may run it; nil: all
	Zone        *string  // the only zone that may run it; nil: all
	OneZone     bool     // all tasks run in the same zone
	Spread      bool     // no zone runs more than half of the tasks
	Spot        bool     // preemptible machines may run it
	EstimateS   float64  // the user's estimate of a task's run time, in seconds
	CheckpointS float64  // seconds of progress between checkpoints; 0: a task never saves
	SaveS       float64  // seconds that a stopped task needs to save a checkpoint
	DeadlineS   *float64 // when the job should be done, in seconds after its submission; nil: no deadline
	// Licences is the number of units of each licence pool that a task holds while it is on a machine. It is
	// an addition to the users' protocol: a submission without it needs none.
	Licences map[string]int
	// Follows holds the ids of the jobs that must be done before any task of this one starts. Of a stored job, those
	// that were known to be done when it was accepted are left out.
	Follows []string
}

// MarshalJSON writes the specification as a submission has it.
func (s Spec) MarshalJSON() ([]byte, error) { return json.Marshal(WireSpec(s)) }

// UnmarshalJSON reads the specification from a submission. It checks types only; ParseSpec checks values too.
func (s *Spec) UnmarshalJSON(raw []byte) error { return json.Unmarshal(raw, (*WireSpec)(s)) }

// Size returns the resources of one task.
func (s *Spec) Size() planner.Size { return planner.Size{CPUs: s.CPUs, GPUs: s.GPUs, Mem: s.MemoryGB} }

// PriorityLevel returns the priority as a number; a higher one is scheduled first.
func (s *Spec) PriorityLevel() int { return priorityLevels[s.Priority] }

// ZoneLimit returns the maximum number of tasks in one zone, 0 if there is none.
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

var idPattern = regexp.MustCompile(fmt.Sprintf(`^%s[0-9]{1,%d}$`, idPrefix, maxIDDigits))

// ValidID reports whether a job id has the protocol's form.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// Seconds converts a number of seconds, as on the wire and in the settings, to a duration.
func Seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
