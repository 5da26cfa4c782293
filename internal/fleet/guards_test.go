package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/store"
)

// rig is one fleet whose writes and direct commands the test answers by hand.
type rig struct {
	*Fleet
	t      testing.TB
	now    time.Duration
	kv     map[string]json.RawMessage
	rev    uint64
	commit []func(store.Outcome)
	orders []func(heartbeat *Heartbeat, ok bool)
	sent   []DirectCommands
	seq    uint64
}

func newRig(t testing.TB, term uint64, kv map[string]json.RawMessage) *rig {
	return newRigOf(t, term, kv, []config.Team{{Name: "t", CPUsMax: 4}})
}

func newRigOf(t testing.TB, term uint64, kv map[string]json.RawMessage, teams []config.Team, pools ...*licences.Pool) *rig {
	g := &rig{t: t, kv: kv, rev: 100 * term}
	settings := &config.Settings{}
	settings.Params.Teams = teams
	settings.Params.Workers = config.Workers{ReportS: 3, LeaseS: 20, GangWaitS: 20, GangPeerS: 5, CancelS: 40}
	settings.Params.State.ValueKB = 8
	settings.Operator.NetworkFactor = 1
	book := jobs.NewTable(0)
	book.Names.Pools = licences.NewCatalog(pools)
	var plans []store.Item
	for k, v := range kv {
		g.rev++
		if k[:2] == jobs.PlanPrefix {
			plans = append(plans, store.Item{Key: k, Value: v, Version: g.rev})
		} else if _, _, err := book.Apply(k[len(jobs.Prefix):], v, g.rev); err != nil {
			t.Fatal(err)
		}
	}
	g.Fleet = New(Env{
		Settings: settings, Jobs: book, Rng: rand.New(rand.NewPCG(1, 1)), TxnOps: 20, Now: func() time.Duration { return g.now },
		Types: func(int32) *MachineType {
			return &MachineType{Size: planner.Size{CPUs: 4, Mem: 16}, CacheGB: 10, FetchGB: 1}
		},
		CanWrite:       func(int) bool { return true },
		HasSpareWrites: func() bool { return true },
		Commit: func(txn store.Txn, done func(store.Result)) {
			g.commit = append(g.commit, func(o store.Outcome) {
				g.rev++
				if o == store.Committed {
					for _, op := range txn.Then {
						if op.Delete != "" {
							delete(kv, op.Delete)
						} else {
							kv[op.Put] = op.Value
						}
					}
				}
				done(store.Result{Outcome: o, Revision: g.rev})
			})
		},
		Read: func(key string, done func(store.Item, error)) {
			item := store.Item{Key: key, Value: kv[key]}
			if item.Value != nil {
				item.Version = g.rev
			}
			done(item, nil)
		},
		SendCommands: func(_ *Machine, o DirectCommands, done func(*Heartbeat, bool)) {
			g.sent, g.orders = append(g.sent, o), append(g.orders, done)
		},
		OnJobRecord: func(now time.Duration, item store.Item) { g.learn(item.Key, item.Value) },
	}, term, 0)
	g.LoadPlans(0, plans)
	return g
}

func (g *rig) learn(key string, raw json.RawMessage) {
	g.rev++
	g.kv[key] = raw
	if job, changed, err := g.Jobs.Apply(key[len(jobs.Prefix):], raw, g.rev); err != nil {
		g.t.Fatal(err)
	} else if changed {
		g.HandleJobChange(g.now, job)
	}
}

func spec(n int, tasks int) *jobs.Spec {
	return &jobs.Spec{
		ID: fmt.Sprintf("req-%06d", n), Class: "c", Team: "t", Kind: jobs.Array, Priority: "standard", Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 10,
	}
}

func (g *rig) submit(spec *jobs.Spec) *jobs.Job {
	g.learn(jobs.RecordKey(spec.ID), jobs.EncodeRecord(jobs.Pending, 0, spec.Tasks, spec))
	return g.Jobs.Get(spec.ID)
}

