package sessions

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestIdleSessionIsWarnedReclaimedAndResumed(t *testing.T) {
	h := newHarness(t, testPolicies(t))
	h.openSession()
	h.startTask()
	h.agent.work = 7
	want := func(s State) {
		t.Helper()
		if h.state() != s {
			t.Fatalf("%s, want %s: %v", h.state(), s, explanationOf(h))
		}
	}
	h.advanceWithHeartbeats(25 * time.Second)
	want(Active)
	h.advanceWithHeartbeats(10 * time.Second)
	want(Idle)
	h.advanceWithHeartbeats(45 * time.Second)
	want(Idle)
	h.advanceWithHeartbeats(16 * time.Second)
	want(Warned)
	if v, _ := h.manager.Show(h.now, id); v.ReclaimInS <= 0 || v.ReclaimInS > 10 || v.Cause == "" {
		t.Fatalf("a warning without time and cause: %+v", v)
	}
	h.advanceWithHeartbeats(15 * time.Second)
	want(Reclaimed)
	if h.agent != nil || h.suspensions != 1 {
		t.Fatalf("the task is still there: %+v", h.agent)
	}
	h.advanceWithHeartbeats(time.Hour)
	h.manager.Attach(h.now, id, userToken, func(Result, error) {})
	h.finishCommits(commitApplied)
	want(Opening)
	h.advanceWithHeartbeats(3 * time.Second)
	if want(Active); h.agent.work != 7 {
		t.Fatalf("resumed with %d steps of 7", h.agent.work)
	}
}

func explanationOf(h *harness) []string {
	out, _ := h.manager.Explain(h.now, id)
	return out
}

// Contention shortens an idle session's limit but never ends a session in use, and nothing is reclaimed if nothing
// waits any more at the end of the warning.
func TestContentionReclaimsOnlyIdleSessions(t *testing.T) {
	h := newHarness(t, testPolicies(t))
	h.openSession()
	h.startTask()
	h.isContended = true
	h.advanceWithHeartbeats(25 * time.Second)
	if h.state() != Active {
		t.Fatalf("%s while it is used", h.state())
	}
	h.advanceWithHeartbeats(15 * time.Second)
	if h.state() != Warned || !strings.Contains(strings.Join(explanationOf(h), " "), "req-000009 waits") {
		t.Fatalf("%s: %v", h.state(), explanationOf(h))
	}
	h.isContended = false
	if h.advanceWithHeartbeats(12 * time.Second); h.state() != Idle {
		t.Fatalf("%s though nobody waits any more", h.state())
	}
}

// A session with a cell that runs for hours without input is not idle, whatever its policy.
func TestSessionWithRunningCellIsNotIdle(t *testing.T) {
	p := testPolicies(t)
	p.Default.Rule = mustCompile(t, "input_s > 1")
	h := newHarness(t, p)
	h.openSession()
	h.startTask()
	h.agent.cellSince = h.now
	for range 5 * 60 {
		if h.advanceWithHeartbeats(time.Minute); h.state() != Active {
			t.Fatalf("%s while a cell runs", h.state())
		}
	}
	if why := strings.Join(explanationOf(h), " "); !strings.Contains(why, "a cell has been running for 5h0m") {
		t.Fatalf("explained as: %s", why)
	}
}

// A session whose machine is lost resumes from the last stored checkpoint that its agent made by itself, including one
// from the time when its task was being stopped.
func TestLostTaskResumesFromTheAgentsCheckpoint(t *testing.T) {
	h := newHarnessInUse(t)
	saveByItself := func(work int) {
		ref := fmt.Sprint("own-", work)
		h.agent.work = work
		h.agent.saved = work
		h.agent.agentCheckpoint = ref
		h.agent.lastInputAt = h.now
		h.workByCheckpoint[ref] = work
	}
	saveByItself(3)
	h.advanceWithHeartbeats(2 * time.Second)
	saveByItself(4)
	if h.advanceWithHeartbeats(2 * time.Second); h.agent.storedCheckpoint != "own-3" {
		t.Fatalf("stored %q two seconds after the last", h.agent.storedCheckpoint)
	}
	if h.advanceWithHeartbeats(10 * time.Second); h.agent.storedCheckpoint != "own-4" {
		t.Fatalf("stored %q", h.agent.storedCheckpoint)
	}
	saveByItself(5)
	h.taskIsStopping = true
	h.deliver(h.nextHeartbeat(), false)
	h.finishCommits(commitApplied)
	if h.deliver(h.nextHeartbeat(), false); h.agent.storedCheckpoint != "own-5" {
		t.Fatalf("stored %q of the checkpoint at its end", h.agent.storedCheckpoint)
	}
	h.endTask()
	if h.advanceWithHeartbeats(4 * time.Second); h.agent.work != 5 || h.state() != Active || h.agent.frozen {
		t.Fatalf("%s with %+v", h.state(), h.agent)
	}
}

