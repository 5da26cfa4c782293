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

// gangSubmission is a valid submission with a field that this release doesn't have.
const gangSubmission = `{"name_id":"req-000412","breed":"train","warren":"vision","gait":"gang","urgency":"urgent",` +
	`"hops":16,"cpus":8.0,"accelerators":1.0,"memory_gb":64.0,"pelt":"img-07","size_gb":6.2,"builds":["g8"],` +
	`"meadow":null,"same_place":true,"apart":false,"stray":true,"stride_s":240.0,"rest_s":30.0,"stash_s":4.0,` +
	`"dusk_s":900.0,"new":[1]}`

// withReplaced returns gangSubmission with a part of it replaced.
func withReplaced(t *testing.T, part, replacement string) string {
	t.Helper()
	if !strings.Contains(gangSubmission, part) {
		t.Fatalf("no %s in the submission", part)
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
		t.Fatalf("read as %+v", spec)
	}
	for _, tasks := range []int{1, 100_000} {
		if read := gangSpec(t, tasks); read.Tasks != tasks {
			t.Errorf("%d tasks read as %d", tasks, read.Tasks)
		}
	}
}

func TestParseSpecRefusesMalformedSubmissions(t *testing.T) {
	const extension = `"new":[1]` // where fields that users may omit are put
	for name, body := range map[string]string{
		"cut off":              `{"name_id":`,
		"bytes after the end":  gangSubmission + "x",
		"an array":             `[1]`,
		"null":                 `null`,
		"no id":                withReplaced(t, `"name_id":"req-000412",`, ""),
		"a null field":         withReplaced(t, `"cpus":8.0`, `"cpus":null`),
		"another form of id":   withReplaced(t, "req-000412", "job-000412"),
		"a path as id":         withReplaced(t, "req-000412", "req-0/../x"),
		"a string as a number": withReplaced(t, `"hops":16`, `"hops":"16"`),
		"half a task":          withReplaced(t, `"hops":16`, `"hops":1.5`),
		"no tasks":             withReplaced(t, `"hops":16`, `"hops":0`),
		"too many tasks":       withReplaced(t, `"hops":16`, `"hops":100001`),
		"a negative amount":    withReplaced(t, `"cpus":8.0`, `"cpus":-8.0`),
		"an unknown kind":      withReplaced(t, `"gang"`, `"band"`),
		"an unknown priority":  withReplaced(t, `"urgent"`, `"soon"`),
		"a number as a bool":   withReplaced(t, `"stray":true`, `"stray":1`),
		"no licence units":     withReplaced(t, extension, `"licences":{"p":0}`),
		"half a licence unit":  withReplaced(t, extension, `"licences":{"p":1.5}`),
		"an unnamed pool":      withReplaced(t, extension, `"licences":{"":1}`),
		"a list of pools":      withReplaced(t, extension, `"licences":[1]`),
		"too many units":       withReplaced(t, extension, `"licences":{"p":100001}`),
		"too many pools": withReplaced(t, extension,
			`"licences":{"1":1,"2":1,"3":1,"4":1,"5":1,"6":1,"7":1,"8":1,"9":1}`),
		"no machine types": withReplaced(t, `["g8"]`, `[]`),
		"too large":        withReplaced(t, "vision", strings.Repeat("v", 64<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseSpec([]byte(body)); !errors.Is(err, ErrMalformed) {
				t.Errorf("error %v, want %v", err, ErrMalformed)
			}
		})
	}
}

// TestParseSpecNamesTheFirstFault: of several faults the same one is reported each time.
func TestParseSpecNamesTheFirstFault(t *testing.T) {
	faults := strings.NewReplacer(`"train"`, `""`, `"vision"`, `""`, `"img-07"`, `""`, `"cpus":8.0`, `"cpus":-1`)
	body := []byte(faults.Replace(gangSubmission))
	const want = "malformed job: breed must have 1 to 200 characters"
	for range 50 {
		if _, err := ParseSpec(body); err == nil || err.Error() != want {
			t.Fatalf("error %v, want %s", err, want)
		}
	}
}

// TestParseSpecKeepsLimitsForAnySubmission changes random bytes: each submission is refused or within the limits.
func TestParseSpecKeepsLimitsForAnySubmission(t *testing.T) {
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
			t.Fatalf("accepted: %+v from %s", spec, raw)
		}
	}
	if accepted == 0 || accepted == submissions {
		t.Fatalf("%d of %d accepted: the test decides nothing", accepted, submissions)
	}
}

