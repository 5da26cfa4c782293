package scale

import (
	"fmt"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/harewalk/harewalk/internal/simulator"
)

// Metrics of a controller's /metrics page.
const (
	controllerLeading   = "harewalk_leading"
	controllerJobsKnown = "harewalk_jobs_known"
)

// snapshot is what all processes have used, and what has happened, up to a moment.
type snapshot struct {
	at          time.Time
	controllers []Usage
	self        Usage
	state       Usage
	stateStats  StateStats
	metrics     []map[string]float64 // by controller
	stats       simulator.Stats
	users       userCounts
	utilization simulator.Utilization
}

// peakMB returns the largest memory of all processes together.
func (s *snapshot) peakMB() float64 {
	sum := s.self.PeakBytes + s.state.PeakBytes
	for _, usage := range s.controllers {
		sum += usage.PeakBytes
	}
	return megabytes(sum)
}

func megabytes(bytes uint64) float64 { return float64(bytes) / (1 << 20) }

func (c *cluster) snapshot() (*snapshot, error) {
	taken := &snapshot{at: time.Now()}
	for i := range c.sim.Controllers() {
		usage, err := usageOf(c.controllers.PID(i))
		if err != nil {
			return nil, fmt.Errorf("controller %d: %w", i, err)
		}
		taken.controllers = append(taken.controllers, usage)
	}
	var err error
	if taken.self, err = usageOf(os.Getpid()); err != nil {
		return nil, err
	}
	if taken.state, err = usageOf(c.state.cmd.Process.Pid); err != nil {
		return nil, err
	}
	if taken.stateStats, err = c.state.stats(); err != nil {
		return nil, err
	}
	for i := range c.sim.Controllers() {
		url := "http://" + c.controllers.DebugAddrs[i] + "/metrics"
		_, page, err := fasthttp.GetTimeout(nil, url, requestTimeout)
		if err != nil {
			return nil, fmt.Errorf("controller %d: %w", i, err)
		}
		taken.metrics = append(taken.metrics, parseMetrics(page))
	}
	taken.utilization = c.sim.Utilization()
	taken.stats = c.sim.Stats()
	taken.users = c.users.counts()
	return taken, nil
}

// interval is the time between two snapshots.
type interval struct{ before, after *snapshot }

func (i interval) seconds() float64 { return i.after.at.Sub(i.before.at).Seconds() }

// rate returns how much a count has grown, a second.
func (i interval) rate(before, after int) float64 { return float64(after-before) / i.seconds() }

// kilobytes returns by how many KB a number of bytes has grown, a second.
func (i interval) kilobytes(before, after uint64) float64 {
	return float64(after-before) / bytesPerKB / i.seconds()
}

// cores returns how many processors a process has used on average.
func (i interval) cores(before, after Usage) float64 {
	return (after.CPUSeconds - before.CPUSeconds) / i.seconds()
}

// values returns what was measured in the interval.
func (i interval) values() Values {
	values := Values{}
	i.addLoad(values)
	i.addState(values)
	i.addControllers(values)
	before, after := i.before, i.after
	values[metricWorkersBytes] = i.kilobytes(
		before.stats.HeartbeatBytes+before.stats.HeartbeatAnswerBytes,
		after.stats.HeartbeatBytes+after.stats.HeartbeatAnswerBytes,
	)
	values[metricWorkersCPU] = i.cores(before.self, after.self)
	values[metricWorkersRSS] = megabytes(after.self.RSSBytes)
	return values
}

// addLoad adds what metrics depend on.
func (i interval) addLoad(values Values) {
	before, after := i.before, i.after
	values[valueMachines] = float64(after.utilization.Machines)
	values[valueRunning] = float64(after.utilization.Running)
	values[valueHeartbeats] = i.rate(before.stats.Heartbeats, after.stats.Heartbeats)
	values[valueStarts] = i.rate(before.stats.TaskStarts, after.stats.TaskStarts)
	values[valueJobs] = i.rate(before.users.ended, after.users.ended)
	values[valueReportedTasks] = values[valueHeartbeats] * values[valueRunning] / max(1, values[valueMachines])
}

func (i interval) addState(values Values) {
	before, after := i.before.stateStats, i.after.stateStats
	values[metricStateRequests] = i.rate(before.Requests, after.Requests)
	values[metricStateWrites] = i.rate(before.Writes, after.Writes)
	values[metricStateRefused] = i.rate(before.Refused, after.Refused)
	values[metricStateFollowed] = float64(after.Followed)
	values[metricStateKeys] = float64(after.Keys)
	values[metricStateCPU] = i.cores(i.before.state, i.after.state)
}

// addControllers adds the leader's metrics, and the means of the followers'.
func (i interval) addControllers(values Values) {
	followers := 0
	for controller, after := range i.after.controllers {
		before := i.before.controllers[controller]
		metrics := i.after.metrics[controller]
		if metrics[controllerLeading] == 1 {
			i.addLeader(values, before, after)
			values[metricJobsKnown] = metrics[controllerJobsKnown]
			continue
		}
		followers++
		values[metricFollowerCPU] += i.cores(before, after)
		values[metricFollowerRSS] += megabytes(after.RSSBytes)
		values[metricFollowerRead] += i.kilobytes(before.Read, after.Read)
	}
	for _, name := range []string{metricFollowerCPU, metricFollowerRSS, metricFollowerRead} {
		values[name] /= float64(max(1, followers))
	}
}

func (i interval) addLeader(values Values, before, after Usage) {
	calls := after.ReadCalls + after.WriteCalls - before.ReadCalls - before.WriteCalls
	values[metricLeaderCPU] = i.cores(before, after)
	values[metricLeaderRSS] = megabytes(after.RSSBytes)
	values[metricLeaderSockets] = float64(after.Sockets)
	values[metricLeaderRead] = i.kilobytes(before.Read, after.Read)
	values[metricLeaderWritten] = i.kilobytes(before.Written, after.Written)
	values[metricLeaderCalls] = float64(calls) / i.seconds()
}

// result returns the result of a step that was measured over an interval.
func (c *cluster) result(step Step, measured interval) StepResult {
	violations := c.sim.Violations()
	times := c.users.times()
	result := StepResult{
		Step:       step,
		Values:     measured.values(),
		WaitP50S:   times.waits.seconds(50),
		WaitP99S:   times.waits.seconds(99),
		AcceptP50S: times.accepts.seconds(50),
		AcceptP99S: times.accepts.seconds(99),
		Waits:      times.waits.TotalCount(),
		Refused:    measured.after.users.refused - measured.before.users.refused,
		Broken:     len(violations),
		TasksRerun: measured.after.stats.TasksRerun,
	}
	if len(violations) > 0 {
		result.FirstBroken = violations[0]
	}
	return result
}
