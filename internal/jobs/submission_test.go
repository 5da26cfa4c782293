package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/licences"
)

// gangSubmission is a valid submission with an unknown field, "new".
const gangSubmission = `{"name_id":"req-000412","breed":"train","warren":"vision","gait":"gang","urgency":"urgent",` +
	`"hops":16,"cpus":8.0,"accelerators":1.0,"memory_gb":64.0,"pelt":"img-07","size_gb":6.2,"builds":["g8"],` +
	`"meadow":null,"same_place":true,"apart":false,"stray":true,"stride_s":240.0,"rest_s":30.0,"stash_s":4.0,` +
	`"dusk_s":900.0,"new":[1]}`

// withReplaced returns gangSubmission with one occurrence of part replaced.
func withReplaced(t *testing.T, part, replacement string) string {
	t.Helper()
	if !strings.Contains(gangSubmission, part) {
		t.Fatalf("gangSubmission does not contain %s", part)
	}
	return strings.Replace(gangSubmission, part, replacement, 1)
}

// gangSpec returns the specification of a gang with a number of tasks.
func gangSpec(t *testing.T, tasks int) *Spec {
	t.Helper()
	spec, err := ParseSpec([]byte(withReplaced(t, `"hops":16`, fmt.Sprintf(`"hops":%d`, tasks))))
	if err != nil {
		t.Fatal(err)
	}
	return spec
}

func TestParseSpecReadsAllFields(t *testing.T) {
	spec, err := ParseSpec([]byte(gangSubmission))
	if err != nil {
		t.Fatal(err)
	}
	if spec.Tasks != 16 || spec.Zone != nil || *spec.DeadlineS != 900 || spec.PriorityLevel() != 2 {
		t.Fatalf("got %+v, want 16 tasks, no zone, deadline 900 and priority level 2", spec)
	}
	for _, tasks := range []int{1, 100_000} {
		if resized := gangSpec(t, tasks); resized.Tasks != tasks {
			t.Errorf("want %d tasks, got %d", tasks, resized.Tasks)
		}
	}
}

func TestParseSpecRejectsMalformedSubmissions(t *testing.T) {
	const optionalFields = `"new":[1]` // replaced by optional fields
	for name, body := range map[string]string{
		"truncated JSON":     `{"name_id":`,
		"trailing bytes":     gangSubmission + "x",
		"array":              `[1]`,
		"null":               `null`,
		"missing id":         withReplaced(t, `"name_id":"req-000412",`, ""),
		"null field":         withReplaced(t, `"cpus":8.0`, `"cpus":null`),
		"wrong id prefix":    withReplaced(t, "req-000412", "job-000412"),
		"path as id":         withReplaced(t, "req-000412", "req-0/../x"),
		"string as number":   withReplaced(t, `"hops":16`, `"hops":"16"`),
		"fractional tasks":   withReplaced(t, `"hops":16`, `"hops":1.5`),
		"zero tasks":         withReplaced(t, `"hops":16`, `"hops":0`),
		"too many tasks":     withReplaced(t, `"hops":16`, `"hops":100001`),
		"negative amount":    withReplaced(t, `"cpus":8.0`, `"cpus":-8.0`),
		"unknown kind":       withReplaced(t, `"gang"`, `"band"`),
		"unknown priority":   withReplaced(t, `"urgent"`, `"soon"`),
		"number as bool":     withReplaced(t, `"stray":true`, `"stray":1`),
		"zero licence units": withReplaced(t, optionalFields, `"licences":{"p":0}`),
		"fractional units":   withReplaced(t, optionalFields, `"licences":{"p":1.5}`),
		"empty pool name":    withReplaced(t, optionalFields, `"licences":{"":1}`),
		"list of pools":      withReplaced(t, optionalFields, `"licences":[1]`),
		"too many units":     withReplaced(t, optionalFields, `"licences":{"p":100001}`),
		"too many pools": withReplaced(t, optionalFields,
			`"licences":{"1":1,"2":1,"3":1,"4":1,"5":1,"6":1,"7":1,"8":1,"9":1}`),
		"empty machine types": withReplaced(t, `["g8"]`, `[]`),
		"body too large":      withReplaced(t, "vision", strings.Repeat("v", 64<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseSpec([]byte(body)); !errors.Is(err, ErrMalformed) {
				t.Errorf("got error %v, want %v", err, ErrMalformed)
			}
		})
	}
}

