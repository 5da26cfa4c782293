package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/licences"
)

const good = `{"name_id":"req-000412","breed":"train","warren":"vision","gait":"gang","urgency":"urgent","hops":16,
 "cpus":8.0,"accelerators":1.0,"memory_gb":64.0,"pelt":"img-07","size_gb":6.2,"builds":["g8"],"meadow":null,
 "same_place":true,"apart":false,"stray":true,"stride_s":240.0,"rest_s":30.0,"stash_s":4.0,"dusk_s":900.0,"new":[1]}`

func TestParseSpec(t *testing.T) {
	spec, err := ParseSpec([]byte(good))
	if err != nil || spec.Tasks != 16 || spec.Zone != nil || *spec.DeadlineS != 900 || spec.PriorityLevel() != 2 {
		t.Fatalf("%+v, %v", spec, err)
	}
	bad := map[string]string{
		"not JSON":       `{"name_id":`,
		"trailing":       good + "x",
		"an array":       `[1]`,
		"null":           `null`,
		"no id":          strings.Replace(good, `"name_id":"req-000412",`, "", 1),
		"a null field":   strings.Replace(good, `"cpus":8.0`, `"cpus":null`, 1),
		"a form":         strings.Replace(good, "req-000412", "job-000412", 1),
		"a path as id":   strings.Replace(good, "req-000412", "req-0/../x", 1),
		"a string":       strings.Replace(good, `"hops":16`, `"hops":"16"`, 1),
		"half a task":    strings.Replace(good, `"hops":16`, `"hops":1.5`, 1),
		"no tasks":       strings.Replace(good, `"hops":16`, `"hops":0`, 1),
		"too many tasks": strings.Replace(good, `"hops":16`, `"hops":100001`, 1),
		"negative":       strings.Replace(good, `"cpus":8.0`, `"cpus":-8.0`, 1),
		"a kind":         strings.Replace(good, `"gang"`, `"band"`, 1),
		"a priority":     strings.Replace(good, `"urgent"`, `"soon"`, 1),
		"a bool":         strings.Replace(good, `"stray":true`, `"stray":1`, 1),
		"no seats":       strings.Replace(good, `"new":[1]`, `"licences":{"p":0}`, 1),
		"half a seat":    strings.Replace(good, `"new":[1]`, `"licences":{"p":1.5}`, 1),
		"seats of what":  strings.Replace(good, `"new":[1]`, `"licences":{"":1}`, 1),
		"seats unnamed":  strings.Replace(good, `"new":[1]`, `"licences":[1]`, 1),
		"many seats":     strings.Replace(good, `"new":[1]`, `"licences":{"p":100001}`, 1),
		"many pools":     strings.Replace(good, `"new":[1]`, `"licences":{"1":1,"2":1,"3":1,"4":1,"5":1,"6":1,"7":1,"8":1,"9":1}`, 1),
		"no types":       strings.Replace(good, `["g8"]`, `[]`, 1),
		"too large":      strings.Replace(good, "vision", strings.Repeat("v", 64<<10), 1),
	}
	for what, body := range bad {
		if _, err := ParseSpec([]byte(body)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s was taken: %v", what, err)
		}
	}
	for _, n := range []string{`"hops":1`, `"hops":100000`} {
		if _, err := ParseSpec([]byte(strings.Replace(good, `"hops":16`, n, 1))); err != nil {
			t.Errorf("%s refused: %v", n, err)
		}
	}
}

