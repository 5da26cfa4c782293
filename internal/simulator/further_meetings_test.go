package simulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Those of the users' meetings that neither meetings_test.go nor seven_test.go brings about, in the same cluster.

// launched counts the tasks that some machines were given by a direct command or an answer since a time, and got no further with.
func (r *rolling) launched(names []string, since time.Duration) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		for _, k := range r.byName[name].tasks {
			if k.given >= since {
				n++
			}
		}
	}
	return n
}

// Workers can't open connections to any controller, while direct commands still reach them and are answered: they die with their
// leases and get no new work from soon on, what was there runs elsewhere as soon as proof allows, and they are taken back when they
// report again. One, several, a whole zone; with cancellations, and with a change of the lead.
func TestWorkersReachNobody(t *testing.T) {
	// Reports as far apart as on large deployments: between two of them many commands can be sent, and each is answered.
	rare := config.Workers{HeartbeatIntervalS: 3, LeaseS: 15, GangWaitS: 10, GangPeerS: 2, CancelS: 35}
	for _, c := range []struct {
		n    int
		zone bool
		d    time.Duration
		how  string
	}{
		{1, false, 50 * time.Second, ""},
		{6, false, 50 * time.Second, ""},
		{99, true, 50 * time.Second, ""},
		{6, false, 10 * time.Second, "killed"},
		{99, true, 50 * time.Second, "killed"},
		{99, true, 50 * time.Second, "drained"},
	} {
		t.Run(fmt.Sprint(c.n, " ", c.d, " ", c.how), func(t *testing.T) {
			t.Parallel()
			r, _ := metOn(t, 321, 3, 24, rare)
			for k := range 400 { // a stream of short tasks, so that there is always something to send
				r.After(time.Duration(150*k)*time.Millisecond, func() { r.give(100+k, 2) })
			}
			r.Advance(6 * time.Second)
			l, zone := r.led(), ""
			if c.zone {
				zone = r.elsewhere()
			}
			names := r.Shut(c.n, zone, c.d)
			from := r.Now()
			r.After(time.Second, func() { r.CancelNow(6, 0) })
			if c.how != "" {
				r.After(2*time.Second, func() { changes[c.how](r, l) })
			}
			if c.how == "" {
				// Two reports have been missed by then.
				r.Advance(8 * time.Second)
				worst := 0
				for range 80 {
					r.Advance(500 * time.Millisecond)
					worst = max(worst, r.launched(names, from+7*time.Second))
				}
				if worst > 0 {
					t.Errorf("%d tasks were sent to machines that reach nobody", worst)
				}
			}
			r.Advance(c.d - (r.Now() - from) + time.Second)
			r.settled()
		})
	}
}

// Jobs bound to one zone, arrays, gangs and services, lose machines there, once, again and again, or all of them: nothing of them is
// anywhere else, and they go on there soon after all is well.
func TestJobsOfOneZoneLoseMachines(t *testing.T) {
	losses := map[string]func(r *rolling, zone string){
		"some": func(r *rolling, zone string) {
			for i := range 12 {
				r.After(time.Duration(i)*700*time.Millisecond, func() { r.killIn(zone) })
			}
		},
		"all":   func(r *rolling, zone string) { powerLost(4*time.Second, 0, zone)(r.World) },
		"flaps": func(r *rolling, zone string) { flapZone(4*time.Second, 0, zone)(r.World) },
		"long":  func(r *rolling, zone string) { cutFor(Lost)(18*time.Second, 0, zone)(r.World) },
		"held":  func(r *rolling, zone string) { cutFor(Held)(9*time.Second, 0, zone)(r.World) },
		"deaf":  func(r *rolling, zone string) { r.Deafen(99, zone, 14*time.Second) },
	}
	for what, lose := range losses {
		for _, how := range []string{"", "killed"} {
			t.Run(what+" "+how, func(t *testing.T) {
				t.Parallel()
				r, _ := met(t, 322, 3, 12)
				zone := r.elsewhere()
				var bound []*simUser
				for k := range 18 {
					spec := &jobs.Spec{
						ID: fmt.Sprintf("req-4%05d", k), Class: "bound", Team: []string{"red", "blue"}[k%2], Kind: []jobs.Kind{jobs.Array, jobs.Gang, jobs.Array}[k%3], Priority: "standard",
						Tasks: 1 + k%4, CPUs: 3, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 8, Spot: true,
					}
					if k%2 == 0 {
						spec.Zone = &zone
					} else {
						spec.OneZone = true
					}
					u := &simUser{w: r.World, rng: r.rng, spec: spec}
					r.users, bound = append(r.users, u), append(bound, u)
					r.After(time.Duration(k)*600*time.Millisecond, u.submit)
				}
				r.Advance(4 * time.Second)
				l := r.led()
				lose(r, zone)
				if how != "" {
					r.After(time.Second, func() { changes[how](r, l) })
				}
				for range 80 {
					r.Advance(500 * time.Millisecond)
					r.inZone(bound, zone)
				}
				r.settled()
			})
		}
	}
}

