package scale

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/simulator"
)

// Options say how a plan is run.
type Options struct {
	// Program is the command that runs harewalk, Env what its processes get beside the environment.
	Program []string
	Env     []string
	// Progress is told what is going on; nil for nobody.
	Progress func(line string)
}

// Run plays all sizes, one after the other, and fits lines through what was measured. When the context ends all
// processes are ended, and its error is returned.
func Run(ctx context.Context, p *Plan, o Options) (*Result, error) {
	memory, err := TotalMemory()
	if err != nil {
		return nil, err
	}
	if err := p.Fits(memory); err != nil {
		return nil, err
	}
	r := &Result{Plan: p.Name, Machine: fmt.Sprintf("one machine with %d cores and %d GB", runtime.NumCPU(), memory>>30)}
	for i, s := range p.Steps {
		o.say("step %d of %d, %s: %d machines with %d tasks each", i+1, len(p.Steps), s.Name, s.Machines, s.TasksPerMachine)
		got, err := play(ctx, p, s, o, r)
		if err != nil {
			return nil, fmt.Errorf("step %q: %w", s.Name, err)
		}
		r.Steps = append(r.Steps, *got)
	}
	r.fitAll()
	return r, nil
}

func (o Options) say(format string, a ...any) {
	if o.Progress != nil {
		o.Progress(fmt.Sprintf(format, a...))
	}
}

// operatorSettings keep the machines that a step has, and let the controllers tell figures.
const operatorSettings = `
debug_addr   = "{debug}"
idle_s       = 1000000
max_machines = %d
`

// Limits of each controller's machine: large enough that none of them is what is measured.
var (
	limitCores   = 1.0
	limitMemMB   = 4096.0
	limitSockets = 40_000
)

// cluster is everything that plays one step.
type cluster struct {
	simulation *simulator.Simulation
	state      *stateProcess
	procs      *simulator.Cluster
	users      *users
	dir        string
	stop       context.CancelFunc
}

// start starts the processes of a step.
func start(ctx context.Context, p *Plan, s Step, o Options) (c *cluster, err error) {
	c = &cluster{}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	limits := config.State{RPS: p.State.RPS, WriteRPS: p.State.WriteRPS, ValueKB: p.State.ValueKB, TxnOps: p.State.TxnOps}
	if c.state, err = startState(o.Program, o.Env, stateOrder{s.Controllers, limits}); err != nil {
		return c, err
	}
	if c.simulation, err = simulator.NewRealTime(platform(p, s, limits, c.state.addrs)); err != nil {
		return c, err
	}
	if err = c.simulation.BootMachines(s.Machines); err != nil {
		return c, err
	}
	if c.dir, err = os.MkdirTemp("", "harewalk-scale-"); err != nil {
		return c, err
	}
	program := append(append([]string{}, o.Program...), "serve")
	if c.procs, err = c.simulation.NewCluster(c.dir, fmt.Sprintf(operatorSettings, s.Machines), append(o.Env, "LOG_LEVEL=error"), program...); err != nil {
		return c, err
	}
	for i := range s.Controllers {
		if err = c.procs.Start(i); err != nil {
			return c, err
		}
	}
	for i := range s.Controllers {
		if err = c.procs.WaitReady(i, readyWithin); err != nil {
			return c, err
		}
	}
	var users context.Context
	users, c.stop = context.WithCancel(ctx)
	c.users = newUsers(c.simulation, s, p.PollS)
	c.users.start(users, time.Duration(p.SettleS/2*float64(time.Second)))
	return c, nil
}

// readyWithin is how long a controller may take to take requests.
const readyWithin = 30 * time.Second

// stepOfTime is how often time passes for hollow machines.
const stepOfTime = 100 * time.Millisecond

