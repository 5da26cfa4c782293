package sessions

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// With lost and late messages and writes, missing heartbeats, lost machines, failovers and use at any time, a reclaim
// never ends running work and never loses finished work. After all faults have ended, a user who returns gets the
// session, or one that has resumed from its checkpoint.
func TestReclaimNeverLosesWork(t *testing.T) {
	suspensions, resumed := 0, 0
	shortIdleRule := mustCompile(t, "input_s > 3")
	rapid.Check(t, func(t *rapid.T) {
		policies := testPolicies(t)
		policies.WarningTime = 2 * time.Second
		policies.Default.IdleLimit = 3 * time.Second
		policies.Default.Rule = shortIdleRule
		model := reclaimModel{newHarness(t, policies)}
		model.openSession()
		model.startTask()
		t.Repeat(model.actions())
		suspensions += model.suspensions
		if model.recover(t) {
			resumed++
		}
	})
	if suspensions < 200 || resumed < 15 {
		t.Fatalf("got %d suspensions, %d resumed sessions, want at least 200, 15: too little coverage", suspensions, resumed)
	}
}

// reclaimModel draws random actions of a session's user, agent and machine, the network, the state service and the
// leader. The harness checks each suspension.
type reclaimModel struct{ *harness }

// actions returns the steps of the model. An action with several names is drawn more often.
func (m reclaimModel) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){}
	for _, action := range []struct {
		step  func(*rapid.T)
		names []string
	}{
		{m.use, []string{"use"}},
		{m.saveByItself, []string{"save by itself"}},
		{m.beginCell, []string{"begin a cell"}},
		{m.endCell, []string{"end a cell"}},
		{m.attach, []string{"attach"}},
		{m.sendHeartbeat, []string{"heartbeat", "heartbeat again", "heartbeat once more"}},
		{m.delayHeartbeat, []string{"delay a heartbeat"}},
		{m.deliverOldHeartbeat, []string{"deliver an old heartbeat"}},
		{m.applyLateWrite, []string{"apply a late write"}},
		{m.finishWrite, []string{"finish a write", "finish another write"}},
		{m.changeContention, []string{"change contention"}},
		{m.advanceTime, []string{"advance", "advance again", "advance once more"}},
		{m.stopTask, []string{"stop the task"}},
		{m.restartTask, []string{"start the task"}},
		{m.loseMachine, []string{"lose the machine"}},
		{m.failOver, []string{"fail over"}},
	} {
		for _, name := range action.names {
			actions[name] = action.step
		}
	}
	return actions
}

// skipUnlessOneIn skips the present action except in one of the given number of draws.
func skipUnlessOneIn(t *rapid.T, draws int) {
	if rapid.IntRange(0, draws-1).Draw(t, "rarely") > 0 {
		t.Skip("not drawn this time")
	}
}

func (m reclaimModel) use(t *rapid.T) {
	skipUnlessOneIn(t, 8)
	m.doOneStep(t)
}

// doOneStep makes the user do one step of work.
func (m reclaimModel) doOneStep(t *rapid.T) {
	if m.agent == nil || m.agent.frozen || m.taskIsStopping {
		t.Skip("the session takes no input")
	}
	m.agent.lastInputAt = m.now
	m.agent.stepsDone++
}

func (m reclaimModel) saveByItself(t *rapid.T) {
	agent := m.agent
	if agent == nil || agent.fresh || agent.frozen {
		t.Skip("no thawed agent")
	}
	agent.agentCheckpoint = fmt.Sprintf("own-%d-%d", agent.attempt, agent.stepsDone)
	m.stepsByCheckpoint[agent.agentCheckpoint] = agent.stepsDone
	agent.stepsSaved = agent.stepsDone
}

func (m reclaimModel) beginCell(t *rapid.T) {
	skipUnlessOneIn(t, 16)
	m.doOneStep(t)
	m.agent.cellSince = m.now
}

func (m reclaimModel) endCell(t *rapid.T) {
	if m.agent == nil || m.agent.cellSince == 0 {
		t.Skip("no cell is running")
	}
	m.agent.stepsDone++
	m.agent.cellSince = 0
}

