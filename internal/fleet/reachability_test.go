package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// singleMachine is a model of one worker that follows the protocol, connected to a real fleet with one job of one task.
// It holds the state of the worker, so that a test can check that the fleet counts a task that is on the machine.
type singleMachine struct {
	*rig
	job                           *jobs.Job
	session, seq                  uint64
	token                         uint64
	leaseStart                    time.Duration // time from which the worker's lease counts
	runningAttempt                uint64        // attempt at the task that is on the machine; 0 if none is
	isDead                        bool
	incarnation, knownIncarnation int              // number of restarts, and their number at the last accepted heartbeat
	sentHeartbeats                []sentHeartbeat  // all heartbeats that were sent
	answeredRequests              []DirectCommands // all direct requests that the worker executed
	removedGuard                  string           // the guard that the test removes; "" if none
	copyEffect                    string           // description of a forbidden effect of a copy; "" if there was none
}

// The guards of the fleet that a test may remove, to show that each of them is necessary.
const (
	guardStaleHeartbeats = "a heartbeat that is not newer than the last is stale"
	guardExpiredSession  = "a heartbeat of an expired session is stale"
	guardHighestToken    = "the tokens of an incarnation never decrease"
	guardNoDirectLaunch  = "a direct request launches no task"
)

// sentHeartbeat is a heartbeat that was sent, and of which a copy may arrive later.
type sentHeartbeat struct {
	Heartbeat
	incarnation int
	arrived     bool
}

// newSingleMachine returns a machine that has sent two heartbeats, and whose fleet has planned one task.
func newSingleMachine(t testing.TB, removedGuard string) *singleMachine {
	t.Helper()
	m := &singleMachine{rig: newRig(t, 1, map[string]json.RawMessage{}), session: 1, seq: 100, removedGuard: removedGuard}
	s := spec(1, 1)
	s.EstimateS = 1e5
	m.sendHeartbeat(true)
	m.sendHeartbeat(true)
	m.job = m.submit(s)
	m.settleBriefly()
	return m
}

// settleBriefly runs three ticks and commits all writes.
func (m *singleMachine) settleBriefly() { m.settleFor(3, store.Committed) }

// expireLease ends the worker's session and its task if its lease has expired.
func (m *singleMachine) expireLease() {
	if m.now-m.leaseStart > m.Settings.WorkerLease() {
		m.runningAttempt, m.session, m.leaseStart = 0, m.session+1, m.now
	}
}

// makeHeartbeat returns the worker's next heartbeat and records it as sent.
func (m *singleMachine) makeHeartbeat() *Heartbeat {
	m.seq++
	heartbeat := newHeartbeat("m", m.session, m.seq, m.token)
	if m.runningAttempt > 0 {
		heartbeat.Tasks = []TaskReport{{Task: "req-000001/0", Attempt: m.runningAttempt, State: taskRunning}}
	}
	m.sentHeartbeats = append(m.sentHeartbeats, sentHeartbeat{*heartbeat, m.incarnation, false})
	return heartbeat
}

// removeGuard disables guardHighestToken, if this is the guard to remove, by clearing the state that it depends on.
func (m *singleMachine) removeGuard() {
	machine := m.machines[0]
	switch m.removedGuard {
	case guardHighestToken:
		machine.reachability.highestToken = 0
	}
}

// deliver passes a heartbeat to the fleet, without the guard to remove.
func (m *singleMachine) deliver(heartbeat *Heartbeat) (HeartbeatResponse, HeartbeatResult) {
	if len(m.machines) > 0 {
		m.removeGuard()
	}
	c := *heartbeat
	c.Tasks = append([]TaskReport(nil), heartbeat.Tasks...)
	if m.removedGuard == guardStaleHeartbeats && len(m.machines) > 0 && c.Session == m.machines[0].Session {
		c.Seq = m.machines[0].Seq + 1
	}
	if machine := m.FindMachine("m"); m.removedGuard == guardExpiredSession && machine != nil {
		machine.reachability.expiredSession = 0
	}
	return m.HandleHeartbeat(m.now, &c)
}