// killIn ends one machine of a zone.
func (r *rolling) killIn(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.shuffled() {
		if m.zone == zone {
			r.stats.MachinesKilled++
			r.end(r.now(), m)
			return
		}
	}
}

// inZone holds that jobs stand where they may: all in their zone, or all in one.
func (r *rolling) inZone(us []*simUser, zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range us {
		in := map[string]bool{}
		for _, m := range r.machines {
			for _, k := range m.tasks {
				if k.counted && !m.dead && k.spec.ID == u.spec.ID {
					in[m.zone] = true
				}
			}
		}
		if len(in) > 1 || u.spec.Zone != nil && len(in) == 1 && !in[zone] {
			r.fail("wrong_place: %s stands in %v", u.spec.ID, in)
		}
	}
}

// There is more work than room, urgent and not, over slow links, and the lead passes: what is urgent goes first, everything begins
// within four minutes of its submission, and nothing is forgotten.
func TestMoreWorkThanRoom(t *testing.T) {
	for _, mean := range []time.Duration{60 * time.Millisecond, 250 * time.Millisecond} {
		t.Run(fmt.Sprint(mean), func(t *testing.T) {
			t.Parallel()
			r, b := met(t, 323, 3, 0)
			r.SlowLinks(mean)
			a := b.Watchers()
			for k := range 150 {
				r.After(time.Duration(300*k)*time.Millisecond, func() {
					u := r.giveAs(k, 14, func(spec *jobs.Spec) {
						spec.Priority, spec.CPUs = []string{"urgent", "standard", "best_effort"}[k%3], 4
						spec.Class = spec.Priority
					})
					r.After(8*time.Second, func() { a.Follow(u.spec.ID, nil) })
					if k%9 == 0 {
						r.After(12*time.Second, u.cancel)
					}
				})
			}
			r.Advance(30 * time.Second)
			l := r.led()
			changes["killed"](r, l)
			r.Advance(20 * time.Second)
			r.SlowLinks(0)
			from := r.Now()
			r.settled()
			urgent, rest := r.Waits("urgent"), append(r.Waits("standard"), r.Waits("best_effort")...)
			t.Logf("urgent ones waited %v at most, the others %v", slices.Max(urgent), slices.Max(rest))
			if slices.Max(rest) > 4*time.Minute || slices.Max(urgent) > slices.Max(rest) {
				t.Error("they began too late, or in the wrong order")
			}
			if gap, job := a.Longest(from, min(r.Now(), from+75*time.Second)); gap > 30*time.Second {
				t.Errorf("no question about %s was answered for %v", job, gap)
			}
		})
	}
}

// Leaders change ten times in two minutes, and inside an outage that outlives a lease too, while jobs come, end and are cancelled.
func TestTenLeaders(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		for _, outage := range []time.Duration{0, 4 * time.Second, 14 * time.Second} {
			t.Run(fmt.Sprint(controllers, " ", outage), func(t *testing.T) {
				t.Parallel()
				r, _ := met(t, 324, controllers, 16)
				r.load(2 * time.Minute)
				_, term := r.World.Leader()
				r.FlipLeaders(10, 2*time.Minute)
				if outage > 0 {
					for _, at := range []time.Duration{11 * time.Second, 46 * time.Second, 83 * time.Second} {
						r.After(at, func() { during(outage, (*World).Outage)(r.World) })
					}
				}
				for k := range 16 {
					r.After(time.Duration(3+7*k)*time.Second, func() { r.cancelAt(r.users[k], k%controllers) })
				}
				r.Advance(2 * time.Minute)
				_, now := r.World.Leader()
				if most := uint64(8); now < term+most && outage < 14*time.Second {
					t.Errorf("the lead passed %d times", now-term)
				}
				r.settled()
			})
		}
	}
}

// All controllers are away for longer than lease_s, with cancellations confirmed just before: every lease runs out, nothing of what
// was cancelled begins again, and everything else goes on.
func TestAllControllersAway(t *testing.T) {
	for _, part := range []float64{0.3, 1.1, 2.2} { // the first: some leases outlive it
		for _, controllers := range []int{3, 5} {
			t.Run(fmt.Sprint(part, " ", controllers), func(t *testing.T) {
				t.Parallel()
				r, _ := met(t, 325, controllers, 24)
				for k := range 8 {
					r.cancelAt(r.users[k], k%controllers)
				}
				r.Advance(30 * time.Millisecond)
				for k := range 4 { // these meet the end of the controllers
					r.cancelAt(r.users[8+k], k%controllers)
				}
				r.After(5*time.Millisecond, func() { killAll(r.World, seconds(part*tight.LeaseS)) })
				r.Advance(seconds(part*tight.LeaseS) + 6*time.Second)
				if s := r.Stats(); part > 1 && s.LeaseEnds < 10 {
					t.Errorf("%d leases ran out", s.LeaseEnds)
				}
				r.settled()
			})
		}
	}
}