// TestParseSpecReportsFirstInvalidField checks that a submission with several faults always yields the same error.
func TestParseSpecReportsFirstInvalidField(t *testing.T) {
	faults := strings.NewReplacer(`"train"`, `""`, `"vision"`, `""`, `"img-07"`, `""`, `"cpus":8.0`, `"cpus":-1`)
	body := []byte(faults.Replace(gangSubmission))
	const want = "malformed job: breed must have 1 to 200 characters"
	for range 50 {
		if _, err := ParseSpec(body); err == nil || err.Error() != want {
			t.Fatalf("got error %v, want %s", err, want)
		}
	}
}

// TestParseSpecEnforcesLimitsOnRandomSubmissions changes random bytes of a submission. ParseSpec must reject it or
// return a specification within the limits.
func TestParseSpecEnforcesLimitsOnRandomSubmissions(t *testing.T) {
	const submissions = 20_000
	rng := rand.New(rand.NewPCG(5, 5))
	accepted := 0
	for range submissions {
		raw := []byte(gangSubmission)
		for range 1 + rng.IntN(3) {
			raw[rng.IntN(len(raw))] = byte(32 + rng.IntN(95))
		}
		spec, err := ParseSpec(raw)
		if err != nil {
			continue
		}
		accepted++
		if spec.Tasks < 1 || spec.Tasks > MaxTasks || !ValidID(spec.ID) || spec.CPUs < 0 || spec.MemoryGB < 0 {
			t.Fatalf("accepted a specification outside the limits: %+v from %s", spec, raw)
		}
	}
	if accepted == 0 || accepted == submissions {
		t.Fatalf("accepted %d of %d submissions, want some accepted and some rejected", accepted, submissions)
	}
}