// Whatever users send, parsing returns a job within bounds or an error.
// A job without licences is stored byte for byte as before there were any; one with them keeps
// them, and where its pool is not declared nothing of it starts.
func TestLicencesOfAJob(t *testing.T) {
	spec, err := ParseSpec([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	const was = `{"stance":"pending","at_ms":5,"n":16,"spec":{"name_id":"req-000412","breed":"train","warren":"vision","gait":"gang",` +
		`"urgency":"urgent","hops":16,"cpus":8,"accelerators":1,"memory_gb":64,"pelt":"img-07","size_gb":6.2,"builds":["g8"],"meadow":null,` +
		`"same_place":true,"apart":false,"stray":true,"stride_s":240,"rest_s":30,"stash_s":4,"dusk_s":900}}`
	if raw := string(EncodeRecord(Pending, 5, 16, spec)); raw != was {
		t.Fatalf("stored as %s", raw)
	}
	spec, err = ParseSpec([]byte(strings.Replace(good, `"new":[1]`, `"licences":{"p":2}`, 1)))
	if err != nil || spec.Licences["p"] != 2 {
		t.Fatalf("%+v, %v", spec, err)
	}
	b := NewTable(0)
	job, _, err := b.Apply(spec.ID, EncodeRecord(Pending, 5, 16, spec), 1)
	if err != nil || len(job.LicenceUnits) != 1 || job.LicenceUnits[0].Pool != None {
		t.Fatalf("seats %v of an undeclared pool, %v", job.LicenceUnits, err)
	}
	b = NewTable(0)
	b.Names.Pools = licences.NewCatalog([]*licences.Pool{{Name: "o"}, {Name: "p"}})
	if job, _, err = b.Apply(spec.ID, EncodeRecord(Pending, 5, 16, spec), 1); err != nil || job.LicenceUnits[0] != (licences.Unit{Pool: 1, N: 2}) {
		t.Fatalf("seats %v, %v", job.LicenceUnits, err)
	}
}

func TestHostileSubmissions(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	taken := 0
	for range 20_000 {
		raw := []byte(good)
		for range 1 + rng.IntN(3) {
			raw[rng.IntN(len(raw))] = byte(32 + rng.IntN(95))
		}
		spec, err := ParseSpec(raw)
		if err != nil {
			continue
		}
		taken++
		if spec.Tasks < 1 || spec.Tasks > MaxTasks || !ValidID(spec.ID) || spec.CPUs < 0 || spec.MemoryGB < 0 {
			t.Fatalf("taken: %+v from %s", spec, raw)
		}
	}
	if taken == 0 || taken == 20_000 {
		t.Fatalf("%d of 20000 taken: the test decides nothing", taken)
	}
}

func spec(n int) *Spec {
	spec, err := ParseSpec([]byte(strings.Replace(good, `"hops":16`, fmt.Sprintf(`"hops":%d`, n), 1)))
	if err != nil {
		panic(err)
	}
	return spec
}

// A chunk read back is what was written, for random plans, and fits a small value.
func TestChunksSurviveTheStore(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 8))
	for range 300 {
		n := 1 + rng.IntN(3*SegmentTasks)
		job := &Job{ID: "req-000001", TaskCount: n, Spec: spec(n), TasksByZone: map[int32]int{}}
		job.OpenTasks()
		machines := 1 + rng.IntN(400)
		for i := range job.Tasks {
			switch rng.IntN(3) {
			case 0:
				job.Tasks[i].Machine = int32(rng.IntN(machines))
				job.Tasks[i].State = Planned
			case 1:
				job.Tasks[i].State = Finished
			}
		}
		for _, segment := range job.Segments {
			raw, snap := job.EncodeSegment(segment, 7, func(m int32) string { return fmt.Sprintf("i-%06d", m) })
			if len(raw) > 8<<10 {
				t.Fatalf("value of %d bytes", len(raw))
			}
			on, done, err := DecodeSegment(raw, len(segment.DurableMachines), func(s string) int32 {
				var m int32
				_, _ = fmt.Sscanf(s, "i-%d", &m)
				return m
			})
			if err != nil {
				t.Fatal(err)
			}
			for i := range on {
				task := job.Tasks[segment.Number*SegmentTasks+i]
				if done[i] != (task.State == Finished) || (!done[i] && on[i] != task.Machine) {
					t.Fatalf("task %d: %d %v, want %+v", i, on[i], done[i], task)
				}
				if done[i] != (snap[i] == DurablyDone) {
					t.Fatalf("snapshot %d of task %d", snap[i], i)
				}
			}
			for range 30 { // a damaged value is refused or read, never a panic
				b := append([]byte(nil), raw...)
				b[rng.IntN(len(b))] = byte(32 + rng.IntN(95))
				_, _, _ = DecodeSegment(b, len(segment.DurableMachines), func(string) int32 { return 0 })
			}
		}
	}
}