// Missing heartbeats are no idleness: nothing is reclaimed because of them, before or after the warning, and the session
// is lost only once the fleet has proof that the task is gone.
func TestUnheardAgentIsNotReclaimed(t *testing.T) {
	h := newHarness(t, testPolicies(t))
	h.openSession()
	h.startTask()
	h.advanceWithHeartbeats(40 * time.Second)
	h.advance(30 * time.Minute)
	if h.state() != Idle || h.suspensions > 0 {
		t.Fatalf("%s: %v", h.state(), explanationOf(h))
	}
	if why := strings.Join(explanationOf(h), " "); !strings.Contains(why, "not reclaimed on doubt") {
		t.Fatalf("explained as: %s", why)
	}
	h.advanceWithHeartbeats(time.Second)
	if h.state() != Warned {
		t.Fatalf("%s, heard again and idle beyond its limit", h.state())
	}
	if h.advance(25 * time.Second); h.state() != Idle {
		t.Fatalf("%s with an unheard agent", h.state())
	}
	h.agent = nil
	if h.advance(time.Minute); h.state() != Lost {
		t.Fatalf("%s, its task is gone", h.state())
	}
}

// A checkpoint that fails or times out ends the reclaim; the delay before the next one grows.
func TestFailedCheckpointsBackOff(t *testing.T) {
	h := newHarness(t, testPolicies(t))
	h.openSession()
	h.startTask()
	h.advanceWithHeartbeats(96 * time.Second)
	for h.state() != Checkpointing {
		h.advance(time.Second)
		h.heartbeatWithoutResponse(h.nextHeartbeat())
	}
	if h.advance(9 * time.Second); h.state() != Idle || h.suspensions > 0 {
		t.Fatalf("%s after the checkpoint timed out", h.state())
	}
	for try := 1; try <= 3; try++ {
		from := h.now
		for h.state() != Checkpointing {
			if h.now-from > time.Hour {
				t.Fatal("never tried again")
			}
			h.advance(time.Second)
			h.heartbeatWithoutResponse(h.nextHeartbeat())
		}
		if wait := h.now - from; wait < time.Duration(10<<try)*time.Second {
			t.Fatalf("tried again after %v", wait)
		}
		r := h.nextHeartbeat()
		r.Checkpoint = &CheckpointResult{Order: h.manager.byID[id].reclaim.checkpointOrder, Cause: "disk full"}
		h.heartbeatWithoutResponse(r)
		if h.state() != Idle {
			t.Fatalf("%s after the checkpoint failed", h.state())
		}
	}
}

// startCheckpoint returns a session with unsaved work whose checkpoint was just ordered.
func startCheckpoint(t *testing.T) *harness {
	t.Helper()
	h := newHarnessInUse(t)
	h.agent.work = 5
	for h.state() != Checkpointing {
		if h.now > 2*time.Hour {
			t.Fatal("no checkpoint was ordered")
		}
		h.advance(time.Second)
		h.heartbeatWithoutResponse(h.nextHeartbeat())
	}
	return h
}

// A user who returns before the ordered checkpoint is done goes on with the session.
func TestReturnDuringCheckpointEndsIt(t *testing.T) {
	h := startCheckpoint(t)
	h.advance(time.Second)
	back := noReply
	h.manager.Attach(h.now, id, userToken, func(r Result, err error) { back = outcomeOf(r, err) })
	if back != accepted || h.state() != Active {
		t.Fatalf("%s, %s", back, h.state())
	}
	h.agent.frozen = true // the order reached it before
	h.agent.fresh = false
	if h.deliver(h.nextHeartbeat(), false); h.agent.frozen || h.suspensions > 0 {
		t.Fatal("not thawed")
	}
}