func (m reclaimModel) attach(t *rapid.T) {
	skipUnlessOneIn(t, 8)
	m.manager.Attach(m.now, id, userToken, func(Result, error) {})
}

func (m reclaimModel) sendHeartbeat(t *rapid.T) {
	if m.agent == nil {
		t.Skip("no agent")
	}
	m.deliver(m.nextHeartbeat(), rapid.IntRange(0, 4).Draw(t, "lost") == 0)
}

func (m reclaimModel) delayHeartbeat(t *rapid.T) {
	if m.agent == nil {
		t.Skip("no agent")
	}
	m.delayedHeartbeats = append(m.delayedHeartbeats, m.nextHeartbeat())
}

func (m reclaimModel) deliverOldHeartbeat(t *rapid.T) {
	if len(m.delayedHeartbeats) == 0 {
		t.Skip("no delayed heartbeat")
	}
	m.deliver(rapid.SampledFrom(m.delayedHeartbeats).Draw(t, "heartbeat"), true)
}

func (m reclaimModel) applyLateWrite(t *rapid.T) {
	if len(m.lateWrites) == 0 {
		t.Skip("no late write")
	}
	m.applyLateWrites()
}

func (m reclaimModel) finishWrite(t *rapid.T) {
	if len(m.commits) == 0 {
		t.Skip("no write in flight")
	}
	m.finishCommits(rapid.SampledFrom([]commitOutcome{
		commitApplied, commitApplied, commitApplied, commitNotApplied, commitUnanswered, commitLost,
	}).Draw(t, "outcome"))
}

func (m reclaimModel) changeContention(t *rapid.T) {
	m.isContended = rapid.Bool().Draw(t, "contended")
}

func (m reclaimModel) advanceTime(t *rapid.T) {
	m.advance(rapid.SampledFrom([]time.Duration{time.Second, time.Second, 3 * time.Second}).Draw(t, "by"))
}

// stopTask makes the worker stop the task, as ordered by the fleet.
func (m reclaimModel) stopTask(t *rapid.T) {
	if !m.taskIsStopping {
		t.Skip("no order to stop")
	}
	m.endTask()
}

func (m reclaimModel) restartTask(t *rapid.T) {
	if m.agent != nil || m.isSuspended {
		t.Skip("the task runs or is suspended")
	}
	m.startTask()
}

func (m reclaimModel) loseMachine(t *rapid.T) {
	skipUnlessOneIn(t, 10)
	m.endTask()
}

func (m reclaimModel) failOver(t *rapid.T) {
	skipUnlessOneIn(t, 10)
	m.startTerm(m.manager.Policies)
}

// recover ends all faults and makes the user return. It fails the test unless the user gets the session, with the work
// of the stored checkpoint if the session was reclaimed. It reports whether the session was reclaimed.
func (m reclaimModel) recover(t *rapid.T) (wasReclaimed bool) {
	m.applyLateWrites()
	m.finishCommits(commitApplied)
	var record Record
	_ = json.Unmarshal(m.store[Key(id)].Value, &record) // without a record the session wasn't reclaimed
	m.advanceWithHeartbeats(5 * time.Second)
	status := noReply
	for range 5 {
		m.manager.Attach(m.now, id, userToken, func(r Result, err error) { status = outcomeOf(r, err) })
		m.advanceWithHeartbeats(3 * time.Second)
	}
	if status != accepted || m.state() != Active || m.agent == nil || m.agent.frozen {
		t.Fatalf("got %s, state %s, agent %+v, want accepted, active, a thawed agent", status, m.state(), m.agent)
	}
	if record.Checkpoint == nil || !record.Reclaimed {
		return false
	}
	if saved := m.stepsByCheckpoint[record.Checkpoint.Ref]; m.agent.stepsDone != saved {
		t.Fatalf("resumed with %d steps, want the %d that were saved", m.agent.stepsDone, saved)
	}
	return true
}
