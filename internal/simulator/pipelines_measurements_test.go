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

// Measurements of pipelines during a run. The start delay of a job begins when its last predecessor has ended. The
// cancellation delay of a job begins when a predecessor is cancelled, and ends with the last answer that calls the job
// pending or running.

const (
	// recordInterval is the time between reads of the stored records. It bounds the error of a start delay.
	recordInterval = 10 * time.Millisecond
	// queryInterval is the time between two queries of a job with a cancelled predecessor. It bounds the error of a
	// cancellation delay.
	queryInterval = 50 * time.Millisecond
)

// pipelineMeter measures the delays of a cluster's pipelines. It queries every controller as a user does.
type pipelineMeter struct {
	cluster    *testCluster
	revision   uint64                   // highest version of a record that was read
	acceptedAt map[string]time.Duration // by job ID: time when the pending record was durable
	doneAt     map[string]time.Duration // by job ID: time when the done record was durable
	probes     map[string]*cancelProbe  // by job ID: the probe of a job with a cancelled predecessor
}

// cancelProbe holds the controllers' answers about a job with a cancelled predecessor. It begins when a user receives
// the predecessor's cancellation.
type cancelProbe struct {
	cancelledAt     time.Duration // time of the first answer that calls a predecessor cancelled
	openFor         time.Duration // time from cancelledAt to the last answer that called the job pending or running
	calledCancelled map[int]bool  // controllers that have called the job cancelled
}

// newPipelineMeter returns a meter that measures a cluster from now on.
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

// readRecords stores the times of the records written since the last read. It repeats every recordInterval.
func (m *pipelineMeter) readRecords() {
	now := m.cluster.Now()
	newest := m.revision
	for key, item := range m.cluster.StoredItems(jobs.RecordPrefix) {
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

// setFirst records the time at for a job unless an earlier one is recorded.
func setFirst(times map[string]time.Duration, id string, at time.Duration) {
	if _, recorded := times[id]; !recorded {
		times[id] = at
	}
}

// probe queries each job with a cancelled predecessor, at the controllers that haven't called the job cancelled yet. It
// repeats every queryInterval.
func (m *pipelineMeter) probe() {
	m.cluster.mu.Lock()
	cancelledAbove := maps.Clone(m.cluster.records.pipelines.ancestorCancelledAt)
	m.cluster.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(cancelledAbove)) {
		// Jobs that were accepted after the cancellation are not measured.
		if acceptedAt, accepted := m.acceptedAt[id]; accepted && acceptedAt < cancelledAbove[id] {
			m.probeJob(id, cancelledAbove[id])
		}
	}
	m.requestLists()
	m.cluster.After(queryInterval, m.probe)
}

// requestLists requests the list of jobs from each controller that hasn't called every probed job cancelled. The
// simulation checks the lists.
func (m *pipelineMeter) requestLists() {
	for i := range m.cluster.Controllers() {
		for _, probe := range m.probes {
			if !probe.calledCancelled[i] {
				m.cluster.Request(i, http.MethodGet, runsPath, nil, ignoreAnswer)
				break
			}
		}
	}
}

// probeJob queries a job at the controllers that haven't called it cancelled.
func (m *pipelineMeter) probeJob(id string, cancelledAt time.Duration) {
	probe := m.probes[id]
	if probe == nil {
		probe = &cancelProbe{cancelledAt: cancelledAt, calledCancelled: map[int]bool{}}
		m.probes[id] = probe
	}
	for i := range m.cluster.Controllers() {
		if probe.calledCancelled[i] {
			continue
		}
		m.cluster.Request(i, http.MethodGet, runsPath+"/"+id, nil, func(status int, raw []byte) {
			probe.record(i, m.cluster.Now(), status, jobStateIn(raw))
		})
	}
}

// record stores a controller's answer. Answers other than 200 are ignored.
func (p *cancelProbe) record(controller int, now time.Duration, status int, state string) {
	switch {
	case status != http.StatusOK:
	case state == stateCancelled:
		p.calledCancelled[controller] = true
	default:
		p.openFor = max(p.openFor, now-p.cancelledAt)
	}
}

// pipelineDelays are the delays that a meter has measured.
type pipelineDelays struct {
	// releaseToStart has the start delay of each job that was accepted before its last predecessor ended. The delay
	// begins when the predecessor's end is durable. It ends when the job's first task has its image on a machine.
	releaseToStart []time.Duration
	// releaseToStartUnlicensed has the start delays of the jobs that need no licence. A run has few licences, so that
	// other jobs also wait for one.
	releaseToStartUnlicensed []time.Duration
	// cancelToLastOpen has the cancellation delay of each job with a cancelled predecessor. The delay begins with the
	// first answer that calls the predecessor cancelled. It ends with the last answer that calls the job pending or
	// running.
	cancelToLastOpen []time.Duration
}

// add appends the measurements of another run.
func (d *pipelineDelays) add(other pipelineDelays) {
	d.releaseToStart = append(d.releaseToStart, other.releaseToStart...)
	d.releaseToStartUnlicensed = append(d.releaseToStartUnlicensed, other.releaseToStartUnlicensed...)
	d.cancelToLastOpen = append(d.cancelToLastOpen, other.cancelToLastOpen...)
}

// log writes the quantiles of the measurements to the test's log.
func (d *pipelineDelays) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%s: release to start: %s", name, quantiles(d.releaseToStart))
	t.Logf("%s: release to start without licences: %s", name, quantiles(d.releaseToStartUnlicensed))
	t.Logf("%s: cancellation to last open answer: %s (cancel_s %v)", name, quantiles(d.cancelToLastOpen), jobs.Seconds(shortTimers.CancelS))
}

// delays returns the delays measured so far.
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
			delays.releaseToStartUnlicensed = append(delays.releaseToStartUnlicensed, delay)
		}
	}
	for _, probe := range m.probes {
		delays.cancelToLastOpen = append(delays.cancelToLastOpen, probe.openFor)
	}
	return delays
}

// releasedAt returns the time when the end of a job's last predecessor was durable. It returns true if the job has
// predecessors, all of them are done, and the job was accepted before that time.
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

// delayQuantiles are the quantiles of measured delays.
type delayQuantiles struct {
	count         int
	p50, p99, max time.Duration
}

// quantiles returns the quantiles of delays; zero values if there are none.
func quantiles(delays []time.Duration) delayQuantiles {
	if len(delays) == 0 {
		return delayQuantiles{}
	}
	sorted := slices.Sorted(slices.Values(delays))
	rank := func(percent int) time.Duration { return sorted[(len(sorted)-1)*percent/100] }
	return delayQuantiles{count: len(sorted), p50: rank(50), p99: rank(99), max: rank(100)}
}

// String returns the quantiles for the log, rounded to milliseconds.
func (q delayQuantiles) String() string {
	round := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	return fmt.Sprintf("%d jobs, p50 %v, p99 %v, max %v", q.count, round(q.p50), round(q.p99), round(q.max))
}