// TestSpecJSONUsesProtocolFieldNames checks that a Spec is encoded as a submission, and that decoding restores it.
func TestSpecJSONUsesProtocolFieldNames(t *testing.T) {
	spec := gangSpec(t, 16)
	raw, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"name_id":"req-000412","breed":"train","warren":"vision","gait":"gang","urgency":"urgent",` +
		`"hops":16,"cpus":8,"accelerators":1,"memory_gb":64,"pelt":"img-07","size_gb":6.2,"builds":["g8"],` +
		`"meadow":null,"same_place":true,"apart":false,"stray":true,"stride_s":240,"rest_s":30,"stash_s":4,` +
		`"dusk_s":900}`
	if string(raw) != want {
		t.Errorf("got encoded spec %s, want the fields of the submission", raw)
	}
	var decoded Spec
	if err := json.Unmarshal(raw, &decoded); err != nil {
		t.Fatal(err)
	}
	if again, _ := json.Marshal(decoded); string(again) != want {
		t.Errorf("got %s after decoding and encoding again, want the same JSON", again)
	}
}

// TestRecordWithoutLicencesKeepsStoredForm checks that the record of a job without licences has the same bytes as in
// releases without licence support.
func TestRecordWithoutLicencesKeepsStoredForm(t *testing.T) {
	const want = `{"stance":"pending","at_ms":5,"n":16,"spec":{"name_id":"req-000412","breed":"train",` +
		`"warren":"vision","gait":"gang","urgency":"urgent","hops":16,"cpus":8,"accelerators":1,"memory_gb":64,` +
		`"pelt":"img-07","size_gb":6.2,"builds":["g8"],"meadow":null,"same_place":true,"apart":false,` +
		`"stray":true,"stride_s":240,"rest_s":30,"stash_s":4,"dusk_s":900}}`
	if raw := string(EncodeRecord(Pending, 5, 16, gangSpec(t, 16))); raw != want {
		t.Fatalf("got record %s, want the form without licences", raw)
	}
}

// TestApplyResolvesLicencePools checks that a job gets its licence units. If its pool isn't declared, the job gets a
// unit of pool None, which can't be granted.
func TestApplyResolvesLicencePools(t *testing.T) {
	spec, err := ParseSpec([]byte(withReplaced(t, `"new":[1]`, `"licences":{"p":2}`)))
	if err != nil || spec.Licences["p"] != 2 {
		t.Fatalf("got spec %+v, error %v, want 2 units of pool p", spec, err)
	}
	record := EncodeRecord(Pending, 5, 16, spec)

	table := NewTable(0)
	job, _, err := table.Apply(spec.ID, record, 1)
	if err != nil || len(job.LicenceUnits) != 1 || job.LicenceUnits[0].Pool != None {
		t.Fatalf("undeclared pool: got units %v, error %v, want one unit of pool None", job.LicenceUnits, err)
	}

	table = NewTable(0)
	table.Names.Pools = licences.NewCatalog([]*licences.Pool{{Name: "o"}, {Name: "p"}})
	job, _, err = table.Apply(spec.ID, record, 1)
	if err != nil || job.LicenceUnits[0] != (licences.Requirement{Pool: 1, Units: 2}) {
		t.Fatalf("declared pool: got units %v, error %v, want 2 units of pool 1", job.LicenceUnits, err)
	}
}

// ParseSpec returns each predecessor once, in order of first occurrence. The field may be missing, null or empty.
func TestParseSpecReadsPredecessors(t *testing.T) {
	for follows, want := range map[string][]string{
		`"new":[1]`:                             nil,
		`"follows":null`:                        nil,
		`"follows":[]`:                          nil,
		`"follows":["req-000398","req-000405"]`: {"req-000398", "req-000405"},
		`"follows":["req-2","req-1","req-2","req-000001"]`: {"req-2", "req-1", "req-000001"},
	} {
		spec, err := ParseSpec([]byte(withReplaced(t, `"new":[1]`, follows)))
		if err != nil || !slices.Equal(spec.Follows, want) {
			t.Errorf("%s: got predecessors %v, error %v, want %v", follows, spec.Follows, err, want)
		}
	}
}

func TestParseSpecRejectsMalformedPredecessors(t *testing.T) {
	for _, follows := range []string{`"req-000398"`, `{}`, `1`, `[398]`, `[null]`, `["job-1"]`, `["req-000412"]`} {
		_, err := ParseSpec([]byte(withReplaced(t, `"new":[1]`, `"follows":`+follows)))
		if !errors.Is(err, ErrMalformed) {
			t.Errorf("follows %s: got error %v, want ErrMalformed", follows, err)
		}
	}
}

// The record of a pending job with predecessors contains them, in a format that former releases reject. The record of a
// cancelled job omits them.
func TestRecordKeepsPredecessors(t *testing.T) {
	spec := gangSpec(t, 2)
	plain := EncodeRecord(Pending, 5, 2, spec)
	spec.Follows = []string{"req-000398", "req-000405"}
	record, state, err := decodeRecord(EncodeRecord(Pending, 5, 2, spec), newestRecordFormat)
	if err != nil || state != Pending || record.Format != dependentRecordFormat {
		t.Fatalf("pending: got format %d, state %v, error %v, want format 2 and no error", record.Format, state, err)
	}
	if !slices.Equal(record.Spec.Follows, spec.Follows) {
		t.Errorf("got predecessors %v, want those of the specification", record.Spec.Follows)
	}
	if len(spec.Follows) != 2 {
		t.Error("EncodeRecord changed the predecessors in the specification")
	}
	record, _, err = decodeRecord(EncodeRecord(Cancelled, 5, 2, spec), newestRecordFormat)
	if err != nil || record.Format != 0 || record.Spec.Follows != nil {
		t.Errorf("cancelled: got format %d, predecessors %v, error %v, want format 0 and none",
			record.Format, record.Spec.Follows, err)
	}
	spec.Follows = nil
	if string(EncodeRecord(Pending, 5, 2, spec)) != string(plain) {
		t.Error("record of a job with empty Follows differs from the record of a job that never had predecessors")
	}
}
