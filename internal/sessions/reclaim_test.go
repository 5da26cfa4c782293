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
	h.agent.stepsDone = 7
	requireState := func(want State) {
		t.Helper()
		if h.state() != want {
			t.Fatalf("got state %s, want %s: %v", h.state(), want, explanationOf(h))
		}
	}
	h.advanceWithHeartbeats(25 * time.Second)
	requireState(Active)
	h.advanceWithHeartbeats(10 * time.Second)
	requireState(Idle)
	h.advanceWithHeartbeats(45 * time.Second)
	requireState(Idle)
	h.advanceWithHeartbeats(16 * time.Second)
	requireState(Warned)
	if view, _ := h.manager.Show(h.now, id); view.ReclaimInS <= 0 || view.ReclaimInS > 10 || view.Cause == "" {
		t.Fatalf("got view %+v, want a reclaim within 10 s and its cause", view)
	}
	h.advanceWithHeartbeats(15 * time.Second)
	requireState(Reclaimed)
	if h.agent != nil || h.suspensions != 1 {
		t.Fatalf("after the reclaim: got agent %+v, want none, and the job suspended once", h.agent)
	}
	h.advanceWithHeartbeats(time.Hour)
	h.manager.Attach(h.now, id, userToken, func(Result, error) {})
	h.finishCommits(commitApplied)
	requireState(Opening)
	h.advanceWithHeartbeats(3 * time.Second)
	if requireState(Active); h.agent.stepsDone != 7 {
		t.Fatalf("resumed with %d steps, want 7", h.agent.stepsDone)
	}
}

func explanationOf(h *harness) []string {
	lines, _ := h.manager.Explain(h.now, id)
	return lines
}

// If other jobs wait, an idle session is warned after the shorter contended limit, but a session in use isn't warned.
// The warning is withdrawn if no job waits at the end of the warning time.
func TestContentionReclaimsOnlyIdleSessions(t *testing.T) {
	h := newHarness(t, testPolicies(t))
	h.openSession()
	h.startTask()
	h.isContended = true
	h.advanceWithHeartbeats(25 * time.Second)
	if h.state() != Active {
		t.Fatalf("in use: got state %s, want active", h.state())
	}
	h.advanceWithHeartbeats(15 * time.Second)
	if h.state() != Warned || !strings.Contains(strings.Join(explanationOf(h), " "), "req-000009 waits") {
		t.Fatalf("idle and contended: got state %s, want warned for req-000009: %v", h.state(), explanationOf(h))
	}
	h.isContended = false
	if h.advanceWithHeartbeats(12 * time.Second); h.state() != Idle {
		t.Fatalf("no longer contended: got state %s, want quiet", h.state())
	}
}

// A session with a cell that runs for hours without input isn't idle, whatever its policy.
func TestSessionWithRunningCellIsNotIdle(t *testing.T) {
	policies := testPolicies(t)
	policies.Default.Rule = mustCompile(t, "input_s > 1")
	h := newHarness(t, policies)
	h.openSession()
	h.startTask()
	h.agent.cellSince = h.now
	for range 5 * 60 {
		if h.advanceWithHeartbeats(time.Minute); h.state() != Active {
			t.Fatalf("cell running: got state %s, want active", h.state())
		}
	}
	if text := strings.Join(explanationOf(h), " "); !strings.Contains(text, "a cell has been running for 5h0m") {
		t.Fatalf("got explanation %q, want the time that the cell has been running", text)
	}
}

