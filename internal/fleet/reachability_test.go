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

// singleMachine models one machine by the protocol, to which the real fleet gives one task. It holds what is really
// on the machine, so it can check that the fleet counts it there.
type singleMachine struct {
	*rig
	job                           *jobs.Job
	session, seq                  uint64
	token                         uint64
	leaseStart                    time.Duration // from when its lease counts
	runningAttempt                uint64        // of the task that is on it; 0: none
	isDead                        bool
	incarnation, knownIncarnation int             // how often it restarted, in fact and by accepted heartbeats
	history                       []sentHeartbeat // all heartbeats so far
	removedGuard                  string          // the guard that the test removes, "" for none
	copyEffect                    string          // what a copy changed, "" if nothing
}

// The guards of the fleet that a test may remove, to show that it needs them.
const (
	guardStaleHeartbeats     = "heartbeats that are not newer are stale"
	guardExpiredSession      = "an expired session is over"
	guardHighestToken        = "tokens of an incarnation never fall"
	guardNewIncarnationLease = "the lease of a new incarnation counts from its beginning"
)

// sentHeartbeat is a heartbeat that was sent, and may come again as a copy.
type sentHeartbeat struct {
	Heartbeat
	incarnation int
	arrived     bool
}

func newSingleMachine(t testing.TB, without string) *singleMachine {
	t.Helper()
	l := &singleMachine{rig: newRig(t, 1, map[string]json.RawMessage{}), session: 1, seq: 100, removedGuard: without}
	s := spec(1, 1)
	s.EstimateS = 1e5
	l.sendHeartbeat(true)
	l.sendHeartbeat(true)
	l.job = l.submit(s)
	l.settleBriefly()
	return l
}

// settleBriefly lets three ticks pass, with all writes committed.
func (l *singleMachine) settleBriefly() { l.settleFor(3, store.Committed) }

func (l *singleMachine) expireLease() {
	if l.now-l.leaseStart > l.Settings.WorkerLease() {
		l.runningAttempt, l.session, l.leaseStart = 0, l.session+1, l.now
	}
}

func (l *singleMachine) makeHeartbeat() *Heartbeat {
	l.seq++
	heartbeat := newHeartbeat("m", l.session, l.seq, l.token)
	if l.runningAttempt > 0 {
		heartbeat.Tasks = []TaskReport{{Task: "req-000001/0", Attempt: l.runningAttempt, State: taskRunning}}
	}
	l.history = append(l.history, sentHeartbeat{*heartbeat, l.incarnation, false})
	return heartbeat
}

// removeGuard undoes, in the machine's state, what the guard that is removed protects.
func (l *singleMachine) removeGuard() {
	machine := l.machines[0]
	switch l.removedGuard {
	case guardHighestToken:
		machine.reachability.highestToken = 0
	}
}

func (l *singleMachine) deliver(heartbeat *Heartbeat) (HeartbeatResponse, HeartbeatResult) {
	if len(l.machines) > 0 {
		l.removeGuard()
	}
	c := *heartbeat
	c.Tasks = append([]TaskReport(nil), heartbeat.Tasks...)
	if l.removedGuard == guardStaleHeartbeats && len(l.machines) > 0 && c.Session == l.machines[0].Session {
		c.Seq = l.machines[0].Seq + 1
	}
	if machine := l.FindMachine("m"); l.removedGuard == guardExpiredSession && machine != nil {
		machine.reachability.expiredSession = 0
	}
	return l.HandleHeartbeat(l.now, &c)
}

// deliverCopy delivers a copy of an earlier heartbeat. It must have no effect, unless the heartbeat itself never
// arrived and is of the present incarnation, as far as the fleet can tell, in a session that has not certainly
// ended.
func (l *singleMachine) deliverCopy(i int) {
	machine := l.machines[0]
	copied := &l.history[i]
	isLive := machine.Condition != LeaseExpired || copied.Session > machine.Session
	mayHaveEffect := !copied.arrived && copied.incarnation >= l.knownIncarnation && isLive
	copied.arrived = true
	before := l.describe()
	l.deliver(&copied.Heartbeat)
	after := l.describe()
	if after != before && !mayHaveEffect && l.copyEffect == "" {
		l.copyEffect = fmt.Sprintf("a copy changes %s to %s", before, after)
	}
}

// describe returns the state of the machine and its task that a stale copy must not change.
func (l *singleMachine) describe() string {
	machine := l.machines[0]
	return fmt.Sprint(machine.Session, machine.Seq, machine.LastContactAt, machine.Condition, l.job.Tasks[0].State)
}