// While the reclaim is being written the reply to a user who returns waits. The session then resumes with all its work,
// and the process that is being stopped isn't thawed.
func TestReturnDuringReclaimWriteResumesAllWork(t *testing.T) {
	h := startCheckpoint(t)
	h.deliver(h.nextHeartbeat(), false) // it saves and freezes
	h.deliver(h.nextHeartbeat(), false) // and reports it
	if h.state() != Checkpointing || len(h.commits) != 1 {
		t.Fatalf("%s with %d writes", h.state(), len(h.commits))
	}
	if h.deliver(h.nextHeartbeat(), false); !h.agent.frozen {
		t.Fatal("thawed while its reclaim is being written")
	}
	back := noReply
	h.manager.Attach(h.now, id, userToken, func(r Result, err error) { back = outcomeOf(r, err) })
	if back != noReply {
		t.Fatalf("%s while the reclaim is open", back)
	}
	h.finishCommits(commitApplied)
	if back != accepted || h.state() != Opening || h.isSuspended {
		t.Fatalf("%s, %s, suspended %v", back, h.state(), h.isSuspended)
	}
	if h.deliver(h.nextHeartbeat(), false); !h.agent.frozen {
		t.Fatal("the process that is being stopped was thawed")
	}
	if h.advanceWithHeartbeats(3 * time.Second); h.state() != Active || h.agent.work != 5 || h.agent.frozen {
		t.Fatalf("%s with %+v", h.state(), h.agent)
	}
}

// The response to the write of a reclaim is lost, the session goes on, and the write would be applied late: the next
// leader must not read it, or it would stop a session in use.
func TestLateReclaimWriteIsHarmless(t *testing.T) {
	h := startCheckpoint(t)
	h.deliver(h.nextHeartbeat(), false)
	h.deliver(h.nextHeartbeat(), false)
	h.finishCommits(commitLost)
	if h.deliver(h.nextHeartbeat(), false); !h.agent.frozen {
		t.Fatal("thawed while the outcome of the reclaim is indeterminate")
	}
	h.advance(time.Second)
	h.finishCommits(commitApplied)
	if h.state() != Idle {
		t.Fatalf("%s after a write that was lost", h.state())
	}
	h.deliver(h.nextHeartbeat(), false)
	if h.agent.frozen {
		t.Fatal("not thawed")
	}
	h.agent.work++
	h.applyLateWrites()
	h.startTerm(h.manager.Policies)
	if h.suspensions > 0 || h.state() != Opening {
		t.Fatalf("suspended %d times, %s", h.suspensions, h.state())
	}
}

// The machine is lost while the reclaim is being written, and another process starts: it stays frozen until the outcome
// is determined, and then the durable record counts.
func TestMachineLostDuringReclaimWrite(t *testing.T) {
	for outcome, want := range map[commitOutcome]State{commitApplied: Reclaimed, commitNotApplied: Active} {
		h := startCheckpoint(t)
		h.deliver(h.nextHeartbeat(), false)
		h.deliver(h.nextHeartbeat(), false)
		h.startTask()
		if h.deliver(h.nextHeartbeat(), false); !h.agent.frozen {
			t.Fatal("the new process was thawed")
		}
		h.finishCommits(outcome)
		h.deliver(h.nextHeartbeat(), false)
		wantReclaimed := want == Reclaimed
		if h.state() != want || wantReclaimed != (h.suspensions == 1) || h.agent.frozen != wantReclaimed {
			t.Fatalf("outcome %d: %s, suspended %d times, %+v", outcome, h.state(), h.suspensions, h.agent)
		}
	}
}

