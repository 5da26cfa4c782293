package scale

import (
	"fmt"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/harewalk/harewalk/internal/simulator"
)

// Names of metrics on a controller's /metrics page.
const (
	gaugeLeading   = "harewalk_leading"
	gaugeJobsKnown = "harewalk_jobs_known"
)

// snapshot holds the resource use of all processes, and the counters of the simulation and of the users, at a time.
type snapshot struct {
	at          time.Time
	controllers []Usage
	self        Usage
	state       Usage
	stateStats  StateStats
	metrics     []map[string]float64 // metrics of each controller
	stats       simulator.Stats
	users       userCounts
	utilization simulator.Utilization
}

// peakMB returns the sum of the peak memory of all processes.
func (s *snapshot) peakMB() float64 {
	sum := s.self.PeakBytes + s.state.PeakBytes
	for _, usage := range s.controllers {
		sum += usage.PeakBytes
	}
	return megabytes(sum)
}

func megabytes(bytes uint64) float64 { return float64(bytes) / (1 << 20) }

// snapshot reads the resource use of all processes, the controllers' metrics and the counters.
func (c *cluster) snapshot() (*snapshot, error) {
	current := &snapshot{at: time.Now()}
	for i := range c.sim.Controllers() {
		usage, err := usageOf(c.controllers.PID(i))
		if err != nil {
			return nil, fmt.Errorf("controller %d: %w", i, err)
		}
		current.controllers = append(current.controllers, usage)
	}
	var err error
	if current.self, err = usageOf(os.Getpid()); err != nil {
		return nil, err
	}
	if current.state, err = usageOf(c.state.cmd.Process.Pid); err != nil {
		return nil, err
	}
	if current.stateStats, err = c.state.stats(); err != nil {
		return nil, err
	}
	for i := range c.sim.Controllers() {
		url := "http://" + c.controllers.DebugAddrs[i] + "/metrics"
		_, page, err := fasthttp.GetTimeout(nil, url, requestTimeout)
		if err != nil {
			return nil, fmt.Errorf("controller %d: %w", i, err)
		}
		current.metrics = append(current.metrics, parseMetrics(page))
	}
	current.utilization = c.sim.Utilization()
	current.stats = c.sim.Stats()
	current.users = c.users.counts()
	return current, nil
}

// interval is the time between two snapshots.
type interval struct{ before, after *snapshot }

func (i interval) seconds() float64 { return i.after.at.Sub(i.before.at).Seconds() }

// rate returns the growth of a count per second.
func (i interval) rate(before, after int) float64 { return float64(after-before) / i.seconds() }

// kilobytesPerSecond returns the growth of a number of bytes, in KB per second.
func (i interval) kilobytesPerSecond(before, after uint64) float64 {
	return float64(after-before) / bytesPerKB / i.seconds()
}

// averageCores returns the mean number of processor cores that a process has used.
func (i interval) averageCores(before, after Usage) float64 {
	return (after.CPUSeconds - before.CPUSeconds) / i.seconds()
}

// values returns the values of all predictors and metrics over the interval.
func (i interval) values() Values {
	values := Values{}
	i.addPredictors(values)
	i.addState(values)
	i.addControllers(values)
	before, after := i.before, i.after
	values[metricWorkersBytes] = i.kilobytesPerSecond(
		before.stats.HeartbeatBytes+before.stats.HeartbeatAnswerBytes,
		after.stats.HeartbeatBytes+after.stats.HeartbeatAnswerBytes,
	)
	values[metricWorkersCPU] = i.averageCores(before.self, after.self)
	values[metricWorkersRSS] = megabytes(after.self.RSSBytes)
	return values
}

// addPredictors adds the values of the predictors.
func (i interval) addPredictors(values Values) {
	before, after := i.before, i.after
	values[predictorMachines] = float64(after.utilization.Machines)
	values[predictorRunningTasks] = float64(after.utilization.Running)
	values[predictorHeartbeats] = i.rate(before.stats.Heartbeats, after.stats.Heartbeats)
	values[predictorStarts] = i.rate(before.stats.TaskStarts, after.stats.TaskStarts)
	values[predictorJobs] = i.rate(before.users.ended, after.users.ended)
	values[predictorReportedTasks] = values[predictorHeartbeats] *
		values[predictorRunningTasks] / max(1, values[predictorMachines])
}

// addState adds the metrics of the state service.
func (i interval) addState(values Values) {
	before, after := i.before.stateStats, i.after.stateStats
	values[metricStateRequests] = i.rate(before.Requests, after.Requests)
	values[metricStateWrites] = i.rate(before.Writes, after.Writes)
	values[metricStateRefused] = i.rate(before.Refused, after.Refused)
	values[metricStateWatched] = float64(after.Watched)
	values[metricStateKeys] = float64(after.Keys)
	values[metricStateCPU] = i.averageCores(i.before.state, i.after.state)
}

// addControllers adds the metrics of the leader, and the means of the metrics of the other controllers.
func (i interval) addControllers(values Values) {
	followers := 0
	for controller, after := range i.after.controllers {
		before := i.before.controllers[controller]
		metrics := i.after.metrics[controller]
		if metrics[gaugeLeading] == 1 {
			i.addLeader(values, before, after)
			values[metricJobsKnown] = metrics[gaugeJobsKnown]
			continue
		}
		followers++
		values[metricFollowerCPU] += i.averageCores(before, after)
		values[metricFollowerRSS] += megabytes(after.RSSBytes)
		values[metricFollowerRead] += i.kilobytesPerSecond(before.Read, after.Read)
	}
	for _, name := range []string{metricFollowerCPU, metricFollowerRSS, metricFollowerRead} {
		values[name] /= float64(max(1, followers))
	}
}

func (i interval) addLeader(values Values, before, after Usage) {
	calls := after.ReadCalls + after.WriteCalls - before.ReadCalls - before.WriteCalls
	values[metricLeaderCPU] = i.averageCores(before, after)
	values[metricLeaderRSS] = megabytes(after.RSSBytes)
	values[metricLeaderSockets] = float64(after.Sockets)
	values[metricLeaderRead] = i.kilobytesPerSecond(before.Read, after.Read)
	values[metricLeaderWritten] = i.kilobytesPerSecond(before.Written, after.Written)
	values[metricLeaderCalls] = float64(calls) / i.seconds()
}

// result returns the result of a step that was measured over the interval.
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