// sendHeartbeat sends a heartbeat that arrives; received is whether its response does.
func (l *singleMachine) sendHeartbeat(received bool) {
	l.expireLease()
	heartbeat, sent := l.makeHeartbeat(), l.now
	l.history[len(l.history)-1].arrived = true
	response, result := l.deliver(heartbeat)
	if machine := l.machines[0]; machine.Session == heartbeat.Session && machine.Seq == heartbeat.Seq {
		l.knownIncarnation = l.incarnation
	}
	if result != Accepted || !received || response.Token < l.token {
		return
	}
	l.token = response.Token
	l.leaseStart = sent
	l.execute(response.Commands)
}

func (l *singleMachine) execute(cs []Command) {
	for _, c := range cs {
		switch {
		case c.Op == opStart && l.runningAttempt == 0:
			l.runningAttempt = c.Attempt
		case c.Op == opStop && l.runningAttempt == c.Attempt:
			l.runningAttempt = 0
		}
	}
}

// deliverDirect sends the direct request that is due, if any; arrives is whether it reaches the machine, received
// whether the response reaches the fleet.
func (l *singleMachine) deliverDirect(arrives, received bool) {
	machine := l.machines[0]
	answered := machine.LastAnsweredAt
	l.Tick(l.now, true)
	if len(l.directCallbacks) == 0 {
		return
	}
	request := l.sentDirect[len(l.sentDirect)-1]
	done := l.directCallbacks[len(l.directCallbacks)-1]
	l.directCallbacks = nil
	var heartbeat *Heartbeat
	if arrives && !l.isDead {
		l.expireLease()
		if request.Token >= l.token && request.Session == l.session {
			l.token = request.Token
			l.execute(request.Commands)
		}
		heartbeat = l.makeHeartbeat()
		l.history = l.history[:len(l.history)-1] // only requests come as copies
	}
	if heartbeat == nil || !received {
		l.now += 2 * time.Second
		done(nil, false)
		if l.removedGuard == guardNewIncarnationLease {
			machine.LastAnsweredAt = answered
		}
		return
	}
	c := *heartbeat
	if done(&c, true); l.removedGuard == guardNewIncarnationLease && machine.LastAnsweredAt == l.now {
		machine.LastAnsweredAt = answered
	}
}

type modelEvent struct {
	name string
	do   func(l *singleMachine)
}

// modelEvents are the events that may happen next.
var modelEvents = []modelEvent{
	{"heartbeat", func(l *singleMachine) {
		if !l.isDead {
			l.sendHeartbeat(true)
		}
	}},
	{"lost response", func(l *singleMachine) {
		if !l.isDead {
			l.sendHeartbeat(false)
		}
	}},
	{"lost heartbeat", func(l *singleMachine) {
		if !l.isDead {
			l.makeHeartbeat()
		}
	}},
	{"first copy", func(l *singleMachine) { l.deliverCopy(0) }},
	{"middle copy", func(l *singleMachine) { l.deliverCopy(len(l.history) / 2) }},
	{"last copy", func(l *singleMachine) { l.deliverCopy(len(l.history) - 1) }},
	{"restart", func(l *singleMachine) {
		if !l.isDead {
			l.session, l.seq, l.token, l.runningAttempt, l.leaseStart = 1, 0, 0, 0, l.now
			l.incarnation++
		}
	}},
	{"direct request", func(l *singleMachine) { l.deliverDirect(true, true) }},
	{"direct request, lost response", func(l *singleMachine) { l.deliverDirect(true, false) }},
	{"lost direct request", func(l *singleMachine) { l.deliverDirect(false, false) }},
	{"death", func(l *singleMachine) { l.isDead, l.runningAttempt = true, 0 }},
	{"3 s", func(l *singleMachine) { l.now += 3 * time.Second }},
	{"17 s", func(l *singleMachine) { l.now += 17 * time.Second }},
}

// violation returns what is wrong now, "" if nothing is: a task on the machine must count there.
func (l *singleMachine) violation() string {
	if l.now-l.leaseStart > l.Settings.WorkerLease() {
		l.expireLease()
	}
	if l.copyEffect != "" {
		return l.copyEffect
	}
	if task := &l.job.Tasks[0]; l.runningAttempt > 0 && !task.State.Occupies() {
		return fmt.Sprintf("the task is on the machine but its state is %s", task.State)
	}
	return ""
}

