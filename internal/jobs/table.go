package jobs

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/licences"
)

// Index is a job's dense index on this controller.
type Index int32

// Job is one job as this controller knows it. Tasks exist only where it is planned.
type Job struct {
	Index       Index
	ID          string
	Spec        *Spec // nil once terminal and nothing of it is left
	State       State
	Version     uint64 // of the record
	TaskCount   int
	SubmittedAt time.Duration // submission, on this controller's steady clock
	RoomSince   time.Duration // since when nothing of it is on a machine though there is room, as its planner sees it; 0: that isn't so

	Tasks        []Task
	Segments     []*PlanSegment
	TasksByState [Finished + 1]int // tasks by state, kept by Set
	RunningTasks int               // tasks that run or save, kept by Enter

	FinishedTasks   int // finished tasks, as far as known here
	ReportedRunning int // display only

	GangAttempt   uint64        // of a gang's current start
	GangStartedAt time.Duration // when that was
	FetchS        float64       // the longest fetch that it waits for, in seconds
	Priority      int

	// Dense indices of the names in the spec.
	Class, Team, Image int32
	Zone               int32   // the only zone, or None
	Types              []int32 // the only machine types, or nil
	// LicenceUnits is what each task holds of the licence pools. One that is not known here makes
	// the job wait.
	LicenceUnits []licences.Unit
	// LicenceDenial is why its planner has no seats for its waiting tasks.
	LicenceDenial licences.Denial

	// TasksByZone counts, by dense zone, the tasks that may be on a machine there.
	TasksByZone map[int32]int

	// AvoidedMachines holds machines on which a task of the job failed, and until when they are
	// avoided: mostly the machine is at fault, but a mistaken job fails on all.
	AvoidedMachines map[int32]time.Duration

	// GangDone tells that a task of the gang is done, and so all are.
	GangDone bool

	// Suspended keeps its tasks off machines: a session that was reclaimed.
	Suspended bool
	// Quarantined: something stored of it can't be read. Nothing of it is planned or started, nothing is told of it.
	Quarantined bool

	FinalWriteInFlight bool // the terminal record is being written
	Started            bool // some task was launched at least once

	// QueuePosition is its rank among the live jobs of its planner, from 1; 0: it has none.
	QueuePosition int
	// EndedAt is when this controller learnt that the job is terminal, on its steady clock.
	EndedAt time.Duration
	// Archived: its record is gone from the followed keys, and it leaves the table once its planner holds nothing of it.
	Archived bool
	gone     bool // it has left the table
}

// Names maps the names of one kind to dense indices.
type Names struct {
	index map[string]int32
	names []string
}

// Index finds or makes a name's index.
func (n *Names) Index(name string) int32 {
	if i, ok := n.index[name]; ok {
		return i
	}
	if n.index == nil {
		n.index = map[string]int32{}
	}
	i := int32(len(n.names))
	name = strings.Clone(name)
	n.names = append(n.names, name)
	n.index[name] = i
	return i
}

// Name gives the name back.
func (n *Names) Name(i int32) string { return n.names[i] }

// Len is the number of names.
func (n *Names) Len() int { return len(n.names) }

// NameIndex holds the tables of all kinds of names.
type NameIndex struct {
	Classes, Teams, Images, Zones, Types Names
	// Pools finds the licence pools by name.
	Pools *licences.Catalog
}

// enter maps a spec's names.
func (d *NameIndex) enter(job *Job) {
	spec := job.Spec
	job.Class, job.Team, job.Image, job.Zone = d.Classes.Index(spec.Class), d.Teams.Index(spec.Team), d.Images.Index(spec.Image), None
	if spec.Zone != nil {
		job.Zone = d.Zones.Index(*spec.Zone)
	}
	job.Types = nil
	for _, t := range spec.Types {
		job.Types = append(job.Types, d.Types.Index(t))
	}
	job.LicenceUnits = nil
	if len(spec.Licences) > 0 {
		var err error
		if job.LicenceUnits, err = d.Pools.Needs(spec.Licences); err != nil {
			// It was accepted where the pool is declared: here it must not start.
			job.LicenceUnits = []licences.Unit{{Pool: None, N: 1}}
		}
	}
}

// Allows tells whether the job may run on a kind of machine.
func (j *Job) Allows(typ, zone int32, spot bool) bool {
	if j.Spec == nil || (spot && !j.Spec.Spot) || (j.Zone != None && j.Zone != zone) {
		return false
	}
	if j.Types == nil {
		return true
	}
	for _, taskIndex := range j.Types {
		if taskIndex == typ {
			return true
		}
	}
	return false
}

