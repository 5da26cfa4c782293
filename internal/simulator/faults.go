package simulator

import (
	"slices"
	"strconv"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// Know lets workers know a job, as users do who upload it with its submission.
func (w *World) Know(spec *jobs.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs[spec.ID] = spec
	w.known[spec.ID] = w.now()
}

// Cancelled notes that a user was told that a job is cancelled.
func (w *World) Cancelled(id string) {
	for _, f := range w.tell(id) {
		f()
	}
}

// AllDone tells whether every task of a job is done.
func (w *World) AllDone(id string, tasks int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allDone(id, tasks)
}

func (w *World) allDone(id string, tasks int) bool {
	for t := range tasks {
		if p := w.tasks[id+"/"+strconv.Itoa(t)]; p == nil || !p.done {
			return false
		}
	}
	return true
}

// up lists the machines that are up and do not hang.
func (w *World) up() (ms []*Machine) {
	now := w.now()
	for _, m := range w.machines {
		if !m.dead && now >= m.boots && now >= m.hungTill {
			ms = append(ms, m)
		}
	}
	return ms
}

// CrashTask lets one running task fail; false: none runs.
func (w *World) CrashTask() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.shuffled() {
		if i := slices.IndexFunc(m.tasks, func(k *task) bool { return k.state == running }); i >= 0 {
			w.exit(w.now(), m.tasks[i], "error")
			return true
		}
	}
	return false
}

func (w *World) shuffled() []*Machine {
	ms := w.up()
	w.rng.Shuffle(len(ms), func(a, b int) { ms[a], ms[b] = ms[b], ms[a] })
	return ms
}

// KillMachine ends one machine with all that is on it.
func (w *World) KillMachine() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ms := w.shuffled()
	if len(ms) == 0 {
		return false
	}
	w.stats.MachinesKilled++
	w.end(w.now(), ms[0])
	return true
}

// Hang lets one machine stand still for a time. What ran on it goes on afterwards, unless its
// lease has run out meanwhile.
func (w *World) Hang(duration time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ms := w.shuffled()
	if len(ms) == 0 {
		return false
	}
	w.stats.Hung++
	ms[0].hungTill = w.now() + duration
	for _, k := range ms[0].tasks {
		w.Licences.silent(w.now(), k)
	}
	return true
}

// Delay holds the next direct commands to one machine back for a time.
func (w *World) Delay(duration time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ms := w.shuffled()
	if len(ms) == 0 {
		return false
	}
	ms[0].late = duration
	return true
}

// Notice announces that the cloud takes one spot machine back after a time.
func (w *World) Notice(duration time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.shuffled() {
		if m.spot && m.noticeAt == 0 {
			m.noticeAt = w.now() + duration
			return true
		}
	}
	return false
}

// Busiest names the machine with most tasks on it.
func (w *World) Busiest() (name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := -1
	for _, m := range w.up() {
		if len(m.tasks) > most {
			most, name = len(m.tasks), m.Name
		}
	}
	return name
}

// Returned tells whether a machine was given back.
func (w *World) Returned(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.byName[name]
	return m != nil && m.returned
}
