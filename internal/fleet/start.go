package fleet

// What may start on a machine now, and how it is started.

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// keptFree is what tasks without an accelerator must leave of a machine, so that its idle
// accelerators can be used by work that waits for them: small tasks that took every core
// as it came free would never let a large one in.
// A job that ranks before all such work, or is overdue to begin, nil for none, leaves nothing: it would stop that work for room which was then kept
// for the same work, again and again.
func (f *Fleet) keptFree(m *Machine, j *jobs.Job, idle float64) planner.Size {
	if m.Capacity.GPUs == 0 || f.waitingPerGPU == (planner.Size{}) || j != nil && (j.Spec.GPUs > 0 || f.startDeadlineDue[j.Index] || f.isStartDeadlineDue(j) || f.hasWaitedLong(j)) {
		return planner.Size{}
	}
	// What such work may stop anyway need only be kept from as much as waits and may come.
	if !m.keepsCPUsForGPUWork && j != nil && j.Priority < f.gpuPriority && !f.withinGuarantee[j.Index] {
		return planner.Size{}
	}
	return f.waitingPerGPU.Times(idle)
}

// isStartDeadlineDue tells whether a job ranks before all work that waits for accelerators.
func (f *Fleet) isStartDeadlineDue(j *jobs.Job) bool {
	if w := f.withinGuarantee[j.Index]; w != f.gpuWithinGuarantee {
		return w
	}
	return j.Priority > f.gpuPriority
}

// spotWaitLimit is by how many seconds a job that may use spot machines puts off an ordinary one
// which live jobs that may not use spot could need: they have no other.
func (f *Fleet) spotWaitLimit(m *Machine, j *jobs.Job) float64 {
	if m.Spot || !j.Spec.Spot || !f.onDemandTypes[m.Type] {
		return 0
	}
	if j.Spec.Kind == jobs.Array {
		return yieldArray * f.estimate(j)
	}
	return yieldGang * f.estimate(j)
}

// fits tells whether one more task of a job has room on a machine now.
func (f *Fleet) fits(m *Machine, j *jobs.Job) bool {
	s := j.Spec.Size()
	free := m.Free()
	if f.isReservedFrom(m, j) {
		free = free.Sub(m.reserved)
	}
	free = free.Sub(f.keptFree(m, j, m.Capacity.GPUs-m.Used.GPUs))
	if j.Spec.Kind == jobs.Array {
		// Gangs already planned here wait only for their plan to be durable.
		free = free.Sub(m.queuedWhole)
	}
	return s.Fits(free)
}

func (f *Fleet) rankOf(j *jobs.Job) int {
	if j.QueuePosition > 0 {
		return j.QueuePosition - 1
	}
	return 1 << 30
}

// sortRanked orders jobs by rank.
func (f *Fleet) sortRanked(ixs []jobs.Index) {
	slices.SortFunc(ixs, func(a, b jobs.Index) int {
		return cmp.Or(cmp.Compare(f.rankOf(f.jobAt(a)), f.rankOf(f.jobAt(b))), cmp.Compare(a, b))
	})
}

// mayUse tells whether a job's task may be on a machine, given where its others are.
func (f *Fleet) mayUse(m *Machine, j *jobs.Job) bool {
	if !j.Allows(m.Type, m.Zone, m.Spot) || (len(j.AvoidedMachines) > 0 && f.Now() < j.AvoidedMachines[m.Index]) {
		return false
	}
	if j.Spec.OneZone {
		for z, n := range j.TasksByZone {
			if n > 0 && z != m.Zone {
				return false
			}
		}
	}
	if lim := j.Spec.ZoneLimit(); lim > 0 && j.TasksByZone[m.Zone]+j.TasksByZone[jobs.None] >= lim {
		return false
	}
	return true
}

// startable tells whether a planned task may be launched now.
func (f *Fleet) startable(now time.Duration, m *Machine, j *jobs.Job, t int32) bool {
	k := &j.Tasks[t]
	return j.State == jobs.Pending && !j.Quarantined && k.State == jobs.Planned && k.Machine == m.Index && k.NotBefore <= now &&
		j.IsDurable(t) && f.mayUse(m, j) && f.fits(m, j) && (f.Gate.Reserved(licenceRef(j, t)) || f.Gate.Fits(admissionClaim(j), 1))
}