// TestSpecIsJSONWithTheProtocolsNames: clients encode a Spec as a submission, and it is read back the same.
func TestSpecIsJSONWithTheProtocolsNames(t *testing.T) {
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
		t.Errorf("encoded as %s", raw)
	}
	var decoded Spec
	if err := json.Unmarshal(raw, &decoded); err != nil {
		t.Fatal(err)
	}
	if again, _ := json.Marshal(decoded); string(again) != want {
		t.Errorf("decoded and encoded as %s", again)
	}
}

// TestRecordWithoutLicencesIsStoredAsBeforeLicences: the stored bytes are those of releases that had none.
func TestRecordWithoutLicencesIsStoredAsBeforeLicences(t *testing.T) {
	const want = `{"stance":"pending","at_ms":5,"n":16,"spec":{"name_id":"req-000412","breed":"train",` +
		`"warren":"vision","gait":"gang","urgency":"urgent","hops":16,"cpus":8,"accelerators":1,"memory_gb":64,` +
		`"pelt":"img-07","size_gb":6.2,"builds":["g8"],"meadow":null,"same_place":true,"apart":false,` +
		`"stray":true,"stride_s":240,"rest_s":30,"stash_s":4,"dusk_s":900}}`
	if raw := string(EncodeRecord(Pending, 5, 16, gangSpec(t, 16))); raw != want {
		t.Fatalf("stored as %s", raw)
	}
}

// TestLicencesOfAJob: a job keeps its licence units; where its pool isn't declared nothing of it can start.
func TestLicencesOfAJob(t *testing.T) {
	spec, err := ParseSpec([]byte(withReplaced(t, `"new":[1]`, `"licences":{"p":2}`)))
	if err != nil || spec.Licences["p"] != 2 {
		t.Fatalf("%+v, %v", spec, err)
	}
	record := EncodeRecord(Pending, 5, 16, spec)

	table := NewTable(0)
	job, _, err := table.Apply(spec.ID, record, 1)
	if err != nil || len(job.LicenceUnits) != 1 || job.LicenceUnits[0].Pool != None {
		t.Fatalf("units %v of an undeclared pool, %v", job.LicenceUnits, err)
	}

	table = NewTable(0)
	table.Names.Pools = licences.NewCatalog([]*licences.Pool{{Name: "o"}, {Name: "p"}})
	job, _, err = table.Apply(spec.ID, record, 1)
	if err != nil || job.LicenceUnits[0] != (licences.Unit{Pool: 1, N: 2}) {
		t.Fatalf("units %v, %v", job.LicenceUnits, err)
	}
}

// A submission names its predecessors, each once; none may be omitted or null.
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
			t.Errorf("%s read as %v with error %v, want %v", follows, spec.Follows, err, want)
		}
	}
}

func TestParseSpecRefusesMalformedPredecessors(t *testing.T) {
	for _, follows := range []string{`"req-000398"`, `{}`, `1`, `[398]`, `[null]`, `["job-1"]`, `["req-000412"]`} {
		_, err := ParseSpec([]byte(withReplaced(t, `"new":[1]`, `"follows":`+follows)))
		if !errors.Is(err, ErrMalformed) {
			t.Errorf("follows %s: error %v", follows, err)
		}
	}
}

// The record of a pending job with predecessors keeps them, under a format that former releases refuse; that of a
// terminal one needs none.
func TestRecordKeepsPredecessors(t *testing.T) {
	spec := gangSpec(t, 2)
	plain := EncodeRecord(Pending, 5, 2, spec)
	spec.Follows = []string{"req-000398", "req-000405"}
	record, state, err := decodeRecord(EncodeRecord(Pending, 5, 2, spec), newestRecordFormat)
	if err != nil || state != Pending || record.Format != dependentRecordFormat {
		t.Fatalf("format %d, state %v, error %v", record.Format, state, err)
	}
	if !slices.Equal(record.Spec.Follows, spec.Follows) {
		t.Errorf("predecessors read as %v", record.Spec.Follows)
	}
	if len(spec.Follows) != 2 {
		t.Error("encoding changed the specification")
	}
	record, _, err = decodeRecord(EncodeRecord(Cancelled, 5, 2, spec), newestRecordFormat)
	if err != nil || record.Format != 0 || record.Spec.Follows != nil {
		t.Errorf("cancelled: format %d, predecessors %v, error %v", record.Format, record.Spec.Follows, err)
	}
	spec.Follows = nil
	if string(EncodeRecord(Pending, 5, 2, spec)) != string(plain) {
		t.Error("a job without predecessors is stored in another form than before")
	}
}