// playSequence plays a sequence of events, lets everything recover, and returns what went wrong, "" if nothing did.
func (l *singleMachine) playSequence(run []int) string {
	for _, e := range run {
		modelEvents[e].do(l)
		if why := l.violation(); why != "" {
			return why
		}
		l.settleBriefly()
		if why := l.violation(); why != "" {
			return why
		}
	}
	machine := l.machines[0]
	if l.isDead {
		// Copies of all heartbeats, several leases late.
		l.now += 3 * l.Settings.WorkerLease()
		l.settleBriefly()
		lastContact := machine.LastContactAt
		for i := range l.history {
			// One that never arrived is the newest of its machine.
			if r := &l.history[len(l.history)-1-i]; r.arrived {
				l.deliver(&r.Heartbeat)
				l.settleBriefly()
			}
		}
		if machine.Condition == Ready || len(machine.Tasks) > 0 || machine.LastContactAt > lastContact {
			return "copies bring a dead machine back"
		}
		return ""
	}
	from := l.now
	for l.now-from < 60*time.Second {
		l.now += time.Second
		l.sendHeartbeat(true)
		if why := l.violation(); why != "" {
			return why
		}
		l.settleBriefly()
		isRunning := l.runningAttempt > 0 && l.job.Tasks[0].State == jobs.OnMachine
		if isRunning && machine.Condition == Ready {
			return ""
		}
	}
	return fmt.Sprintf("it has recovered and gets nothing: %s, task %s, %+v",
		machine.Condition, l.job.Tasks[0].State, machine.reachability)
}

// exploreSequences plays every sequence that begins with some events and goes on with a number of others, until one
// goes wrong.
func exploreSequences(t testing.TB, without string, length int, begins ...string) (runs int, why string) {
	t.Helper()
	run := make([]int, len(begins)+length)
	for i, name := range begins {
		run[i] = slices.IndexFunc(modelEvents, func(e modelEvent) bool { return e.name == name })
	}
	for {
		runs++
		if w := newSingleMachine(t, without).playSequence(run); w != "" {
			var names []string
			for _, e := range run {
				names = append(names, modelEvents[e].name)
			}
			return runs, strings.Join(names, ", ") + ": " + w
		}
		i := len(run) - 1
		for ; i >= len(begins) && run[i] == len(modelEvents)-1; i-- {
			run[i] = 0
		}
		if i < len(begins) {
			return runs, ""
		}
		run[i]++
	}
}

// All short sequences of events of one machine and the fleet: responses are lost, copies of heartbeats arrive at
// any time, the worker restarts with session and sequence from the start, direct commands arrive or not, the
// machine dies. What is on it counts, it gets work again once it recovered, and no copy brings it back. Without any
// of the guards some sequence breaks that.
func TestAllEventSequencesOfOneMachine(t *testing.T) {
	length := 4
	if os.Getenv("HAREWALK_LONG") != "" {
		length = 5
	}
	n, why := exploreSequences(t, "", length)
	if t.Logf("%d runs", n); why != "" {
		t.Fatal(why)
	}
	for _, g := range []struct {
		without string
		begins  []string
	}{
		{guardStaleHeartbeats, nil},
		{guardExpiredSession, []string{"lost heartbeat", "17 s"}},
		{guardHighestToken, []string{"restart", "direct request", "heartbeat"}},
		{guardNewIncarnationLease, []string{"3 s", "restart"}},
	} {
		if n, why := exploreSequences(t, "", 2, g.begins...); why != "" {
			t.Fatalf("after %d runs: %s", n, why)
		}
		n, why := exploreSequences(t, g.without, 2, g.begins...)
		if t.Logf("without %q: after %d runs, %s", g.without, n, why); why == "" {
			t.Errorf("without %q nothing breaks", g.without)
		}
	}
}

// A machine whose lease expired is ready again with the second heartbeat of its new session: the response to the
// first, at a former token, carries the leader's. Otherwise a whole zone that recovers waits for 5 s and counts as
// lost again.
func TestMachineIsReadyAgainAfterItsLeaseExpired(t *testing.T) {
	for _, known := range []bool{true, false} {
		g := newRig(t, 2, map[string]json.RawMessage{})
		machine := g.RegisterMachine(0, "m")
		if known {
			g.heartbeat("m", 1, 2*fenced)
			g.heartbeat("m", 1, 2*fenced)
		}
		g.now += 30 * time.Second
		if g.Tick(g.now, true); machine.Condition != LeaseExpired {
			t.Fatal(machine.Condition)
		}
		tokens := []uint64{fenced, fenced, 2 * fenced} // the response to the first is lost
		if known {
			tokens = []uint64{2 * fenced, 2 * fenced, 2 * fenced} // a worker keeps its highest token in a new session
		}
		for _, token := range tokens {
			g.now += time.Second
			g.heartbeat("m", 2, token)
		}
		if machine.Condition != Ready {
			t.Errorf("known before: %v: it is %s", known, machine.Condition)
		}
	}
}