func (g *rig) cancel(job *jobs.Job) {
	g.learn(jobs.RecordKey(job.ID), jobs.EncodeRecord(jobs.Cancelled, 0, job.TaskCount, job.Spec))
}

// hear delivers a report of machine m at a token, and returns the commands.
func (g *rig) hear(m string, session, token uint64, tasks ...TaskReport) []Command {
	g.seq++
	a, v := g.HandleHeartbeat(g.now, &Heartbeat{Machine: m, Addr: "x", Type: "ty", Zone: "z", Session: session, Seq: g.seq, Token: token, Tasks: tasks})
	if v != Accepted {
		g.t.Fatalf("report refused: %d", v)
	}
	return a.Commands
}

// settle answers all open writes and ticks until nothing is written any more.
func (g *rig) settle(o store.Outcome) { g.settleFor(20, o) }

// settleFor does so for a number of ticks, a tenth of a second each.
func (g *rig) settleFor(ticks int, o store.Outcome) {
	for range ticks {
		g.now += 100 * time.Millisecond
		g.Tick(g.now, false)
		for len(g.commit) > 0 {
			c := g.commit[0]
			g.commit = g.commit[1:]
			c(o)
		}
	}
}

func starts(cs []Command) (out []Command) {
	for _, c := range cs {
		if c.Op == opStart {
			out = append(out, c)
		}
	}
	return out
}

const fenced = uint64(1) << tokenBits

// Write before act: a crash after a start that is not in the plan would start it twice.
func TestNothingStartsBeforeItsPlanIsDurable(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.hear("m", 1, fenced)
	job := g.submit(spec(1, 2))
	g.Tick(g.now, true)
	if job.Tasks[0].State != jobs.Planned || len(g.commit) != 1 {
		t.Fatalf("state %v with %d writes, want a plan being written", job.Tasks[0].State, len(g.commit))
	}
	if cs := starts(g.hear("m", 1, fenced)); len(cs) != 0 || len(g.sent) != 0 {
		t.Fatalf("started %v before the plan was durable", cs)
	}
	g.commit[0](store.NotApplied)
	g.commit = nil
	if cs := starts(g.hear("m", 1, fenced)); len(cs) != 0 {
		t.Fatalf("started %v although the write was refused", cs)
	}
	g.settle(store.Committed)
	if cs := starts(g.hear("m", 1, fenced)); len(cs) != 2 {
		t.Fatalf("started %v, want both tasks", cs)
	}
}

// While a write that moves a task is open, either machine may be what a successor reads.
func TestOpenMoveBlocksStartsOnBothMachines(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.hear("m", 1, fenced)
	job := g.submit(spec(1, 1))
	g.settle(store.Committed)
	segment := job.Segments[0]
	m := job.Tasks[0].Machine
	segment.InFlight = []int32{m + 1}
	if job.IsDurable(0) {
		t.Fatal("durable although an open write names another machine")
	}
	segment.InFlight = []int32{m}
	if !job.IsDurable(0) {
		t.Fatal("an open write that repeats the machine must not block it")
	}
}

// A new owner acts only on a report at its own token: until then commands of the former
// owner may still arrive.
func TestNewOwnerWaitsForAFencedReport(t *testing.T) {
	kv := map[string]json.RawMessage{}
	g := newRig(t, 1, kv)
	g.hear("m", 1, fenced)
	g.submit(spec(1, 1))
	g.settle(store.Committed)

	n := newRig(t, 2, kv)
	job := n.Jobs.Get("req-000001")
	if job.Tasks[0].State != jobs.Recovered || n.Gate.Quota.Team(job.Team).Used.CPUs != 1 {
		t.Fatalf("state %v using %v, want recovered and counted", job.Tasks[0].State, n.Gate.Quota.Team(job.Team).Used)
	}
	if cs := n.hear("m", 1, fenced); len(cs) != 0 || job.Tasks[0].State != jobs.Recovered {
		t.Fatalf("acted on a report at the former token: %v, %v", cs, job.Tasks[0].State)
	}
	if cs := starts(n.hear("m", 1, 2*fenced)); len(cs) != 1 {
		t.Fatalf("started %v, want the task that is surely not there", cs)
	}
}