// A session whose task is lost resumes from the last stored checkpoint that its agent made by itself, even if the agent
// made it while the task was being stopped.
func TestLostTaskResumesFromTheAgentsCheckpoint(t *testing.T) {
	h := newHarnessInUse(t)
	saveByItself := func(stepsDone int) {
		ref := fmt.Sprint("own-", stepsDone)
		h.agent.stepsDone = stepsDone
		h.agent.stepsSaved = stepsDone
		h.agent.agentCheckpoint = ref
		h.agent.lastInputAt = h.now
		h.stepsByCheckpoint[ref] = stepsDone
	}
	saveByItself(3)
	h.advanceWithHeartbeats(2 * time.Second)
	saveByItself(4)
	if h.advanceWithHeartbeats(2 * time.Second); h.agent.storedCheckpoint != "own-3" {
		t.Fatalf("2 s after the last write: got checkpoint %q stored, want own-3", h.agent.storedCheckpoint)
	}
	if h.advanceWithHeartbeats(10 * time.Second); h.agent.storedCheckpoint != "own-4" {
		t.Fatalf("12 s after the last write: got checkpoint %q stored, want own-4", h.agent.storedCheckpoint)
	}
	saveByItself(5)
	h.taskIsStopping = true
	h.deliver(h.nextHeartbeat(), false)
	h.finishCommits(commitApplied)
	if h.deliver(h.nextHeartbeat(), false); h.agent.storedCheckpoint != "own-5" {
		t.Fatalf("while the task is being stopped: got checkpoint %q stored, want own-5", h.agent.storedCheckpoint)
	}
	h.endTask()
	if h.advanceWithHeartbeats(4 * time.Second); h.agent.stepsDone != 5 || h.state() != Active || h.agent.frozen {
		t.Fatalf("got state %s, agent %+v, want active, thawed with 5 steps", h.state(), h.agent)
	}
}

// A session is never reclaimed while its heartbeats are missing, neither before nor after the warning. It becomes Lost
// only once the fleet has proof that its task is gone.
func TestSessionWithoutHeartbeatsIsNotReclaimed(t *testing.T) {
	h := newHarness(t, testPolicies(t))
	h.openSession()
	h.startTask()
	h.advanceWithHeartbeats(40 * time.Second)
	h.advance(30 * time.Minute)
	if h.state() != Idle || h.suspensions > 0 {
		t.Fatalf("30 minutes without heartbeats: got state %s, want quiet, never suspended: %v", h.state(), explanationOf(h))
	}
	if text := strings.Join(explanationOf(h), " "); !strings.Contains(text, "not reclaimed while its state is unknown") {
		t.Fatalf("got explanation %q, want that the state is unknown", text)
	}
	h.advanceWithHeartbeats(time.Second)
	if h.state() != Warned {
		t.Fatalf("after a heartbeat, idle beyond its limit: got state %s, want warned", h.state())
	}
	if h.advance(25 * time.Second); h.state() != Idle {
		t.Fatalf("25 s without heartbeats: got state %s, want quiet", h.state())
	}
	h.agent = nil
	if h.advance(time.Minute); h.state() != Lost {
		t.Fatalf("task gone: got state %s, want lost", h.state())
	}
}

// A checkpoint that fails or times out ends the reclaim. The delay before the next attempt doubles with each failure.
func TestFailedCheckpointsDelayTheNext(t *testing.T) {
	h := newHarness(t, testPolicies(t))
	h.openSession()
	h.startTask()
	h.advanceWithHeartbeats(96 * time.Second)
	for h.state() != Checkpointing {
		h.advance(time.Second)
		h.heartbeatWithoutResponse(h.nextHeartbeat())
	}
	if h.advance(9 * time.Second); h.state() != Idle || h.suspensions > 0 {
		t.Fatalf("checkpoint timed out: got state %s, want quiet, never suspended", h.state())
	}
	for failure := 1; failure <= 3; failure++ {
		from := h.now
		for h.state() != Checkpointing {
			if h.now-from > time.Hour {
				t.Fatal("got no new checkpoint order within an hour, want one")
			}
			h.advance(time.Second)
			h.heartbeatWithoutResponse(h.nextHeartbeat())
		}
		if wait := h.now - from; wait < time.Duration(10<<failure)*time.Second {
			t.Fatalf("got the next checkpoint order after %v, want 20 s at least, doubled after each failure", wait)
		}
		heartbeat := h.nextHeartbeat()
		heartbeat.Checkpoint = &CheckpointResult{Order: h.manager.byID[id].reclaim.checkpointOrder, Cause: "disk full"}
		h.heartbeatWithoutResponse(heartbeat)
		if h.state() != Idle {
			t.Fatalf("checkpoint failed: got state %s, want quiet", h.state())
		}
	}
}

// startCheckpoint returns a session with unsaved work whose checkpoint was just ordered.
func startCheckpoint(t *testing.T) *harness {
	t.Helper()
	h := newHarnessInUse(t)
	h.agent.stepsDone = 5
	for h.state() != Checkpointing {
		if h.now > 2*time.Hour {
			t.Fatal("got no checkpoint order within an hour, want one")
		}
		h.advance(time.Second)
		h.heartbeatWithoutResponse(h.nextHeartbeat())
	}
	return h
}