// platform is the configuration of a step's simulation: machines with a core for each task, and nothing that limits them but these.
func platform(p *Plan, s Step, limits config.State, addrs []string) simulator.Config {
	zones := []string{"a", "b", "c"}
	cores := float64(s.TasksPerMachine)
	w := simulator.Config{
		Seed: 1, Controllers: s.Controllers, Zones: zones, MaxMachines: s.Machines, State: limits, StateAddrs: addrs, TickInterval: stepOfTime,
		Types:   []capacity.MachineType{{Name: "hollow", CPUs: cores, Mem: 4 * cores, CacheGB: 100, FetchGB: 2, Price: 1, BootS: 1, Zones: zones}},
		Workers: config.Workers{HeartbeatIntervalS: p.ReportS, LeaseS: p.LeaseS, GangWaitS: 30, GangPeerS: 5, CancelS: p.CancelS}, Cloud: config.Cloud{RPS: 20, ListLagS: 1},
		Limits: config.ControllerLimits{Cores: &limitCores, MemMB: &limitMemMB, Sockets: &limitSockets},
	}
	for i := range s.Teams {
		w.Teams = append(w.Teams, config.Team{Name: teamName(i)})
	}
	return w
}

// close ends everything, in an order in which nobody waits for who has gone.
func (c *cluster) close() {
	if c.stop != nil {
		c.stop()
	}
	if c.procs != nil {
		c.procs.Close()
	}
	if c.simulation != nil {
		c.simulation.Close()
	}
	if c.state != nil {
		c.state.close()
	}
	if c.dir != "" {
		_ = os.RemoveAll(c.dir)
	}
}

// busyPart is which part of the tasks that fit must run before a step counts as settled.
const busyPart = 0.9

// play plays one size.
func play(ctx context.Context, p *Plan, s Step, o Options, r *Result) (*StepResult, error) {
	c, err := start(ctx, p, s, o)
	if err != nil {
		return nil, err
	}
	defer c.close()
	settled := c.settle(ctx, p, s)
	before, err := c.takeSnapshot()
	if err != nil {
		return nil, err
	}
	c.users.measure()
	o.say("  %d tasks run, settled %v: measuring for %g s", c.simulation.Utilization().Running, settled, p.MeasureS)
	sleep(ctx, time.Duration(p.MeasureS*float64(time.Second)))
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	after, err := c.takeSnapshot()
	if err != nil {
		return nil, err
	}
	r.PeakMB = max(r.PeakMB, after.totalMB())
	r.PeakProcesses = max(r.PeakProcesses, s.Controllers+extraProcs)
	got := c.result(s, before, after)
	got.Settled = settled
	return got, nil
}

// settle lets the given time pass, so that what the start costs isn't measured, and reports whether the machines are busy.
func (c *cluster) settle(ctx context.Context, p *Plan, s Step) bool {
	goal := int(busyPart * float64(s.Machines*s.TasksPerMachine))
	sleep(ctx, time.Duration(p.SettleS*float64(time.Second)))
	return c.simulation.Utilization().Running >= goal
}

// snapshot is what all processes have used, and what has happened, up to a moment.
type snapshot struct {
	at       time.Time
	nodes    []Usage
	self     Usage
	state    Usage
	figures  StateFigures
	metrics  []map[string]float64
	stats    simulator.Stats
	users    counted
	running  int
	machines int
}

func (p *snapshot) totalMB() float64 {
	sum := p.self.PeakBytes + p.state.PeakBytes
	for _, u := range p.nodes {
		sum += u.PeakBytes
	}
	return megabytes(sum)
}

func megabytes(b uint64) float64 { return float64(b) / (1 << 20) }

// takeSnapshot takes a snapshot of all processes.
func (c *cluster) takeSnapshot() (*snapshot, error) {
	p := &snapshot{at: time.Now()}
	for i := range c.simulation.Controllers() {
		u, err := usageOf(c.procs.PID(i))
		if err != nil {
			return nil, fmt.Errorf("controller %d: %w", i, err)
		}
		p.nodes = append(p.nodes, u)
	}
	var err error
	if p.self, err = usageOf(os.Getpid()); err != nil {
		return nil, err
	}
	if p.state, err = usageOf(c.state.cmd.Process.Pid); err != nil {
		return nil, err
	}
	if p.figures, err = c.state.figures(); err != nil {
		return nil, err
	}
	for i := range c.simulation.Controllers() {
		_, page, err := fasthttp.GetTimeout(nil, "http://"+c.procs.DebugAddrs[i]+"/metrics", askFor)
		if err != nil {
			return nil, fmt.Errorf("controller %d: %w", i, err)
		}
		p.metrics = append(p.metrics, parseMetrics(page))
	}
	use := c.simulation.Utilization()
	p.stats, p.users, p.running, p.machines = c.simulation.Stats(), c.users.counts(), use.Running, use.Machines
	return p, nil
}

