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

// lone is one machine by the protocol, which the real fleet gives a task: every run of a few events is played. It knows
// what is on the machine, and so whether the fleet counts it.
type lone struct {
	*rig
	j              *jobs.Job
	session, tally uint64
	token          uint64
	base           time.Duration // its lease counts from here
	on             uint64        // attempt of the task that is there, 0: none
	dead           bool
	life, known    int    // how often it has restarted, and as far as a report that was taken over tells
	said           []told // all reports so far
	without        string // the guard that is taken out
	changed        string // what a copy has done
}

// told is a report that was sent.
type told struct {
	Heartbeat
	life    int
	arrived bool
}

func newLone(t testing.TB, without string) *lone {
	l := &lone{rig: newRig(t, 1, map[string]json.RawMessage{}), session: 1, tally: 100, without: without}
	s := spec(1, 1)
	s.EstimateS = 1e5
	l.report(true)
	l.report(true)
	l.j = l.submit(s)
	l.quick()
	return l
}

// quick lets a moment pass, with all writes stored.
func (l *lone) quick() { l.settleFor(3, store.Committed) }

func (l *lone) expireLease() {
	if l.now-l.base > l.Settings.Lease() {
		l.on, l.session, l.base = 0, l.session+1, l.now
	}
}

func (l *lone) says() *Heartbeat {
	l.tally++
	r := Heartbeat{Machine: "m", Addr: "x", Type: "ty", Zone: "z", Session: l.session, Seq: l.tally, Token: l.token}
	if l.on > 0 {
		r.Tasks = []TaskReport{{Task: "req-000001/0", Attempt: l.on, State: taskRunning}}
	}
	l.said = append(l.said, told{r, l.life, false})
	return &r
}

// guards does what taking one of them out comes to.
func (l *lone) guards() {
	machine := l.machines[0]
	switch l.without {
	case "tokens never fall":
		machine.reachability.highestToken = 0
	}
}

func (l *lone) deliver(heartbeat *Heartbeat) (HeartbeatResponse, HeartbeatResult) {
	if len(l.machines) > 0 {
		l.guards()
	}
	c := *heartbeat
	c.Tasks = append([]TaskReport(nil), heartbeat.Tasks...)
	if l.without == "old reports are void" && len(l.machines) > 0 && c.Session == l.machines[0].Session {
		c.Seq = l.machines[0].Seq + 1
	}
	if machine := l.FindMachine("m"); l.without == "a lost session is over" && machine != nil {
		machine.reachability.expiredSession = 0
	}
	return l.HandleHeartbeat(l.now, &c)
}

// copied lets a copy of an earlier report arrive. Nothing may follow from it, unless the report itself never arrived and is of the
// present life, as far as that is known, in a session that hasn't surely ended.
func (l *lone) copied(i int) {
	machine, r := l.machines[0], &l.said[i]
	news := !r.arrived && r.life >= l.known && (machine.Condition != LeaseExpired || r.Session > machine.Session)
	r.arrived = true
	was := fmt.Sprint(machine.Session, machine.Seq, machine.LastHeardAt, machine.Condition, l.j.Tasks[0].State)
	l.deliver(&r.Heartbeat)
	if is := fmt.Sprint(machine.Session, machine.Seq, machine.LastHeardAt, machine.Condition, l.j.Tasks[0].State); is != was && !news && l.changed == "" {
		l.changed = fmt.Sprintf("a copy changes %s to %s", was, is)
	}
}

// report sends a report that arrives; heard: so does its answer.
func (l *lone) report(heard bool) {
	l.expireLease()
	heartbeat, sent := l.says(), l.now
	l.said[len(l.said)-1].arrived = true
	a, v := l.deliver(heartbeat)
	if machine := l.machines[0]; machine.Session == heartbeat.Session && machine.Seq == heartbeat.Seq {
		l.known = l.life
	}
	if v != Accepted || !heard || a.Token < l.token {
		return
	}
	l.token, l.base = a.Token, sent
	l.execute(a.Commands)
}

func (l *lone) execute(cs []Command) {
	for _, c := range cs {
		switch {
		case c.Op == opStart && l.on == 0:
			l.on = c.Attempt
		case c.Op == opStop && l.on == c.Attempt:
			l.on = 0
		}
	}
}

