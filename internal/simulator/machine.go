package simulator

import (
	"strconv"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

type typ = capacity.MachineType

// Machine is a rented machine and its worker.
type Machine struct {
	Name     string
	addr     string
	typ      typ
	zone     string
	spot     bool
	rented   time.Duration
	boots    time.Duration // when it is up
	dead     bool
	diedAt   time.Duration
	returned bool
	hungTill time.Duration
	late     time.Duration // direct commands are held back for so long
	deafTill time.Duration // it hears nothing, though it is heard
	muteTill time.Duration // it isn't heard, though it hears
	shutTill time.Duration // it reaches no controller, though direct commands reach it and are answered
	faulty   bool          // every task fails on it
	life     int           // times it was started
	noticeAt time.Duration // the cloud takes it then; 0: it does not

	session, seq, token uint64
	base                time.Duration // the lease counts from here
	next                time.Duration // report
	reported            string        // what the last report said, to see changes
	lastSent            time.Duration
	keeper              int // controller reported to
	tasks               []*task
	images              map[string]bool
}

// task is one attempt on a machine.
type task struct {
	name    string
	spec    *jobs.Spec
	attempt uint64
	state   string
	why     string
	saved   bool
	faulty  bool          // its machine is
	ready   time.Duration // has its image
	waits   time.Duration // for its gang since
	since   time.Duration // running since
	work    float64       // seconds still to do when it began to run
	flushed time.Duration // saved by then
	counted bool          // on the machine, by the rules
	direct  bool          // launched by a direct command
	given   time.Duration // when its launch came
}

// States and reasons on the wire.
const (
	pulling   = "pulling"
	gathering = "gathering"
	running   = "running"
	flushing  = "flushing"
	exited    = "exited"
)

// boot starts a machine; its worker reports once it is up.
func (w *World) boot(now time.Duration, t typ, zone string, spot bool) (*Machine, error) {
	m := &Machine{
		Name: machineName(len(w.machines) + 1), typ: t, zone: zone, spot: spot, rented: now,
		boots: now + w.bootTime(t), session: 1, images: map[string]bool{}, keeper: w.rng.IntN(w.cfg.Controllers),
	}
	var err error
	if m.addr, err = w.ground.listen(m.Name, zone, func(q request, reply answer) { w.orders(m, q, reply) }); err != nil {
		return nil, err
	}
	m.base, m.next = m.boots, m.boots
	w.machines = append(w.machines, m)
	w.byName[m.Name] = m
	w.ground.after(m.boots-now, func() { w.reports(m) })
	return m, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// end takes a machine and everything on it away.
func (w *World) end(now time.Duration, m *Machine) {
	w.drop(now, m)
	if !m.dead {
		w.spent += m.cost(now)
	}
	m.dead, m.diedAt = true, now
}

// cost is a machine's price from its renting on.
func (m *Machine) cost(now time.Duration) float64 {
	price := m.typ.Price
	if m.spot {
		price = m.typ.Spot
	}
	return price * (now - m.rented).Hours()
}

// drop ends a machine's tasks without notice.
func (w *World) drop(now time.Duration, m *Machine) {
	for _, k := range m.tasks {
		if k.state != exited {
			w.Licences.silent(now, k)
		}
	}
	m.tasks = nil
}

// expire ends the session of a worker whose lease has run out.
func (w *World) expire(now time.Duration, m *Machine) {
	if now-m.base > seconds(w.cfg.Workers.LeaseS) {
		w.stats.LeaseEnds++
		w.drop(now, m)
		m.session++
		m.base = now
	}
}

// live lets time pass on a machine.
func (w *World) live(now time.Duration, m *Machine) {
	if m.noticeAt > 0 && now >= m.noticeAt && !m.dead {
		w.end(now, m)
	}
	if m.dead || now < m.boots {
		return
	}
	if now < m.hungTill {
		// It executes nothing, and beyond its lease it never will: what is on it is gone.
		if now-m.base > seconds(w.cfg.Workers.LeaseS) {
			w.drop(now, m)
		}
		for _, k := range m.tasks {
			w.stays(now, m, k)
		}
		return
	}
	w.expire(now, m)
	for _, k := range m.tasks {
		w.stays(now, m, k)
		w.move(now, m, k)
	}
}

// move lets one task go on.
func (w *World) move(now time.Duration, m *Machine, k *task) {
	switch k.state {
	case pulling:
		if now < k.ready {
			return
		}
		m.images[k.spec.Image] = true
		w.begin(now, m, k)
		k.state, k.waits, k.faulty = gathering, now, m.faulty
		if k.spec.Kind != jobs.Gang {
			w.runs(now, k)
		}
	case gathering:
		switch {
		case w.together(k) == k.spec.Tasks:
			w.runs(now, k)
		case now-k.waits > seconds(w.cfg.Workers.GangWaitS):
			w.exit(now, k, "alone")
		}
	case running:
		if !w.Licences.checkOut(now, k) {
			w.exit(now, k, "error") // what the users call failing late and noisily
			return
		}
		gang := k.spec.Kind == jobs.Gang
		switch {
		case now-k.since >= failAfter && (k.faulty || w.mistaken[k.spec.ID]):
			w.exit(now, k, "error")
		case gang && w.together(k) < k.spec.Tasks && w.stat(k).done:
			w.exit(now, k, "done")
		case gang && w.together(k) < k.spec.Tasks:
			w.exit(now, k, "peers")
		case k.spec.Kind != jobs.Service && now-k.since >= seconds(k.work):
			w.finish(now, k)
		}
	case flushing:
		if now >= k.flushed {
			p := w.stat(k)
			p.saved = min(k.spec.EstimateS, p.saved+(k.flushed-k.since).Seconds()-k.spec.SaveS)
			k.saved = true
			w.exit(now, k, "halted")
		}
	}
}

func (w *World) stat(k *task) *progress {
	p := w.tasks[k.name]
	if p == nil {
		p = &progress{}
		w.tasks[k.name] = p
	}
	return p
}

func (w *World) runs(now time.Duration, k *task) {
	k.state, k.since = running, now
	if n := w.interactive[k.spec.ID]; n != nil {
		n.begins(now, k)
	}
	factor := 0.8 + 0.4*w.rng.Float64()
	if w.cfg.Uneven {
		factor = 0.25 + 1.75*w.rng.Float64()
	}
	k.work = max(0.01, (k.spec.EstimateS-w.stat(k).saved)*factor/w.cfg.Speed)
}

// exit ends a task by itself: what it held it gives back, unless it fails.
func (w *World) exit(now time.Duration, k *task, why string) {
	k.state, k.why, k.counted = exited, why, false
	if why == "error" {
		w.stats.Crashed++
		w.Licences.silent(now, k)
		return
	}
	w.Licences.checkIn(k)
}

func (w *World) finish(now time.Duration, k *task) {
	w.stat(k).done = true
	w.exit(now, k, "done")
	w.stats.Done++
	defer w.ends(k.spec)
	if k.spec.Kind == jobs.Gang {
		for t := range k.spec.Tasks {
			w.stat(&task{name: k.spec.ID + "/" + strconv.Itoa(t)}).done = true
		}
	}
}

// together counts the tasks of an attempt that have their image.
func (w *World) together(k *task) (n int) {
	for _, o := range w.machines {
		for _, x := range o.tasks {
			if x.spec.ID == k.spec.ID && x.attempt == k.attempt && x.counted {
				n++
			}
		}
	}
	return n
}

// begin is the moment a task has its image: the rules look here.
func (w *World) begin(now time.Duration, m *Machine, k *task) {
	k.counted = true
	w.began = append(w.began, now)
	if _, ok := w.waits[k.spec.ID]; !ok {
		w.waits[k.spec.ID] = now - w.known[k.spec.ID]
	}
	w.stats.Starts++
	if at, ok := w.told[k.spec.ID]; ok {
		w.stats.AfterCancel++
		if k.direct {
			w.stats.AfterCancelDirect++
		}
		w.stats.LatestAfterCancel = max(w.stats.LatestAfterCancel, now-at)
	}
	if w.stat(k).done {
		w.stats.Again++
	}
	var use planner.Size
	for _, o := range w.machines {
		for _, x := range o.tasks {
			if !x.counted || o.dead {
				continue
			}
			if x.name == k.name && x != k {
				w.fail("ran_twice: %s on %s and %s", k.name, o.Name, m.Name)
			}
			if x.spec.Team == k.spec.Team {
				use = use.Add(x.spec.Size())
			}
		}
	}
	for _, t := range w.cfg.Teams {
		if t.Name == k.spec.Team && ((t.CPUsMax > 0 && use.CPUs > t.CPUsMax+1e-6) || (t.GPUsMax > 0 && use.GPUs > t.GPUsMax+1e-6)) {
			w.fail("quota: team %s uses %v with %s", t.Name, use, k.name)
		}
	}
}
