// Package jobs holds what users asked for and how far it has come: job specifications,
// the job table with the stance told to users, tasks as state machines, and the durable
// plan with its bitmap of finished tasks.
package jobs

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"
	"time"

	"github.com/harewalk/harewalk/internal/planner"
)

// Kind is how a job's tasks belong together.
type Kind string

// The kinds.
const (
	Array   Kind = "sweep"
	Gang    Kind = "gang"
	Service Kind = "daemon"
)

// priorities in falling order.
var priorities = map[string]int{"prod": 3, "urgent": 2, "standard": 1, "best_effort": 0}

// MaxTasks is the protocol's bound on a job's tasks.
const MaxTasks = 100_000

// Bounds on the licences of a task.
const (
	maxPools = 8
	maxSeats = 100_000
)

// Spec is a submitted job.
type Spec struct {
	ID          string   `json:"name_id"`
	Class       string   `json:"breed"`
	Team        string   `json:"warren"`
	Kind        Kind     `json:"gait"`
	Priority    string   `json:"urgency"`
	Tasks       int      `json:"hops"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"accelerators"`
	MemoryGB    float64  `json:"memory_gb"`
	Image       string   `json:"pelt"`
	ImageGB     float64  `json:"size_gb"`
	Types       []string `json:"builds"`
	Zone        *string  `json:"meadow"`
	OneZone     bool     `json:"same_place"`
	Spread      bool     `json:"apart"`
	Spot        bool     `json:"stray"`
	EstimateS   float64  `json:"stride_s"`
	CheckpointS float64  `json:"rest_s"`
	SaveS       float64  `json:"stash_s"`
	DeadlineS   *float64 `json:"dusk_s"`
	// Licences says how many seats of which pools each task holds while it is on a machine.
	// It is not part of the users' protocol: a submission without it means none.
	Licences map[string]int `json:"licences,omitempty"`
}

// Size is what one task takes.
func (s *Spec) Size() planner.Size { return planner.Size{CPUs: s.CPUs, GPUs: s.GPUs, Mem: s.MemoryGB} }

// PriorityLevel is the priority as a number; higher goes first.
func (s *Spec) PriorityLevel() int { return priorities[s.Priority] }

// ZoneLimit is how many tasks one zone may hold, 0 for no bound.
func (s *Spec) ZoneLimit() int {
	if s.Spread {
		return (s.Tasks + 1) / 2
	}
	return 0
}

var idForm = regexp.MustCompile(`^req-[0-9]{1,18}$`)

// ValidID tells whether an id has the protocol's form.
func ValidID(id string) bool { return idForm.MatchString(id) }

// requiredFields must be there and not null.
var requiredFields = []string{
	"name_id", "breed", "warren", "gait", "urgency", "hops", "cpus", "accelerators",
	"memory_gb", "pelt", "size_gb", "same_place", "apart", "stray", "stride_s", "rest_s", "stash_s",
}

// ErrMalformed wraps every reason for a 400.
var ErrMalformed = errors.New("malformed job")