// result sums a step up.
func (c *cluster) result(s Step, from, to *snapshot) *StepResult {
	seconds := to.at.Sub(from.at).Seconds()
	rate := func(a, b int) float64 { return float64(b-a) / seconds }
	kilobytes := func(a, b uint64) float64 { return float64(b-a) / 1024 / seconds }
	cores := func(a, b Usage) float64 { return (b.CPUSeconds - a.CPUSeconds) / seconds }
	v := Values{
		byMachines: float64(to.machines), byRunning: float64(to.running),
		byReports: rate(from.stats.Heartbeats, to.stats.Heartbeats), byStarts: rate(from.stats.TaskStarts, to.stats.TaskStarts), byJobs: rate(from.users.ended, to.users.ended),
	}
	v[byReported] = v[byReports] * v[byRunning] / max(1, v[byMachines])
	v["state_requests"], v["state_writes"] = rate(from.figures.Requests, to.figures.Requests), rate(from.figures.Writes, to.figures.Writes)
	v["state_refused"], v["state_followed"], v["state_keys"] = rate(from.figures.Refused, to.figures.Refused), float64(to.figures.Followed), float64(to.figures.Keys)
	v["state_cpu"] = cores(from.state, to.state)
	others := 0.0
	for i := range to.nodes {
		a, b := from.nodes[i], to.nodes[i]
		if to.metrics[i]["harewalk_leading"] == 1 {
			v["leader_cpu"], v["leader_rss"], v["leader_sockets"] = cores(a, b), megabytes(b.RSSBytes), float64(b.Sockets)
			v["leader_read"], v["leader_written"] = kilobytes(a.Read, b.Read), kilobytes(a.Written, b.Written)
			v["leader_calls"] = float64(b.ReadCalls+b.WriteCalls-a.ReadCalls-a.WriteCalls) / seconds
			v["jobs_known"] = to.metrics[i]["harewalk_jobs_known"]
			continue
		}
		others++
		v["follower_cpu"] += cores(a, b)
		v["follower_rss"] += megabytes(b.RSSBytes)
		v["follower_read"] += kilobytes(a.Read, b.Read)
	}
	for _, name := range []string{"follower_cpu", "follower_rss", "follower_read"} {
		v[name] /= max(1, others)
	}
	v["workers_bytes"] = kilobytes(from.stats.HeartbeatBytes+from.stats.HeartbeatAnswerBytes, to.stats.HeartbeatBytes+to.stats.HeartbeatAnswerBytes)
	v["workers_cpu"], v["workers_rss"] = cores(from.self, to.self), megabytes(to.self.RSSBytes)
	broken := c.simulation.Violations()
	got := &StepResult{Step: s, Values: v, Refused: to.users.refused - from.users.refused, Broken: len(broken), Again: to.stats.TasksRerun}
	if len(broken) > 0 {
		got.First = broken[0]
	}
	c.users.sumUp()
	c.users.mu.Lock()
	defer c.users.mu.Unlock()
	const perSecond = 1000
	got.WaitP50S, got.WaitP99S = float64(c.users.waits.ValueAtQuantile(50))/perSecond, float64(c.users.waits.ValueAtQuantile(99))/perSecond
	got.AcceptP50S, got.AcceptP99S = float64(c.users.accepts.ValueAtQuantile(50))/perSecond, float64(c.users.accepts.ValueAtQuantile(99))/perSecond
	got.Waits = c.users.waits.TotalCount()
	return got
}