// The book never tells an older stance, in whatever order records arrive.
func TestStanceOnlyGoesForward(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	s := spec(2)
	recs := []struct {
		raw json.RawMessage
		v   uint64
		st  State
	}{{EncodeRecord(Pending, 5, 2, s), 3, Pending}, {EncodeRecord(Pending, 5, 2, s), 4, Pending}, {EncodeRecord(Cancelled, 5, 2, s), 9, Cancelled}}
	for range 200 {
		b := NewTable(0)
		newest := 0
		for _, i := range rng.Perm(len(recs)) {
			if _, _, err := b.Apply(s.ID, recs[i].raw, recs[i].v); err != nil {
				t.Fatal(err)
			}
			newest = max(newest, i)
			if job := b.Get(s.ID); job.State != recs[newest].st || job.Version != recs[newest].v {
				t.Fatalf("told %v at %d, newest is %v at %d", job.State, job.Version, recs[newest].st, recs[newest].v)
			}
		}
		live := 0
		b.ForEachLive(func(*Job) { live++ })
		if live != 0 {
			t.Fatal("a cancelled job is live")
		}
	}
}

// Only the listed changes of a task's state are possible.
func TestTaskStatesAreGuarded(t *testing.T) {
	job := &Job{ID: "req-000001", TaskCount: 1, Spec: spec(1), TasksByZone: map[int32]int{}}
	job.OpenTasks()
	for _, s := range []TaskState{Launched, OnMachine} {
		err := job.SetTaskState(0, s)
		if s == Launched && err == nil {
			t.Fatal("an unplanned task was launched")
		}
	}
	if err := job.SetTaskState(0, Finished); err != nil || job.FinishedTasks != 1 {
		t.Fatal(err, job.FinishedTasks)
	}
	for s := Unplanned; s <= Finished; s++ {
		if job.SetTaskState(0, s) == nil {
			t.Fatalf("a finished task became %v", s)
		}
	}
}

// A plan that moved a task away and was given up may land yet: the task must not start where the older plan has it, or the next
// owner would believe the one that lands. Once a write of its key is through none of that counts any more.
func TestOpenWritesHoldStarts(t *testing.T) {
	job := &Job{ID: "req-000001", TaskCount: 2}
	job.OpenTasks()
	segment := job.Segments[0]
	for i := range job.Tasks {
		job.Tasks[i].Machine, segment.DurableMachines[i] = 4, 4
	}
	if !job.IsDurable(0) || !job.IsDurable(1) {
		t.Fatal("a durable plan doesn't count")
	}
	segment.AddIndeterminate([]int32{7, 4})
	if job.IsDurable(0) || !job.IsDurable(1) {
		t.Errorf("with a write open that plans the first elsewhere: %v, %v", job.IsDurable(0), job.IsDurable(1))
	}
	job.Tasks[0].Machine = 7
	if job.IsDurable(0) {
		t.Error("what only the open write says counts as durable")
	}
	segment.AddIndeterminate([]int32{4, 9})
	for _, m := range []int32{4, 7} {
		if job.Tasks[0].Machine = m; job.IsDurable(0) {
			t.Errorf("two open writes differ, and machine %d counts", m)
		}
	}
	segment.InFlight, segment.Indeterminate = []int32{4, 5}, nil
	if job.Tasks[0].Machine = 4; !job.IsDurable(0) || job.IsDurable(1) {
		t.Errorf("with a write under way: %v, %v", job.IsDurable(0), job.IsDurable(1))
	}
}