// order lets what is due go out directly: it arrives or not, and its answer is heard or not.
func (l *lone) order(arrives, heard bool) {
	machine := l.machines[0]
	answered := machine.LastAnsweredAt
	l.Tick(l.now, true)
	if len(l.orders) == 0 {
		return
	}
	o, done := l.sent[len(l.sent)-1], l.orders[len(l.orders)-1]
	l.orders = nil
	var heartbeat *Heartbeat
	if arrives && !l.dead {
		l.expireLease()
		if o.Token >= l.token && o.Session == l.session {
			l.token = o.Token
			l.execute(o.Commands)
		}
		heartbeat = l.says()
		l.said = l.said[:len(l.said)-1] // only reports come as copies
	}
	if heartbeat == nil || !heard {
		l.now += 2 * time.Second
		done(nil, false)
		if l.without == "the lease of a new life" {
			machine.LastAnsweredAt = answered
		}
		return
	}
	c := *heartbeat
	if done(&c, true); l.without == "the lease of a new life" && machine.LastAnsweredAt == l.now {
		machine.LastAnsweredAt = answered
	}
}

type happening struct {
	name string
	do   func(l *lone)
}

// happenings are what may happen next.
var happenings = []happening{
	{"report", func(l *lone) {
		if !l.dead {
			l.report(true)
		}
	}},
	{"unheard answer", func(l *lone) {
		if !l.dead {
			l.report(false)
		}
	}},
	{"lost report", func(l *lone) {
		if !l.dead {
			l.says()
		}
	}},
	{"first copy", func(l *lone) { l.copied(0) }},
	{"copy from amid", func(l *lone) { l.copied(len(l.said) / 2) }},
	{"last copy", func(l *lone) { l.copied(len(l.said) - 1) }},
	{"restart", func(l *lone) {
		if !l.dead {
			l.session, l.tally, l.token, l.on, l.base = 1, 0, 0, 0, l.now
			l.life++
		}
	}},
	{"order", func(l *lone) { l.order(true, true) }},
	{"order, no answer", func(l *lone) { l.order(true, false) }},
	{"order lost", func(l *lone) { l.order(false, false) }},
	{"death", func(l *lone) { l.dead, l.on = true, 0 }},
	{"3 s", func(l *lone) { l.now += 3 * time.Second }},
	{"17 s", func(l *lone) { l.now += 17 * time.Second }},
}

// fault says what is wrong now: what is on the machine must count there.
func (l *lone) fault() string {
	if l.now-l.base > l.Settings.Lease() {
		l.expireLease()
	}
	if l.changed != "" {
		return l.changed
	}
	if task := &l.j.Tasks[0]; l.on > 0 && !task.State.Occupies() {
		return fmt.Sprintf("the task is on the machine and counts as %s", task.State)
	}
	return ""
}

// play plays one run, then lets everything heal, and says what went wrong.
func (l *lone) play(run []int) string {
	for _, e := range run {
		happenings[e].do(l)
		if why := l.fault(); why != "" {
			return why
		}
		l.quick()
		if why := l.fault(); why != "" {
			return why
		}
	}
	machine := l.machines[0]
	if l.dead {
		// Copies of all that was ever said, several leases late.
		l.now += 3 * l.Settings.Lease()
		l.quick()
		heard := machine.LastHeardAt
		for i := range l.said {
			// One that never arrived is the newest that is known of it.
			if r := &l.said[len(l.said)-1-i]; r.arrived {
				l.deliver(&r.Heartbeat)
				l.quick()
			}
		}
		if machine.Condition == Ready || len(machine.Tasks) > 0 || machine.LastHeardAt > heard {
			return "copies bring a dead machine back"
		}
		return ""
	}
	from := l.now
	for l.now-from < 60*time.Second {
		l.now += time.Second
		l.report(true)
		if why := l.fault(); why != "" {
			return why
		}
		if l.quick(); l.on > 0 && machine.Condition == Ready && l.j.Tasks[0].State == jobs.OnMachine {
			return ""
		}
	}
	return fmt.Sprintf("it is there again and gets nothing: %s, task %s, %+v", machine.Condition, l.j.Tasks[0].State, machine.reachability)
}

