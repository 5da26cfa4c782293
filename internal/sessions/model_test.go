package sessions

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever is lost, late, used, unheard or failed over: a reclaim never ends work that runs and never loses work that
// was done, and once everything works again a user who returns gets the session or its checkpoint back.
func TestReclaimNeverLosesWork(t *testing.T) {
	suspensions, resumed := 0, 0
	quick := mustCompile(t, "input_s > 3")
	rapid.Check(t, func(t *rapid.T) {
		p := testPolicies(t)
		p.WarningTime = 2 * time.Second
		p.Default.IdleLimit = 3 * time.Second
		p.Default.Rule = quick
		h := newHarness(t, p)
		h.openSession()
		h.startTask()
		use := func(t *rapid.T) {
			if n := h.agent; n == nil || n.frozen || h.taskIsStopping {
				t.Skip("nobody can")
			}
			h.agent.lastInputAt = h.now
			h.agent.work++
		}
		attach := func(*rapid.T) { h.manager.Attach(h.now, id, userToken, func(Result, error) {}) }
		report := func(t *rapid.T) {
			if h.agent == nil {
				t.Skip("no agent")
			}
			h.deliver(h.nextHeartbeat(), rapid.IntRange(0, 4).Draw(t, "lost") == 0)
		}
		commit := func(t *rapid.T) {
			if len(h.commits) == 0 {
				t.Skip("no write")
			}
			h.finishCommits(rapid.SampledFrom([]commitOutcome{
				commitApplied, commitApplied, commitApplied, commitNotApplied, commitUnanswered, commitLost,
			}).Draw(t, "outcome"))
		}
		advance := func(t *rapid.T) {
			h.advance(rapid.SampledFrom([]time.Duration{time.Second, time.Second, 3 * time.Second}).Draw(t, "by"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"use": func(t *rapid.T) {
				if rapid.IntRange(0, 7).Draw(t, "rarely") > 0 {
					t.Skip("away")
				}
				use(t)
			},
			"save of its own": func(t *rapid.T) {
				n := h.agent
				if n == nil || n.fresh || n.frozen {
					t.Skip("nobody can")
				}
				n.agentCheckpoint = fmt.Sprintf("own-%d-%d", n.attempt, n.work)
				h.workByCheckpoint[n.agentCheckpoint], n.saved = n.work, n.work
			},
			"begin a cell": func(t *rapid.T) {
				if rapid.IntRange(0, 15).Draw(t, "rarely") > 0 {
					t.Skip("away")
				}
				use(t)
				h.agent.cellSince = h.now
			},
			"end a cell": func(t *rapid.T) {
				if h.agent == nil || h.agent.cellSince == 0 {
					t.Skip("none runs")
				}
				h.agent.work++
				h.agent.cellSince = 0
			},
			"attach": func(t *rapid.T) {
				if rapid.IntRange(0, 7).Draw(t, "rarely") > 0 {
					t.Skip("away")
				}
				attach(t)
			},
			"report": report, "report again": report, "report more": report,
			"hold a report back": func(t *rapid.T) {
				if h.agent == nil {
					t.Skip("no agent")
				}
				h.delayedHeartbeats = append(h.delayedHeartbeats, h.nextHeartbeat())
			},
			"deliver an old one": func(t *rapid.T) {
				if len(h.delayedHeartbeats) == 0 {
					t.Skip("none")
				}
				i := rapid.IntRange(0, len(h.delayedHeartbeats)-1).Draw(t, "which")
				h.deliver(h.delayedHeartbeats[i], true)
			},
			"a lost write lands": func(t *rapid.T) {
				if len(h.lateWrites) == 0 {
					t.Skip("none")
				}
				h.applyLateWrites()
			},
			"commit": commit, "commit more": commit,
			"want": func(t *rapid.T) { h.isContended = rapid.Bool().Draw(t, "wanted") },
			"pass": advance, "pass more": advance, "pass still more": advance,
			"stop": func(t *rapid.T) {
				if !h.taskIsStopping {
					t.Skip("no order to stop")
				}
				h.agent = nil
				h.taskIsStopping = false
			},
			"start": func(t *rapid.T) {
				if h.agent != nil || h.isSuspended {
					t.Skip("not to be started")
				}
				h.startTask()
			},
			"machine lost": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
					t.Skip("not now")
				}
				h.agent = nil
				h.taskIsStopping = false
			},
			"new leader": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
					t.Skip("not now")
				}
				h.startTerm(h.manager.Policies)
			},
		})
		suspensions += h.suspensions
		h.applyLateWrites()
		// Everything works again, and the user returns.
		var r Record
		h.finishCommits(commitApplied)
		_ = json.Unmarshal(h.store[Key(id)].Value, &r)
		h.advanceWithHeartbeats(5 * time.Second)
		had := -1
		if r.Checkpoint != nil && r.Reclaimed {
			had = h.workByCheckpoint[r.Checkpoint.Ref]
		}
		status := noReply
		for range 5 {
			h.manager.Attach(h.now, id, userToken, func(r Result, err error) { status = outcomeOf(r, err) })
			h.advanceWithHeartbeats(3 * time.Second)
		}
		if status != accepted || h.state() != Active || h.agent == nil || h.agent.frozen {
			t.Fatalf("%s, %s, agent %+v", status, h.state(), h.agent)
		}
		if had >= 0 {
			if resumed++; h.agent.work != had {
				t.Fatalf("resumed with %d steps, %d were saved", h.agent.work, had)
			}
		}
	})
	if suspensions < 200 || resumed < 15 {
		t.Fatalf("%d suspended, %d resumed: the model does not exercise the code", suspensions, resumed)
	}
}