// deliverCopy delivers a copy of sentHeartbeats[i]. The copy must have no effect, unless the heartbeat itself
// never arrived, is from the present incarnation as far as the fleet can determine, and is from a session that has not
// certainly ended.
func (m *singleMachine) deliverCopy(i int) {
	machine := m.machines[0]
	copied := &m.sentHeartbeats[i]
	isLive := machine.Condition != LeaseExpired || copied.Session > machine.Session
	mayHaveEffect := !copied.arrived && copied.incarnation >= m.knownIncarnation && isLive
	copied.arrived = true
	before := m.describe()
	m.deliver(&copied.Heartbeat)
	after := m.describe()
	if after != before && !mayHaveEffect && m.copyEffect == "" {
		m.copyEffect = fmt.Sprintf("stale copy changed the state from %s to %s", before, after)
	}
}

// describe formats the state of the machine and its task that a stale copy must not change.
func (m *singleMachine) describe() string {
	machine := m.machines[0]
	return fmt.Sprint(machine.Session, machine.Seq, machine.LastContactAt, machine.Condition, m.job.Tasks[0].State)
}

// sendHeartbeat sends a heartbeat that arrives at the fleet. The worker receives the response if received is set.
func (m *singleMachine) sendHeartbeat(received bool) {
	m.expireLease()
	heartbeat, sent := m.makeHeartbeat(), m.now
	m.sentHeartbeats[len(m.sentHeartbeats)-1].arrived = true
	response, result := m.deliver(heartbeat)
	if machine := m.machines[0]; machine.Session == heartbeat.Session && machine.Seq == heartbeat.Seq {
		m.knownIncarnation = m.incarnation
	}
	if result != Accepted || !received || response.Token < m.token {
		return
	}
	m.token = response.Token
	m.leaseStart = sent
	m.execute(response.Commands)
}

// execute executes the commands of a response or a direct request.
func (m *singleMachine) execute(cs []Command) {
	for _, c := range cs {
		switch {
		case c.Task == promptTask:
		case c.Op == opStart && m.runningAttempt == 0:
			m.runningAttempt = c.Attempt
		case c.Op == opStop && m.runningAttempt == c.Attempt:
			m.runningAttempt = 0
		}
	}
}

// deliverDirect runs a tick and completes the direct request that it sends, if any. The request reaches the worker if
// arrives is set, and the response reaches the fleet if received is set.
func (m *singleMachine) deliverDirect(arrives, received bool) {
	machine := m.machines[0]
	m.Tick(m.now, true)
	if len(m.directCallbacks) == 0 {
		return
	}
	request := m.sentDirect[len(m.sentDirect)-1]
	done := m.directCallbacks[len(m.directCallbacks)-1]
	m.directCallbacks = nil
	if m.removedGuard == guardNoDirectLaunch {
		request.Commands = m.appendRepeatedLaunches(request.Commands, machine)
	}
	var heartbeat *Heartbeat
	if arrives && !m.isDead {
		m.expireLease()
		m.executeDirect(request)
		m.answeredRequests = append(m.answeredRequests, request)
		heartbeat = m.makeHeartbeat()
		m.sentHeartbeats = m.sentHeartbeats[:len(m.sentHeartbeats)-1] // a response is never delivered as a copy
	}
	if heartbeat == nil || !received {
		m.now += 2 * time.Second
		done(nil)
		return
	}
	c := *heartbeat
	done(&c)
}

// executeDirect executes a direct request, unless its token or session is not the worker's.
func (m *singleMachine) executeDirect(request DirectCommands) {
	if request.Token >= m.token && request.Session == m.session {
		m.token = request.Token
		m.execute(request.Commands)
	}
}

// repeatDirect delivers the latest executed direct request once more. Nobody receives the response.
func (m *singleMachine) repeatDirect() {
	m.expireLease()
	if m.isDead || len(m.answeredRequests) == 0 {
		return
	}
	m.executeDirect(m.answeredRequests[len(m.answeredRequests)-1])
	m.makeHeartbeat()
	m.sentHeartbeats = m.sentHeartbeats[:len(m.sentHeartbeats)-1]
}

// modelEvent is an event of the model, and the function that applies it.
type modelEvent struct {
	name  string
	apply func(m *singleMachine)
}

