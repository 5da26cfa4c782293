package scale

// Values holds the measured values of metrics and predictors by name.
type Values map[string]float64

// Names of predictors, on which metrics depend. Each heartbeat of a machine reports all tasks that run on the machine.
const (
	predictorMachines      = "machines"
	predictorRunningTasks  = "tasks_running"
	predictorHeartbeats    = "reports_per_s"
	predictorReportedTasks = "tasks_reported_per_s"
	predictorStarts        = "starts_per_s"
	predictorJobs          = "jobs_per_s"
)

// Names of metrics. Those that Metrics doesn't list are measured but not fitted.
const (
	metricLeaderCPU     = "leader_cpu"
	metricLeaderRSS     = "leader_rss"
	metricLeaderRead    = "leader_read"
	metricLeaderWritten = "leader_written"
	metricLeaderSockets = "leader_sockets"
	metricLeaderCalls   = "leader_calls"
	metricJobsKnown     = "jobs_known"
	metricFollowerCPU   = "follower_cpu"
	metricFollowerRSS   = "follower_rss"
	metricFollowerRead  = "follower_read"
	metricStateRequests = "state_requests"
	metricStateWrites   = "state_writes"
	metricStateRefused  = "state_refused"
	metricStateCPU      = "state_cpu"
	metricStateWatched  = "state_followed"
	metricStateKeys     = "state_keys"
	metricWorkersBytes  = "workers_bytes"
	metricWorkersCPU    = "workers_cpu"
	metricWorkersRSS    = "workers_rss"
)

// Roles of the measured processes.
const (
	roleLeader   = "leader"
	roleFollower = "other controllers"
	roleState    = "state service"
	roleWorkers  = "all workers and users"
)

// Metric is a measured quantity that is fitted as a linear function of its predictors.
type Metric struct {
	Name       string   `json:"name"`
	Role       string   `json:"role"`
	Unit       string   `json:"unit"`
	Predictors []string `json:"predictors"`
}

// Metrics lists the fitted metrics with their predictors.
var Metrics = []Metric{
	{metricLeaderCPU, roleLeader, "cores", []string{predictorHeartbeats, predictorStarts}},
	{metricLeaderRSS, roleLeader, "MB", []string{predictorMachines, predictorRunningTasks}},
	{metricLeaderRead, roleLeader, "KB/s", []string{predictorHeartbeats, predictorReportedTasks}},
	{metricLeaderWritten, roleLeader, "KB/s", []string{predictorHeartbeats, predictorStarts}},
	{metricLeaderSockets, roleLeader, "sockets", []string{predictorMachines}},
	{metricFollowerCPU, roleFollower, "cores", []string{predictorStarts, predictorJobs}},
	{metricFollowerRSS, roleFollower, "MB", []string{predictorMachines}},
	{metricFollowerRead, roleFollower, "KB/s", []string{predictorStarts, predictorJobs}},
	{metricStateRequests, roleState, "1/s", []string{predictorStarts, predictorJobs}},
	{metricStateWrites, roleState, "1/s", []string{predictorStarts, predictorJobs}},
	{metricStateCPU, roleState, "cores", []string{predictorStarts, predictorJobs}},
	{metricStateWatched, roleState, "keys", []string{predictorMachines, predictorJobs}},
	{metricWorkersBytes, roleWorkers, "KB/s", []string{predictorHeartbeats, predictorReportedTasks}},
	{metricWorkersCPU, roleWorkers, "cores", []string{predictorHeartbeats, predictorStarts}},
	{metricWorkersRSS, roleWorkers, "MB", []string{predictorMachines, predictorRunningTasks}},
}