// ParseSpec reads a submission. Its error wraps ErrMalformed and names the field.
func ParseSpec(body []byte) (*Spec, error) {
	bad := func(format string, a ...any) (*Spec, error) {
		return nil, fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, a...))
	}
	if len(body) > 64<<10 {
		return bad("body over 64 KiB")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return bad("not a JSON object")
	}
	for _, f := range requiredFields {
		if v, ok := fields[f]; !ok || bytes.Equal(bytes.TrimSpace(v), []byte("null")) {
			return bad("field %s is missing", f)
		}
	}
	spec := &Spec{}
	if err := json.Unmarshal(body, spec); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return bad("field %s has the wrong type", te.Field)
		}
		return bad("%v", err)
	}
	if !ValidID(spec.ID) {
		return bad("name_id is not an id")
	}
	if spec.Kind != Array && spec.Kind != Gang && spec.Kind != Service {
		return bad("gait %q is unknown", spec.Kind)
	}
	if _, ok := priorities[spec.Priority]; !ok {
		return bad("urgency %q is unknown", spec.Priority)
	}
	if spec.Tasks < 1 || spec.Tasks > MaxTasks {
		return bad("hops must be 1 to %d", MaxTasks)
	}
	names := map[string]string{"breed": spec.Class, "warren": spec.Team, "pelt": spec.Image}
	if spec.Zone != nil {
		names["meadow"] = *spec.Zone
	}
	for f, v := range names {
		if v == "" || len(v) > 200 {
			return bad("%s must have 1 to 200 characters", f)
		}
	}
	if len(spec.Types) > 64 || (spec.Types != nil && len(spec.Types) == 0) {
		return bad("builds must name 1 to 64 machine types")
	}
	for _, t := range spec.Types {
		if t == "" || len(t) > 200 {
			return bad("builds names no machine type")
		}
	}
	amounts := map[string]float64{
		"cpus": spec.CPUs, "accelerators": spec.GPUs, "memory_gb": spec.MemoryGB, "size_gb": spec.ImageGB,
		"stride_s": spec.EstimateS, "rest_s": spec.CheckpointS, "stash_s": spec.SaveS,
	}
	if spec.DeadlineS != nil {
		amounts["dusk_s"] = *spec.DeadlineS
	}
	for f, v := range amounts {
		if v < 0 || v > 1e9 || math.IsNaN(v) {
			return bad("%s is out of range", f)
		}
	}
	if len(spec.Licences) > maxPools {
		return bad("licences names more than %d pools", maxPools)
	}
	for pool, n := range spec.Licences {
		if pool == "" || len(pool) > 64 || n < 1 || n > maxSeats {
			return bad("licences: a task holds 1 to %d seats of a named pool, not %d of %q", maxSeats, n, pool)
		}
	}
	if spec.CPUs == 0 && spec.GPUs == 0 && spec.MemoryGB == 0 {
		return bad("cpus, accelerators and memory_gb are all 0")
	}
	return spec, nil
}

// State is what users are told of a job.
type State uint8

// The stances that are durable; "running" is only a display of Pending.
const (
	Pending State = iota
	Done
	Cancelled
)

func (s State) String() string { return [...]string{"pending", "done", "cancelled"}[s] }

// Terminal tells whether the stance can change no more.
func (s State) Terminal() bool { return s != Pending }

// Record is a job as it stands in the state service. A done one sheds its spec; a
// cancelled one keeps it, since its tasks may still be on machines when another controller
// takes over, and count against their team until they are gone.
type Record struct {
	Format int    `json:"v,omitempty"` // 0: 1
	State  string `json:"stance"`
	AtMS   int64  `json:"at_ms,omitempty"`
	Tasks  int    `json:"n"`
	Spec   *Spec  `json:"spec,omitempty"`
}

// Prefix is where job records stand.
const Prefix = "h/j/"

// RecordKey is where a job's record stands.
func RecordKey(id string) string { return Prefix + id }

// EncodeRecord writes a record.
func EncodeRecord(st State, at int64, n int, spec *Spec) json.RawMessage {
	r := Record{State: st.String(), Tasks: n}
	if st != Done {
		r.AtMS, r.Spec = at, spec
	}
	if st == Cancelled && spec != nil {
		// What its tasks take counts until they are gone; where they might run doesn't matter any more. Without the list
		// of types, the one part without a bound, the record fits whatever values the state service takes.
		kept := *spec
		kept.Types = nil
		r.Spec = &kept
	}
	b, _ := json.Marshal(r)
	return b
}

func decodeRecord(raw json.RawMessage) (Record, State, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return r, 0, err
	}
	if r.Format > 1 {
		return r, 0, fmt.Errorf("record in format %d", r.Format)
	}
	for _, s := range []State{Pending, Done, Cancelled} {
		if r.State == s.String() {
			if s == Pending && r.Spec == nil {
				return r, 0, errors.New("pending record without a spec")
			}
			return r, s, nil
		}
	}
	return r, 0, fmt.Errorf("stance %q", r.State)
}

// Seconds turns the wire's seconds into a duration.
func Seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