// modelEvents are all events that can follow any other event.
var modelEvents = []modelEvent{
	{"heartbeat", func(m *singleMachine) {
		if !m.isDead {
			m.sendHeartbeat(true)
		}
	}},
	{"lost response", func(m *singleMachine) {
		if !m.isDead {
			m.sendHeartbeat(false)
		}
	}},
	{"lost heartbeat", func(m *singleMachine) {
		if !m.isDead {
			m.makeHeartbeat()
		}
	}},
	{"first copy", func(m *singleMachine) { m.deliverCopy(0) }},
	{"middle copy", func(m *singleMachine) { m.deliverCopy(len(m.sentHeartbeats) / 2) }},
	{"last copy", func(m *singleMachine) { m.deliverCopy(len(m.sentHeartbeats) - 1) }},
	{"restart", func(m *singleMachine) {
		if !m.isDead {
			m.session, m.seq, m.token, m.runningAttempt, m.leaseStart = 1, 0, 0, 0, m.now
			m.incarnation++
		}
	}},
	{"direct request", func(m *singleMachine) { m.deliverDirect(true, true) }},
	{"direct request, lost response", func(m *singleMachine) { m.deliverDirect(true, false) }},
	{"copy of a direct request", func(m *singleMachine) { m.repeatDirect() }},
	{"task ends", func(m *singleMachine) { m.runningAttempt = 0 }},
	{"lost direct request", func(m *singleMachine) { m.deliverDirect(false, false) }},
	{"death", func(m *singleMachine) { m.isDead, m.runningAttempt = true, 0 }},
	{"3 s", func(m *singleMachine) { m.now += 3 * time.Second }},
	{"17 s", func(m *singleMachine) { m.now += 17 * time.Second }},
}

// violation describes a broken rule: a copy had a forbidden effect, or a task on the machine does not count there. It
// returns "" if no rule is broken.
func (m *singleMachine) violation() string {
	if m.now-m.leaseStart > m.Settings.WorkerLease() {
		m.expireLease()
	}
	if m.copyEffect != "" {
		return m.copyEffect
	}
	if task := &m.job.Tasks[0]; m.runningAttempt > 0 && !task.State.Occupies() {
		return fmt.Sprintf("the task is on the machine: got state %s, want one that counts as on it", task.State)
	}
	return ""
}

// playSequence applies a sequence of events and lets the machine recover, or delivers copies if it died. It describes
// the first broken rule, or returns "" if no rule was broken.
func (m *singleMachine) playSequence(sequence []int) string {
	for _, e := range sequence {
		modelEvents[e].apply(m)
		if why := m.violation(); why != "" {
			return why
		}
		m.settleBriefly()
		if why := m.violation(); why != "" {
			return why
		}
	}
	machine := m.machines[0]
	if m.isDead {
		// Delivers copies of all heartbeats that arrived, several leases late.
		m.now += 3 * m.Settings.WorkerLease()
		m.settleBriefly()
		lastContact := machine.LastContactAt
		for i := range m.sentHeartbeats {
			// Lost heartbeats are left out: one may be newer than all that arrived, and then the fleet would apply it.
			if r := &m.sentHeartbeats[len(m.sentHeartbeats)-1-i]; r.arrived {
				m.deliver(&r.Heartbeat)
				m.settleBriefly()
			}
		}
		if machine.Condition == Ready || len(machine.Tasks) > 0 || machine.LastContactAt > lastContact {
			return "copies of heartbeats made a dead machine ready or in contact, or kept its tasks"
		}
		return ""
	}
	recoveredAt := m.now
	for m.now-recoveredAt < 60*time.Second {
		m.now += time.Second
		m.sendHeartbeat(true)
		if why := m.violation(); why != "" {
			return why
		}
		m.settleBriefly()
		isRunning := m.runningAttempt > 0 && m.job.Tasks[0].State == jobs.OnMachine
		if isRunning && machine.Condition == Ready {
			return ""
		}
	}
	return fmt.Sprintf("60 s after recovery: got condition %s, task %s, want acting, on machine; %+v",
		machine.Condition, m.job.Tasks[0].State, machine.reachability)
}

// exploreSequences plays, with one guard removed ("": none), every sequence that consists of the events in prefix and
// of length other events, until one breaks a rule. It returns the number of sequences played, and the failed sequence
// and its broken rule.
func exploreSequences(t testing.TB, removedGuard string, length int, prefix ...string) (played int, failure string) {
	t.Helper()
	sequence := make([]int, len(prefix)+length)
	for i, name := range prefix {
		sequence[i] = slices.IndexFunc(modelEvents, func(e modelEvent) bool { return e.name == name })
	}
	for {
		played++
		if w := newSingleMachine(t, removedGuard).playSequence(sequence); w != "" {
			var names []string
			for _, e := range sequence {
				names = append(names, modelEvents[e].name)
			}
			return played, strings.Join(names, ", ") + ": " + w
		}
		i := len(sequence) - 1
		for ; i >= len(prefix) && sequence[i] == len(modelEvents)-1; i-- {
			sequence[i] = 0
		}
		if i < len(prefix) {
			return played, ""
		}
		sequence[i]++
	}
}