// explore plays every run that begins with some events and goes on with a number of others.
func explore(t testing.TB, without string, length int, begins ...string) (runs int, why string) {
	run := make([]int, len(begins)+length)
	for i, name := range begins {
		run[i] = slices.IndexFunc(happenings, func(e happening) bool { return e.name == name })
	}
	for {
		runs++
		if w := newLone(t, without).play(run); w != "" {
			var names []string
			for _, e := range run {
				names = append(names, happenings[e].name)
			}
			return runs, strings.Join(names, ", ") + ": " + w
		}
		i := len(run) - 1
		for ; i >= len(begins) && run[i] == len(happenings)-1; i-- {
			run[i] = 0
		}
		if i < len(begins) {
			return runs, ""
		}
		run[i]++
	}
}

// Every run of a few events of one machine and the fleet: it reports and doesn't hear, copies of what it said come at any
// time, it restarts with session and sequence from the start, direct commands arrive or not, it dies. What is on it counts, it
// gets work again once it is there, and no copy brings it back. Without any of the guards some run breaks that.
func TestEveryRunOfAMachine(t *testing.T) {
	length := 4
	if os.Getenv("HAREWALK_LONG") != "" {
		length = 5
	}
	n, why := explore(t, "", length)
	if t.Logf("%d runs", n); why != "" {
		t.Fatal(why)
	}
	for _, g := range []struct {
		without string
		begins  []string
	}{
		{"old reports are void", nil},
		{"a lost session is over", []string{"lost report", "17 s"}},
		{"tokens never fall", []string{"restart", "order", "report"}},
		{"the lease of a new life", []string{"3 s", "restart"}},
	} {
		if n, why := explore(t, "", 2, g.begins...); why != "" {
			t.Fatalf("after %d runs: %s", n, why)
		}
		n, why := explore(t, g.without, 2, g.begins...)
		if t.Logf("without %q: after %d runs, %s", g.without, n, why); why == "" {
			t.Errorf("without %q nothing breaks", g.without)
		}
	}
}

// A machine whose lease ran out acts again with the second report of its new session: the first, at a former token, brings it
// ours. Once only the first was taken, and a whole zone that came back waited for 5 s and counted as lost again.
func TestLostAndBack(t *testing.T) {
	for _, known := range []bool{true, false} {
		g := newRig(t, 2, map[string]json.RawMessage{})
		machine := g.RegisterMachine(0, "m")
		if known {
			g.hear("m", 1, 2*fenced)
			g.hear("m", 1, 2*fenced)
		}
		g.now += 30 * time.Second
		if g.Tick(g.now, true); machine.Condition != LeaseExpired {
			t.Fatal(machine.Condition)
		}
		tokens := []uint64{fenced, fenced, 2 * fenced} // the answer to the first is lost
		if known {
			tokens = []uint64{2 * fenced, 2 * fenced, 2 * fenced} // a worker keeps the highest token that it has seen, in a new session too
		}
		for _, token := range tokens {
			g.now += time.Second
			g.hear("m", 2, token)
		}
		if machine.Condition != Ready {
			t.Errorf("known before: %v: it is %s", known, machine.Condition)
		}
	}
}

