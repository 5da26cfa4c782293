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

// scrapeWait bounds how long a scrape waits for the event loop.
const scrapeWait = 2 * time.Second

// metric is one figure, described once.
type metric struct {
	desc   *prometheus.Desc
	value  float64
	labels []string
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("harewalk_"+name, help, labels, nil)
}

// What is told. Names keep their meaning between versions.
var (
	upDesc       = desc("up", "1 if this controller passes its health check.")
	leadingDesc  = desc("leading", "1 if this controller leads and has the authority to act.")
	termDesc     = desc("term", "The term of the leader, as last seen.")
	stateDesc    = desc("state_answer_age_seconds", "Since when the state service has not carried out a request of ours.")
	lagDesc      = desc("loop_wait_seconds", "How long this scrape waited for the event loop.")
	jobsDesc     = desc("jobs", "Jobs that are not over.")
	knownDesc    = desc("jobs_known", "Jobs in this controller's memory: live ones, and ended ones that are not archived yet.")
	cachedDesc   = desc("archive_cached", "Answers of archived jobs in this controller's memory.")
	archivedDesc = desc("archive_moved", "Ended jobs that this leader has archived in its term; only the leader tells.")
	limitDesc    = desc("state_limit", "What a transaction may hold now: changes, and bytes of a value. Less than in the settings: the service has refused more.", "what")
	refusedDesc  = desc("state_refused", "Transactions that the state service refused since the start, for their size or beyond its rate.", "why")
	tasksDesc    = desc("tasks", "Tasks of those jobs by state; only the leader tells.", "state")
	machinesDesc = desc("machines", "Machines by condition; only the leader tells.", "condition")
	coresDesc    = desc("cores", "Cores of machines that act, and what is in use.", "what")
	gpusDesc     = desc("gpus", "Accelerators of machines that act, and what is in use.", "what")
	seatsDesc    = desc("licence_seats", "Seats of each licence pool.", "pool", "what")
	levelDesc    = desc("level", "The level of the cluster's stored state, and the highest that this controller's release knows.", "of")
	rolloutDesc  = desc("rollout_state", "1 for the state in which this controller sees the rollout.", "state")
	movingDesc   = desc("migration_left", "Records that stand in a former format; only the leader tells.")
	unreadDesc   = desc("unreadable_records", "Stored records that can't be read here.")
	sessionsDesc = desc("sessions", "Sessions by state.", "state")
)

// collector takes a picture of the controller on its event loop for each scrape.
type collector struct{ c *Controller }

// Describe implements prometheus.Collector: the set of figures depends on who leads.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (k collector) Collect(out chan<- prometheus.Metric) {
	asked := k.c.loop.Now()
	got := make(chan []metric, 1)
	if !k.c.loop.Offer(func() { got <- k.c.figures(k.c.loop.Now(), asked) }) {
		return
	}
	t := time.NewTimer(scrapeWait)
	defer t.Stop()
	select {
	case ms := <-got:
		for _, m := range ms {
			out <- prometheus.MustNewConstMetric(m.desc, prometheus.GaugeValue, m.value, m.labels...)
		}
	case <-t.C:
	}
}

// liveJobs is the number of jobs that are not over.
func (c *Controller) liveJobs() (n int) {
	c.jobs.ForEachLive(func(*jobs.Job) { n++ })
	return n
}

func one(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// figures is what is told now.
func (c *Controller) figures(now, asked time.Duration) (ms []metric) {
	add := func(d *prometheus.Desc, v float64, labels ...string) { ms = append(ms, metric{d, v, labels}) }
	add(upDesc, one(c.up()))
	add(leadingDesc, one(c.membership.State() == membership.Leading && c.membership.HasAuthority(now)))
	add(termDesc, float64(c.membership.Leader().Term))
	add(stateDesc, (now - c.store.LastSuccess()).Seconds())
	add(lagDesc, (now - asked).Seconds())
	add(jobsDesc, float64(c.liveJobs()))
	limits := c.store.Limits()
	add(limitDesc, float64(limits.MaxOps), "changes")
	add(limitDesc, float64(limits.MaxValueBytes), "value_bytes")
	size, rate := c.store.Rejections()
	add(refusedDesc, float64(size), "size")
	add(refusedDesc, float64(rate), "rate")
	add(knownDesc, float64(c.jobs.Len()))
	add(cachedDesc, float64(c.archive.reader.CacheLen()))
	add(levelDesc, float64(c.rollout.Level()), "cluster")
	add(levelDesc, float64(c.rollout.MaxLevel()), "known")
	for s := rollout.Loading; s <= rollout.Incompatible; s++ {
		add(rolloutDesc, one(s == c.rollout.State()), s.String())
	}
	add(unreadDesc, float64(c.rollout.UnreadableCount()))
	if c.term.fleet == nil || !c.term.fleet.PlansLoaded() {
		return ms
	}
	if c.rollout.State() == rollout.Migrating {
		add(movingDesc, float64(c.term.fleet.UnmigratedPlans()))
	}
	add(archivedDesc, float64(c.term.mover.Stats.Moved))
	tasks := map[jobs.TaskState]int{}
	c.jobs.ForEachLive(func(job *jobs.Job) {
		for s, n := range job.TasksByState {
			tasks[jobs.TaskState(s)] += n
		}
	})
	for s := jobs.Unplanned; s <= jobs.Finished; s++ {
		add(tasksDesc, float64(tasks[s]), s.String())
	}
	machines := map[fleet.Condition]int{}
	var cores, coresUsed, gpus, gpusUsed float64
	for _, machine := range c.term.fleet.Machines() {
		machines[machine.Condition]++
		if machine.Condition == fleet.Ready {
			cores, gpus = cores+machine.Capacity.CPUs, gpus+machine.Capacity.GPUs
			coresUsed, gpusUsed = coresUsed+machine.Used.CPUs, gpusUsed+machine.Used.GPUs
		}
	}
	for k := fleet.Registered; k <= fleet.Terminated; k++ {
		add(machinesDesc, float64(machines[k]), k.String())
	}
	add(coresDesc, cores, "there")
	add(coresDesc, coresUsed, "used")
	add(gpusDesc, gpus, "there")
	add(gpusDesc, gpusUsed, "used")
	for ix, pool := range c.licencePools.Pools() {
		v := c.term.fleet.Gate.Licences.Show(now, int32(ix), c.jobs.Names.Teams.Name)
		for what, n := range map[string]int{"count": v.Count, "held": v.Held + v.Booked, "lingering": v.Lingering, "others": v.Others, "free": v.Free} {
			add(seatsDesc, float64(n), pool.Name, what)
		}
	}
	if c.term.sessions != nil {
		for state, n := range c.term.sessions.CountByState() {
			add(sessionsDesc, float64(n), state)
		}
	}
	return ms
}

// observe serves /metrics and /debug/pprof on an address of their own until the process ends.
func (c *Controller) observe(addr string) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("setting \"debug_addr\": %w", err)
	}
	reg := prometheus.NewRegistry()
	reg.MustRegister(collector{c}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{MaxRequestsInFlight: 2, Timeout: 2 * scrapeWait}))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(ln) }()
	return nil
}
