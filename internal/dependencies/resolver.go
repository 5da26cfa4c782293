package dependencies

import (
	"maps"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/store"
)

const (
	// resolveInterval spaces the searches for jobs in state Unknown. The watch brings most of their records first.
	resolveInterval = 500 * time.Millisecond
	// maxResolveReads bounds the reads in flight.
	maxResolveReads = 8
)

// ResolverEnv is what a Resolver needs of the controller.
type ResolverEnv struct {
	// CanRead reports whether one more read may be sent now.
	CanRead func() bool
	// Locate reads a job's record, or its archived answer.
	Locate func(id string, done func(found archive.Location, err error))
	// OnJobRecord receives each record that was read.
	OnJobRecord func(now time.Duration, item store.Item)
	// Now returns the monotonic time, for results.
	Now func() time.Duration
}

// Resolver reads what became of jobs that are named as predecessors and whose records aren't among the followed keys:
// they were archived before this controller read the successor's record.
type Resolver struct {
	env       ResolverEnv
	graph     *Graph
	searchAt  time.Duration   // when unknown jobs are next searched for
	inFlight  map[string]bool // by job
	lastFound map[string]bool // jobs that were unknown at the last search
	tried     map[string]bool // unknown jobs that were read since all others were
}

// NewResolver returns a Resolver for a graph.
func NewResolver(graph *Graph, env ResolverEnv) *Resolver {
	return &Resolver{env: env, graph: graph, inFlight: map[string]bool{}, tried: map[string]bool{}}
}

// Tick reads jobs that have been unknown for at least one search.
func (r *Resolver) Tick(now time.Duration) {
	if now < r.searchAt {
		return
	}
	r.searchAt = now + resolveInterval
	for _, id := range r.findDue() {
		if len(r.inFlight) >= maxResolveReads || !r.env.CanRead() {
			return
		}
		r.tried[id] = true
		r.read(id)
	}
}

// findDue returns the jobs that have been unknown since the last search and aren't being read. Those that were read
// before come last, so that answers that can't be read hold up no others.
func (r *Resolver) findDue() []string {
	found := map[string]bool{}
	var untried, tried []string
	r.graph.ForEachUnknown(func(id string) bool {
		found[id] = true
		switch {
		case !r.lastFound[id] || r.inFlight[id]:
		case r.tried[id]:
			tried = append(tried, id)
		default:
			untried = append(untried, id)
		}
		return true
	})
	r.lastFound = found
	maps.DeleteFunc(r.tried, func(id string, _ bool) bool { return !found[id] })
	if len(untried) == 0 {
		clear(r.tried)
	}
	return append(untried, tried...)
}

// read reads a job's record or its archived answer.
func (r *Resolver) read(id string) {
	r.inFlight[id] = true
	r.env.Locate(id, func(found archive.Location, err error) {
		delete(r.inFlight, id)
		switch {
		case err != nil:
		case found.Archived:
			r.graph.HandleArchived(r.env.Now(), id, found.Answer.State)
		case !found.Absent():
			r.env.OnJobRecord(r.env.Now(), found.Record)
		}
	})
}