// nextAttempt makes an attempt that no term has used.
func (f *Fleet) nextAttempt() uint64 {
	f.attemptCounter++
	return f.Term<<24 | f.attemptCounter
}

// launch turns a planned task into a command.
func (f *Fleet) launch(now time.Duration, m *Machine, j *jobs.Job, t int32, attempt uint64) Command {
	k := &j.Tasks[t]
	k.LaunchedAt, k.RunningSince, k.Attempt = now, 0, attempt
	if !j.Started {
		slog.Info("job starts", "job", j.ID, "class", j.Spec.Class, "tasks", j.TaskCount, "machine", m.Name, "waited_s", int((now - j.SubmittedAt).Seconds()),
			"fetch_s", int(f.fetchS(j, m)), "term", f.Term)
	}
	j.Started = true
	f.setOnMachine(now, j, t, jobs.Launched)
	return Command{Op: opStart, Task: taskName(j, t), Attempt: attempt}
}

// startCommands launches what a machine's lanes hold, best rank first: a lane that reports free
// gets its next planned task.
func (f *Fleet) startCommands(now time.Duration, m *Machine) []Command {
	var out []Command
	if f.startsStopped || m.Condition != Ready || m.Returning || m.QueuedTasks == 0 || !m.smallestQueued.Fits(m.Free()) {
		return nil
	}
	ixs := f.jobScratch[:0]
	for _, l := range m.queues {
		if j := f.jobAt(l.job); j.Spec.Kind == jobs.Gang || f.fits(m, j) {
			ixs = append(ixs, l.job)
		}
	}
	f.jobScratch = ixs
	f.PlanningSteps += uint64(len(m.queues))
	f.sortRanked(ixs)
	for _, ix := range ixs {
		j := f.jobAt(ix)
		if j.Spec.Kind == jobs.Gang {
			out = append(out, f.startGang(now, m, j)...)
			continue
		}
		ts := m.queued(ix)
		keep := ts[:0]
		for i, t := range ts {
			if !f.fits(m, j) {
				keep = append(keep, ts[i:]...)
				break
			}
			if !f.startable(now, m, j, t) {
				keep = append(keep, t)
				continue
			}
			out = append(out, f.launch(now, m, j, t, f.nextAttempt()))
		}
		if n := len(ts) - len(keep); n > 0 {
			m.setQueue(ix, keep)
			f.removeQueued(m, j, n)
		}
	}
	return out
}

// startGang launches a gang's tasks on one machine, once the whole gang is planned
// durably and fits the team's limit. All tasks carry the attempt of the first.
func (f *Fleet) startGang(now time.Duration, m *Machine, j *jobs.Job) []Command {
	first := true
	planned := 0
	for t := range j.Tasks {
		k := &j.Tasks[t]
		switch {
		case k.State == jobs.Unplanned || k.State == jobs.Recovered || k.Stopping || k.NotBefore > now:
			return nil
		case k.State == jobs.Planned:
			if !j.IsDurable(int32(t)) || f.machines[k.Machine].Condition != Ready {
				return nil
			}
			planned++
		case k.State.Occupies():
			first = false
		}
	}
	if first {
		if !f.mayStart(j, planned) {
			return nil
		}
		j.GangAttempt = f.nextAttempt()
		j.GangStartedAt, j.FetchS = now, 0
		for t := range j.Tasks {
			if k := &j.Tasks[t]; k.State == jobs.Planned {
				j.FetchS = max(j.FetchS, f.fetchS(j, f.machines[k.Machine]))
			}
		}
	}
	// A task that has its image waits gang_wait_s for the others and then gives up, which
	// costs the whole gang its start: where the image is at hand the launch is put off for
	// as long as the others fetch it, less a good part of what the task may wait.
	lead := j.FetchS - f.fetchS(j, m) - f.Settings.Params.Workers.GangWaitS/4
	if now < j.GangStartedAt+config.Seconds(lead) {
		return nil
	}
	var out []Command
	for _, t := range slices.Clone(m.queued(j.Index)) {
		if j.Tasks[t].State == jobs.Planned && f.startable(now, m, j, t) {
			f.dequeue(j, t)
			out = append(out, f.launch(now, m, j, t, j.GangAttempt))
		}
	}
	if first && len(out) > 0 {
		// The rest follows from other machines, some of it seconds later: nobody may take
		// its place meanwhile.
		f.admitGang(now, j)
	}
	return out
}
