package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/store"
)

// This file models the state service and the leaders that use it.

// leaderKey is the key whose version is a condition of every transaction of a leader.
const leaderKey = "leader"

// modelItem is a key's value in the model's state service.
type modelItem struct {
	value   json.RawMessage
	version uint64
}

// commit applies a transaction if its conditions hold, and checks the values that it writes.
func (m *model) commit(txn store.Txn) store.Result {
	var failed []string
	for _, condition := range txn.If {
		if m.items[condition.Key].version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if failed != nil {
		return store.Result{Outcome: store.Conflict, FailedKeys: failed}
	}
	m.revision++
	for _, op := range txn.Then {
		if op.Delete != "" {
			delete(m.items, op.Delete)
			continue
		}
		m.checkRecord(op.Put, op.Value)
		m.checkPlanKey(op.Put)
		m.items[op.Put] = modelItem{op.Value, m.revision}
	}
	revision := m.revision
	for _, op := range txn.Then {
		if isRecordKey(op.Put) {
			m.after(m.watchDelay(), func() { m.applyRecord(op.Put, op.Value, revision) })
		}
	}
	return store.Result{Outcome: store.Committed, Revision: revision}
}

// isRecordKey returns whether a key is that of a job's record.
func isRecordKey(key string) bool {
	return len(key) > len(jobs.RecordPrefix) && strings.HasPrefix(key, jobs.RecordPrefix)
}

// watchDelay returns the random delay between a commit and its delivery to the leader's watch.
func (m *model) watchDelay() time.Duration {
	return time.Duration(m.rng.Int64N(int64(400 * time.Millisecond)))
}

// checkRecord checks the job states that users see. Rule went_back: only a pending job changes its state. Rule
// not_done: a job becomes done only if all its tasks have finished.
func (m *model) checkRecord(key string, value json.RawMessage) {
	if !strings.HasPrefix(key, jobs.RecordPrefix) {
		return
	}
	id := key[len(jobs.RecordPrefix):]
	var before, after jobs.Record
	_ = json.Unmarshal(value, &after)
	if old, ok := m.items[key]; ok {
		_ = json.Unmarshal(old.value, &before)
		if before.State != "pending" {
			m.violation("went_back: %s was %s and becomes %s", id, before.State, after.State)
		}
	}
	if after.State == "done" {
		if n := len(m.finished[id]); n != m.specs[id].Tasks {
			m.violation("not_done: %s becomes done with %d of %d tasks finished", id, n, m.specs[id].Tasks)
		}
	}
}

// checkPlanKey checks that no plan segment of a pending job is written to a key of its own after the migration. The
// stored segments of ended jobs are never read.
func (m *model) checkPlanKey(key string) {
	name, ok := strings.CutPrefix(key, jobs.PlanPrefix)
	if !ok || !m.migrated || strings.HasPrefix(key, jobs.PlanPagePrefix) || strings.HasPrefix(key, imageHintsPrefix) {
		return
	}
	id, _, _ := splitSegmentName(name)
	if m.recordState(id) == "pending" {
		m.violation("plan segment %s is written to a key of its own after the migration", name)
	}
}

// recordState returns the stored state of a job, or "" if it has no record.
func (m *model) recordState(id string) string {
	var record jobs.Record
	_ = json.Unmarshal(m.items[jobs.RecordKey(id)].value, &record)
	return record.State
}

// applyRecord applies a job's record to the leader's job table and fleet, if there is a leader.
func (m *model) applyRecord(key string, value json.RawMessage, version uint64) {
	if m.jobs == nil {
		return
	}
	job, changed, err := m.jobs.Apply(key[len(jobs.RecordPrefix):], value, version)
	if err != nil {
		m.violation("record: %v", err)
	}
	if changed && m.fleet != nil {
		m.fleet.HandleJobChange(m.now, job)
	}
}

// segmentValue returns the newest stored value of a plan segment, from the pages and the segment's own key. It returns
// nil if there is none.
func (m *model) segmentValue(name string) json.RawMessage {
	newest, ok := m.items[jobs.PlanPrefix+name]
	if ok && m.migrated {
		m.violation("plan segment %s has a key of its own after the migration", name)
	}
	for key, item := range m.items {
		if !strings.HasPrefix(key, jobs.PlanPagePrefix) || item.version <= newest.version {
			continue
		}
		var page struct{ Plans map[string]json.RawMessage }
		if err := json.Unmarshal(item.value, &page); err != nil {
			m.violation("%s: %v", key, err)
		}
		if value, ok := page.Plans[name]; ok {
			newest = modelItem{value, item.version}
		}
	}
	return newest.value
}

// durablyFinished returns whether a task is finished in the stored plan, or its job has ended by the stored record.
func (m *model) durablyFinished(id string, taskIndex int32) bool {
	if m.recordState(id) != "pending" {
		return true
	}
	number := int(taskIndex) / jobs.SegmentTasks
	value := m.segmentValue(fmt.Sprintf("%s/%03d", id, number))
	if value == nil {
		return false
	}
	taskCount := min(jobs.SegmentTasks, m.specs[id].Tasks-number*jobs.SegmentTasks)
	_, finished, err := jobs.DecodeSegment(value, taskCount, func(string) int32 { return 0 })
	return err == nil && finished[int(taskIndex)%jobs.SegmentTasks]
}

// startTerm starts the term of a new leader, whose only information is the content of the state service.
func (m *model) startTerm() {
	m.term++
	m.revision++
	m.items[leaderKey] = modelItem{json.RawMessage(`{}`), m.revision}
	guard := store.Condition{Key: leaderKey, Version: m.revision}
	m.jobs = jobs.NewTable(0)
	m.jobs.Names.Pools = licences.NewCatalog(m.pools)
	var keys []string
	for key := range m.items {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var plans []store.Item
	for _, key := range keys {
		item := m.items[key]
		switch {
		case isRecordKey(key):
			m.applyRecord(key, item.value, item.version)
		case strings.HasPrefix(key, jobs.PlanPrefix):
			plans = append(plans, store.Item{Key: key, Value: item.value, Version: item.version})
		}
	}
	m.fleet = New(m.env(m.term, guard), m.term, m.now)
	m.fleet.LoadPlans(m.now, plans)
}

// env returns the Env of a term's fleet. Responses that arrive after the end of the term are dropped.
func (m *model) env(term uint64, guard store.Condition) Env {
	return Env{
		Settings:       m.settings,
		Jobs:           m.jobs,
		Random:         m.rng,
		MaxTxnOps:      5,
		Now:            func() time.Duration { return m.now },
		Types:          m.machineType,
		PlansInPages:   func() bool { return m.plansInPages },
		CanWrite:       func(int) bool { return true },
		HasSpareWrites: func() bool { return true },
		Commit: func(txn store.Txn, done func(store.Result)) {
			txn.If = append([]store.Condition{guard}, txn.If...)
			m.commitWithFaults(txn, func(result store.Result) {
				if m.leads(term) {
					done(result)
				}
			})
		},
		ReadKey: func(key string, done func(store.Item, error)) {
			m.after(10*time.Millisecond, func() {
				if m.leads(term) {
					m.read(key, done)
				}
			})
		},
		SendCommands: func(machine *Machine, commands DirectCommands, done func(*Heartbeat)) {
			m.sendCommands(machine, commands, func(heartbeat *Heartbeat) {
				if m.leads(term) {
					done(heartbeat)
				}
			})
		},
		OnJobRecord: func(_ time.Duration, item store.Item) { m.applyRecord(item.Key, item.Value, item.Version) },
	}
}

// leads returns whether a term is the current leader's.
func (m *model) leads(term uint64) bool { return m.fleet != nil && m.fleet.Term == term }

// machineType returns a machine type by its dense index, or nil for an unknown type.
func (m *model) machineType(index int32) *MachineType {
	switch m.jobs.Names.Types.Name(index) {
	case "gpu":
		return &MachineType{Size: planner.Size{CPUs: 8, GPUs: 2, Mem: 32}, CacheGB: 8, FetchGB: 1}
	case "cpu":
		return &MachineType{Size: planner.Size{CPUs: 4, Mem: 16}, CacheGB: 8, FetchGB: 1}
	}
	return nil
}

// commitWithFaults applies a transaction after a delay. A faulty one is rejected, lost, or applied without a response.
func (m *model) commitWithFaults(txn store.Txn, done func(store.Result)) {
	switch x := m.rng.Float64(); {
	case x < m.faultRate/2:
		if m.rng.IntN(2) == 0 {
			m.after(m.networkDelay(), func() { m.commit(txn) })
		}
		m.after(time.Second, func() { done(store.Result{Outcome: store.Indeterminate}) })
	case x < m.faultRate:
		m.after(20*time.Millisecond, func() { done(store.Result{Outcome: store.NotApplied}) })
	default:
		delay := time.Duration(m.rng.Int64N(int64(80 * time.Millisecond)))
		m.after(delay, func() { done(m.commit(txn)) })
	}
}

// read passes a key's item to done.
func (m *model) read(key string, done func(store.Item, error)) {
	item := m.items[key]
	done(store.Item{Key: key, Value: item.value, Version: item.version}, nil)
}
