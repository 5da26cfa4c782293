package jobs

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
)

// WireSpec is a Spec with the protocol's field names. Submissions and stored records have this form. A WireSpec and a
// Spec can be converted to one another, since they have the same fields.
type WireSpec struct {
	ID          string         `json:"name_id"`
	Class       string         `json:"breed"`
	Team        string         `json:"warren"`
	Kind        Kind           `json:"gait"`
	Priority    string         `json:"urgency"`
	Tasks       int            `json:"hops"`
	CPUs        float64        `json:"cpus"`
	GPUs        float64        `json:"accelerators"`
	MemoryGB    float64        `json:"memory_gb"`
	Image       string         `json:"pelt"`
	ImageGB     float64        `json:"size_gb"`
	Types       []string       `json:"builds"`
	Zone        *string        `json:"meadow"`
	OneZone     bool           `json:"same_place"`
	Spread      bool           `json:"apart"`
	Spot        bool           `json:"stray"`
	EstimateS   float64        `json:"stride_s"`
	CheckpointS float64        `json:"rest_s"`
	SaveS       float64        `json:"stash_s"`
	DeadlineS   *float64       `json:"dusk_s"`
	Licences    map[string]int `json:"licences,omitempty"`
	Follows     []string       `json:"follows,omitempty"`
}

// requiredFields lists the wire names of the fields that must be present in a submission and not null.
var requiredFields = []string{
	"name_id", "breed", "warren", "gait", "urgency", "hops", "cpus", "accelerators",
	"memory_gb", "pelt", "size_gb", "same_place", "apart", "stray", "stride_s", "rest_s", "stash_s",
}

// Limits on a submission's values.
const (
	maxSubmissionBytes  = 64 << 10
	maxNameBytes        = 200
	maxMachineTypes     = 64
	maxAmount           = 1e9
	maxLicencePools     = 8
	maxLicencePoolBytes = 64
	maxLicenceUnits     = 100_000 // units of one pool for each task
)

// ErrMalformed is wrapped by every error of ParseSpec.
var ErrMalformed = errors.New("malformed job")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// ParseSpec decodes and validates a submission. Its error wraps ErrMalformed and names the invalid field.
func ParseSpec(body []byte) (*Spec, error) {
	wire, err := decodeSubmission(body)
	if err != nil {
		return nil, err
	}
	spec := (*Spec)(wire)
	checks := []func(*Spec) error{
		checkIdentity, checkNames, checkMachineTypes, checkAmounts, checkLicences, checkResources, checkPredecessors,
	}
	for _, check := range checks {
		if err := check(spec); err != nil {
			return nil, err
		}
	}
	spec.Follows = withoutDuplicates(spec.Follows)
	return spec, nil
}

// decodeSubmission decodes a submission's JSON and checks that the required fields are present.
func decodeSubmission(body []byte) (*WireSpec, error) {
	if len(body) > maxSubmissionBytes {
		return nil, malformed("body is larger than 64 KiB")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, malformed("body is not a JSON object")
	}
	for _, name := range requiredFields {
		value, found := fields[name]
		if !found || bytes.Equal(bytes.TrimSpace(value), []byte("null")) {
			return nil, malformed("field %s is missing", name)
		}
	}
	wire := &WireSpec{}
	err := json.Unmarshal(body, wire)
	if err == nil {
		return wire, nil
	}
	if typeError, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return nil, malformed("field %s has the wrong type", typeError.Field)
	}
	return nil, malformed("%v", err)
}

func checkIdentity(spec *Spec) error {
	if !ValidID(spec.ID) {
		return malformed("name_id is not a valid job id")
	}
	if !spec.Kind.known() {
		return malformed("gait %q is unknown", spec.Kind)
	}
	if _, known := priorityLevels[spec.Priority]; !known {
		return malformed("urgency %q is unknown", spec.Priority)
	}
	if spec.Tasks < 1 || spec.Tasks > MaxTasks {
		return malformed("hops must be 1 to %d", MaxTasks)
	}
	return nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

func checkNames(spec *Spec) error {
	names := []struct{ field, value string }{
		{"breed", spec.Class},
		{"warren", spec.Team},
		{"pelt", spec.Image},
	}
	if spec.Zone != nil {
		names = append(names, struct{ field, value string }{"meadow", *spec.Zone})
	}
	for _, name := range names {
		if !validName(name.value) {
			return malformed("%s must have 1 to 200 characters", name.field)
		}
	}
	return nil
}

func checkMachineTypes(spec *Spec) error {
	if spec.Types == nil {
		return nil
	}
	if len(spec.Types) == 0 || len(spec.Types) > maxMachineTypes {
		return malformed("builds must name 1 to 64 machine types")
	}
	for _, machineType := range spec.Types {
		if !validName(machineType) {
			return malformed("builds has a machine type that is not 1 to 200 characters long")
		}
	}
	return nil
}

func checkAmounts(spec *Spec) error {
	amounts := []struct {
		field string
		value float64
	}{
		{"cpus", spec.CPUs},
		{"accelerators", spec.GPUs},
		{"memory_gb", spec.MemoryGB},
		{"size_gb", spec.ImageGB},
		{"stride_s", spec.EstimateS},
		{"rest_s", spec.CheckpointS},
		{"stash_s", spec.SaveS},
		{"dusk_s", 0},
	}
	if spec.DeadlineS != nil {
		amounts[len(amounts)-1].value = *spec.DeadlineS
	}
	for _, amount := range amounts {
		if amount.value < 0 || amount.value > maxAmount || math.IsNaN(amount.value) {
			return malformed("%s is out of range", amount.field)
		}
	}
	return nil
}

func checkLicences(spec *Spec) error {
	if len(spec.Licences) > maxLicencePools {
		return malformed("licences names more than %d pools", maxLicencePools)
	}
	for pool, units := range spec.Licences {
		validPool := pool != "" && len(pool) <= maxLicencePoolBytes
		if !validPool || units < 1 || units > maxLicenceUnits {
			return malformed(
				"licences: a task must hold 1 to %d units of a named pool, not %d of %q",
				maxLicenceUnits, units, pool,
			)
		}
	}
	return nil
}

func checkResources(spec *Spec) error {
	if spec.CPUs == 0 && spec.GPUs == 0 && spec.MemoryGB == 0 {
		return malformed("cpus, accelerators and memory_gb are all 0")
	}
	return nil
}

// checkPredecessors checks the ids of a job's predecessors. Their number is bounded only by the maximum size of a
// submission.
func checkPredecessors(spec *Spec) error {
	for _, id := range spec.Follows {
		if !ValidID(id) {
			return malformed("follows: %q is not a valid job id", id)
		}
		if id == spec.ID {
			return malformed("follows contains the id of the job itself")
		}
	}
	return nil
}

// withoutDuplicates returns the distinct ids in the order of their first occurrence, nil if ids is empty. It overwrites
// ids.
func withoutDuplicates(ids []string) []string {
	if len(ids) == 0 {
		return nil
	}
	included := make(map[string]bool, len(ids))
	distinct := ids[:0]
	for _, id := range ids {
		if included[id] {
			continue
		}
		included[id] = true
		distinct = append(distinct, id)
	}
	return distinct
}
