package simulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// Measurements of pipelines beside a run: how soon a job starts after the last that it follows, and how soon no
// controller calls a job pending after one before it is cancelled.

const (
	// recordInterval spaces the looks at the stored records, and bounds the error of a measured start.
	recordInterval = 10 * time.Millisecond
	// questionInterval spaces the questions about jobs after a cancelled one, and bounds the error of a measured end.
	questionInterval = 50 * time.Millisecond
)

// pipelineMeter measures the pipelines of a cluster. It asks every controller, as a user does.
type pipelineMeter struct {
	cluster    *testCluster
	revision   uint64                   // up to which records were looked at
	acceptedAt map[string]time.Duration // by job: when its pending record was durable
	doneAt     map[string]time.Duration // by job: when its end was durable
	probes     map[string]*cancelProbe  // by job after a cancelled one
}

// cancelProbe is what controllers answered about a job since a user received that one before it is cancelled.
type cancelProbe struct {
	cancelledAt time.Duration
	lastOpen    time.Duration // after cancelledAt, the last answer that called the job pending or running
	settled     map[int]bool  // controllers that have called it cancelled
}

// newPipelineMeter measures a cluster from now on.
func newPipelineMeter(cluster *testCluster) *pipelineMeter {
	meter := &pipelineMeter{
		cluster:    cluster,
		acceptedAt: map[string]time.Duration{},
		doneAt:     map[string]time.Duration{},
		probes:     map[string]*cancelProbe{},
	}
	meter.readRecords()
	meter.probe()
	return meter
}

// readRecords takes note of the records that were written since the last look, again and again.
func (m *pipelineMeter) readRecords() {
	now := m.cluster.Now()
	newest := m.revision
	for key, item := range m.cluster.StoredItems(jobs.Prefix) {
		var record jobs.Record
		if item.Version <= m.revision || json.Unmarshal(item.Value, &record) != nil {
			continue
		}
		newest = max(newest, item.Version)
		id := jobs.IDOfKey(key)
		switch record.State {
		case jobs.Pending.String():
			setFirst(m.acceptedAt, id, now)
		case jobs.Done.String():
			setFirst(m.doneAt, id, now)
		}
	}
	m.revision = newest
	m.cluster.After(recordInterval, m.readRecords)
}

// setFirst records a moment unless an earlier one is recorded.
func setFirst(moments map[string]time.Duration, id string, at time.Duration) {
	if _, known := moments[id]; !known {
		moments[id] = at
	}
}

// probe asks every controller about the jobs after cancelled ones until all have called them cancelled, again and again.
func (m *pipelineMeter) probe() {
	m.cluster.mu.Lock()
	cancelledAbove := maps.Clone(m.cluster.records.pipelines.ancestorCancelledAt)
	m.cluster.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(cancelledAbove)) {
		// Jobs that were accepted only afterwards are not measured.
		if acceptedAt, accepted := m.acceptedAt[id]; accepted && acceptedAt < cancelledAbove[id] {
			m.probeJob(id, cancelledAbove[id])
		}
	}
	m.askForLists()
	m.cluster.After(questionInterval, m.probe)
}

// askForLists asks the controllers for lists of jobs while one is asked about; the simulation checks them.
func (m *pipelineMeter) askForLists() {
	for i := range m.cluster.Controllers() {
		for _, probe := range m.probes {
			if !probe.settled[i] {
				m.cluster.Request(i, http.MethodGet, runsPath, nil, ignoreAnswer)
				break
			}
		}
	}
}

// probeJob asks the controllers about a job that haven't called it cancelled.
func (m *pipelineMeter) probeJob(id string, cancelledAt time.Duration) {
	probe := m.probes[id]
	if probe == nil {
		probe = &cancelProbe{cancelledAt: cancelledAt, settled: map[int]bool{}}
		m.probes[id] = probe
	}
	for i := range m.cluster.Controllers() {
		if probe.settled[i] {
			continue
		}
		m.cluster.Request(i, http.MethodGet, runsPath+"/"+id, nil, func(status int, raw []byte) {
			probe.record(i, m.cluster.Now(), status, jobStateIn(raw))
		})
	}
}