// If the user returns before the ordered checkpoint is done, the checkpoint ends and the session continues.
func TestAttachDuringCheckpointEndsIt(t *testing.T) {
	h := startCheckpoint(t)
	h.advance(time.Second)
	attached := noReply
	h.manager.Attach(h.now, id, userToken, func(r Result, err error) { attached = outcomeOf(r, err) })
	if attached != accepted || h.state() != Active {
		t.Fatalf("attach: got %s, state %s, want accepted, active", attached, h.state())
	}
	h.agent.frozen = true // the agent got the order before the user returned
	h.agent.fresh = false
	if h.deliver(h.nextHeartbeat(), false); h.agent.frozen || h.suspensions > 0 {
		t.Fatal("got the agent frozen or its job suspended, want it thawed and never suspended")
	}
}

// The reply to a user who returns while the reclaim is being written is deferred until the write ends. The session then
// resumes with all its work, and the process that is being stopped isn't thawed.
func TestAttachDuringReclaimWriteResumesAllWork(t *testing.T) {
	h := startCheckpoint(t)
	h.deliver(h.nextHeartbeat(), false) // on the response the agent saves and freezes
	h.deliver(h.nextHeartbeat(), false) // the heartbeat reports the checkpoint
	if h.state() != Checkpointing || len(h.commits) != 1 {
		t.Fatalf("got state %s, %d writes in flight, want saving, 1", h.state(), len(h.commits))
	}
	if h.deliver(h.nextHeartbeat(), false); !h.agent.frozen {
		t.Fatal("got the agent thawed during the write of its reclaim, want frozen")
	}
	attached := noReply
	h.manager.Attach(h.now, id, userToken, func(r Result, err error) { attached = outcomeOf(r, err) })
	if attached != noReply {
		t.Fatalf("attach during the write of the reclaim: got %s, want no reply", attached)
	}
	h.finishCommits(commitApplied)
	if attached != accepted || h.state() != Opening || h.isSuspended {
		t.Fatalf("after the write: got %s, state %s, suspended %v, want accepted, opening, false",
			attached, h.state(), h.isSuspended)
	}
	if h.deliver(h.nextHeartbeat(), false); !h.agent.frozen {
		t.Fatal("got the process that is being stopped thawed, want frozen")
	}
	if h.advanceWithHeartbeats(3 * time.Second); h.state() != Active || h.agent.stepsDone != 5 || h.agent.frozen {
		t.Fatalf("got state %s, agent %+v, want active, thawed with 5 steps", h.state(), h.agent)
	}
}

// The response to the write of a reclaim is lost, and the session continues. The write must not be applied later: the
// next leader would read it and stop a session in use.
func TestLateReclaimWriteIsNotApplied(t *testing.T) {
	h := startCheckpoint(t)
	h.deliver(h.nextHeartbeat(), false)
	h.deliver(h.nextHeartbeat(), false)
	h.finishCommits(commitLost)
	if h.deliver(h.nextHeartbeat(), false); !h.agent.frozen {
		t.Fatal("got the agent thawed while the outcome of the reclaim is indeterminate, want frozen")
	}
	h.advance(time.Second)
	h.finishCommits(commitApplied)
	if h.state() != Idle {
		t.Fatalf("after the former record was written again: got state %s, want quiet", h.state())
	}
	h.deliver(h.nextHeartbeat(), false)
	if h.agent.frozen {
		t.Fatal("got the agent frozen after the failed reclaim, want thawed")
	}
	h.agent.stepsDone++
	h.applyLateWrites()
	h.startTerm(h.manager.Policies)
	if h.suspensions > 0 || h.state() != Opening {
		t.Fatalf("next leader: got %d suspensions, state %s, want 0, opening", h.suspensions, h.state())
	}
}

// The machine is lost while the reclaim is being written, and a new process starts. It stays frozen until the outcome
// of the write is determined; the durable record then decides whether the session is reclaimed.
func TestMachineLostDuringReclaimWrite(t *testing.T) {
	for outcome, want := range map[commitOutcome]State{commitApplied: Reclaimed, commitNotApplied: Active} {
		h := startCheckpoint(t)
		h.deliver(h.nextHeartbeat(), false)
		h.deliver(h.nextHeartbeat(), false)
		h.startTask()
		if h.deliver(h.nextHeartbeat(), false); !h.agent.frozen {
			t.Fatal("got the new process thawed during the write, want frozen")
		}
		h.finishCommits(outcome)
		h.deliver(h.nextHeartbeat(), false)
		wantReclaimed := want == Reclaimed
		if h.state() != want || wantReclaimed != (h.suspensions == 1) || h.agent.frozen != wantReclaimed {
			t.Fatalf("write outcome %d: got state %s, %d suspensions, agent %+v, want frozen and suspended only if applied",
				outcome, h.state(), h.suspensions, h.agent)
		}
	}
}

