package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// The users' further meetings, each with its ingredients crossed, in the cluster of meetings_test.go. Answers are held to be
// monotonic over all controllers throughout, and no job may wait for long beside room once all is well.

// changes are the ways in which one controller's work passes on to another, by name; each is given the leader.
var changes = map[string]func(r *rolling, l int){
	"killed":  inside["leader killed"],
	"at once": inside["leader back at once"],
	"frozen":  inside["leader frozen"],
	"drained": inside["leader drained"],
	"refused": func(r *rolling, l int) {
		r.RefuseController(l, true)
		r.After(6*time.Second, func() { r.RefuseController(l, false) })
	},
	"cut off":    func(r *rolling, l int) { r.cutLinksFor(l, StateLink|PeerLinks, 6*time.Second) },
	"all killed": func(r *rolling, _ int) { killAll(r.Simulation, 300*time.Millisecond) },
	"watch stuck": func(r *rolling, l int) {
		r.StallWatches(l, true)
		r.After(12*time.Second, func() { r.StallWatches(l, false) })
	},
}

func killAll(sim *Simulation, back time.Duration) {
	for i := range sim.Controllers() {
		sim.KillController(i)
		sim.After(back+time.Duration(i)*200*time.Millisecond, func() { sim.StartController(i) })
	}
}

// Users ask at all controllers, again and again within milliseconds, and repeat the submission, right after a job was accepted,
// ended or confirmed as cancelled, some cancelling at once: nobody answers anything older. With nothing else going on, while answers
// of the state service are lost, late or slow, and while the lead passes.
func TestLookedAtClosely(t *testing.T) {
	meets := map[string]func(r *rolling){
		"nothing":      func(*rolling) {},
		"lost answers": func(r *rolling) { r.LoseTxnAnswers(0.2) },
		"late writes":  func(r *rolling) { r.DelayWrites(0.15, 300*time.Millisecond, 3*time.Second) },
		"slow state":   func(r *rolling) { r.DelayStateAnswers(5*time.Millisecond, 700*time.Millisecond) },
		"changes": func(r *rolling) {
			for i, how := range []string{"killed", "drained", "refused", "frozen"} {
				r.After(time.Duration(2+7*i)*time.Second, func() {
					if l, _ := r.Leader(); l >= 0 {
						changes[how](r, l)
					}
				})
			}
		},
		"watches stick": func(r *rolling) {
			for i := range r.Controllers() {
				r.After(time.Duration(4*i)*time.Second, func() {
					r.during(4*time.Second, func(on bool) { r.StallWatches(i, on) })
				})
			}
		},
	}
	for what, f := range meets {
		for _, controllers := range []int{3, 5} {
			t.Run(fmt.Sprint(what, " ", controllers), func(t *testing.T) {
				t.Parallel()
				r, _ := met(t, 301, controllers, 8)
				r.SetPollBursts(true)
				r.CancelAtCompletion(0.3)
				r.SetOddRequests(true)
				f(r)
				r.load(24 * time.Second)
				for k := range 8 {
					r.After(time.Duration(2+2*k)*time.Second, func() { r.cancelAt(r.users[k], k%controllers) })
				}
				r.Advance(32 * time.Second)
				r.LoseTxnAnswers(0)
				r.DelayWrites(0, 0, 0)
				r.DelayStateAnswers(0, 0)
				r.Advance(5 * time.Second)
				r.settled()
				if s := r.Stats(); s.PollBursts < 40 || s.OddRequests < 60 || s.OddRequestsRefused < 10 || s.JobsCancelled < 4 {
					t.Errorf("hardly anybody looked: %+v", s)
				}
			})
		}
	}
}

// Transactions are carried out at once and only their answers are lost, while the other controllers read what they wrote: of
// submissions, cancellations, ends, plans, campaigns, registrations. Whoever wrote neither undoes nor doubles it.
func TestOnlyTheAnswerIsLost(t *testing.T) {
	for _, share := range []float64{0.15, 0.4, 0.8} {
		for _, controllers := range []int{3, 5} {
			t.Run(fmt.Sprint(share, " ", controllers), func(t *testing.T) {
				t.Parallel()
				r, _ := met(t, 302, controllers, 12)
				r.SetPollBursts(true)
				r.load(30 * time.Second)
				r.LoseTxnAnswers(share)
				for k := range 10 {
					r.After(time.Duration(1+2*k)*time.Second, func() { r.cancelAt(r.users[k], k%controllers) })
				}
				for i, how := range []string{"killed", "drained", "all killed", "at once"} {
					r.After(time.Duration(3+7*i)*time.Second, func() {
						if l, _ := r.Leader(); l >= 0 {
							changes[how](r, l)
						}
					})
				}
				r.Advance(32 * time.Second)
				if n := r.Stats().LostAnswers; n < 20 {
					t.Errorf("%d answers were lost", n)
				}
				r.LoseTxnAnswers(0)
				r.Advance(5 * time.Second)
				r.settled()
			})
		}
	}
}

