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
	At   time.Duration
	Text string
	Do   func(*World)
	// Simulated tells that it can be played in a simulation only.
	Simulated bool
}

// faults are the words of a script, with how many arguments each takes: times, but for refuse's
// first, which is a controller's number, cancel-now's, which is how many jobs, and a zone's name.
var faults = map[string]struct {
	args string
	make func(duration time.Duration, n int, zone string) func(*World)
}{
	"crash-task":   {"", func(time.Duration, int, string) func(*World) { return func(w *World) { w.CrashTask() } }},
	"kill-machine": {"", func(time.Duration, int, string) func(*World) { return func(w *World) { w.KillMachine() } }},
	"hang":         {"t", func(duration time.Duration, _ int, _ string) func(*World) { return func(w *World) { w.Hang(duration) } }},
	"delay": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return func(w *World) { w.Delay(duration) }
	}},
	"notice": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return func(w *World) { w.Notice(duration) }
	}},
	"outage": {"t", func(duration time.Duration, _ int, _ string) func(*World) { return during(duration, (*World).Outage) }},
	"cloud-outage": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return during(duration, (*World).CloudOutage)
	}},
	"deaf-machine": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return func(w *World) { w.Deafen(1, "", duration) }
	}},
	"mute-machine": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return func(w *World) { w.Silence(1, "", duration) }
	}},
	"deaf-machines": {"zt", func(duration time.Duration, _ int, zone string) func(*World) {
		return func(w *World) { w.Deafen(1<<30, zone, duration) }
	}},
	"restart-machine": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return func(w *World) { w.Rebirth("", duration) }
	}},
	"late-boots": {"t", bootsFor(lateBy, 0)},
	"no-boots":   {"t", bootsFor(1, 1)},
	"copies": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return during(duration, func(w *World, on bool) {
			w.Copies(map[bool]float64{true: 0.2}[on], time.Second, seconds(2*w.cfg.Workers.LeaseS))
		})
	}},
	"late-writes": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return during(duration, func(w *World, on bool) {
			w.LateWrites(map[bool]float64{true: 0.2}[on], w.lateness(1./12), w.lateness(1./2))
		})
	}},
	"slow-state":   {"t", heldFor((*World).SlowState, 1./200, 1./5)},
	"hold-orders":  {"t", heldFor((*World).HoldOrders, 1./50, 2./3)},
	"hold-answers": {"t", heldFor((*World).HoldAnswers, 1./50, 2./3)},
	"refuse-leader": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return func(w *World) { w.RefuseLeader(duration) }
	}},
	"stick-leader": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return func(w *World) { w.stickLeader(duration) }
	}},
	"outage-at-cancel": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return func(w *World) { w.OnCancelled(func() { during(duration, (*World).Outage)(w) }) }
	}},
	"lost-answers": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return during(duration, func(w *World, on bool) { w.LoseAnswers(map[bool]float64{true: 0.3}[on]) })
	}},
	"small-limits": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return during(duration, (*World).SmallLimits)
	}},
	"lose-positions": {"t", func(time.Duration, int, string) func(*World) { return (*World).LosePositions }},
	"keep-copies": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return during(duration, func(w *World, on bool) { w.KeepCopies(map[bool]float64{true: 0.3}[on]) })
	}},
	"close-looks": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return during(duration, (*World).CloseLooks)
	}},
	"odd-requests": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return during(duration, (*World).OddRequests)
	}},
	"cancel-now": {"ct", func(duration time.Duration, n int, _ string) func(*World) {
		return func(w *World) { w.CancelNow(n, duration) }
	}},
	"cancel-at-end": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return during(duration, func(w *World, on bool) { w.CancelAtEnd(map[bool]float64{true: 0.5}[on]) })
	}},
	"shut-machine": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return func(w *World) { w.Shut(1, "", duration) }
	}},
	"shut-machines": {"zt", func(duration time.Duration, _ int, zone string) func(*World) {
		return func(w *World) { w.Shut(1<<30, zone, duration) }
	}},
	"fast-boots": {"t", bootsFor(fastBy, 0)},
	"slow-links": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return during(duration, func(w *World, on bool) { w.SlowLinks(map[bool]time.Duration{true: slowLink}[on]) })
	}},
	"flip-leaders": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return func(w *World) { w.FlipLeaders(flips, duration) }
	}},
	"licence-down": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return during(duration, func(w *World, on bool) { w.Licences.Down(on) })
	}},
	"kill-leader": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return toLeader(duration, (*World).KillController)
	}},
	"drain-leader": {"t", func(duration time.Duration, _ int, _ string) func(*World) { return toLeader(duration, drainNow) }},
	"freeze-leader": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return toLeader(0, func(w *World, i int) { w.FreezeController(i, duration) })
	}},
	"cut-off-leader": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return toLeader(0, func(w *World, i int) { severFor(w, i, FromState|FromPeers, duration) })
	}},
	"unheard-leader": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return toLeader(0, func(w *World, i int) { severFor(w, i, FromWorkers, duration) })
	}},
	"kill-controllers": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return func(w *World) {
			for i := range w.cfg.Controllers {
				w.KillController(i)
				w.ground.after(duration, func() { w.StartController(i) })
			}
		}
	}},
	"refuse": {"nt", func(duration time.Duration, n int, _ string) func(*World) {
		return during(duration, func(w *World, on bool) {
			if n < w.cfg.Controllers {
				w.Refuse(n, on)
			}
		})
	}},
	"cut-zone":    {"zt", cutFor(Lost)},
	"hold-zone":   {"zt", cutFor(Held)},
	"refuse-zone": {"zt", cutFor(Refused)},
	"deaf-zone":   {"zt", cutFor(Deaf)},
	"mute-zone":   {"zt", cutFor(Mute)},
	"flap-zone":   {"zt", flapZone},
	"power-zone":  {"zt", powerLost},
	"roll": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return func(w *World) { w.Roll(rollout.Newest, duration, nil, func() {}) }
	}},
	"roll-back": {"t", func(duration time.Duration, _ int, _ string) func(*World) {
		return func(w *World) { w.Roll(rollout.Newest-1, duration, nil, func() {}) }
	}},
}

