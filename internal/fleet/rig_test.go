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

// rig is a Fleet under test. The test decides the outcome of its writes and direct requests.
type rig struct {
	*Fleet
	t               testing.TB
	now             time.Duration
	kv              map[string]json.RawMessage
	revision        uint64
	pendingCommits  []func(store.Outcome)
	directCallbacks []func(heartbeat *Heartbeat)
	sentDirect      []DirectCommands
	seq             uint64
}

// newRig returns a rig with one team that may use 4 CPUs.
func newRig(t testing.TB, term uint64, kv map[string]json.RawMessage) *rig {
	t.Helper()
	return newRigOf(t, term, kv, []config.Team{{Name: "t", CPUsMax: 4}})
}

// newRigOf returns a rig with teams and licence pools, whose fleet has loaded the job records and plans in kv.
func newRigOf(
	t testing.TB, term uint64, kv map[string]json.RawMessage, teams []config.Team, pools ...*licences.Pool,
) *rig {
	t.Helper()
	g := &rig{t: t, kv: kv, revision: 100 * term}
	settings := &config.Settings{}
	settings.Params.Teams = teams
	settings.Params.Workers = config.Workers{HeartbeatIntervalS: 3, LeaseS: 20, GangWaitS: 20, GangPeerS: 5, CancelS: 40}
	settings.Params.State.ValueKB = 8
	settings.Operator.NetworkFactor = 1
	table := jobs.NewTable(0)
	table.Names.Pools = licences.NewCatalog(pools)
	var plans []store.Item
	for k, v := range kv {
		g.revision++
		if k[:2] == jobs.PlanPrefix {
			plans = append(plans, store.Item{Key: k, Value: v, Version: g.revision})
		} else if _, _, err := table.Apply(k[len(jobs.RecordPrefix):], v, g.revision); err != nil {
			t.Fatal(err)
		}
	}
	g.Fleet = New(Env{
		Settings:  settings,
		Jobs:      table,
		Random:    rand.New(rand.NewPCG(1, 1)),
		MaxTxnOps: 20,
		Now:       func() time.Duration { return g.now },
		Types: func(int32) *MachineType {
			return &MachineType{Size: planner.Size{CPUs: 4, Mem: 16}, CacheGB: 10, FetchGB: 1}
		},
		CanWrite:       func(int) bool { return true },
		HasSpareWrites: func() bool { return true },
		Commit: func(txn store.Txn, done func(store.Result)) {
			g.pendingCommits = append(g.pendingCommits, func(outcome store.Outcome) {
				g.revision++
				if outcome == store.Committed {
					for _, op := range txn.Then {
						if op.Delete != "" {
							delete(kv, op.Delete)
						} else {
							kv[op.Put] = op.Value
						}
					}
				}
				done(store.Result{Outcome: outcome, Revision: g.revision})
			})
		},
		ReadKey: func(key string, done func(store.Item, error)) {
			item := store.Item{Key: key, Value: kv[key]}
			if item.Value != nil {
				item.Version = g.revision
			}
			done(item, nil)
		},
		SendCommands: func(_ *Machine, commands DirectCommands, done func(*Heartbeat)) {
			g.sentDirect, g.directCallbacks = append(g.sentDirect, commands), append(g.directCallbacks, done)
		},
		OnJobRecord: func(now time.Duration, item store.Item) { g.applyRecord(item.Key, item.Value) },
	}, term, 0)
	g.LoadPlans(0, plans)
	return g
}

// applyRecord stores a job record and applies it to the job table and the fleet.
func (g *rig) applyRecord(key string, raw json.RawMessage) {
	g.revision++
	g.kv[key] = raw
	if job, changed, err := g.Jobs.Apply(key[len(jobs.RecordPrefix):], raw, g.revision); err != nil {
		g.t.Fatal(err)
	} else if changed {
		g.HandleJobChange(g.now, job)
	}
}

// spec returns the spec of job number n: an array of tasks with one CPU each.
func spec(n int, tasks int) *jobs.Spec {
	return &jobs.Spec{
		ID: fmt.Sprintf("req-%06d", n), Class: "c", Team: "t", Kind: jobs.Array, Priority: "standard", Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 10,
	}
}

// submit stores the record of a new job and returns the job.
func (g *rig) submit(spec *jobs.Spec) *jobs.Job {
	g.applyRecord(jobs.RecordKey(spec.ID), jobs.EncodeRecord(jobs.Pending, 0, spec.Tasks, spec))
	return g.Jobs.Get(spec.ID)
}

// cancel cancels a job.
func (g *rig) cancel(job *jobs.Job) {
	g.applyRecord(jobs.RecordKey(job.ID), jobs.EncodeRecord(jobs.Cancelled, 0, job.TaskCount, job.Spec))
}

// heartbeat delivers a heartbeat of machine m at a fencing token and returns the commands in the response.
func (g *rig) heartbeat(m string, session, token uint64, tasks ...TaskReport) []Command {
	g.t.Helper()
	g.seq++
	response, result := g.HandleHeartbeat(g.now, newHeartbeat(m, session, g.seq, token, tasks...))
	if result != Accepted {
		g.t.Fatalf("HandleHeartbeat returned result %d, want Accepted", result)
	}
	return response.Commands
}

// newHeartbeat returns a heartbeat of a machine of type "ty" in zone "z".
func newHeartbeat(machine string, session, seq, token uint64, tasks ...TaskReport) *Heartbeat {
	return &Heartbeat{
		Machine: machine,
		Addr:    "x",
		Type:    "ty",
		Zone:    "z",
		Session: session,
		Seq:     seq,
		Token:   token,
		Tasks:   tasks,
	}
}

// settle completes all writes with an outcome during 20 ticks, which is enough to complete all pending writes.
func (g *rig) settle(outcome store.Outcome) { g.settleFor(20, outcome) }

// settleFor completes all writes with an outcome during a number of ticks, 100 ms apart.
func (g *rig) settleFor(ticks int, outcome store.Outcome) {
	for range ticks {
		g.now += 100 * time.Millisecond
		g.Tick(g.now, false)
		for len(g.pendingCommits) > 0 {
			complete := g.pendingCommits[0]
			g.pendingCommits = g.pendingCommits[1:]
			complete(outcome)
		}
	}
}

// starts returns the start commands among commands.
func starts(commands []Command) (startCommands []Command) {
	for _, command := range commands {
		if command.Op == opStart {
			startCommands = append(startCommands, command)
		}
	}
	return startCommands
}