// launched brings a task to the point where its direct launch was sent and not answered.
func launched(t *testing.T) (*rig, *jobs.Job) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.hear("m", 1, fenced)
	job := g.submit(spec(1, 1))
	g.settle(store.Committed)
	g.hearNothing()
	g.Tick(g.now, true)
	if len(g.sent) != 1 || job.Tasks[0].State != jobs.Launched {
		t.Fatalf("%d direct commands, state %v", len(g.sent), job.Tasks[0].State)
	}
	return g, job
}

// hearNothing keeps a machine from looking silent without touching its lanes.
func (g *rig) hearNothing() {
	for _, machine := range g.machines {
		machine.LastHeardAt = g.now
	}
}

// A direct launch whose outcome is open counts until a report carries a raised token, and
// is not lost for the team afterwards.
func TestOpenDirectLaunchCountsUntilFenced(t *testing.T) {
	g, job := launched(t)
	g.orders[0](nil, false)
	g.cancel(job)
	g.hear("m", 1, fenced) // this answer raises the token
	if used := g.Gate.Quota.Team(job.Team).Used.CPUs; used != 1 {
		t.Fatalf("uses %v, but the launch may still arrive", used)
	}
	g.hear("m", 1, fenced)
	if used := g.Gate.Quota.Team(job.Team).Used.CPUs; used != 1 {
		t.Fatalf("uses %v, but no report carries the raised token yet", used)
	}
	g.hear("m", 1, fenced+1)
	if used := g.Gate.Quota.Team(job.Team).Used.CPUs; used != 0 {
		t.Fatalf("uses %v, but nothing can arrive any more", used)
	}
}

// A worker that forgot an attempt would start it anew if its launch arrived again.
func TestForgetWaitsForAnOpenLaunch(t *testing.T) {
	g, job := launched(t)
	at := job.Tasks[0].Attempt
	stopped := TaskReport{Task: "req-000001/0", Attempt: at, State: taskExited, Why: exitError}
	has := func(cs []Command) bool {
		for _, c := range cs {
			if c.Op == opForget {
				return true
			}
		}
		return false
	}
	if has(g.hear("m", 1, fenced, stopped)) {
		t.Fatal("forgotten while its direct launch is under way")
	}
	g.orders[0](nil, false)
	if has(g.hear("m", 1, fenced, stopped)) {
		t.Fatal("forgotten while its direct launch may arrive")
	}
	if !has(g.hear("m", 1, fenced+1, stopped)) {
		t.Fatal("never forgotten")
	}
}

// The lease of a session counts from its beginning, not from the last answer to the
// session before.
func TestLeaseOfANewSession(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.hear("m", 1, fenced)
	g.now = 18 * time.Second
	g.seq++
	g.acceptHeartbeat(g.now, &Heartbeat{Machine: "m", Addr: "x", Type: "ty", Zone: "z", Session: 2, Seq: g.seq, Token: fenced}, asResponse)
	g.now = 30 * time.Second
	g.expire(g.now)
	if c := g.machines[0].Condition; c == LeaseExpired {
		t.Fatal("lost 12 s into a session whose lease is 20 s")
	}
	g.now = 40 * time.Second
	g.expire(g.now)
	if c := g.machines[0].Condition; c != LeaseExpired {
		t.Fatalf("condition %v, the lease has run out", c)
	}
}