// record takes note of a controller's answer.
func (p *cancelProbe) record(controller int, now time.Duration, status int, state string) {
	switch {
	case status != http.StatusOK:
	case state == stateCancelled:
		p.settled[controller] = true
	default:
		p.lastOpen = max(p.lastOpen, now-p.cancelledAt)
	}
}

// pipelineDelays are what a meter has measured.
type pipelineDelays struct {
	// releaseToStart is, for each job that was accepted before the last of its predecessors had ended, the time from that
	// end, when it was durable, to its first task that has its image on a machine.
	releaseToStart []time.Duration
	// unlicensed are those of them that need no licence, of which a run has few.
	unlicensed []time.Duration
	// cancelToGone is, for each job after a cancelled one, the time from the first answer that this was cancelled to the
	// last that called the job pending or running.
	cancelToGone []time.Duration
}

// add adds other measurements.
func (d *pipelineDelays) add(other pipelineDelays) {
	d.releaseToStart = append(d.releaseToStart, other.releaseToStart...)
	d.unlicensed = append(d.unlicensed, other.unlicensed...)
	d.cancelToGone = append(d.cancelToGone, other.cancelToGone...)
}

// log writes the quantiles of the measurements to the test's log.
func (d *pipelineDelays) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%s: release to start: %s", name, quantiles(d.releaseToStart))
	t.Logf("%s: release to start without licences: %s", name, quantiles(d.unlicensed))
	t.Logf("%s: cancellation to gone: %s (cancel_s %v)", name, quantiles(d.cancelToGone), jobs.Seconds(shortTimers.CancelS))
}

// delays returns what has been measured.
func (m *pipelineMeter) delays() (delays pipelineDelays) {
	sim := m.cluster.Simulation
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for id, spec := range sim.records.specs {
		releasedAt, measured := m.releasedAt(spec)
		startDelay, started := sim.records.startDelays[id]
		if !measured || !started {
			continue
		}
		delay := sim.records.submittedAt[id] + startDelay - releasedAt
		delays.releaseToStart = append(delays.releaseToStart, delay)
		if len(spec.Licences) == 0 {
			delays.unlicensed = append(delays.unlicensed, delay)
		}
	}
	for _, probe := range m.probes {
		delays.cancelToGone = append(delays.cancelToGone, probe.lastOpen)
	}
	return delays
}

// releasedAt returns when the end of the last predecessor of a job was durable. It returns false unless the job has
// predecessors, all are done, and it was accepted before.
func (m *pipelineMeter) releasedAt(spec *jobs.Spec) (last time.Duration, measured bool) {
	for _, predecessor := range spec.Follows {
		doneAt, done := m.doneAt[predecessor]
		if !done {
			return 0, false
		}
		last = max(last, doneAt)
	}
	acceptedAt, accepted := m.acceptedAt[spec.ID]
	return last, accepted && acceptedAt < last
}

// delayQuantiles are quantiles of measured times.
type delayQuantiles struct {
	count         int
	p50, p99, max time.Duration
}

// quantiles returns the quantiles of times.
func quantiles(times []time.Duration) delayQuantiles {
	if len(times) == 0 {
		return delayQuantiles{}
	}
	sorted := slices.Sorted(slices.Values(times))
	rank := func(percent int) time.Duration { return sorted[(len(sorted)-1)*percent/100] }
	return delayQuantiles{count: len(sorted), p50: rank(50), p99: rank(99), max: rank(100)}
}

// String returns the quantiles for the log.
func (q delayQuantiles) String() string {
	round := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	return fmt.Sprintf("%d jobs, p50 %v, p99 %v, max %v", q.count, round(q.p50), round(q.p99), round(q.max))
}
