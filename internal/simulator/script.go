package simulator

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
)

// Fault is one line of a script: what happens when.
type Fault struct {
	After time.Duration
	Text  string
	Apply func(*Simulation)
	// VirtualTimeOnly tells that it can be played in a simulation only.
	VirtualTimeOnly bool
}

// faultKinds are the words of a script, with how many arguments each takes: times, but for refuse's
// first, which is a controller's number, cancel-now's, which is how many jobs, and a zone's name.
var faultKinds = map[string]struct {
	args string
	make func(duration time.Duration, n int, zone string) func(*Simulation)
}{
	"crash-task":   {"", func(time.Duration, int, string) func(*Simulation) { return func(sim *Simulation) { sim.CrashTask() } }},
	"kill-machine": {"", func(time.Duration, int, string) func(*Simulation) { return func(sim *Simulation) { sim.KillMachine() } }},
	"hang": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) { sim.HangMachine(duration) }
	}},
	"delay": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) { sim.DelayMachineCommands(duration) }
	}},
	"notice": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) { sim.ReclaimSpotMachine(duration) }
	}},
	"outage": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return during(duration, (*Simulation).SetStateOutage)
	}},
	"cloud-outage": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return during(duration, (*Simulation).SetCloudOutage)
	}},
	"deaf-machine": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) { sim.DropInbound(1, "", duration) }
	}},
	"mute-machine": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) { sim.DropOutbound(1, "", duration) }
	}},
	"deaf-machines": {"zt", func(duration time.Duration, _ int, zone string) func(*Simulation) {
		return func(sim *Simulation) { sim.DropInbound(1<<30, zone, duration) }
	}},
	"restart-machine": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) { sim.RestartMachine("", duration) }
	}},
	"late-boots": {"t", bootTimeFault(lateBootFactor, 0)},
	"no-boots":   {"t", bootTimeFault(1, 1)},
	"copies": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return during(duration, func(sim *Simulation, on bool) {
			sim.DuplicateMessages(map[bool]float64{true: 0.2}[on], time.Second, seconds(2*sim.cfg.Workers.LeaseS))
		})
	}},
	"late-writes": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return during(duration, func(sim *Simulation, on bool) {
			sim.DelayWrites(map[bool]float64{true: 0.2}[on], sim.leaseFraction(1./12), sim.leaseFraction(1./2))
		})
	}},
	"slow-state":   {"t", delayFault((*Simulation).DelayStateAnswers, 1./200, 1./5)},
	"hold-orders":  {"t", delayFault((*Simulation).DelayCommands, 1./50, 2./3)},
	"hold-answers": {"t", delayFault((*Simulation).DelayHeartbeatAnswers, 1./50, 2./3)},
	"refuse-leader": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) { sim.RefuseLeader(duration) }
	}},
	"stick-leader": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) { sim.stallLeaderWatches(duration) }
	}},
	"outage-at-cancel": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) { sim.OnCancelled(func() { during(duration, (*Simulation).SetStateOutage)(sim) }) }
	}},
	"lost-answers": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return during(duration, func(sim *Simulation, on bool) { sim.LoseTxnAnswers(map[bool]float64{true: 0.3}[on]) })
	}},
	"small-limits": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return during(duration, (*Simulation).SetSmallLimits)
	}},
	"lose-positions": {"t", func(time.Duration, int, string) func(*Simulation) { return (*Simulation).CompactHistory }},
	"keep-copies": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return during(duration, func(sim *Simulation, on bool) { sim.ReplayHeartbeats(map[bool]float64{true: 0.3}[on]) })
	}},
	"close-looks": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return during(duration, (*Simulation).SetPollBursts)
	}},
	"odd-requests": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return during(duration, (*Simulation).SetOddRequests)
	}},
	"cancel-now": {"ct", func(duration time.Duration, n int, _ string) func(*Simulation) {
		return func(sim *Simulation) { sim.CancelRunning(n, duration) }
	}},
	"cancel-at-end": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return during(duration, func(sim *Simulation, on bool) { sim.CancelAtCompletion(map[bool]float64{true: 0.5}[on]) })
	}},
	"shut-machine": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) { sim.RefuseOutbound(1, "", duration) }
	}},
	"shut-machines": {"zt", func(duration time.Duration, _ int, zone string) func(*Simulation) {
		return func(sim *Simulation) { sim.RefuseOutbound(1<<30, zone, duration) }
	}},
	"fast-boots": {"t", bootTimeFault(fastBootFactor, 0)},
	"slow-links": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return during(duration, func(sim *Simulation, on bool) { sim.SetLinkDelay(map[bool]time.Duration{true: slowLinkDelay}[on]) })
	}},
	"flip-leaders": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) { sim.KillLeaders(leaderKillCount, duration) }
	}},
	"licence-down": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return during(duration, func(sim *Simulation, on bool) { sim.Licences.SetDown(on) })
	}},
	"kill-leader": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return onLeader(duration, (*Simulation).KillController)
	}},
	"drain-leader": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return onLeader(duration, drainController)
	}},
	"freeze-leader": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return onLeader(0, func(sim *Simulation, i int) { sim.FreezeController(i, duration) })
	}},
	"cut-off-leader": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return onLeader(0, func(sim *Simulation, i int) { cutLinksFor(sim, i, StateLink|PeerLinks, duration) })
	}},
	"unheard-leader": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return onLeader(0, func(sim *Simulation, i int) { cutLinksFor(sim, i, WorkerLinks, duration) })
	}},
	"kill-controllers": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) {
			for i := range sim.cfg.Controllers {
				sim.KillController(i)
				sim.env.schedule(duration, func() { sim.StartController(i) })
			}
		}
	}},
	"refuse": {"nt", func(duration time.Duration, n int, _ string) func(*Simulation) {
		return during(duration, func(sim *Simulation, on bool) {
			if n < sim.cfg.Controllers {
				sim.RefuseController(n, on)
			}
		})
	}},
	"cut-zone":    {"zt", partitionFault(DropBoth)},
	"hold-zone":   {"zt", partitionFault(DelayBoth)},
	"refuse-zone": {"zt", partitionFault(RefuseBoth)},
	"deaf-zone":   {"zt", partitionFault(DropInto)},
	"mute-zone":   {"zt", partitionFault(DropOutOf)},
	"flap-zone":   {"zt", flapZoneFault},
	"power-zone":  {"zt", powerZoneFault},
	"roll": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) { sim.RollingRestart(rollout.Newest, duration, nil, func() {}) }
	}},
	"roll-back": {"t", func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) { sim.RollingRestart(rollout.Newest-1, duration, nil, func() {}) }
	}},
}