// Table is the table of all jobs. It never tells an older stance than it has told.
type Table struct {
	byID  map[string]*Job
	table shardedJobs
	live  map[Index]*Job
	ended endedQueue
	tasks int   // of live jobs
	epoch int64 // wall-clock milliseconds at steady time 0
	Names *NameIndex
	// unread are the jobs whose newest record can't be read, with its version.
	unread map[string]uint64
}

// NewTable makes an empty table; epochMS is the wall clock at steady time 0.
func NewTable(epochMS int64) *Table {
	return &Table{unread: map[string]uint64{}, byID: map[string]*Job{}, live: map[Index]*Job{}, epoch: epochMS, Names: &NameIndex{Pools: licences.NewCatalog(nil)}}
}

// ByIndex finds a job by index; nil: it has left the table. An index is never used for a second job.
func (b *Table) ByIndex(i Index) *Job { return b.table.at(i) }

// Get finds a job by id, or nil.
func (b *Table) Get(id string) *Job { return b.byID[id] }

// IsUnreadable tells whether the newest record of a job can't be read: nothing may be told of it, and nothing done.
func (b *Table) IsUnreadable(id string) bool { _, ok := b.unread[id]; return ok }

// UnreadableIDs lists the jobs whose newest record can't be read.
func (b *Table) UnreadableIDs() []string { return slices.Sorted(maps.Keys(b.unread)) }

// Len is the number of jobs known.
func (b *Table) Len() int { return len(b.byID) }

// LiveTasks is the number of tasks of all jobs that are not terminal.
func (b *Table) LiveTasks() int { return b.tasks }

// ForEachLive calls f for every job that is not terminal; the order is not defined.
func (b *Table) ForEachLive(f func(*Job)) {
	for _, job := range b.live {
		f(job)
	}
}

// Apply takes over a record that was read or committed and returns the job if its stance
// is new here. Records only go forward: an older version, which a read that raced with the
// follow may bring, is ignored, and a terminal stance stays.
func (b *Table) Apply(id string, raw json.RawMessage, version uint64) (*Job, bool, error) {
	job := b.Get(id)
	if job != nil && (version <= job.Version || job.State.Terminal()) {
		return job, false, nil
	}
	r, st, err := decodeRecord(raw)
	if err != nil {
		b.unread[id] = version
		if job != nil {
			job.Quarantined = true
		}
		return job, false, err
	}
	if v, was := b.unread[id]; was {
		if version < v {
			return job, false, nil // what can't be read is newer
		}
		delete(b.unread, id)
		if job != nil {
			job.Quarantined = false
		}
	}
	if job == nil {
		job = &Job{ID: strings.Clone(id), TaskCount: r.Tasks, TasksByZone: map[int32]int{}}
		b.table.add(job)
		b.byID[job.ID] = job
	} else if job.State == st {
		job.Version = version
		return job, false, nil
	}
	job.Version = version
	b.setState(job, st)
	if r.Spec != nil {
		job.Spec = r.Spec
		job.Priority = r.Spec.PriorityLevel()
		b.Names.enter(job)
		job.SubmittedAt = b.SteadyAt(r.AtMS)
	}
	return job, true, nil
}

// setState is the only place where a job's stance changes.
func (b *Table) setState(job *Job, st State) {
	job.State = st
	if _, was := b.live[job.Index]; was != !st.Terminal() {
		if was {
			b.tasks -= job.TaskCount
		} else {
			b.tasks += job.TaskCount
		}
	}
	if st.Terminal() {
		delete(b.live, job.Index)
		b.ended.add(job)
		if st == Done {
			job.FinishedTasks = job.TaskCount
		}
		job.ReportedRunning = 0
		return
	}
	b.live[job.Index] = job
}

// WallMS is the wall clock at a steady time.
func (b *Table) WallMS(now time.Duration) int64 { return b.epoch + now.Milliseconds() }

// SteadyAt is the steady time at a time on the wall.
func (b *Table) SteadyAt(wallMS int64) time.Duration {
	return time.Duration(wallMS-b.epoch) * time.Millisecond
}

// RecallArchived drops what only the job's planner needs: after losing the lead.
func (b *Table) RecallArchived() {
	b.ForEach(func(job *Job) {
		job.RunningTasks, job.QueuePosition = 0, 0
		job.Suspended, job.Quarantined = false, b.IsUnreadable(job.ID)
		job.Tasks, job.Segments, job.FinalWriteInFlight, job.Started, job.GangDone, job.GangAttempt, job.RoomSince = nil, nil, false, false, false, 0, 0
		clear(job.TasksByZone)
		clear(job.AvoidedMachines)
		if job.Archived {
			b.remove(job)
		}
	})
}

// Idle tells whether nothing of the job is to be planned.
func (j *Job) Idle() bool { return j.Suspended || j.Quarantined }

// ForEach calls f for every job.
func (b *Table) ForEach(f func(*Job)) { b.table.all(f) }
