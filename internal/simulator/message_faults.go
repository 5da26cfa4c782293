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

// failingTaskRunTime is how long a task that fails runs.
const failingTaskRunTime = 300 * time.Millisecond

// DropInbound lets some machines hear nothing for a time, though what they say arrives; zone "" means any. It returns their names.
func (w *Simulation) DropInbound(n int, zone string, duration time.Duration) []string {
	return w.affectMachines(n, zone, func(machine *Machine) { machine.inboundLostUntil = w.now() + duration })
}

// DropOutbound lets nothing of what some machines say arrive for a time, though they hear.
func (w *Simulation) DropOutbound(n int, zone string, duration time.Duration) []string {
	return w.affectMachines(n, zone, func(machine *Machine) { machine.outboundLostUntil = w.now() + duration })
}

// RefuseOutbound lets some machines reach no controller for a time: their connections fail, while direct commands reach them and are
// answered.
func (w *Simulation) RefuseOutbound(n int, zone string, duration time.Duration) []string {
	return w.affectMachines(n, zone, func(machine *Machine) { machine.outboundRefusedUntil = w.now() + duration })
}

func (w *Simulation) affectMachines(n int, zone string, set func(*Machine)) (names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, machine := range w.shuffledReadyMachines() {
		if len(names) == n {
			break
		}
		if zone == "" || machine.zone == zone {
			set(machine)
			w.stats.OneWayFaults++
			names = append(names, machine.Name)
		}
	}
	return names
}

// countLostLaunches counts the launches in commands that never arrive.
func (w *Simulation) countLostLaunches(body []byte) {
	var o fleet.HeartbeatResponse // direct commands have the same field
	_ = json.Unmarshal(body, &o)
	for _, c := range o.Commands {
		if c.Op == "launch" {
			w.stats.LaunchesLost++
		}
	}
}

// RestartMachine restarts a machine with nothing on it within a time, under its old name and address, its session and sequence
// from the start; "" for any machine. It returns its name.
func (w *Simulation) RestartMachine(name string, after time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, machine := range w.shuffledReadyMachines() {
		if name != "" && machine.Name != name {
			continue
		}
		now := w.now()
		w.dropTasks(now, machine)
		machine.incarnation++
		machine.session, machine.seq, machine.token, machine.noticeAt = 1, 0, 0, 0
		machine.upAt = now + after
		machine.leaseBase, machine.nextHeartbeat, machine.lastSent, machine.lastSummary = machine.upAt, machine.upAt, 0, ""
		machine.images = map[string]bool{}
		machine.controller = w.rng.IntN(w.cfg.Controllers)
		w.stats.MachinesRestarted++
		return machine.Name
	}
	return ""
}

// FailTasksOnMachine lets every task on a machine fail from now on.
func (w *Simulation) FailTasksOnMachine(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machineByName[name].faulty = true
}

// FailJob lets every task of a job fail, on whatever machine.
func (w *Simulation) FailJob(job string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failingJobs[job] = true
}

// bootFault is what happens to machines that are rented while it lasts.
type bootFault struct {
	on         bool
	factor     float64 // of the usual time
	neverShare float64 // share that never comes up
}

// SetBootFault lets machines rented from now on take a multiple of their usual time, or never come up; factor 0 ends it.
func (w *Simulation) SetBootFault(factor, never float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bootFault = bootFault{factor > 0, factor, never}
}

// bootTime draws how long a machine takes to come up.
func (w *Simulation) bootTime(t MachineType) time.Duration {
	duration := seconds(t.BootS * (0.6 + 0.9*w.rng.Float64()))
	if !w.bootFault.on {
		return duration
	}
	if w.rng.Float64() < w.bootFault.neverShare {
		return 1000 * time.Hour
	}
	return time.Duration(float64(duration) * w.bootFault.factor)
}

// duplication is how often a message is delivered once more, and how late.
type duplication struct {
	share              float64
	minDelay, maxDelay time.Duration
}

// DuplicateMessages lets a share of workers' reports and of users' requests arrive once more, at any controller, between least and
// most later, whatever has become of who sent them.
func (w *Simulation) DuplicateMessages(share float64, least, most time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.duplication = duplication{share, least, most}
}

func (w *Simulation) duplicate(zone, path string, body []byte) {
	c := w.duplication
	if c.share == 0 || w.rng.Float64() >= c.share {
		return
	}
	w.stats.DuplicatesSent++
	duration := c.minDelay + time.Duration(w.rng.Float64()*float64(c.maxDelay-c.minDelay))
	to := w.settings[w.rng.IntN(w.cfg.Controllers)].Public
	w.env.schedule(duration, func() { w.env.post("", zone, to, path, body, func(int, []byte) {}) })
}

// Links is whom a controller talks with.
type Links uint8

// The counterparts; they can be added up.
const (
	StateLink Links = 1 << iota
	PeerLinks
	WorkerLinks
	UserLinks
	CloudLink
)

// CutLinks cuts a controller off from some of its counterparts, and connects it with all others; 0 ends it. What is sent
// meanwhile is lost. It is for simulations.
func (w *Simulation) CutLinks(controller int, from Links) {
	env := w.virtual
	if env.cutLinks == nil {
		env.cutLinks = map[string]Links{}
	}
	env.cutLinks[env.controllers[controller].settings.Public] = from
	if from != 0 {
		w.stats.LinksCut++
	}
}

// linkCheck tells, whenever it is asked, whether a controller is cut off from a counterpart.
func (s *virtualTime) linkCheck(public string, from Links) func() bool {
	return func() bool { return s.cutLinks[public]&from != 0 }
}

// linkTo tells whom a controller reaches at an address.
func linkTo(addr string) Links {
	switch {
	case strings.HasPrefix(addr, "state-"):
		return StateLink
	case strings.HasPrefix(addr, "cloud"), strings.HasPrefix(addr, "licences"):
		return CloudLink
	}
	return WorkerLinks
}

// ControllerStep is where a controller stands between arriving and leading, as its log names it; "" if it does not run.
func (w *Simulation) ControllerStep(i int) string {
	if controller := w.virtual.controllers[i]; controller.process != nil {
		return controller.process.Step()
	}
	return ""
}

// RestartControllerAtStep kills a controller when it reaches a step of an election, and starts it again after a time.
func (w *Simulation) RestartControllerAtStep(i int, step string, after time.Duration) {
	life := w.virtual.controllers[i].incarnation
	var look func()
	look = func() {
		switch controller := w.virtual.controllers[i]; {
		case controller.incarnation != life:
		case w.ControllerStep(i) == step:
			w.KillController(i)
			w.env.schedule(after, func() { w.StartController(i) })
		default:
			w.env.schedule(time.Millisecond, look)
		}
	}
	look()
}
