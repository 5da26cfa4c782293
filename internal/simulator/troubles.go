package simulator

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
)

// What fails by halves: machines heard that don't hear, and the converse; late copies of messages; controllers that
// have lost some of their counterparts; machines back at once; boots that are late, early or never end; jobs with a
// mistake.

// failAfter is how long a task that fails runs.
const failAfter = 300 * time.Millisecond

// Deafen lets some machines hear nothing for a time, though what they say arrives; zone "" means any. It returns their names.
func (w *World) Deafen(n int, zone string, duration time.Duration) []string {
	return w.oneWay(n, zone, func(m *Machine) { m.deafTill = w.now() + duration })
}

// Silence lets nothing of what some machines say arrive for a time, though they hear.
func (w *World) Silence(n int, zone string, duration time.Duration) []string {
	return w.oneWay(n, zone, func(m *Machine) { m.muteTill = w.now() + duration })
}

// Shut lets some machines reach no controller for a time: their connections fail, while direct commands reach them and are
// answered.
func (w *World) Shut(n int, zone string, duration time.Duration) []string {
	return w.oneWay(n, zone, func(m *Machine) { m.shutTill = w.now() + duration })
}

func (w *World) oneWay(n int, zone string, set func(*Machine)) (names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.shuffled() {
		if len(names) == n {
			break
		}
		if zone == "" || m.zone == zone {
			set(m)
			w.stats.OneWay++
			names = append(names, m.Name)
		}
	}
	return names
}

// vain counts the launches in commands that never arrive.
func (w *World) vain(body []byte) {
	var o fleet.HeartbeatResponse // direct commands have the same field
	_ = json.Unmarshal(body, &o)
	for _, c := range o.Commands {
		if c.Op == "launch" {
			w.stats.Vain++
		}
	}
}

// Rebirth restarts a machine with nothing on it within a time, under its old name and address, its session and sequence
// from the start; "" for any machine. It returns its name.
func (w *World) Rebirth(name string, after time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.shuffled() {
		if name != "" && m.Name != name {
			continue
		}
		now := w.now()
		w.drop(now, m)
		m.life++
		m.session, m.seq, m.token, m.noticeAt = 1, 0, 0, 0
		m.boots = now + after
		m.base, m.next, m.lastSent, m.reported = m.boots, m.boots, 0, ""
		m.images = map[string]bool{}
		m.keeper = w.rng.IntN(w.cfg.Controllers)
		w.stats.Reborn++
		return m.Name
	}
	return ""
}

// Fail lets every task on a machine fail from now on.
func (w *World) Fail(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byName[name].faulty = true
}

// Mistake lets every task of a job fail, on whatever machine.
func (w *World) Mistake(job string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mistaken[job] = true
}

// bootTrouble is what happens to machines that are rented while it lasts.
type bootTrouble struct {
	on     bool
	factor float64 // of the usual time
	never  float64 // share that never comes up
}

// Boots lets machines rented from now on take a multiple of their usual time, or never come up; factor 0 ends it.
func (w *World) Boots(factor, never float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boots = bootTrouble{factor > 0, factor, never}
}

// bootTime draws how long a machine takes to come up.
func (w *World) bootTime(t typ) time.Duration {
	duration := seconds(t.BootS * (0.6 + 0.9*w.rng.Float64()))
	if !w.boots.on {
		return duration
	}
	if w.rng.Float64() < w.boots.never {
		return 1000 * time.Hour
	}
	return time.Duration(float64(duration) * w.boots.factor)
}

// copying is how often a message is delivered once more, and how late.
type copying struct {
	share     float64
	least, to time.Duration
}

// Copies lets a share of workers' reports and of users' requests arrive once more, at any controller, between least and
// most later, whatever has become of who sent them.
func (w *World) Copies(share float64, least, most time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copied = copying{share, least, most}
}

func (w *World) copyLater(zone, path string, body []byte) {
	c := w.copied
	if c.share == 0 || w.rng.Float64() >= c.share {
		return
	}
	w.stats.Copies++
	duration := c.least + time.Duration(w.rng.Float64()*float64(c.to-c.least))
	to := w.settings[w.rng.IntN(w.cfg.Controllers)].PublicAddr
	w.ground.after(duration, func() { w.ground.ask("", zone, to, path, body, func(int, []byte) {}) })
}

// Counterpart is whom a controller talks with.
type Counterpart uint8

// The counterparts; they can be added up.
const (
	FromState Counterpart = 1 << iota
	FromPeers
	FromWorkers
	FromUsers
	FromCloud
)

// Sever cuts a controller off from some of its counterparts, and connects it with all others; 0 ends it. What is sent
// meanwhile is lost. It is for simulations.
func (w *World) Sever(controller int, from Counterpart) {
	s := w.sim
	if s.cutOff == nil {
		s.cutOff = map[string]Counterpart{}
	}
	s.cutOff[s.nodes[controller].s.PublicAddr] = from
	if from != 0 {
		w.stats.Severed++
	}
}

// severed tells, whenever it is asked, whether a controller is cut off from a counterpart.
func (s *Sim) severed(public string, from Counterpart) func() bool {
	return func() bool { return s.cutOff[public]&from != 0 }
}

// counterpart tells whom a controller reaches at an address.
func counterpart(addr string) Counterpart {
	switch {
	case strings.HasPrefix(addr, "state-"):
		return FromState
	case strings.HasPrefix(addr, "cloud"), strings.HasPrefix(addr, "licences"):
		return FromCloud
	}
	return FromWorkers
}

// Step is where a controller stands between arriving and leading, as its log names it; "" if it does not run.
func (w *World) Step(i int) string {
	if n := w.sim.nodes[i]; n.c != nil {
		return n.c.Step()
	}
	return ""
}

// RebirthAt kills a controller when it reaches a step of an election, and starts it again after a time.
func (w *World) RebirthAt(i int, step string, after time.Duration) {
	life := w.sim.nodes[i].lives
	var look func()
	look = func() {
		switch n := w.sim.nodes[i]; {
		case n.lives != life:
		case w.Step(i) == step:
			w.KillController(i)
			w.ground.after(after, func() { w.StartController(i) })
		default:
			w.ground.after(time.Millisecond, look)
		}
	}
	look()
}