// A cancelled job's tasks still run after a takeover and count against the team.
func TestCancelledTasksCountAfterTakeover(t *testing.T) {
	g, job := launched(t)
	g.cancel(job)
	n := newRig(t, 2, g.kv)
	if used := n.Gate.Quota.Team(n.Jobs.Names.Teams.Index("t")).Used.CPUs; used != 1 {
		t.Fatalf("uses %v, want the cancelled task counted", used)
	}
	task := TaskReport{Task: "req-000001/0", Attempt: job.Tasks[0].Attempt, State: taskRunning}
	cs := n.hear("m", 1, 2*fenced, task)
	if len(cs) != 1 || cs[0].Op != opStop {
		t.Fatalf("commands %v, want a stop", cs)
	}
}

// The answer to a direct command may come after its job has ended and been swept. This
// once ended the controller.
func TestAnswerAfterTheJobWasSwept(t *testing.T) {
	g, job := launched(t)
	g.hear("m", 1, fenced, TaskReport{Task: "req-000001/0", Attempt: job.Tasks[0].Attempt, State: taskExited, Why: exitDone})
	g.settle(store.Committed)
	if job.Tasks != nil || job.State != jobs.Done {
		t.Fatalf("job not swept: %v", job.State)
	}
	g.orders[0](nil, true)
}

// A job's terminal record carries the version it was read at, so that it can never go over
// a cancellation that came first.
func TestDoneNeverOverwritesACancellation(t *testing.T) {
	g, job := launched(t)
	g.hear("m", 1, fenced, TaskReport{Task: "req-000001/0", Attempt: job.Tasks[0].Attempt, State: taskExited, Why: exitDone})
	var seen []store.Condition
	g.Commit = func(tx store.Txn, done func(store.Result)) { seen = append(seen, tx.If...) }
	g.FlushWrites(g.now)
	want := store.Condition{Key: jobs.RecordKey(job.ID), Version: job.Version}
	for _, c := range seen {
		if c == want {
			return
		}
	}
	t.Fatalf("conditions %v lack %v", seen, want)
}

// What machines have in their caches survives a takeover as a hint.
func TestImagesSurviveATakeover(t *testing.T) {
	kv := map[string]json.RawMessage{}
	g := newRig(t, 1, kv)
	g.hear("m", 1, fenced)
	g.now = 10 * time.Second
	g.submit(spec(1, 1))
	g.settle(store.Committed)
	g.hear("m", 1, fenced)
	g.now += 10 * time.Second
	g.settle(store.Committed)
	if kv[imagesKey+"/0"] == nil {
		t.Fatal("no hints written")
	}
	n := newRig(t, 2, kv)
	if machine := n.RegisterMachine(0, "m"); !machine.HasImage(n.Jobs.Names.Images.Index("i")) {
		t.Fatal("the next owner does not know the image")
	}
	kv[imagesKey+"/0"] = json.RawMessage(`{"images":["i"],"gb":[1],"on":{"m":[0,7,-1]}}`)
	if machine := newRig(t, 3, kv).RegisterMachine(0, "m"); len(machine.cachedImages) != 1 {
		t.Fatalf("images %v from a damaged hint", machine.cachedImages)
	}
}

// A task that failed is retried elsewhere, after a pause, and what its job had planned on
// the machine moves away with it.
func TestFailedTasksRunElsewhere(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.hear("m", 1, fenced)
	job := g.submit(spec(1, 6)) // four run, two wait in the lanes
	g.settle(store.Committed)
	cs := starts(g.hear("m", 1, fenced))
	if len(cs) != 4 {
		t.Fatalf("%d starts", len(cs))
	}
	failed := TaskReport{Task: cs[0].Task, Attempt: cs[0].Attempt, State: taskExited, Why: exitError}
	alive := func() (out []TaskReport) {
		for _, c := range cs[1:] {
			out = append(out, TaskReport{Task: c.Task, Attempt: c.Attempt, State: taskRunning})
		}
		return out
	}
	g.hear("m", 1, fenced, append(alive(), failed)...)
	g.hear("n", 1, fenced)
	g.settle(store.Committed)
	if again := starts(g.hear("m", 1, fenced, alive()...)); len(again) != 0 {
		t.Fatalf("started %v on the machine that failed the job", again)
	}
	g.now += 5 * time.Second
	g.hearNothing()
	g.settle(store.Committed)
	if other := starts(g.hear("n", 1, fenced)); len(other) != 1 || job.Spec.Tasks != 6 {
		// The team's limit of 4 CPUs leaves room for one.
		t.Fatalf("started %v on the other machine, want one", other)
	}
}

