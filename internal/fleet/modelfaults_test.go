package fleet

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/store"
)

// This file models users, operators, the cloud and failures.

// chance returns true at random. Called once each tick it returns true perSecond times a second on average.
func (m *model) chance(perSecond float64) bool {
	return m.rng.Float64() < perSecond*modelTick.Seconds()
}

// injectFaults injects the random events of one tick: submissions, cancellations, changes of leader, worker faults and
// changes of licence counts.
func (m *model) injectFaults() {
	if m.chance(0.25) {
		m.submitJob()
	}
	if m.chance(0.06) && m.submitted > 0 {
		m.cancel(jobID(1 + m.rng.IntN(m.submitted)))
	}
	if m.chance(0.04) && m.fleet != nil {
		m.fleet = nil
		m.jobs = nil
		m.nextTermAt = m.now + time.Duration(m.rng.Int64N(int64(6*time.Second)))
	}
	for _, worker := range m.workers {
		m.injectWorkerFault(worker)
	}
	m.changeLicenceCounts()
}

// injectWorkerFault injects at most one random fault into a worker.
func (m *model) injectWorkerFault(worker *modelWorker) {
	switch {
	case m.unreliableMachines && m.chance(0.006) && worker.alive && !worker.hung: // receives nothing for a while
		m.unreachablePeriods++
		worker.unreachableUntil = m.now + time.Duration(m.rng.Int64N(int64(40*time.Second)))
	case m.unreliableMachines && m.chance(0.008) && worker.alive && !worker.hung:
		m.restartWorker(worker)
	case m.chance(0.006) && worker.alive && !worker.hung: // hangs, and resumes before or after its lease expires
		worker.hung = true
		m.after(time.Duration(m.rng.Int64N(int64(15*time.Second))), func() { worker.hung = false })
	case m.chance(0.003) && worker.alive: // crashes permanently
		m.killWorker(worker)
		m.replaceWorker(worker)
	case m.chance(0.004) && worker.alive && m.fleet != nil: // terminated, confirmed by the cloud
		if machine := m.fleet.FindMachine(worker.name); machine != nil {
			m.killWorker(worker)
			m.fleet.HandleTerminated(m.now, machine, "returned")
			m.replaceWorker(worker)
		}
	case m.chance(0.004) && worker.alive && worker.spot && worker.reclaimAt == 0: // reclaimed by the cloud
		worker.reclaimAt = m.now + 5*time.Second
		m.after(5*time.Second, func() { m.killWorker(worker) })
		m.replaceWorker(worker)
	}
}

// restartWorker restarts a machine at once under its name, with session and sequence numbers from the start.
func (m *model) restartWorker(worker *modelWorker) {
	m.restarts++
	m.crashTasks(worker.tasks)
	worker.tasks = nil
	worker.incarnation++
	worker.session = 1
	worker.seq = 0
	worker.token = 0
	worker.leaseFrom = m.now
	worker.reclaimAt = 0
	worker.heartbeatInFlight = false
	worker.nextHeartbeat = m.now + time.Duration(m.rng.Int64N(int64(900*time.Millisecond)))
}

// killWorker ends a machine permanently.
func (m *model) killWorker(worker *modelWorker) {
	worker.alive = false
	m.crashTasks(worker.tasks)
	worker.tasks = nil
}

// replaceWorker adds a machine of the same type as another, under a new name.
func (m *model) replaceWorker(worker *modelWorker) {
	replacement := *worker
	replacement.name = fmt.Sprintf("i-%d", len(m.workers)+100)
	replacement.tasks = nil
	replacement.alive = true
	replacement.hung = false
	replacement.reclaimAt = 0
	replacement.session = 1
	replacement.seq = 0
	replacement.token = 0
	replacement.leaseFrom = m.now
	replacement.heartbeatInFlight = false
	m.workers = append(m.workers, &replacement)
}