// virtualTimeOnly are the faults that do something to controllers: a simulation's only.
var virtualTimeOnly = map[string]bool{
	"close-looks": true, "odd-requests": true, "cancel-now": true, "cancel-at-end": true, "slow-links": true, "flip-leaders": true, "cut-off-leader": true, "unheard-leader": true, "kill-leader": true, "drain-leader": true, "freeze-leader": true, "kill-controllers": true,
	"cut-zone": true, "hold-zone": true, "refuse-zone": true, "deaf-zone": true, "mute-zone": true, "flap-zone": true, "power-zone": true, "roll": true, "roll-back": true,
}

// lateBootFactor is how many times longer than usual boots take under late-boots, fastBootFactor under fast-boots: all are up within two seconds.
const (
	lateBootFactor = 5
	fastBootFactor = 0.01
)

// slowLinkDelay is the mean time of a message on its way under slow-links, and flips how often flip-leaders ends whoever leads.
const (
	slowLinkDelay   = 150 * time.Millisecond
	leaderKillCount = 10
)

// delayFault is a script's fault: messages of a kind are held up by a part of a lease for a time.
func delayFault(set func(sim *Simulation, least, most time.Duration), least, most float64) func(duration time.Duration, _ int, _ string) func(*Simulation) {
	return func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return during(duration, func(sim *Simulation, on bool) {
			if !on {
				set(sim, 0, 0)
				return
			}
			set(sim, sim.leaseFraction(least), sim.leaseFraction(most))
		})
	}
}