// A worker has restarted, and its new incarnation was given a task with a licence by a direct launch that has no
// response yet. A copy of a heartbeat of its former incarnation arrives, whose session was higher: it releases and
// renews nothing and is no contact, and the heartbeats of the new incarnation go on counting.
func TestStaleCopyFromAFormerIncarnationHasNoEffect(t *testing.T) {
	g := newRig(t, 2, map[string]json.RawMessage{})
	old := newHeartbeat("m", 5, 900, 2*fenced)
	for range 3 {
		old.Seq++
		g.HandleHeartbeat(g.now, old)
	}
	g.now += 10 * time.Second
	restarted := newHeartbeat("m", 1, 1, 0)
	for restarted.Seq < 4 { // it is challenged and answers
		restarted.Seq++
		g.now += time.Second
		response, result := g.HandleHeartbeat(g.now, restarted)
		if result == Accepted {
			restarted.Token = max(restarted.Token, response.Token)
		}
	}
	machine := g.FindMachine("m")
	if machine.Session != 1 || machine.Condition != Ready {
		t.Fatalf("session %d, %v", machine.Session, machine.Condition)
	}
	machine.indeterminateLaunches[taskAttempt{TaskRef{0, 0}, 7}] = struct{}{}
	describe := func() string {
		return fmt.Sprint(machine.Session, machine.Seq, machine.LastContactAt, machine.LastAnsweredAt, machine.Condition,
			machine.Token, len(machine.indeterminateLaunches))
	}
	before := describe()
	g.now += time.Second
	old.Seq++
	if _, result := g.HandleHeartbeat(g.now, old); result != Stale {
		t.Errorf("the result of the copy is %d", result)
	}
	if after := describe(); after != before {
		t.Errorf("a copy changes %s to %s", before, after)
	}
	restarted.Seq++
	if _, result := g.HandleHeartbeat(g.now, restarted); result != Accepted {
		t.Errorf("the result for the new incarnation is %d", result)
	}
}

// A worker restarts, and its lease expires before any response: its session is higher than the last accepted one,
// and it has no token. It can't be told from copies until it carries a token that none of them can, and is ready
// soon all the same.
func TestRestartedWorkerWithAHigherSessionIsReadySoon(t *testing.T) {
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
		t.Errorf("session %d, %v after %v", machine.Session, machine.Condition, duration)
	}
}

// A machine's heartbeats never list the task that each response starts. While its lease may still be extended by the
// responses, it gets nothing else and is not in contact. The first heartbeat at the raised token ends that.
func TestCommandsWithoutEffectMakeAMachineUnreachable(t *testing.T) {
	g := newRig(t, 2, map[string]json.RawMessage{})
	machine := g.RegisterMachine(0, "m")
	g.heartbeat("m", 1, 2*fenced)
	g.submit(spec(1, 8))
	g.settle(store.Committed)
	given, from := 0, g.now
	for g.now-from < 3*g.ReachabilityTimeout() {
		g.now += 500 * time.Millisecond
		if cs := g.heartbeat("m", 1, 2*fenced); g.now-from > 2*g.ReachabilityTimeout() {
			given += len(cs)
		}
	}
	sinceContact := g.now - machine.LastContactAt
	if machine.Condition != OneWayUnreachable || given > 0 || machine.QueuedTasks > 0 ||
		sinceContact < g.ReachabilityTimeout() {
		t.Errorf("%v, %d commands sent to it lately, %d tasks queued on it, last contact %v ago",
			machine.Condition, given, machine.QueuedTasks, sinceContact)
	}
	if g.heartbeat("m", 1, machine.Token); machine.Condition != Ready {
		t.Errorf("%v though it carries the token that was raised", machine.Condition)
	}
}

// A machine whose lease expired and that receives nothing sends heartbeats in one session after the other, at an
// old token: that is no contact.
func TestUnreachableMachineWithExpiredLeaseIsNotInContact(t *testing.T) {
	g := newRig(t, 2, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	machine := g.FindMachine("m")
	last := machine.LastContactAt
	for session := uint64(1); session < 6; session++ {
		g.now += 30 * time.Second
		if g.Tick(g.now, true); machine.Condition != LeaseExpired {
			t.Fatal(machine.Condition)
		}
		g.heartbeat("m", session+1, fenced)
	}
	if machine.LastContactAt != last || machine.LastHeartbeatAt != g.now {
		t.Errorf("its last contact is at %v", machine.LastContactAt)
	}
}