// A machine has restarted, and its new life has been given a task with a seat, whose launch went out directly and has no answer
// yet. A copy of a report from its former life arrives, whose session was higher: nothing is given up, renewed or heard by it, and the
// new life's reports go on counting.
func TestCopyOfAHigherSessionOfAFormerLife(t *testing.T) {
	g := newRig(t, 2, map[string]json.RawMessage{})
	old := &Heartbeat{Machine: "m", Addr: "x", Type: "ty", Zone: "z", Session: 5, Seq: 900, Token: 2 * fenced}
	for range 3 {
		old.Seq++
		g.HandleHeartbeat(g.now, old)
	}
	g.now += 10 * time.Second
	life := Heartbeat{Machine: "m", Addr: "x", Type: "ty", Zone: "z", Session: 1, Seq: 1}
	for life.Seq < 4 { // dared, it shows itself
		life.Seq++
		g.now += time.Second
		a, v := g.HandleHeartbeat(g.now, &life)
		if v == Accepted {
			life.Token = max(life.Token, a.Token)
		}
	}
	machine := g.FindMachine("m")
	if machine.Session != 1 || machine.Condition != Ready {
		t.Fatalf("session %d, %v", machine.Session, machine.Condition)
	}
	machine.indeterminateLaunches[taskAttempt{TaskRef{0, 0}, 7}] = struct{}{}
	was := fmt.Sprint(machine.Session, machine.Seq, machine.LastHeardAt, machine.LastAnsweredAt, machine.Condition, machine.Token, len(machine.indeterminateLaunches))
	g.now += time.Second
	old.Seq++
	if _, v := g.HandleHeartbeat(g.now, old); v != Stale {
		t.Errorf("the copy's verdict is %d", v)
	}
	if is := fmt.Sprint(machine.Session, machine.Seq, machine.LastHeardAt, machine.LastAnsweredAt, machine.Condition, machine.Token, len(machine.indeterminateLaunches)); is != was {
		t.Errorf("a copy changes %s to %s", was, is)
	}
	life.Seq++
	if _, v := g.HandleHeartbeat(g.now, &life); v != Accepted {
		t.Errorf("the new life's verdict is %d", v)
	}
}

// A machine restarts, and its lease runs out before anybody has answered it: its session is higher than the one that was known, its
// token none. It can't be told from copies until it carries a token that nobody had, and is used soon all the same.
func TestRestartedWithAHigherSession(t *testing.T) {
	g := newRig(t, 2, map[string]json.RawMessage{})
	g.hear("m", 1, 2*fenced)
	g.hear("m", 1, 2*fenced)
	machine, r, from := g.FindMachine("m"), Heartbeat{Machine: "m", Addr: "x", Type: "ty", Zone: "z", Session: 3, Seq: 2}, g.now
	for g.now-from < 20*time.Second && (machine.Session != 3 || machine.Condition != Ready) {
		g.now += time.Second
		r.Seq++
		if a, v := g.HandleHeartbeat(g.now, &r); v == Accepted {
			r.Token = max(r.Token, a.Token)
		}
	}
	if duration := g.now - from; duration > 10*time.Second {
		t.Errorf("session %d, %v after %v", machine.Session, machine.Condition, duration)
	}
}

// A machine reports on and on without the task that each answer tells it to start: for as long as its lease may still go on by those
// answers nothing else is given to it, and it isn't heard. It is again with the first report at the token that was raised.
func TestNoEffectIsDeaf(t *testing.T) {
	g := newRig(t, 2, map[string]json.RawMessage{})
	machine := g.RegisterMachine(0, "m")
	g.hear("m", 1, 2*fenced)
	g.submit(spec(1, 8))
	g.settle(store.Committed)
	given, from := 0, g.now
	for g.now-from < 3*g.ReachabilityTimeout() {
		g.now += 500 * time.Millisecond
		if cs := g.hear("m", 1, 2*fenced); g.now-from > 2*g.ReachabilityTimeout() {
			given += len(cs)
		}
	}
	if machine.Condition != OneWayUnreachable || given > 0 || machine.QueuedTasks > 0 || g.now-machine.LastHeardAt < g.ReachabilityTimeout() {
		t.Errorf("%v, %d commands given to it lately, %d tasks planned on it, heard %v ago", machine.Condition, given, machine.QueuedTasks, g.now-machine.LastHeardAt)
	}
	if g.hear("m", 1, machine.Token); machine.Condition != Ready {
		t.Errorf("%v though it carries the token that was raised", machine.Condition)
	}
}

// A machine that was lost and hears nothing reports in one session after the other, at a token of long ago: it doesn't count as
// heard for that.
func TestLostAndDeaf(t *testing.T) {
	g := newRig(t, 2, map[string]json.RawMessage{})
	g.hear("m", 1, fenced)
	machine := g.FindMachine("m")
	last := machine.LastHeardAt
	for session := uint64(1); session < 6; session++ {
		g.now += 30 * time.Second
		if g.Tick(g.now, true); machine.Condition != LeaseExpired {
			t.Fatal(machine.Condition)
		}
		g.hear("m", session+1, fenced)
	}
	if machine.LastHeardAt != last || machine.LastHeartbeatAt != g.now {
		t.Errorf("it counts as heard at %v", machine.LastHeardAt)
	}
}
