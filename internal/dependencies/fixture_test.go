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

// priorityNames are the names of the priorities by their levels.
var priorityNames = []string{"best_effort", "standard", "urgent", "prod"}

func jobID(number int) string { return fmt.Sprintf("req-%06d", number) }

// newSpec returns the specification of a job of one task, of the lowest priority.
func newSpec(number int, predecessors ...int) *jobs.Spec {
	spec := &jobs.Spec{
		ID: jobID(number), Class: "c", Team: "t", Kind: jobs.Array, Priority: priorityNames[0], Tasks: 1, CPUs: 1, Image: "i",
	}
	for _, predecessor := range predecessors {
		spec.Follows = append(spec.Follows, jobID(predecessor))
	}
	return spec
}

// controller is a job table with its graph, as a controller has them.
type controller struct {
	t        testing.TB
	now      time.Duration
	table    *jobs.Table
	graph    *Graph
	version  uint64   // of the newest record that a test made up
	released []string // the jobs that OnReleased reported
}

func newController(t testing.TB) *controller {
	t.Helper()
	c := &controller{t: t, now: time.Second, table: jobs.NewTable(0)}
	c.graph = New(c.table, func(_ time.Duration, job *jobs.Job) { c.released = append(c.released, job.ID) })
	return c
}

// read applies a record that was read.
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

// readNew applies a record at a version of its own.
func (c *controller) readNew(state jobs.State, spec *jobs.Spec) *jobs.Job {
	c.t.Helper()
	c.version++
	c.read(spec.ID, jobs.EncodeRecord(state, 0, spec.Tasks, spec), c.version)
	return c.table.Get(spec.ID)
}

// readDeletion applies that a job's record has left the followed keys.
func (c *controller) readDeletion(id string, version uint64) {
	c.table.Archive(id, version)
	if job := c.table.Get(id); job == nil || job.Archived {
		c.graph.HandleRemoved(id)
	}
}

// readNewDeletion applies a deletion at a version of its own.
func (c *controller) readNewDeletion(number int) {
	c.version++
	c.readDeletion(jobID(number), c.version)
}

// unknown returns the jobs that ForEachUnknown visits.
func (c *controller) unknown() []string {
	var ids []string
	c.graph.ForEachUnknown(func(id string) bool {
		ids = append(ids, id)
		return true
	})
	return ids
}

// doomed returns the jobs that ForEachDoomed visits.
func (c *controller) doomed() []string {
	var ids []string
	c.graph.ForEachDoomed(func(job *jobs.Job) bool {
		ids = append(ids, job.ID)
		return true
	})
	return ids
}