// used is how many processors a team's tasks take on machines, by the truth.
func (r *rolling) used(team string) (cpus float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, machine := range r.cloud.machines {
		for _, task := range machine.tasks {
			if !machine.dead && task.counted && task.spec.Team == team {
				cpus += task.spec.CPUs
			}
		}
	}
	return cpus
}

// Every team is at its limit while jobs are cancelled whose machines are cut off, deaf, shut or hang, for less than a lease and for
// more, and the lead passes: what may still run counts, and no longer than that.
func TestEveryTeamAtItsLimit(t *testing.T) {
	outs := map[string]func(r *rolling, zone string, duration time.Duration){
		"cut": func(r *rolling, zone string, duration time.Duration) {
			r.partitionZoneFor(zone, DropBoth, duration)
		},
		"held": func(r *rolling, zone string, duration time.Duration) {
			r.partitionZoneFor(zone, DelayBoth, duration)
		},
		"deaf": func(r *rolling, zone string, duration time.Duration) { r.DropInbound(9, zone, duration) },
		"shut": func(r *rolling, zone string, duration time.Duration) { r.RefuseOutbound(9, zone, duration) },
		"hang": func(*rolling, string, time.Duration) {},
	}
	for what, out := range outs {
		for _, duration := range []time.Duration{4 * time.Second, 9 * time.Second} {
			for _, how := range []string{"killed", "frozen", "drained"} {
				t.Run(fmt.Sprint(what, " ", duration, " ", how), func(t *testing.T) {
					t.Parallel()
					r, _ := met(t, 303, 3, 24)
					for k := range 60 { // more than both teams may run
						r.give(100+k, 9)
					}
					r.reach("at the limits", 30*time.Second, func() bool { return r.used("red") > 120 && r.used("blue") > 120 })
					l, zone := r.led(), r.elsewhere()
					out(r, zone, duration)
					hang := time.Duration(0)
					if what == "hang" {
						hang = duration
					}
					if n := len(r.CancelRunning(16, hang)); n < 12 {
						t.Errorf("%d jobs were called off", n)
					}
					r.After(250*time.Millisecond, func() { changes[how](r, l) })
					r.After(duration/2, func() { r.CancelRunning(8, 0) })
					r.Advance(duration + 4*time.Second)
					r.settled()
				})
			}
		}
	}
}

// Jobs are cancelled in the seconds in which one controller's work passes to another, at every tenth of a second of it, through all
// controllers, the one that hands over among them.
func TestCancelledWhileWorkChangesHands(t *testing.T) {
	for how, change := range changes {
		for _, controllers := range []int{3, 5} {
			t.Run(fmt.Sprint(how, " ", controllers), func(t *testing.T) {
				t.Parallel()
				r, _ := met(t, 304, controllers, 40)
				r.load(12 * time.Second)
				l := r.led()
				r.SetPollBursts(true)
				for k := range 40 {
					r.After(time.Duration(100*k)*time.Millisecond, func() { r.cancelAt(r.users[k], (l+k)%controllers) })
				}
				r.After(time.Second, func() { change(r, l) })
				r.Advance(14 * time.Second)
				r.settled()
			})
		}
	}
}

// New machines are up within two seconds and get work at once while writes lag, and the leader ends: nothing starts on them that its
// plan doesn't name, and nothing twice.
func TestBootsAtOnce(t *testing.T) {
	lag := map[string]func(r *rolling){
		"late":  func(r *rolling) { r.DelayWrites(0.35, 500*time.Millisecond, 4*time.Second) },
		"slow":  func(r *rolling) { r.DelayStateAnswers(100*time.Millisecond, 1500*time.Millisecond) },
		"lost":  func(r *rolling) { r.LoseTxnAnswers(0.5) },
		"never": func(r *rolling) { r.neverPlans() },
	}
	for what, f := range lag {
		for _, how := range []string{"killed", "at once", "frozen"} {
			t.Run(what+" "+how, func(t *testing.T) {
				t.Parallel()
				r, _ := met(t, 305, 3, 24)
				r.SetBootFault(0.01, 0)
				f(r)
				for range 3 {
					for range 5 {
						r.KillMachine()
					}
					for k := range 8 {
						r.give(100+len(r.users)+k, 5)
					}
					r.Advance(1200 * time.Millisecond)
					if l, _ := r.Leader(); l >= 0 {
						changes[how](r, l)
					}
					r.Advance(7 * time.Second)
				}
				r.SetBootFault(0, 0)
				r.DelayWrites(0, 0, 0)
				r.DelayStateAnswers(0, 0)
				r.LoseTxnAnswers(0)
				r.InterceptTxns(nil)
				r.Advance(5 * time.Second)
				r.settled()
			})
		}
	}
}

// neverPlans lets every third write of plans get no answer: it is never carried out, or late.
func (r *rolling) neverPlans() {
	n := 0
	r.InterceptTxns(func(_ int, txn store.Txn) TxnOutcome {
		if !slices.ContainsFunc(txn.Then, func(o store.Op) bool { return len(o.Put) > 1 && o.Put[:2] == jobs.PlanPrefix[:2] }) {
			return TxnOutcome{}
		}
		switch n++; n % 6 {
		case 0:
			return TxnOutcome{Dropped: true}
		case 3:
			return TxnOutcome{Delay: 2500 * time.Millisecond}
		}
		return TxnOutcome{}
	})
}

