package simulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
)

// report is what a worker tells of itself.
func (w *World) report(now time.Duration, m *Machine) fleet.Heartbeat {
	m.seq++
	r := fleet.Heartbeat{
		Machine: m.Name, Addr: m.addr, Type: m.typ.Name, Zone: m.zone, Spot: m.spot, Session: m.session, Seq: m.seq,
		Token: m.token, Tasks: []fleet.TaskReport{},
	}
	if m.noticeAt > 0 {
		s := (m.noticeAt - now).Seconds()
		r.NoticeS = &s
	}
	for _, k := range m.tasks {
		r.Tasks = append(r.Tasks, fleet.TaskReport{
			Task:      k.name,
			Attempt:   k.attempt,
			State:     fleet.AttemptState(k.state),
			ExitCause: fleet.ExitCause(k.why),
			Saved:     k.saved,
		})
	}
	return r
}

// orders is a worker's direct entry. A machine that hangs takes what waits once it resumes,
// and commands that are held back on the way are carried out long after their sender gave up.
func (w *World) orders(m *Machine, q request, reply answer) {
	back := w.late(&w.delays.orders)
	w.later(w.late(&w.delays.orders), func() {
		w.ordersNow(m, q, func(status int, body any) { w.later(back, func() { reply(status, body) }) })
	})
}

func (w *World) ordersNow(m *Machine, q request, reply answer) {
	w.mu.Lock()
	now := w.now()
	wait := max(m.hungTill-now, m.late)
	if now < m.deafTill {
		w.vain(q.body)
		w.mu.Unlock()
		return // it never arrives
	}
	if m.dead || now < m.boots {
		w.mu.Unlock()
		reply(504, nil)
		return
	}
	if wait > 0 {
		if m.late > 0 {
			w.stats.LateOrders++
			m.late = 0
		}
		w.mu.Unlock()
		w.ground.after(wait, func() { w.ordersNow(m, q, reply) })
		return
	}
	status, body := w.ordered(now, m, q)
	mute := now < m.muteTill
	w.mu.Unlock()
	if !mute {
		reply(status, body)
	}
}

func (w *World) ordered(now time.Duration, m *Machine, q request) (int, any) {
	w.expire(now, m)
	if q.path == "/status" {
		return 200, w.report(now, m)
	}
	var o struct {
		Token    *uint64         `json:"mark"`
		Session  *uint64         `json:"run"`
		Commands []fleet.Command `json:"calls"`
	}
	if json.Unmarshal(q.body, &o) != nil || o.Token == nil || o.Session == nil {
		return 400, nil
	}
	if *o.Token < m.token || *o.Session != m.session {
		return 409, w.report(now, m)
	}
	m.token = *o.Token
	had := len(m.tasks)
	w.execute(now, m, o.Commands)
	for _, k := range m.tasks[min(had, len(m.tasks)):] {
		k.direct = true
	}
	return 200, w.report(now, m)
}

// execute carries commands out.
func (w *World) execute(now time.Duration, m *Machine, cs []fleet.Command) {
	for _, c := range cs {
		i := slices.IndexFunc(m.tasks, func(k *task) bool { return k.name == c.Task && k.attempt == c.Attempt })
		switch c.Op {
		case "launch":
			if i < 0 {
				m.tasks = append(m.tasks, w.launch(now, m, c))
			}
		case "halt":
			if i >= 0 && m.tasks[i].state != exited {
				if n := w.interactive[m.tasks[i].spec.ID]; n != nil && m.tasks[i].state == running {
					n.halted(now, m)
				}
				w.halt(now, m.tasks[i], c)
			}
		case "forget":
			if i >= 0 && m.tasks[i].state == exited {
				m.tasks = slices.Delete(m.tasks, i, i+1)
			}
		}
	}
}

func (w *World) launch(now time.Duration, m *Machine, c fleet.Command) *task {
	id, _, _ := strings.Cut(c.Task, "/")
	k := &task{name: c.Task, attempt: c.Attempt, spec: w.spec(id), state: pulling, ready: now, given: now}
	if k.spec == nil {
		k.spec = &jobs.Spec{ID: id}
		k.state, k.why = exited, "no_such"
		return k
	}
	free := m.typ.Size()
	for _, o := range m.tasks {
		if o.state == exited {
			continue
		}
		if o.name == c.Task {
			k.state, k.why = exited, "in_use"
			return k
		}
		free = free.Sub(o.spec.Size())
	}
	if !k.spec.Size().Fits(free) {
		k.state, k.why = exited, "full"
		return k
	}
	if !m.images[k.spec.Image] {
		k.ready = now + seconds(k.spec.ImageGB/m.typ.FetchGB)
	}
	return k
}

