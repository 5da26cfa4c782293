package dependencies

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// priorityNames are the names of the priorities, indexed by level.
var priorityNames = []string{"best_effort", "standard", "urgent", "prod"}

func jobID(number int) string { return fmt.Sprintf("req-%06d", number) }

// newSpec returns the specification of a job with one task and the lowest priority.
func newSpec(number int, predecessors ...int) *jobs.Spec {
	spec := &jobs.Spec{
		ID: jobID(number), Class: "c", Team: "t", Kind: jobs.Array, Priority: priorityNames[0], Tasks: 1, CPUs: 1, Image: "i",
	}
	for _, predecessor := range predecessors {
		spec.Follows = append(spec.Follows, jobID(predecessor))
	}
	return spec
}

// controller holds the job table and the graph of a controller.
type controller struct {
	t        testing.TB
	now      time.Duration
	table    *jobs.Table
	graph    *Graph
	version  uint64   // version of the newest record or deletion that the test generated
	released []string // ids of the jobs that onReleased reported
}

func newController(t testing.TB) *controller {
	t.Helper()
	c := &controller{t: t, now: time.Second, table: jobs.NewTable(0)}
	c.graph = New(c.table, func(_ time.Duration, job *jobs.Job) { c.released = append(c.released, job.ID) })
	return c
}

// read applies a job record at the given version.
func (c *controller) read(id string, record json.RawMessage, version uint64) {
	c.t.Helper()
	job, changed, err := c.table.Apply(id, record, version)
	if err != nil {
		c.t.Fatal(err)
	}
	if changed {
		c.graph.HandleJobChange(c.now, job)
	}
}

// readNew applies a job record at a new version.
func (c *controller) readNew(state jobs.State, spec *jobs.Spec) *jobs.Job {
	c.t.Helper()
	c.version++
	c.read(spec.ID, jobs.EncodeRecord(state, 0, spec.Tasks, spec), c.version)
	return c.table.Get(spec.ID)
}

// readDeletion applies the deletion of a job's record at the given version.
func (c *controller) readDeletion(id string, version uint64) {
	c.table.Archive(id, version)
	if job := c.table.Get(id); job == nil || job.Archived {
		c.graph.HandleRemoved(id)
	}
}

// readNewDeletion applies the deletion of a job's record at a new version.
func (c *controller) readNewDeletion(number int) {
	c.version++
	c.readDeletion(jobID(number), c.version)
}

// unknown returns the ids of the jobs that ForEachUnknown visits.
func (c *controller) unknown() []string {
	var ids []string
	c.graph.ForEachUnknown(func(id string) bool {
		ids = append(ids, id)
		return true
	})
	return ids
}

// cancelPending returns the ids of the jobs that ForEachCancelPending visits.
func (c *controller) cancelPending() []string {
	var ids []string
	c.graph.ForEachCancelPending(func(job *jobs.Job) bool {
		ids = append(ids, job.ID)
		return true
	})
	return ids
}
