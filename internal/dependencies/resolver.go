package dependencies

import (
	"maps"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/store"
)

const (
	// resolveInterval is the time between two searches for Unknown jobs. The watch delivers most of their records
	// before that.
	resolveInterval = 500 * time.Millisecond
	// maxResolveReads is the maximum number of jobs whose reads are in flight.
	maxResolveReads = 8
)

// ResolverEnv holds the controller functions that a Resolver calls.
type ResolverEnv struct {
	// CanRead reports whether one more read may be sent now.
	CanRead func() bool
	// Locate reads a job's record, or its archive entry if it has no record.
	Locate func(id string, done func(found archive.Location, err error))
	// OnJobRecord receives each record that was read.
	OnJobRecord func(now time.Duration, item store.Item)
	// Now returns the monotonic time. It is called when a result arrives.
	Now func() time.Duration
}

// Resolver reads the final states of predecessors whose records aren't in the watched keys, because they were
// archived before this controller read the successor's record.
type Resolver struct {
	env          ResolverEnv
	graph        *Graph
	nextSearchAt time.Duration   // time of the next search
	inFlight     map[string]bool // ids of the jobs that are being read
	lastUnknown  map[string]bool // ids of the jobs that were Unknown at the last search
	attempted    map[string]bool // ids of the Unknown jobs read in the current round; cleared when each of them was read
}

// NewResolver returns a Resolver for a graph.
func NewResolver(graph *Graph, env ResolverEnv) *Resolver {
	return &Resolver{env: env, graph: graph, inFlight: map[string]bool{}, attempted: map[string]bool{}}
}

// Tick starts a search if one is due. It reads jobs that were already Unknown at the previous search, within the
// limits of maxResolveReads and CanRead.
func (r *Resolver) Tick(now time.Duration) {
	if now < r.nextSearchAt {
		return
	}
	r.nextSearchAt = now + resolveInterval
	for _, id := range r.jobsToRead() {
		if len(r.inFlight) >= maxResolveReads || !r.env.CanRead() {
			return
		}
		r.attempted[id] = true
		r.read(id)
	}
}

// jobsToRead returns the jobs that were already Unknown at the previous search and aren't being read. Jobs that were
// read before come last, so that unreadable archive entries don't delay the reads of other jobs.
func (r *Resolver) jobsToRead() []string {
	unknown := map[string]bool{}
	var unattempted, attempted []string
	r.graph.ForEachUnknown(func(id string) bool {
		unknown[id] = true
		switch {
		case !r.lastUnknown[id] || r.inFlight[id]:
		case r.attempted[id]:
			attempted = append(attempted, id)
		default:
			unattempted = append(unattempted, id)
		}
		return true
	})
	r.lastUnknown = unknown
	maps.DeleteFunc(r.attempted, func(id string, _ bool) bool { return !unknown[id] })
	if len(unattempted) == 0 {
		clear(r.attempted)
	}
	return append(unattempted, attempted...)
}

// read reads a job's record or its archive entry, and applies the result to the graph.
func (r *Resolver) read(id string) {
	r.inFlight[id] = true
	r.env.Locate(id, func(found archive.Location, err error) {
		delete(r.inFlight, id)
		switch {
		case err != nil:
		case found.Archived:
			r.graph.HandleArchived(r.env.Now(), id, found.Entry.State)
		case !found.Absent():
			r.env.OnJobRecord(r.env.Now(), found.Record)
		}
	})
}