// spec finds a job's description: as its user uploaded it or, where nobody did, as it stands
// in the state service.
func (w *World) spec(id string) *jobs.Spec {
	if w.specs[id] == nil {
		var r jobs.Record
		if json.Unmarshal(w.svc.Keys[jobs.RecordKey(id)].Value, &r) == nil && r.Spec != nil {
			w.specs[id] = (*jobs.Spec)(r.Spec)
		}
	}
	return w.specs[id]
}

func (w *World) halt(now time.Duration, k *task, c fleet.Command) {
	grace := 0.0
	if c.GraceS != nil {
		grace = *c.GraceS
	}
	switch {
	case k.state == flushing && grace > 0:
	case k.state == running && k.spec.CheckpointS > 0 && grace >= k.spec.SaveS && k.spec.Kind != jobs.Gang:
		k.state, k.flushed = flushing, now+seconds(k.spec.SaveS)
	default:
		w.exit(now, k, "halted")
	}
}

// reports sends a worker's next report when it is due, until the machine is gone.
func (w *World) reports(m *Machine) {
	gap := min(500*time.Millisecond, seconds(w.cfg.Workers.HeartbeatIntervalS/4))
	w.mu.Lock()
	now := w.now()
	if m.dead {
		w.mu.Unlock()
		return
	}
	due := now >= m.next || (now-m.lastSent >= gap && m.said() != m.reported)
	if wait := max(m.hungTill, m.boots) - now; wait > 0 || !due {
		w.mu.Unlock()
		w.ground.after(max(w.cfg.Step, wait), func() { w.reports(m) })
		return
	}
	w.expire(now, m)
	r := w.report(now, m)
	body, _ := json.Marshal(r)
	w.stats.Reports++
	w.stats.ReportBytes += uint64(len(body))
	m.reported, m.lastSent = m.said(), now
	m.next = now + seconds(w.cfg.Workers.HeartbeatIntervalS*(0.75+0.5*w.rng.Float64()))
	to, life, mute, shut := w.settings[m.keeper].PublicAddr, m.life, now < m.muteTill, now < m.shutTill
	if !shut {
		w.copyLater(m.zone, "/checkin", body)
		w.keepCopy(m.zone, body)
	}
	w.mu.Unlock()
	heard := func(status int, answer []byte) { w.answered(m, life, now, r.Session, status, answer) }
	unheard := func() { w.ground.after(max(0, now+reportWait-w.now()), func() { heard(0, nil) }) }
	if mute {
		unheard()
		return
	}
	if shut { // its connections fail at once
		w.ground.after(0, func() { heard(0, nil) })
		return
	}
	w.ground.ask(m.Name, m.zone, to, "/checkin", body, func(status int, answer []byte) {
		w.mu.Lock()
		deaf := w.now() < m.deafTill
		if deaf {
			w.vain(answer)
		}
		w.mu.Unlock()
		if deaf {
			unheard()
			return
		}
		if duration := w.late(&w.delays.answers); w.now()+duration-now <= reportWait {
			w.later(duration, func() { heard(status, answer) })
			return
		}
		unheard()
	})
}

// reportWait is how long a worker waits for the answer to a report.
const reportWait = 4 * time.Second

// said is what of a report changes with its tasks.
func (m *Machine) said() string {
	var b strings.Builder
	fmt.Fprint(&b, m.session, m.noticeAt)
	for _, k := range m.tasks {
		b.WriteString(k.name + k.state)
	}
	return b.String()
}

// answered takes the answer to a report.
func (w *World) answered(m *Machine, life int, sent time.Duration, session uint64, status int, body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if now < m.hungTill && !m.dead { // it reads the answer once it resumes
		w.ground.after(m.hungTill-now, func() { w.answered(m, life, sent, session, status, body) })
		return
	}
	defer w.ground.after(w.cfg.Step, func() { w.reports(m) })
	if m.life != life {
		m.next = now // a former life's answer: the connection is gone
		return
	}
	w.expire(now, m)
	w.stats.AnswerBytes += uint64(len(body))
	if m.dead || m.session != session || now-sent > reportWait {
		return
	}
	switch status {
	case 200:
		var a fleet.HeartbeatResponse
		if json.Unmarshal(body, &a) != nil || a.Token < m.token {
			return
		}
		if a.Token > m.token {
			m.next = now + 100*time.Millisecond
		}
		m.token, m.base = a.Token, sent
		w.execute(now, m, a.Commands)
		return
	case 421:
		var a struct {
			Keeper string `json:"keeper"`
		}
		_ = json.Unmarshal(body, &a)
		i := slices.IndexFunc(w.nodes(), func(n string) bool { return n == a.Keeper })
		if i >= 0 && i != m.keeper {
			m.keeper, m.next = i, now
			return
		}
	}
	m.keeper = (m.keeper + 1) % w.cfg.Controllers
	m.next = now + seconds(min(1, w.cfg.Workers.HeartbeatIntervalS))
}

// nodes are the controllers' names.
func (w *World) nodes() (ns []string) {
	for _, s := range w.settings {
		ns = append(ns, s.Node)
	}
	return ns
}