// A session is reclaimed only by a new heartbeat with the result of the ordered checkpoint and nothing unsaved.
func TestHeartbeatsThatMustNotReclaim(t *testing.T) {
	for name, change := range map[string]func(r *Heartbeat){
		"another order": func(r *Heartbeat) { r.Checkpoint.Order-- },
		"not frozen":    func(r *Heartbeat) { r.Frozen = false },
		"unsaved work":  func(r *Heartbeat) { r.UnsavedMB = 0.1 },
		"input":         func(r *Heartbeat) { r.SinceInputS = 0 },
		"a cell":        func(r *Heartbeat) { r.CellRunning = true },
		"a failed save": func(r *Heartbeat) { r.Checkpoint.OK = false },
		"an old report": func(r *Heartbeat) { r.Seq-- },
		"another task":  func(r *Heartbeat) { r.Attempt++ },
	} {
		h := startCheckpoint(t)
		h.advance(time.Second)
		h.deliver(h.nextHeartbeat(), false)
		r := h.nextHeartbeat()
		result := *r.Checkpoint
		r.Checkpoint = &result
		change(&r)
		h.heartbeatWithoutResponse(r)
		if h.finishCommits(commitApplied); h.suspensions > 0 || h.state() == Reclaimed {
			t.Errorf("reclaimed in spite of %s", name)
		}
	}
	h := startCheckpoint(t)
	h.deliver(h.nextHeartbeat(), false)
	h.heartbeatWithoutResponse(h.nextHeartbeat())
	if h.finishCommits(commitApplied); h.suspensions != 1 {
		t.Fatalf("%s without any of these", h.state())
	}
}

// The allowed drift of an agent's clock, and a wrong or jumping time of day of the controller, change nothing: only ages
// count, and only the controller's steady clock adds to them.
func TestOnlyAgesOfTheSteadyClockCount(t *testing.T) {
	for _, drift := range []float64{0.9995, 1, 1.0005} {
		h := newHarness(t, testPolicies(t))
		jump := time.Duration(0)
		h.manager.Wall = func(now time.Duration) time.Time { return time.Unix(1_790_000_000, 0).Add(now + jump) }
		h.openSession()
		h.startTask()
		h.advanceWithHeartbeats(2 * time.Second)
		for i := range 600 { // an hour of work, with input every six seconds
			h.advance(6 * time.Second)
			jump = time.Duration(i%3-1) * time.Hour
			h.agent.lastInputAt = h.now - time.Duration(float64(time.Second)*drift)
			if h.deliver(h.nextHeartbeat(), false); h.state() != Active {
				t.Fatalf("drift %v: %s while it is used", drift, h.state())
			}
		}
		from := h.now
		for h.state() != Reclaimed {
			if h.advanceWithHeartbeats(time.Second); h.now-from > 2*time.Minute {
				t.Fatalf("drift %v: %s two minutes later", drift, h.state())
			}
		}
		if took := h.now - from; took < 99*time.Second || took > 106*time.Second {
			t.Fatalf("drift %v: reclaimed after %v, idle for 30 s, limit 60 s, warning 10 s", drift, took)
		}
	}
}

// The response that orders an agent to resume a checkpoint doesn't thaw it: its user would work on in a session
// without the work that was saved. It is thawed once it has reported that it has resumed.
func TestAgentIsNotThawedBeforeItHasResumed(t *testing.T) {
	h := startCheckpoint(t)
	h.deliver(h.nextHeartbeat(), false)
	h.deliver(h.nextHeartbeat(), false)
	h.finishCommits(commitApplied)
	h.endTask()
	h.manager.Attach(h.now, id, userToken, func(Result, error) {})
	h.finishCommits(commitApplied)
	h.startTask()
	response := h.respondTo(h.nextHeartbeat())
	if response.ResumeFrom == "" || response.Thaw {
		t.Fatalf("before it has resumed: %+v", response)
	}
	h.agent.resumedFrom = response.ResumeFrom
	if response = h.respondTo(h.nextHeartbeat()); response.ResumeFrom != "" || !response.Thaw {
		t.Fatalf("after it has resumed: %+v", response)
	}
}

// An agent that is frozen already, since an earlier order, isn't thawed by the response that orders a checkpoint.
func TestFrozenAgentIsNotThawedByACheckpointOrder(t *testing.T) {
	h := startCheckpoint(t)
	heartbeat := h.nextHeartbeat()
	heartbeat.Frozen = true
	if response := h.respondTo(heartbeat); response.CheckpointOrder == 0 || response.Thaw {
		t.Fatalf("%+v", response)
	}
}