// What may preempt a job ranks before it, whatever their priorities and guarantees.
func TestPreemptionFollowsRank(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	rng := rand.New(rand.NewPCG(6, 6))
	for i := range 40 {
		s := spec(i, 1)
		s.Priority = []string{"prod", "urgent", "standard", "best_effort"}[rng.IntN(4)]
		g.submit(s)
	}
	preempts := 0
	for range 20 {
		g.RankJobs(g.now)
		for jobIndex := range g.ranking.withinGuarantee {
			g.ranking.withinGuarantee[jobIndex] = rng.IntN(2) == 0
		}
		sorted := append([]*jobs.Job(nil), g.ranking.jobs...)
		g.sortByRank(sorted, map[jobs.Index]urgency{})
		for a, x := range sorted {
			for b, y := range sorted {
				if g.mayPreempt(x, y) {
					preempts++
					if a > b {
						t.Fatalf("%s may preempt %s, which ranks before it", x.ID, y.ID)
					}
				}
			}
		}
	}
	if preempts == 0 {
		t.Fatal("nothing may preempt anything")
	}
}

// No attempt of one term is ever one of another's, however many either makes: a task that is launched anew must not be taken for
// an earlier start, and tasks of a gang find each other by the number.
func TestAttemptsNeverRepeatAcrossTerms(t *testing.T) {
	seen := map[uint64]uint64{}
	for term := uint64(1); term < 5; term++ {
		f := &Fleet{Term: term}
		for range 1000 {
			a := f.nextAttempt()
			if was, ok := seen[a]; ok {
				t.Fatalf("attempt %d is of terms %d and %d", a, was, term)
			}
			seen[a] = term
		}
	}
}

// A task that is stopped while its image is being fetched leaves no image behind, unless another task there still waits for the
// same one; one that came to run does.
func TestFetchThatWasGivenUp(t *testing.T) {
	for _, c := range []struct {
		states []string
		other  bool
		has    bool
	}{{[]string{taskFetching}, false, false}, {[]string{taskFetching, taskRunning}, false, true}, {[]string{taskFetching}, true, true}} {
		g := newRig(t, 2, map[string]json.RawMessage{})
		machine := g.RegisterMachine(0, "m")
		g.hear("m", 1, 2*fenced)
		n := 1
		if c.other {
			n = 2
		}
		job := g.submit(spec(1, n))
		g.settle(store.Committed)
		g.now += time.Second
		g.hear("m", 1, 2*fenced)
		report := func(state, why string) {
			g.now += time.Second
			tasks := []TaskReport{{Task: "req-000001/0", Attempt: job.Tasks[0].Attempt, State: state, Why: why}}
			if c.other {
				tasks = append(tasks, TaskReport{Task: "req-000001/1", Attempt: job.Tasks[1].Attempt, State: taskFetching})
			}
			g.hear("m", 1, 2*fenced, tasks...)
		}
		for _, s := range c.states {
			report(s, "")
		}
		if !machine.HasImage(job.Image) {
			t.Fatalf("%v: the image isn't expected there while it is fetched", c.states)
		}
		machine.Returning = true // nothing starts anew
		report(taskExited, exitStopped)
		if machine.HasImage(job.Image) != c.has {
			t.Errorf("%v, another that waits %v: the machine counts as having the image: %v", c.states, c.other, !c.has)
		}
	}
}
