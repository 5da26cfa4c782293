package controller

import (
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/membership"
	"github.com/harewalk/harewalk/internal/rollout"
)

// scrapeTimeout is the maximum time that a scrape waits for the event loop.
const scrapeTimeout = 2 * time.Second

// maxScrapes is the maximum number of scrapes in flight.
const maxScrapes = 2

// debugReadHeaderTimeout is the maximum time for reading a request's headers on the debug address.
const debugReadHeaderTimeout = 5 * time.Second

// sample is the value of one metric.
type sample struct {
	desc   *prometheus.Desc
	value  float64
	labels []string
}

// samples collects the values of one scrape.
type samples []sample

func (s *samples) add(desc *prometheus.Desc, value float64, labels ...string) {
	*s = append(*s, sample{desc, value, labels})
}

// addBool adds 1 for true and 0 for false.
func (s *samples) addBool(desc *prometheus.Desc, value bool, labels ...string) {
	number := 0.0
	if value {
		number = 1
	}
	s.add(desc, number, labels...)
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("harewalk_"+name, help, labels, nil)
}

// Descriptions of the metrics. A metric's name keeps its meaning between versions.
var (
	upDesc       = desc("up", "1 if this controller passes its health check.")
	leadingDesc  = desc("leading", "1 if this controller leads and has the authority to act.")
	termDesc     = desc("term", "Term of the leader, as last read from the state service.")
	storeAgeDesc = desc("state_answer_age_seconds",
		"Seconds since the state service last executed a request of this controller.")
	loopWaitDesc     = desc("loop_wait_seconds", "Seconds that this scrape waited for the event loop.")
	jobsDesc         = desc("jobs", "Jobs that have not ended.")
	blockedDesc      = desc("jobs_blocked", "Jobs that wait for their predecessors to be done.")
	jobsInMemoryDesc = desc("jobs_known", "Jobs in this controller's memory: "+
		"live ones, and ended ones that are not archived yet.")
	cachedDesc   = desc("archive_cached", "Answers of archived jobs that are cached in this controller's memory.")
	archivedDesc = desc("archive_moved",
		"Ended jobs that this leader has archived in its term. Only the leader exports it.")
	limitDesc = desc("state_limit", "Current limits of a transaction: number of changes, and bytes of a value. "+
		"Lower than in the settings if the state service has refused larger transactions.", "what")
	refusedDesc = desc("state_refused", "Transactions that the state service refused since the process started, "+
		"because of their size or rate.", "why")
	tasksDesc    = desc("tasks", "Tasks of live jobs by state. Only the leader exports it.", "state")
	machinesDesc = desc("machines", "Machines by condition. Only the leader exports it.", "condition")
	coresDesc    = desc("cores", "Cores of ready machines: total and in use. Only the leader exports it.", "what")
	gpusDesc     = desc("gpus", "Accelerators of ready machines: total and in use. Only the leader exports it.", "what")
	licencesDesc = desc("licence_seats", "Units of each licence pool. Only the leader exports it.", "pool", "what")
	commandsDesc = desc("commands", "Commands to machines in this term: launch, stop, forget, and prompts for a heartbeat. "+
		"Only the leader exports it.", "what")
	unexpectedDesc = desc("unexpected_attempts", "Live attempts in this term that were listed by another machine than "+
		"the one on which their task counts (second_machine), or that the leader did not launch there (other_attempt). "+
		"Only the leader exports it.", "what")
	levelDesc = desc("level", "Level of the cluster's stored state, "+
		"and highest level that this controller's release supports.", "of")
	rolloutDesc    = desc("rollout_state", "1 for the current state of the rollout by this controller's view.", "state")
	migrationDesc  = desc("migration_left", "Records still stored in a former format. Only the leader exports it.")
	unreadableDesc = desc("unreadable_records", "Stored records that this controller can't read.")
	sessionsDesc   = desc("sessions", "Sessions by state. Only the leader exports it.", "state")
)

// collector reads the metrics on the controller's event loop at each scrape.
type collector struct{ c *Controller }

// Describe implements prometheus.Collector. It describes no metric: the set of metrics depends on which controller
// leads.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (k collector) Collect(ch chan<- prometheus.Metric) {
	requestedAt := k.c.loop.Now()
	result := make(chan samples, 1)
	if !k.c.loop.Offer(func() { result <- k.c.metrics(k.c.loop.Now(), requestedAt) }) {
		return
	}
	timeout := time.NewTimer(scrapeTimeout)
	defer timeout.Stop()
	select {
	case all := <-result:
		for _, s := range all {
			ch <- prometheus.MustNewConstMetric(s.desc, prometheus.GaugeValue, s.value, s.labels...)
		}
	case <-timeout.C:
	}
}