// A session is reclaimed only by a new heartbeat of a frozen, unused agent without unsaved work that reports the result
// of the ordered checkpoint.
func TestHeartbeatsThatMustNotReclaim(t *testing.T) {
	for name, change := range map[string]func(heartbeat *Heartbeat){
		"another order":     func(heartbeat *Heartbeat) { heartbeat.Checkpoint.Order-- },
		"not frozen":        func(heartbeat *Heartbeat) { heartbeat.Frozen = false },
		"unsaved work":      func(heartbeat *Heartbeat) { heartbeat.UnsavedMB = 0.1 },
		"new input":         func(heartbeat *Heartbeat) { heartbeat.SinceInputS = 0 },
		"running cell":      func(heartbeat *Heartbeat) { heartbeat.CellRunning = true },
		"failed checkpoint": func(heartbeat *Heartbeat) { heartbeat.Checkpoint.OK = false },
		"old heartbeat":     func(heartbeat *Heartbeat) { heartbeat.Seq-- },
		"another attempt":   func(heartbeat *Heartbeat) { heartbeat.Attempt++ },
	} {
		h := startCheckpoint(t)
		h.advance(time.Second)
		h.deliver(h.nextHeartbeat(), false)
		heartbeat := h.nextHeartbeat()
		result := *heartbeat.Checkpoint
		heartbeat.Checkpoint = &result
		change(&heartbeat)
		h.heartbeatWithoutResponse(heartbeat)
		if h.finishCommits(commitApplied); h.suspensions > 0 || h.state() == Reclaimed {
			t.Errorf("%s: got the session reclaimed, want it not reclaimed", name)
		}
	}
	h := startCheckpoint(t)
	h.deliver(h.nextHeartbeat(), false)
	h.heartbeatWithoutResponse(h.nextHeartbeat())
	if h.finishCommits(commitApplied); h.suspensions != 1 {
		t.Fatalf("unchanged heartbeat: got state %s, want reclaimed and suspended once", h.state())
	}
}

// Neither the allowed drift of an agent's clock nor jumps of the controller's time of day change when a session is
// reclaimed. Only the ages in heartbeats and the controller's steady clock matter.
func TestClockDriftAndJumpsDoNotChangeReclaimTime(t *testing.T) {
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
				t.Fatalf("drift %v, in use: got state %s, want active", drift, h.state())
			}
		}
		from := h.now
		for h.state() != Reclaimed {
			if h.advanceWithHeartbeats(time.Second); h.now-from > 2*time.Minute {
				t.Fatalf("drift %v: got state %s after 2 minutes, want reclaimed", drift, h.state())
			}
		}
		if took := h.now - from; took < 99*time.Second || took > 106*time.Second {
			t.Fatalf("drift %v: reclaimed after %v, want 99 to 106 s: 30 s until idle, limit 60 s, warning 10 s", drift, took)
		}
	}
}

// The response that orders an agent to resume from a checkpoint doesn't thaw it: the user would continue in a session
// without the saved work. The agent is thawed after it has reported that it has resumed.
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
		t.Fatalf("before the agent has resumed: got %+v, want ResumeFrom and no Thaw", response)
	}
	h.agent.resumedFrom = response.ResumeFrom
	if response = h.respondTo(h.nextHeartbeat()); response.ResumeFrom != "" || !response.Thaw {
		t.Fatalf("after the agent has resumed: got %+v, want Thaw and no ResumeFrom", response)
	}
}

// An agent that is still frozen from an earlier order isn't thawed by the response that orders a checkpoint.
func TestFrozenAgentIsNotThawedByACheckpointOrder(t *testing.T) {
	h := startCheckpoint(t)
	heartbeat := h.nextHeartbeat()
	heartbeat.Frozen = true
	if response := h.respondTo(heartbeat); response.CheckpointOrder == 0 || response.Thaw {
		t.Fatalf("got %+v, want CheckpointOrder and no Thaw", response)
	}
}