// Plays all short sequences of events of one machine: lost messages, delayed copies of heartbeats, restarts of the
// worker with its session and sequence number reset, direct requests and their copies, the end of the task, and the
// machine's death. A task on the machine must count, a recovered machine must get work again, and no copy may make a dead machine ready. Without any one of
// the guards, some sequence must break a rule.
func TestAllEventSequencesOfOneMachine(t *testing.T) {
	length := 4
	if os.Getenv("HAREWALK_LONG") != "" {
		length = 5
	}
	n, failure := exploreSequences(t, "", length)
	if t.Logf("played %d sequences", n); failure != "" {
		t.Fatal(failure)
	}
	for _, g := range []struct {
		guard  string
		prefix []string
	}{
		{guardStaleHeartbeats, nil},
		{guardExpiredSession, []string{"lost heartbeat", "17 s"}},
		{guardHighestToken, []string{"restart", "direct request", "heartbeat"}},
		{guardNoDirectLaunch, []string{"direct request", "task ends"}},
	} {
		if n, failure := exploreSequences(t, "", 2, g.prefix...); failure != "" {
			t.Fatalf("with all guards: sequence %d failed: %s", n, failure)
		}
		n, failure := exploreSequences(t, g.guard, 2, g.prefix...)
		if t.Logf("without the guard %q: sequence %d failed: %s", g.guard, n, failure); failure == "" {
			t.Errorf("without the guard %q: no sequence failed, want a failure", g.guard)
		}
	}
}

// A machine whose lease expired must be ready again with the second heartbeat of its new session, since the response to
// the first one, at a former token, carries the leader's token. Otherwise a whole zone that recovers waits for 5 s and
// counts as lost again.
func TestMachineIsReadyAgainAfterItsLeaseExpired(t *testing.T) {
	for _, wasReady := range []bool{true, false} {
		g := newRig(t, 2, map[string]json.RawMessage{})
		machine := g.RegisterMachine(0, "m")
		if wasReady {
			g.heartbeat("m", 1, 2*fenced)
			g.heartbeat("m", 1, 2*fenced)
		}
		g.now += 30 * time.Second
		if g.Tick(g.now, true); machine.Condition != LeaseExpired {
			t.Fatalf("after 30 s without a heartbeat: got condition %s, want lost", machine.Condition)
		}
		tokens := []uint64{fenced, fenced, 2 * fenced} // the response to the first heartbeat is lost
		if wasReady {
			tokens = []uint64{2 * fenced, 2 * fenced, 2 * fenced} // a worker keeps its highest token in a new session
		}
		for _, token := range tokens {
			g.now += time.Second
			g.heartbeat("m", 2, token)
		}
		if machine.Condition != Ready {
			t.Errorf("in contact before the expiry %v: got condition %s, want acting", wasReady, machine.Condition)
		}
	}
}

// A worker has restarted, and the launch of a task in its new incarnation is not confirmed yet. Then a copy of a heartbeat
// from its former incarnation arrives, whose session number was higher. The copy must not release the launch, renew
// the lease or count as contact, and the heartbeats of the new incarnation must still be accepted.
func TestStaleCopyFromAFormerIncarnationHasNoEffect(t *testing.T) {
	g := newRig(t, 2, map[string]json.RawMessage{})
	former := newHeartbeat("m", 5, 900, 2*fenced)
	for range 3 {
		former.Seq++
		g.HandleHeartbeat(g.now, former)
	}
	g.now += 10 * time.Second
	restarted := newHeartbeat("m", 1, 1, 0)
	for restarted.Seq < 4 { // the worker is challenged and returns the raised token
		restarted.Seq++
		g.now += time.Second
		response, result := g.HandleHeartbeat(g.now, restarted)
		if result == Accepted {
			restarted.Token = max(restarted.Token, response.Token)
		}
	}
	machine := g.FindMachine("m")
	if machine.Session != 1 || machine.Condition != Ready {
		t.Fatalf("after the restart: got session %d, condition %v, want 1, acting", machine.Session, machine.Condition)
	}
	job := g.submit(spec(1, 1))
	g.settle(store.Committed)
	restarted.Seq++
	if response, _ := g.HandleHeartbeat(g.now, restarted); len(starts(response.Commands)) != 1 {
		t.Fatalf("got commands %v, want one start", response.Commands)
	}
	describe := func() string {
		return fmt.Sprint(machine.Session, machine.Seq, machine.LastContactAt, machine.LeaseRenewedAt, machine.Condition,
			machine.Token, len(machine.Tasks), job.Tasks[0].State)
	}
	before := describe()
	g.now += time.Second
	former.Seq++
	if _, result := g.HandleHeartbeat(g.now, former); result != Stale {
		t.Errorf("stale copy: got result %d, want Stale", result)
	}
	if after := describe(); after != before {
		t.Errorf("stale copy changed the state from %s to %s", before, after)
	}
	restarted.Seq++
	if _, result := g.HandleHeartbeat(g.now, restarted); result != Accepted {
		t.Errorf("heartbeat of the new incarnation: got result %d, want Accepted", result)
	}
}

