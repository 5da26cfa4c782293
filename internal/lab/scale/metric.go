package scale

// Values are measurements by name: of metrics, and of what they depend on.
type Values map[string]float64

// Names of what metrics depend on. A task is reported with each heartbeat of its machine.
const (
	valueMachines      = "machines"
	valueRunning       = "tasks_running"
	valueHeartbeats    = "reports_per_s"
	valueReportedTasks = "tasks_reported_per_s"
	valueStarts        = "starts_per_s"
	valueJobs          = "jobs_per_s"
)

// Names of metrics, some of which are measured and not fitted.
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
	metricStateFollowed = "state_followed"
	metricStateKeys     = "state_keys"
	metricWorkersBytes  = "workers_bytes"
	metricWorkersCPU    = "workers_cpu"
	metricWorkersRSS    = "workers_rss"
)

// Roles of processes.
const (
	roleLeader   = "leader"
	roleFollower = "other controllers"
	roleState    = "state service"
	roleWorkers  = "all workers and users"
)

// Metric is a measured value that is fitted by a straight line in each of its predictors.
type Metric struct {
	Name       string   `json:"name"`
	Role       string   `json:"role"`
	Unit       string   `json:"unit"`
	Predictors []string `json:"predictors"`
}

// Metrics lists the metrics that are fitted.
var Metrics = []Metric{
	{metricLeaderCPU, roleLeader, "cores", []string{valueHeartbeats, valueStarts}},
	{metricLeaderRSS, roleLeader, "MB", []string{valueMachines, valueRunning}},
	{metricLeaderRead, roleLeader, "KB/s", []string{valueHeartbeats, valueReportedTasks}},
	{metricLeaderWritten, roleLeader, "KB/s", []string{valueHeartbeats, valueStarts}},
	{metricLeaderSockets, roleLeader, "sockets", []string{valueMachines}},
	{metricFollowerCPU, roleFollower, "cores", []string{valueStarts, valueJobs}},
	{metricFollowerRSS, roleFollower, "MB", []string{valueMachines}},
	{metricFollowerRead, roleFollower, "KB/s", []string{valueStarts, valueJobs}},
	{metricStateRequests, roleState, "1/s", []string{valueStarts, valueJobs}},
	{metricStateWrites, roleState, "1/s", []string{valueStarts, valueJobs}},
	{metricStateCPU, roleState, "cores", []string{valueStarts, valueJobs}},
	{metricStateFollowed, roleState, "keys", []string{valueMachines, valueJobs}},
	{metricWorkersBytes, roleWorkers, "KB/s", []string{valueHeartbeats, valueReportedTasks}},
	{metricWorkersCPU, roleWorkers, "cores", []string{valueHeartbeats, valueStarts}},
	{metricWorkersRSS, roleWorkers, "MB", []string{valueMachines, valueRunning}},
}