// simulated are the faults that do something to controllers: a simulation's only.
var simulated = map[string]bool{
	"close-looks": true, "odd-requests": true, "cancel-now": true, "cancel-at-end": true, "slow-links": true, "flip-leaders": true, "cut-off-leader": true, "unheard-leader": true, "kill-leader": true, "drain-leader": true, "freeze-leader": true, "kill-controllers": true,
	"cut-zone": true, "hold-zone": true, "refuse-zone": true, "deaf-zone": true, "mute-zone": true, "flap-zone": true, "power-zone": true, "roll": true, "roll-back": true,
}

// lateBy is how many times longer than usual boots take under late-boots, fastBy under fast-boots: all are up within two seconds.
const (
	lateBy = 5
	fastBy = 0.01
)

// slowLink is the mean time of a message on its way under slow-links, and flips how often flip-leaders ends whoever leads.
const (
	slowLink = 150 * time.Millisecond
	flips    = 10
)

// heldFor is a script's fault: messages of a kind are held up by a part of a lease for a time.
func heldFor(set func(w *World, least, most time.Duration), least, most float64) func(duration time.Duration, _ int, _ string) func(*World) {
	return func(duration time.Duration, _ int, _ string) func(*World) {
		return during(duration, func(w *World, on bool) {
			if !on {
				set(w, 0, 0)
				return
			}
			set(w, w.lateness(least), w.lateness(most))
		})
	}
}

func bootsFor(factor, never float64) func(duration time.Duration, _ int, _ string) func(*World) {
	return func(duration time.Duration, _ int, _ string) func(*World) {
		return func(w *World) {
			w.Boots(factor, never)
			w.ground.after(duration, func() { w.Boots(0, 0) })
		}
	}
}

func severFor(w *World, i int, from Counterpart, duration time.Duration) {
	w.Sever(i, from)
	w.ground.after(duration, func() { w.Sever(i, 0) })
}

func drainNow(w *World, i int) { w.DrainController(i, func() {}) }

// toLeader does something to the controller that leads, and starts it again after a time.
func toLeader(again time.Duration, do func(*World, int)) func(*World) {
	return func(w *World) {
		i, _ := w.Leader()
		if i < 0 {
			return
		}
		do(w, i)
		if again > 0 {
			var restart func()
			restart = func() {
				if w.StartController(i); w.sim.nodes[i].drains {
					w.ground.after(w.cfg.Step, restart) // it still drains
				}
			}
			w.ground.after(again, restart)
		}
	}
}

// during switches something on for a time.
func during(duration time.Duration, set func(*World, bool)) func(*World) {
	return func(w *World) {
		set(w, true)
		w.ground.after(duration, func() { set(w, false) })
	}
}

// FaultWords lists what a script may say.
func FaultWords() []string {
	var ws []string
	for name, f := range faults {
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
		f, ok := faults[fs[1]]
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
		out = append(out, Fault{at, strings.Join(fs[1:], " "), f.make(duration, n, zone), simulated[fs[1]]})
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].At < out[b].At })
	return out, lines.Err()
}

// Play plays a script from now on; say is told of each fault.
func (w *World) Play(script []Fault, say func(Fault)) {
	for _, f := range script {
		w.ground.after(f.At, func() {
			say(f)
			f.Do(w)
		})
	}
}