// metrics returns the current values of all metrics.
func (c *Controller) metrics(now, requestedAt time.Duration) samples {
	var collected samples
	c.addControllerMetrics(&collected, now, requestedAt)
	c.addStoreMetrics(&collected, now)
	c.addRolloutMetrics(&collected)
	if !c.term.loaded() {
		return collected
	}
	if c.rollout.State() == rollout.Migrating {
		collected.add(migrationDesc, float64(c.term.fleet.UnmigratedSegments()))
	}
	collected.add(archivedDesc, float64(c.term.archiver.Stats.Moved))
	c.addTaskMetrics(&collected)
	c.addMachineMetrics(&collected)
	addCommandMetrics(&collected, c.term.fleet.Counts())
	c.addLicenceMetrics(&collected, now)
	if c.term.sessions != nil {
		for state, count := range c.term.sessions.CountByState() {
			collected.add(sessionsDesc, float64(count), state)
		}
	}
	return collected
}

func (c *Controller) addControllerMetrics(collected *samples, now, requestedAt time.Duration) {
	collected.addBool(upDesc, c.healthy())
	collected.addBool(leadingDesc, c.membership.State() == membership.Leading && c.membership.HasAuthority(now))
	collected.add(termDesc, float64(c.membership.Leader().Term))
	collected.add(loopWaitDesc, (now - requestedAt).Seconds())
	collected.add(jobsDesc, float64(c.jobs.LiveJobs()))
	collected.add(blockedDesc, float64(c.blockedJobs()))
	collected.add(jobsInMemoryDesc, float64(c.jobs.Len()))
	collected.add(cachedDesc, float64(c.archive.reader.CacheLen()))
}

func (c *Controller) addStoreMetrics(collected *samples, now time.Duration) {
	collected.add(storeAgeDesc, (now - c.store.LastSuccess()).Seconds())
	limits := c.store.Limits()
	collected.add(limitDesc, float64(limits.MaxOps), "changes")
	collected.add(limitDesc, float64(limits.MaxValueBytes), "value_bytes")
	forSize, forRate := c.store.Rejections()
	collected.add(refusedDesc, float64(forSize), "size")
	collected.add(refusedDesc, float64(forRate), "rate")
}

func (c *Controller) addRolloutMetrics(collected *samples) {
	collected.add(levelDesc, float64(c.rollout.Level()), "cluster")
	collected.add(levelDesc, float64(c.rollout.MaxLevel()), "known")
	for state := rollout.Loading; state <= rollout.Incompatible; state++ {
		collected.addBool(rolloutDesc, state == c.rollout.State(), state.String())
	}
	collected.add(unreadableDesc, float64(c.rollout.UnreadableCount()))
}

func (c *Controller) addTaskMetrics(collected *samples) {
	countByState := map[jobs.TaskState]int{}
	c.jobs.ForEachLive(func(job *jobs.Job) {
		for state, count := range job.TasksByState {
			countByState[jobs.TaskState(state)] += count
		}
	})
	for state := jobs.Unplanned; state <= jobs.Finished; state++ {
		collected.add(tasksDesc, float64(countByState[state]), state.String())
	}
}

func addCommandMetrics(collected *samples, counts fleet.CommandCounts) {
	collected.add(commandsDesc, float64(counts.Launches), "launch")
	collected.add(commandsDesc, float64(counts.Stops), "stop")
	collected.add(commandsDesc, float64(counts.Forgets), "forget")
	collected.add(commandsDesc, float64(counts.Prompts), "prompt")
	collected.add(unexpectedDesc, float64(counts.SecondMachine), "second_machine")
	collected.add(unexpectedDesc, float64(counts.OtherAttempt), "other_attempt")
}

func (c *Controller) addMachineMetrics(collected *samples) {
	countByCondition := map[fleet.Condition]int{}
	var cores, coresUsed, gpus, gpusUsed float64
	for _, machine := range c.term.fleet.Machines() {
		countByCondition[machine.Condition]++
		if machine.Condition == fleet.Ready {
			cores += machine.Capacity.CPUs
			coresUsed += machine.Used.CPUs
			gpus += machine.Capacity.GPUs
			gpusUsed += machine.Used.GPUs
		}
	}
	for condition := fleet.Registered; condition <= fleet.Terminated; condition++ {
		collected.add(machinesDesc, float64(countByCondition[condition]), condition.String())
	}
	collected.add(coresDesc, cores, "there")
	collected.add(coresDesc, coresUsed, "used")
	collected.add(gpusDesc, gpus, "there")
	collected.add(gpusDesc, gpusUsed, "used")
}

func (c *Controller) addLicenceMetrics(collected *samples, now time.Duration) {
	for index, pool := range c.licencePools.Pools() {
		view := c.licenceView(now, int32(index))
		collected.add(licencesDesc, float64(view.Count), pool.Name, "count")
		collected.add(licencesDesc, float64(view.CheckedOut+view.Reserved), pool.Name, "held")
		collected.add(licencesDesc, float64(view.AwaitingRelease), pool.Name, "lingering")
		collected.add(licencesDesc, float64(view.OutsideUnits), pool.Name, "others")
		collected.add(licencesDesc, float64(view.Free), pool.Name, "free")
	}
}

// serveDebug serves /metrics and /debug/pprof on an address of their own until the process ends.
func (c *Controller) serveDebug(addr string) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("setting \"debug_addr\": %w", err)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collector{c},
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{
		MaxRequestsInFlight: maxScrapes,
		Timeout:             2 * scrapeTimeout,
	}))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: debugReadHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return nil
}
