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

// heartbeat is what a worker tells of itself.
func (w *Simulation) heartbeat(now time.Duration, machine *Machine) fleet.Heartbeat {
	machine.seq++
	r := fleet.Heartbeat{
		Machine: machine.Name, Addr: machine.addr, Type: machine.machineType.Name, Zone: machine.zone, Spot: machine.spot, Session: machine.session, Seq: machine.seq,
		Token: machine.token, Tasks: []fleet.TaskReport{},
	}
	if machine.noticeAt > 0 {
		s := (machine.noticeAt - now).Seconds()
		r.NoticeS = &s
	}
	for _, task := range machine.tasks {
		r.Tasks = append(r.Tasks, fleet.TaskReport{Task: task.name, Attempt: task.attempt, State: task.state, Why: task.reason, Saved: task.saved})
	}
	return r
}

// serveCommands is a worker's direct entry. A machine that hangs takes what waits once it resumes,
// and commands that are held back on the way are carried out long after their sender gave up.
func (w *Simulation) serveCommands(machine *Machine, request httpRequest, reply replyFunc) {
	back := w.drawDelay(&w.delays.commandDelay)
	w.afterDelay(w.drawDelay(&w.delays.commandDelay), func() {
		w.receiveCommands(machine, request, func(status int, body any) { w.afterDelay(back, func() { reply(status, body) }) })
	})
}

func (w *Simulation) receiveCommands(machine *Machine, request httpRequest, reply replyFunc) {
	w.mu.Lock()
	now := w.now()
	wait := max(machine.hungUntil-now, machine.commandDelay)
	if now < machine.inboundLostUntil {
		w.countLostLaunches(request.body)
		w.mu.Unlock()
		return // it never arrives
	}
	if machine.dead || now < machine.upAt {
		w.mu.Unlock()
		reply(504, nil)
		return
	}
	if wait > 0 {
		if machine.commandDelay > 0 {
			w.stats.CommandsDelayed++
			machine.commandDelay = 0
		}
		w.mu.Unlock()
		w.env.schedule(wait, func() { w.receiveCommands(machine, request, reply) })
		return
	}
	status, body := w.carryOutCommands(now, machine, request)
	mute := now < machine.outboundLostUntil
	w.mu.Unlock()
	if !mute {
		reply(status, body)
	}
}

func (w *Simulation) carryOutCommands(now time.Duration, machine *Machine, request httpRequest) (int, any) {
	w.expireWorkerLease(now, machine)
	if request.path == "/status" {
		return 200, w.heartbeat(now, machine)
	}
	var o struct {
		Token    *uint64         `json:"mark"`
		Session  *uint64         `json:"run"`
		Commands []fleet.Command `json:"calls"`
	}
	if json.Unmarshal(request.body, &o) != nil || o.Token == nil || o.Session == nil {
		return 400, nil
	}
	if *o.Token < machine.token || *o.Session != machine.session {
		return 409, w.heartbeat(now, machine)
	}
	machine.token = *o.Token
	had := len(machine.tasks)
	w.execute(now, machine, o.Commands)
	for _, task := range machine.tasks[min(had, len(machine.tasks)):] {
		task.directLaunch = true
	}
	return 200, w.heartbeat(now, machine)
}

// execute carries commands out.
func (w *Simulation) execute(now time.Duration, machine *Machine, cs []fleet.Command) {
	for _, c := range cs {
		i := slices.IndexFunc(machine.tasks, func(task *workerTask) bool { return task.name == c.Task && task.attempt == c.Attempt })
		switch c.Op {
		case "launch":
			if i < 0 {
				machine.tasks = append(machine.tasks, w.launch(now, machine, c))
			}
		case "halt":
			if i >= 0 && machine.tasks[i].state != taskExited {
				if session := w.sessions[machine.tasks[i].spec.ID]; session != nil && machine.tasks[i].state == taskRunning {
					session.processHalted(now, machine)
				}
				w.halt(now, machine.tasks[i], c)
			}
		case "forget":
			if i >= 0 && machine.tasks[i].state == taskExited {
				machine.tasks = slices.Delete(machine.tasks, i, i+1)
			}
		}
	}
}

func (w *Simulation) launch(now time.Duration, machine *Machine, c fleet.Command) *workerTask {
	id, _, _ := strings.Cut(c.Task, "/")
	task := &workerTask{name: c.Task, attempt: c.Attempt, spec: w.spec(id), state: taskPulling, imageReadyAt: now, launchedAt: now}
	if task.spec == nil {
		task.spec = &jobs.Spec{ID: id}
		task.state, task.reason = taskExited, "no_such"
		return task
	}
	free := machine.machineType.Size()
	for _, o := range machine.tasks {
		if o.state == taskExited {
			continue
		}
		if o.name == c.Task {
			task.state, task.reason = taskExited, "in_use"
			return task
		}
		free = free.Sub(o.spec.Size())
	}
	if !task.spec.Size().Fits(free) {
		task.state, task.reason = taskExited, "full"
		return task
	}
	if !machine.images[task.spec.Image] {
		task.imageReadyAt = now + seconds(task.spec.ImageGB/machine.machineType.FetchGB)
	}
	return task
}

// spec finds a job's description: as its user uploaded it or, where nobody did, as it stands
// in the state service.
func (w *Simulation) spec(id string) *jobs.Spec {
	if w.specs[id] == nil {
		var r jobs.Record
		if json.Unmarshal(w.stateService.Keys[jobs.RecordKey(id)].Value, &r) == nil && r.Spec != nil {
			w.specs[id] = r.Spec
		}
	}
	return w.specs[id]
}