// Old reports, of earlier sessions, lives and attempts too, reach every controller just as a new leader begins, and once it has
// acted: nothing follows from them, and the machines they name go on.
func TestOldReportsAsALeaderBegins(t *testing.T) {
	meets := map[string]func(r *rolling){
		"nothing":  func(*rolling) {},
		"sessions": func(r *rolling) { r.DropInbound(4, "", 7*time.Second); r.RefuseOutbound(4, "", 7*time.Second) },
		"lives": func(r *rolling) {
			r.RestartMachine("", 200*time.Millisecond)
			r.RestartMachine("", 900*time.Millisecond)
		},
		"ends":   func(r *rolling) { r.CrashTask(); r.KillMachine(); r.ReclaimSpotMachine(time.Second) },
		"cancel": func(r *rolling) { r.CancelRunning(4, 3*time.Second) },
	}
	for what, f := range meets {
		for _, how := range []string{"killed", "drained", "all killed", "cut off"} {
			t.Run(what+" "+how, func(t *testing.T) {
				t.Parallel()
				r, _ := met(t, 306, 3, 20)
				r.load(40 * time.Second)
				r.ReplayHeartbeats(0.6)
				for range 5 {
					f(r)
					r.Advance(3 * time.Second)
					if l, _ := r.Leader(); l >= 0 {
						changes[how](r, l)
					}
					r.Advance(6 * time.Second)
				}
				r.ReplayHeartbeats(0)
				if n := r.Stats().HeartbeatsReplayed; n < 100 {
					t.Errorf("%d copies were kept", n)
				}
				r.Advance(6 * time.Second)
				r.settled()
			})
		}
	}
}

// One-task jobs come four a second for minutes, a quarter of them cancelled, at the rates of the users' smaller state service (30
// changes a second): all are accepted at once and begin soon, also across two changes of the lead.
func TestStreamOfOneTaskJobs(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		t.Run(fmt.Sprint(controllers), func(t *testing.T) {
			t.Parallel()
			types := []capacity.MachineType{{Name: "g4", CPUs: 16, GPUs: 4, Mem: 128, CacheGB: 100, FetchGB: 10, Price: 4, Spot: 1.5, BootS: 3, Zones: []string{"a", "b", "c"}}}
			sim, err := NewVirtualTime(Config{
				Seed: 307, MaxMachines: 12, Types: types, Controllers: controllers, Zones: []string{"a", "b", "c"}, TickInterval: 20 * time.Millisecond, Workers: tight,
				State: config.State{RPS: 120, WriteRPS: 30, ValueKB: 8, TxnOps: 24}, Teams: []config.Team{{Name: "red"}, {Name: "blue"}},
			}, nil)
			if err != nil {
				t.Fatal(err)
			}
			r := &rolling{Simulation: sim, t: t, rng: rand.New(rand.NewPCG(307, 43))}
			r.watch()
			r.led()
			r.SetPollBursts(true)
			tries, latest := 0, time.Duration(0)
			const n = 600
			for i := range n {
				r.After(time.Duration(i)*250*time.Millisecond, func() {
					spec := &jobs.Spec{
						ID: fmt.Sprintf("req-5%05d", i), Class: "tiny", Team: []string{"red", "blue"}[i%2], Kind: jobs.Array, Priority: "standard", Tasks: 1, CPUs: 1, MemoryGB: 1,
						Image: "i", ImageGB: 0.5, EstimateS: 5, Spot: true,
					}
					u := &simUser{w: r.Simulation, rng: r.rng, spec: spec}
					r.users = append(r.users, u)
					u.submit()
					if i%4 == 0 {
						r.After(time.Duration(r.rng.IntN(6000))*time.Millisecond, u.cancel)
					}
					at := r.Now()
					var look func()
					look = func() {
						if u.status == 200 || u.status == 201 {
							latest = max(latest, r.Now()-at)
							return
						}
						tries++
						r.After(100*time.Millisecond, look)
					}
					r.After(50*time.Millisecond, look)
				})
			}
			r.After(50*time.Second, func() { l := r.ActingLeaders(); changes["killed"](r, l[0]) })
			r.After(100*time.Second, func() { l := r.ActingLeaders(); changes["drained"](r, l[0]) })
			r.Advance(n * 250 * time.Millisecond)
			r.settled()
			waits := r.StartDelays("tiny")
			slices.Sort(waits)
			t.Logf("%d began, half within %v, 98%% within %v, the last after %v; the latest was accepted after %v", len(waits), waits[len(waits)/2], waits[len(waits)*98/100], waits[len(waits)-1], latest)
			if len(waits) < n*3/4 || waits[len(waits)/2] > 2*time.Second || waits[len(waits)-1] > 30*time.Second || latest > 10*time.Second {
				t.Errorf("%d began", len(waits))
			}
		})
	}
}