// A cancellation, a question or a repeated submission meets the end of a job's last task, with no other trouble: it is done or it is
// cancelled, for everybody and for good.
func TestEndOfTheLastTask(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		r, _ := met(t, 326, controllers, 0)
		r.CancelAtEnd(0.7)
		r.CloseLooks(true)
		for k := range 120 {
			r.After(time.Duration(120*k)*time.Millisecond, func() { r.give(k, 1.5) })
		}
		r.Advance(25 * time.Second)
		r.settled()
		ends := map[string]int{}
		for _, u := range r.users {
			ends[u.told[0]]++
		}
		t.Logf("%v, %d called off at their end", ends, r.Stats().CalledOff)
		if ends["done"] < 10 || ends["cancelled"] < 10 || r.Stats().CalledOff < 40 {
			t.Errorf("%v: they did not meet", ends)
		}
	}
}

// Jobs are cancelled at the very moment at which the state service refuses the leader alone, and a second later it is out for longer
// than cancel_s; the workers report to the old leader throughout.
func TestCancelledAtTheRefusal(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		for _, at := range []time.Duration{-20 * time.Millisecond, -5 * time.Millisecond, 0, 2 * time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond} {
			t.Run(fmt.Sprint(controllers, " ", at), func(t *testing.T) {
				t.Parallel()
				r, _ := met(t, 327, controllers, 24)
				l := r.led()
				r.CloseLooks(true)
				r.After(time.Second, func() { r.Refuse(l, true) })
				for k := range 12 {
					r.After(time.Second+at+time.Duration(k)*time.Millisecond, func() { r.cancelAt(r.users[k], (l+k)%controllers) })
				}
				r.Advance(2 * time.Second)
				r.Outage(true)
				r.Advance(seconds(1.15 * tight.CancelS))
				r.Outage(false)
				r.Advance(2 * time.Second)
				r.Refuse(l, false)
				r.mu.Lock()
				n := len(r.told)
				r.mu.Unlock()
				if n < 8 {
					t.Errorf("%d cancellations were confirmed", n)
				}
				r.settled()
			})
		}
	}
}

// A zone with workers and a controller, the leader or another, is cut off for longer than lease_s, while jobs are cancelled outside and
// asked about on both sides.
func TestZoneCutOffWithItsController(t *testing.T) {
	for _, leads := range []bool{true, false} {
		for _, how := range []Cut{Lost, Held, Refused} {
			for _, part := range []float64{1.3, 2.5} {
				t.Run(fmt.Sprint(leads, " ", how, " ", part), func(t *testing.T) {
					t.Parallel()
					r, b := met(t, 328, 3, 24)
					a := r.asked(b)
					l := r.led()
					zone := r.settings[l].Zone
					if !leads {
						zone = r.elsewhere()
					}
					r.CloseLooks(true)
					r.CutZone(zone, how)
					for k := range 12 {
						r.After(time.Duration(50+400*k)*time.Millisecond, func() { r.cancelAt(r.users[k], k%3) })
					}
					r.load(6 * time.Second)
					r.Advance(seconds(part * tight.LeaseS))
					r.CutZone(zone, Whole)
					from := r.Now()
					r.Advance(40 * time.Second)
					if gap, job := a.Longest(from, r.Now()); gap > 30*time.Second {
						t.Errorf("no question about %s was answered for %v", job, gap)
					}
					r.settled()
				})
			}
		}
	}
}

// A machine type is new, and one controller hasn't heard of it yet: a job that fits no other is accepted by those that have, and that
// one, asked the same within milliseconds, refuses it neither for good nor as unknown.
func TestTypesLearntAtDifferentTimes(t *testing.T) {
	r, _ := met(t, 329, 3, 6)
	l := r.led()
	behind := (l + 1) % 3
	r.Stick(behind, true)
	r.CloseLooks(true)
	big := r.cfg.Types[0]
	big.Name, big.CPUs = "g40", 160
	r.mu.Lock()
	r.cfg.Types = append(slices.Clone(r.cfg.Types), big)
	raw, _ := json.Marshal(map[string]any{"builds": r.cfg.Types})
	r.mu.Unlock()
	r.Store(store.Op{Put: "h/c/types", Value: raw})
	r.Advance(300 * time.Millisecond)
	refused := 0
	for k := range 12 {
		spec := &jobs.Spec{ID: fmt.Sprintf("req-3%05d", k), Class: "big", Team: "red", Kind: jobs.Array, Priority: "standard", Tasks: 1, CPUs: 100, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 3, Spot: true}
		r.Know(spec)
		body, _ := json.Marshal(spec)
		r.Ask(l, "POST", "/v2/runs", body, func(status int, _ []byte) {
			if status != 201 {
				t.Errorf("%s is answered %d", spec.ID, status)
			}
		})
		r.After(30*time.Millisecond, func() {
			r.Ask(behind, "POST", "/v2/runs", body, func(status int, _ []byte) {
				if status == 400 || status == 422 {
					refused++
				}
			})
		})
		r.Advance(50 * time.Millisecond)
	}
	r.Stick(behind, false)
	r.Advance(3 * time.Second)
	if refused > 0 {
		t.Errorf("%d accepted jobs were refused for good", refused)
	}
	for _, b := range r.Broken() {
		t.Error(b)
	}
}