// changeLicenceCounts changes the counts of the pools once a minute. For that minute the higher of the old and the
// new count is allowed: tasks admitted before the change may not have started yet.
func (m *model) changeLicenceCounts() {
	if m.pools == nil || m.now < m.nextCountChange {
		return
	}
	m.nextCountChange = m.now + time.Minute
	for _, pool := range m.pools {
		before := pool.Count
		pool.Count = 3 + m.rng.IntN(5)
		pool.OnCountLowered = []licences.LoweringPolicy{licences.WaitForRelease, licences.PreemptHolders}[m.rng.IntN(2)]
		m.maxUnits[pool.Name] = max(before, pool.Count)
	}
}

// jobID returns the id of job number n.
func jobID(n int) string { return fmt.Sprintf("req-%06d", n) }

// submitJob submits a random job.
func (m *model) submitJob() {
	m.submitted++
	spec := m.randomSpec(jobID(m.submitted))
	m.specs[spec.ID] = spec
	m.finished[spec.ID] = map[int32]bool{}
	record := jobs.EncodeRecord(jobs.Pending, m.now.Milliseconds(), spec.Tasks, spec)
	m.commit(store.Txn{
		If:   []store.Condition{{Key: jobs.RecordKey(spec.ID)}},
		Then: []store.Op{{Put: jobs.RecordKey(spec.ID), Value: record}},
	})
}

// randomSpec returns the spec of a random job that the model's machines can run.
func (m *model) randomSpec(id string) *jobs.Spec {
	kinds := []jobs.Kind{jobs.Array, jobs.Array, jobs.Gang, jobs.Service}
	spec := &jobs.Spec{
		ID:        id,
		Class:     "c",
		Team:      fmt.Sprintf("t%d", m.rng.IntN(2)),
		Kind:      kinds[m.rng.IntN(len(kinds))],
		Priority:  []string{"prod", "urgent", "standard", "best_effort"}[m.rng.IntN(4)],
		Tasks:     1 + m.rng.IntN(8),
		CPUs:      1 + float64(m.rng.IntN(3)),
		MemoryGB:  2,
		Image:     fmt.Sprintf("i%d", m.rng.IntN(4)),
		ImageGB:   3,
		EstimateS: 6,
		Spot:      m.rng.IntN(2) == 0,
		OneZone:   m.rng.IntN(3) == 0,
		SaveS:     1,
	}
	if spec.Kind != jobs.Array {
		spec.Tasks = 1 + m.rng.IntN(3)
	}
	m.addRandomConstraint(spec)
	constrained := spec.OneZone || spec.GPUs > 0 || spec.Zone != nil || spec.Types != nil
	if spec.Kind != jobs.Array && constrained {
		// The model never scales out: the job must fit on one machine.
		spec.Tasks = min(spec.Tasks, 2)
		spec.CPUs = 1
	}
	if m.pools != nil && m.rng.IntN(3) > 0 {
		spec.Licences = map[string]int{"p": 1}
		if m.rng.IntN(2) == 0 {
			spec.Licences["q"] = 1
		}
	}
	return spec
}

// addRandomConstraint adds at most one random placement constraint to a job.
func (m *model) addRandomConstraint(spec *jobs.Spec) {
	switch m.rng.IntN(5) {
	case 0:
		zone := []string{"a", "b"}[m.rng.IntN(2)]
		spec.Zone = &zone
	case 1:
		spec.Types = []string{[]string{"gpu", "cpu"}[m.rng.IntN(2)]}
	case 2:
		spec.GPUs = 1
	case 3:
		if !spec.OneZone && spec.Kind == jobs.Array {
			spec.Spread = true
		}
	}
}

// cancel cancels a pending job for a user. Like any controller, it writes the job's record conditionally.
func (m *model) cancel(id string) {
	key := jobs.RecordKey(id)
	item, ok := m.items[key]
	var record jobs.Record
	if !ok || json.Unmarshal(item.value, &record) != nil || record.State != "pending" {
		return
	}
	cancelled := jobs.EncodeRecord(jobs.Cancelled, record.AtMS, record.Tasks, (*jobs.Spec)(record.Spec))
	m.commit(store.Txn{
		If:   []store.Condition{{Key: key, Version: item.version}},
		Then: []store.Op{{Put: key, Value: cancelled}},
	})
	m.cancelledAt[id] = m.now
}