func bootTimeFault(factor, never float64) func(duration time.Duration, _ int, _ string) func(*Simulation) {
	return func(duration time.Duration, _ int, _ string) func(*Simulation) {
		return func(sim *Simulation) {
			sim.SetBootFault(factor, never)
			sim.env.schedule(duration, func() { sim.SetBootFault(0, 0) })
		}
	}
}

func cutLinksFor(sim *Simulation, i int, from Links, duration time.Duration) {
	sim.CutLinks(i, from)
	sim.env.schedule(duration, func() { sim.CutLinks(i, 0) })
}

func drainController(sim *Simulation, i int) { sim.DrainController(i, func() {}) }

// onLeader does something to the controller that leads, and starts it again after a time.
func onLeader(again time.Duration, do func(*Simulation, int)) func(*Simulation) {
	return func(sim *Simulation) {
		i, _ := sim.Leader()
		if i < 0 {
			return
		}
		do(sim, i)
		if again > 0 {
			var restart func()
			restart = func() {
				if sim.StartController(i); sim.virtual.controllers[i].draining {
					sim.env.schedule(sim.cfg.TickInterval, restart) // it still drains
				}
			}
			sim.env.schedule(again, restart)
		}
	}
}

// during switches something on for a time.
func during(duration time.Duration, set func(*Simulation, bool)) func(*Simulation) {
	return func(sim *Simulation) {
		set(sim, true)
		sim.env.schedule(duration, func() { set(sim, false) })
	}
}

// FaultWords lists what a script may say.
func FaultWords() []string {
	var ws []string
	for name, f := range faultKinds {
		ws = append(ws, strings.TrimSpace(name+" "+strings.NewReplacer("n", "CONTROLLER ", "c", "COUNT ", "z", "ZONE ", "t", "TIME").Replace(f.args)))
	}
	sort.Strings(ws)
	return ws
}

// ParseScript reads faults, one a line: "12s hang 5s". Its error names the line.
func ParseScript(r io.Reader) ([]Fault, error) {
	var out []Fault
	lines := bufio.NewScanner(r)
	for no := 1; lines.Scan(); no++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		fs := strings.Fields(text)
		if len(fs) == 0 {
			continue
		}
		wrong := func(what string) error { return fmt.Errorf("line %d: %q: %s", no, strings.TrimSpace(text), what) }
		at, err := time.ParseDuration(fs[0])
		if err != nil || at < 0 || len(fs) < 2 {
			return nil, wrong("begin with a time and a fault, such as \"12s kill-machine\"")
		}
		f, ok := faultKinds[fs[1]]
		if !ok {
			return nil, wrong("no such fault; there are " + strings.Join(FaultWords(), ", "))
		}
		if len(fs)-2 != len(f.args) {
			return nil, wrong(fmt.Sprintf("%s takes %d arguments", fs[1], len(f.args)))
		}
		var duration time.Duration
		n, zone := 0, ""
		for i, kind := range f.args {
			switch kind {
			case 'n', 'c':
				n, err = strconv.Atoi(fs[2+i])
			case 'z':
				zone = fs[2+i]
			default:
				duration, err = time.ParseDuration(fs[2+i])
			}
			if err != nil || duration < 0 || n < 0 {
				return nil, wrong(fs[2+i] + " is not what belongs there")
			}
		}
		out = append(out, Fault{at, strings.Join(fs[1:], " "), f.make(duration, n, zone), virtualTimeOnly[fs[1]]})
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].After < out[b].After })
	return out, lines.Err()
}

// Play plays a script from now on; say is told of each fault.
func (w *Simulation) Play(script []Fault, say func(Fault)) {
	for _, f := range script {
		w.env.schedule(f.After, func() {
			say(f)
			f.Apply(w)
		})
	}
}