func (w *Simulation) halt(now time.Duration, task *workerTask, c fleet.Command) {
	grace := 0.0
	if c.GraceS != nil {
		grace = *c.GraceS
	}
	switch {
	case task.state == taskCheckpointing && grace > 0:
	case task.state == taskRunning && task.spec.CheckpointS > 0 && grace >= task.spec.SaveS && task.spec.Kind != jobs.Gang:
		task.state, task.checkpointDoneAt = taskCheckpointing, now+seconds(task.spec.SaveS)
	default:
		w.exitTask(now, task, "halted")
	}
}

// heartbeatLoop sends a worker's next report when it is due, until the machine is gone.
func (w *Simulation) heartbeatLoop(machine *Machine) {
	gap := min(500*time.Millisecond, seconds(w.cfg.Workers.ReportS/4))
	w.mu.Lock()
	now := w.now()
	if machine.dead {
		w.mu.Unlock()
		return
	}
	due := now >= machine.nextHeartbeat || (now-machine.lastSent >= gap && machine.summary() != machine.lastSummary)
	if wait := max(machine.hungUntil, machine.upAt) - now; wait > 0 || !due {
		w.mu.Unlock()
		w.env.schedule(max(w.cfg.TickInterval, wait), func() { w.heartbeatLoop(machine) })
		return
	}
	w.expireWorkerLease(now, machine)
	r := w.heartbeat(now, machine)
	body, _ := json.Marshal(r)
	w.stats.Heartbeats++
	w.stats.HeartbeatBytes += uint64(len(body))
	machine.lastSummary, machine.lastSent = machine.summary(), now
	machine.nextHeartbeat = now + seconds(w.cfg.Workers.ReportS*(0.75+0.5*w.rng.Float64()))
	to, life, mute, shut := w.settings[machine.controller].Public, machine.incarnation, now < machine.outboundLostUntil, now < machine.outboundRefusedUntil
	if !shut {
		w.duplicate(machine.zone, "/checkin", body)
		w.keepHeartbeat(machine.zone, body)
	}
	w.mu.Unlock()
	heard := func(status int, answer []byte) { w.heartbeatAnswered(machine, life, now, r.Session, status, answer) }
	unheard := func() { w.env.schedule(max(0, now+heartbeatTimeout-w.now()), func() { heard(0, nil) }) }
	if mute {
		unheard()
		return
	}
	if shut { // its connections fail at once
		w.env.schedule(0, func() { heard(0, nil) })
		return
	}
	w.env.post(machine.Name, machine.zone, to, "/checkin", body, func(status int, answer []byte) {
		w.mu.Lock()
		deaf := w.now() < machine.inboundLostUntil
		if deaf {
			w.countLostLaunches(answer)
		}
		w.mu.Unlock()
		if deaf {
			unheard()
			return
		}
		if duration := w.drawDelay(&w.delays.heartbeatAnswerDelay); w.now()+duration-now <= heartbeatTimeout {
			w.afterDelay(duration, func() { heard(status, answer) })
			return
		}
		unheard()
	})
}

// heartbeatTimeout is how long a worker waits for the answer to a report.
const heartbeatTimeout = 4 * time.Second

// summary is what of a report changes with its tasks.
func (m *Machine) summary() string {
	var b strings.Builder
	fmt.Fprint(&b, m.session, m.noticeAt)
	for _, task := range m.tasks {
		b.WriteString(task.name + task.state)
	}
	return b.String()
}

// heartbeatAnswered takes the answer to a report.
func (w *Simulation) heartbeatAnswered(machine *Machine, life int, sent time.Duration, session uint64, status int, body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if now < machine.hungUntil && !machine.dead { // it reads the answer once it resumes
		w.env.schedule(machine.hungUntil-now, func() { w.heartbeatAnswered(machine, life, sent, session, status, body) })
		return
	}
	defer w.env.schedule(w.cfg.TickInterval, func() { w.heartbeatLoop(machine) })
	if machine.incarnation != life {
		machine.nextHeartbeat = now // a former life's answer: the connection is gone
		return
	}
	w.expireWorkerLease(now, machine)
	w.stats.HeartbeatAnswerBytes += uint64(len(body))
	if machine.dead || machine.session != session || now-sent > heartbeatTimeout {
		return
	}
	switch status {
	case 200:
		var a fleet.HeartbeatResponse
		if json.Unmarshal(body, &a) != nil || a.Token < machine.token {
			return
		}
		if a.Token > machine.token {
			machine.nextHeartbeat = now + 100*time.Millisecond
		}
		machine.token, machine.leaseBase = a.Token, sent
		w.execute(now, machine, a.Commands)
		return
	case 421:
		var a struct {
			Keeper string `json:"keeper"`
		}
		_ = json.Unmarshal(body, &a)
		i := slices.IndexFunc(w.nodeNames(), func(n string) bool { return n == a.Keeper })
		if i >= 0 && i != machine.controller {
			machine.controller, machine.nextHeartbeat = i, now
			return
		}
	}
	machine.controller = (machine.controller + 1) % w.cfg.Controllers
	machine.nextHeartbeat = now + seconds(min(1, w.cfg.Workers.ReportS))
}

// nodeNames are the controllers' names.
func (w *Simulation) nodeNames() (ns []string) {
	for _, s := range w.settings {
		ns = append(ns, s.Node)
	}
	return ns
}