// A worker restarts, and its lease expires before it receives a response. So its session number is higher than the last
// accepted one, and it has no token. Its heartbeats can't be distinguished from copies until they carry a raised token.
// The machine must be ready within 10 s.
func TestRestartedWorkerWithHigherSessionIsReadyWithin10s(t *testing.T) {
	g := newRig(t, 2, map[string]json.RawMessage{})
	g.heartbeat("m", 1, 2*fenced)
	g.heartbeat("m", 1, 2*fenced)
	machine := g.FindMachine("m")
	heartbeat := newHeartbeat("m", 3, 2, 0)
	from := g.now
	for g.now-from < 20*time.Second && (machine.Session != 3 || machine.Condition != Ready) {
		g.now += time.Second
		heartbeat.Seq++
		if response, result := g.HandleHeartbeat(g.now, heartbeat); result == Accepted {
			heartbeat.Token = max(heartbeat.Token, response.Token)
		}
	}
	if duration := g.now - from; duration > 10*time.Second {
		t.Errorf("got session %d, condition %v after %v, want 3, acting within 10 s", machine.Session, machine.Condition, duration)
	}
}

// A machine's heartbeats never list the task that each response starts. The machine must become unreachable one way: it
// gets no more commands and is not in contact, though the responses may renew its lease. The first heartbeat at the
// raised token must make it ready.
func TestCommandsWithoutEffectMakeAMachineUnreachable(t *testing.T) {
	g := newRig(t, 2, map[string]json.RawMessage{})
	machine := g.RegisterMachine(0, "m")
	g.heartbeat("m", 1, 2*fenced)
	g.submit(spec(1, 8))
	g.settle(store.Committed)
	lateCommands, from := 0, g.now
	for g.now-from < 3*g.ReachabilityTimeout() {
		g.now += 500 * time.Millisecond
		if cs := g.heartbeat("m", 1, 2*fenced); g.now-from > 2*g.ReachabilityTimeout() {
			lateCommands += len(cs)
		}
	}
	sinceContact := g.now - machine.LastContactAt
	if machine.Condition != OneWayUnreachable || lateCommands > 0 || machine.QueuedTasks > 0 ||
		sinceContact < g.ReachabilityTimeout() {
		t.Errorf("got condition %v, %d late commands, %d queued tasks, last contact %v ago, want deaf, 0, 0, more than the timeout",
			machine.Condition, lateCommands, machine.QueuedTasks, sinceContact)
	}
	if g.heartbeat("m", 1, machine.Token); machine.Condition != Ready {
		t.Errorf("after a heartbeat at the raised token: got condition %v, want acting", machine.Condition)
	}
}

// A machine whose lease expired and that receives no responses sends heartbeats at an old token, in a new session after
// each expiry. These heartbeats must not count as contact.
func TestUnreachableMachineWithExpiredLeaseIsNotInContact(t *testing.T) {
	g := newRig(t, 2, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	machine := g.FindMachine("m")
	last := machine.LastContactAt
	for session := uint64(1); session < 6; session++ {
		g.now += 30 * time.Second
		if g.Tick(g.now, true); machine.Condition != LeaseExpired {
			t.Fatalf("session %d: got condition %s, want lost", session, machine.Condition)
		}
		g.heartbeat("m", session+1, fenced)
	}
	if machine.LastContactAt != last || machine.LastHeartbeatAt != g.now {
		t.Errorf("got last contact at %v, want no contact after the expiry, and the last heartbeat recorded", machine.LastContactAt)
	}
}
