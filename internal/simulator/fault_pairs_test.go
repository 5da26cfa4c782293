package simulator

import (
	"encoding/json"
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

// Where two troubles meet: each of the users' meetings, with its ingredients crossed. The holds live for 2 s here, a lease is
// 6 s and cancel_s 11.5 s, 1 s more than the least that the settings accept.

// met is a cluster on tight workers, with jobs of all kinds that run for long, so that something is to be lost.
func met(t *testing.T, seed uint64, controllers, n int) (*rolling, *Balancer) {
	t.Helper()
	return metOn(t, seed, controllers, n, tight)
}

// metOn does so on other workers.
func metOn(t *testing.T, seed uint64, controllers, n int, workers config.Workers) (*rolling, *Balancer) {
	t.Helper()
	types := []capacity.MachineType{{Name: "g4", CPUs: 16, GPUs: 4, Mem: 128, CacheGB: 100, FetchGB: 10, Price: 4, Spot: 1.5, BootS: 3, Zones: []string{"a", "b", "c"}}}
	sim, err := NewVirtualTime(Config{
		Seed: seed, MaxMachines: 20, Types: types, Controllers: controllers, Zones: []string{"a", "b", "c"}, TickInterval: 20 * time.Millisecond, Workers: workers, VariedRunTimes: true,
		LicencePools: map[string]int{"transcribe": 12}, State: config.State{RPS: 400, WriteRPS: 60, ValueKB: 8, TxnOps: 24}, Teams: []config.Team{{Name: "red", CPUs: 60, CPUsMax: 130}, {Name: "blue", CPUs: 60, CPUsMax: 130}},
	},
		func(settings *config.Settings) error { return settings.ReadOperator("o.hcl", []byte(chaosPools)) })
	if err != nil {
		t.Fatal(err)
	}
	r := &rolling{Simulation: sim, t: t, rng: rand.New(rand.NewPCG(seed, 43))}
	r.watch()
	balancer := r.Balance()
	for i := range n {
		r.give(i, 20)
	}
	r.reach("working", 40*time.Second, func() bool { return n == 0 || r.Utilization().Running > n })
	return r, balancer
}

// give submits a long job: an array, a gang, or an array that saves.
func (r *rolling) give(i int, estimate float64) *simUser {
	return r.giveAs(i, estimate, func(*jobs.Spec) {})
}

// giveAs does so with something changed.
func (r *rolling) giveAs(i int, estimate float64, change func(*jobs.Spec)) *simUser {
	spec := &jobs.Spec{
		ID: fmt.Sprintf("req-6%05d", i), Class: "long", Team: []string{"red", "blue"}[i%2], Kind: jobs.Array, Priority: "standard", Tasks: 1 + i%3, CPUs: 3, MemoryGB: 1,
		Image: "i", ImageGB: 1, EstimateS: estimate, Spot: true,
	}
	if i%5 > 0 { // machines stand in all zones
		spec.Zone = &[]string{"a", "b", "c"}[i%3]
	}
	switch i % 4 {
	case 1:
		spec.Kind = jobs.Gang
	case 2:
		spec.CheckpointS, spec.SaveS = 1, 1.5
	}
	change(spec)
	u := &simUser{w: r.Simulation, rng: r.rng, spec: spec}
	r.users = append(r.users, u)
	u.submit()
	return u
}

// cancelAt lets a user's cancellation go through one controller, and elsewhere if that doesn't take it.
func (r *rolling) cancelAt(u *simUser, i int) {
	u.asked = true
	r.Request(i, "POST", "/v2/runs/"+u.spec.ID+"/abort", []byte("{}"), func(status int, raw []byte) {
		switch {
		case status != 200:
			r.After(time.Second, u.cancel)
		case jobStateIn(raw) == "cancelled":
			r.ConfirmCancelled(u.spec.ID)
		}
	})
}

// led names the controller that leads; one must.
func (r *rolling) led() int {
	r.t.Helper()
	r.reach("led", 15*time.Second, func() bool { return len(r.ActingLeaders()) == 1 })
	return r.ActingLeaders()[0]
}

// settled lets everything heal, waits for the end of all jobs, and checks what must hold then.
func (r *rolling) settled() {
	r.t.Helper()
	for i := range r.Controllers() {
		r.StartController(i)
	}
	beside := r.WatchIdleCapacity()
	r.over()
	for _, n := range r.nodeNames() {
		if r.StoredItem("h/c/n/"+n).Version == 0 {
			r.t.Errorf("%s is there and has no member key", n)
		}
	}
	s := r.Stats()
	longest, job := beside()
	r.t.Logf("cancelled tasks stayed %v at most, of %v; %s waited %v beside room; %d tasks began after their cancellation, the latest %v", s.LongestRunAfterCancel, seconds(tight.CancelS), job, longest, s.StartsAfterCancel, s.LatestStartAfterCancel)
}

// inside is what else goes on in a gap, by name; each is given the leader.
var inside = map[string]func(r *rolling, l int){
	"nothing":       func(*rolling, int) {},
	"leader killed": func(r *rolling, l int) { r.KillController(l); r.After(4*time.Second, func() { r.StartController(l) }) },
	"leader back at once": func(r *rolling, l int) {
		r.KillController(l)
		r.After(100*time.Millisecond, func() { r.StartController(l) })
	},
	"leader frozen":  func(r *rolling, l int) { r.FreezeController(l, 5*time.Second) },
	"leader drained": func(r *rolling, l int) { r.DrainController(l, func() { r.StartController(l) }) },
	"machines hang": func(r *rolling, _ int) {
		for range 6 {
			r.HangMachine(5 * time.Second)
		}
	},
	"machines deaf": func(r *rolling, _ int) { r.DropInbound(8, "", 9*time.Second) },
	"commands held": func(r *rolling, _ int) {
		r.DelayCommands(time.Second, 5*time.Second)
		r.After(6*time.Second, func() { r.DelayCommands(0, 0) })
	},
	"watches stick": func(r *rolling, l int) {
		r.StallWatches(l, true)
		r.After(20*time.Second, func() { r.StallWatches(l, false) })
	},
	"copies": func(r *rolling, _ int) { r.DuplicateMessages(0.4, 200*time.Millisecond, 20*time.Second) },
}

// The gap: the state service refuses the leader alone, another controller confirms cancellations, then the service is down for
// all for longer than cancel_s, while the workers keep reporting to the old leader; and once more. The refusal ends before, in or
// after the outage, and something else goes on inside.
func TestGap(t *testing.T) {
	for what, f := range inside {
		for _, refused := range []time.Duration{400 * time.Millisecond, 8 * time.Second, 22 * time.Second} {
			t.Run(fmt.Sprint(what, " ", refused), func(t *testing.T) {
				r, _ := met(t, 201, 3, 24)
				told := 0
				for gap := range 2 {
					l := r.led()
					r.RefuseController(l, true)
					r.After(refused, func() { r.RefuseController(l, false) })
					r.After(300*time.Millisecond, func() { f(r, l) })
					for k := range 8 {
						u := r.users[8*gap+k]
						r.After(time.Duration(50+140*k)*time.Millisecond, func() { r.cancelAt(u, (l+1+k%2)%3) })
					}
					r.After(1100*time.Millisecond, func() { r.SetStateOutage(true) })
					r.Advance(1100*time.Millisecond + seconds(1.2*tight.CancelS))
					r.mu.Lock()
					if len(r.work.cancelledAt) < told+4 {
						t.Errorf("gap %d: %d cancellations were confirmed", gap, len(r.work.cancelledAt)-told)
					}
					told = len(r.work.cancelledAt)
					r.mu.Unlock()
					r.SetStateOutage(false)
					r.Advance(6 * time.Second)
				}
				r.settled()
			})
		}
	}
}

// The followed keys of a leader don't come while its renewals and reads succeed, and jobs are cancelled through others: it
// stops acting when its picture is too old for cancel_s, and hands on so that somebody else can lead.
func TestLeaderWithAnOldPicture(t *testing.T) {
	for _, slow := range []bool{false, true} {
		r, _ := met(t, 202, 3, 24)
		l, from := r.led(), r.Now()
		r.StallWatches(l, true)
		if slow {
			r.DelayStateAnswers(20*time.Millisecond, 900*time.Millisecond)
		}
		for k := range 12 {
			r.After(time.Duration(100+300*k)*time.Millisecond, func() { r.cancelAt(r.users[k], (l+1+k%2)%3) })
		}
		r.reach("led from elsewhere", 14*time.Second, func() bool { n, _ := r.Leader(); return n >= 0 && n != l })
		t.Logf("led from elsewhere after %v", r.Now()-from)
		r.Advance(10 * time.Second)
		r.StallWatches(l, false)
		r.DelayStateAnswers(0, 0)
		r.settled()
	}
}

// A watch of the leader is lost while the service answers everything else: it is asked anew, and the lead stays.
func TestLostWatch(t *testing.T) {
	r, _ := met(t, 203, 3, 6)
	l := r.led()
	_, term := r.Leader()
	r.mu.Lock()
	r.state.dropWatches = true
	r.mu.Unlock()
	r.Advance(1600 * time.Millisecond)
	r.mu.Lock()
	r.state.dropWatches = false
	r.mu.Unlock()
	r.Advance(10 * time.Second)
	if n, now := r.Leader(); n != l || now != term {
		t.Errorf("controller %d leads in term %d, it was %d in %d", n, now, l, term)
	}
	if len(r.ActingLeaders()) != 1 {
		t.Error("nobody may act: the watch is waited for")
	}
	r.settled()
}

// The first answer of a new leader is the last that a machine hears: it hasn't seen the token yet, and what was cancelled
// on it must have been stopped by that answer, for it extends the lease.
func TestFirstAnswerIsTheLast(t *testing.T) {
	r, _ := met(t, 204, 3, 30)
	l := r.led()
	zone := r.elsewhere()
	r.PartitionZone(zone, RefuseBoth)
	from := r.Now()
	for k, u := range r.users {
		r.After(time.Duration(20*k)*time.Millisecond, func() { r.cancelAt(u, (l+1+k%2)%3) })
	}
	r.Advance(200 * time.Millisecond)
	r.KillController(l)
	r.After(30*time.Second, func() { r.StartController(l) })
	old := map[string]uint64{}
	r.mu.Lock()
	for _, machine := range r.readyMachines() {
		old[machine.Name] = machine.token
	}
	r.mu.Unlock()
	r.Advance(5400*time.Millisecond - (r.Now() - from))
	r.PartitionZone(zone, Connected)
	last := 0
	for range 800 {
		r.Advance(time.Millisecond)
		r.mu.Lock()
		for _, machine := range r.readyMachines() {
			if machine.zone == zone && machine.token > old[machine.Name] && machine.inboundLostUntil == 0 && old[machine.Name] > 0 {
				machine.inboundLostUntil, machine.outboundLostUntil = r.now()+40*time.Second, r.now()+40*time.Second
				last++
			}
		}
		r.mu.Unlock()
	}
	if last == 0 {
		t.Error("no machine heard of the new leader")
	}
	r.settled()
}

// A command or its answer, or the answer to a report, is held up for up to a lease, and the machine then goes on: over
// cancellations, moves, takeovers, new sessions and new attempts.
func TestHeldUp(t *testing.T) {
	const d = 12 * time.Second
	hold := map[string]func(r *rolling, most time.Duration){
		"commands": func(r *rolling, most time.Duration) { r.DelayCommands(most/4, most) },
		"answers":  func(r *rolling, most time.Duration) { r.DelayHeartbeatAnswers(most/4, most) },
		"both": func(r *rolling, most time.Duration) {
			r.DelayCommands(most/4, most)
			r.DelayHeartbeatAnswers(most/8, most/2)
		},
	}
	meets := map[string]func(r *rolling, k int){
		"cancel": func(r *rolling, k int) { r.cancelAt(r.users[k], k%3) },
		"move":   func(r *rolling, k int) { r.ReclaimSpotMachine(2 * time.Second); r.KillMachine() },
		"takeover": func(r *rolling, k int) {
			r.onLeader(time.Duration(100+k*300)*time.Millisecond, r.KillController)
		},
		"session": func(r *rolling, k int) { r.DropOutbound(3, "", 7*time.Second); r.HangMachine(7 * time.Second) },
		"attempt": func(r *rolling, k int) { r.CrashTask(); r.CrashTask() },
	}
	for what, h := range hold {
		for with, f := range meets {
			t.Run(what+" "+with, func(t *testing.T) {
				r, _ := met(t, 205, 3, 16)
				r.load(d)
				for k, most := range []time.Duration{800 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second} {
					r.After(time.Duration(k)*d/3, func() { h(r, most) })
				}
				for k := range 6 {
					r.After(time.Duration(k)*d/6+500*time.Millisecond, func() { f(r, k) })
				}
				r.Advance(d)
				r.DelayCommands(0, 0)
				r.DelayHeartbeatAnswers(0, 0)
				r.Advance(2 * time.Second)
				r.settled()
			})
		}
	}
}

// A leader ends while machines with long tasks can't be reached, or don't hear the next one's answer, for less than a lease, more
// than one, and more than cancel_s: what is on them counts until proof, teams' limits and zones of gangs included, and no longer.
func TestLeaderEndsWhileMachinesAreOut(t *testing.T) {
	ends := map[string]func(r *rolling, l int){"killed": inside["leader killed"], "frozen": inside["leader frozen"], "drained": inside["leader drained"]}
	for how := DropBoth; how <= DropOutOf; how++ {
		for _, duration := range []time.Duration{3 * time.Second, 8 * time.Second, 16 * time.Second} {
			for what, end := range ends {
				t.Run(fmt.Sprint(how, " ", duration, " ", what), func(t *testing.T) {
					r, _ := met(t, 206, 5, 30)
					l, zone := r.led(), r.elsewhere()
					r.PartitionZone(zone, how)
					r.DropInbound(3, "", duration)
					r.After(300*time.Millisecond, func() { end(r, l) })
					for k := range 6 {
						r.After(time.Duration(400*k)*time.Millisecond, func() { r.cancelAt(r.users[k], (l+1)%5) })
					}
					for k := range 10 { // those that wait for a place, at their teams' limits
						r.give(100+k, 4)
					}
					r.Advance(duration)
					r.PartitionZone(zone, Connected)
					r.Advance(time.Second)
					r.settled()
				})
			}
		}
	}
}

// Controllers hand over and back, all end and one returns, also within a second, with their old requests, writes and reports
// still about: each time somebody leads soon, every controller has its member key, and nothing runs twice.
func TestHandOverAndBack(t *testing.T) {
	for _, late := range []float64{0, 0.3} {
		r, _ := met(t, 207, 3, 16)
		r.load(40 * time.Second)
		r.DelayWrites(late, 500*time.Millisecond, 4*time.Second)
		r.DelayCommands(50*time.Millisecond, 3*time.Second)
		r.DuplicateMessages(0.3, 100*time.Millisecond, 10*time.Second)
		for round := range 9 {
			l := r.led()
			back := time.Duration(50+r.rng.IntN(900)) * time.Millisecond
			switch round % 3 {
			case 0: // A to B
				r.KillController(l)
				r.After(back, func() { r.StartController(l) })
			case 1:
				r.DrainController(l, func() { r.After(back, func() { r.StartController(l) }) })
			default: // all end, one returns, the others later
				for i := range 3 {
					r.KillController(i)
					r.After(back+time.Duration((i-l+3)%3)*2*time.Second, func() { r.StartController(i) })
				}
			}
			r.Advance(back + 500*time.Millisecond)
			from := r.Now()
			r.reach("led", 16*time.Second, func() bool { return len(r.ActingLeaders()) == 1 })
			if duration := r.Now() - from; late == 0 && duration > 6*time.Second {
				t.Errorf("round %d: %v without a leader", round, duration)
			}
			r.Advance(time.Second)
		}
		r.DelayWrites(0, 0, 0)
		r.DelayCommands(0, 0)
		r.DuplicateMessages(0, 0, 0)
		r.Advance(5 * time.Second)
		r.settled()
	}
}

// Transactions without an answer are carried out late, after newer ones of the same controller, while jobs come, end and are
// cancelled, machines are rented, and controllers restart.
func TestWritesLandLate(t *testing.T) {
	for seed := range uint64(4) {
		r, _ := met(t, 210+seed, 3, 16)
		r.load(50 * time.Second)
		r.DelayWrites([]float64{0.15, 0.4, 0.7}[seed%3], 500*time.Millisecond, []time.Duration{3 * time.Second, 6 * time.Second}[seed%2])
		for k := range 12 {
			r.After(time.Duration(2+3*k)*time.Second, func() { r.cancelAt(r.users[k], k%3) })
		}
		r.After(12*time.Second, func() { r.onLeader(200*time.Millisecond, r.KillController) })
		r.After(24*time.Second, func() { r.onLeader(time.Second, r.drainController) })
		r.After(36*time.Second, func() { r.onLeader(3*time.Second, r.KillController) })
		r.Advance(50 * time.Second)
		if n := r.Stats().LateWrites; n < 30 {
			t.Errorf("%d writes were late", n)
		}
		r.DelayWrites(0, 0, 0)
		r.Advance(8 * time.Second)
		r.settled()
	}
}

// A controller's registration gets no answer, it is killed and back at once, and the registration lands after that of its new
// life: it must not take the member key with it when the former hold ends.
func TestFormerRegistrationLandsLate(t *testing.T) {
	for _, after := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1400 * time.Millisecond} {
		r, _ := met(t, 214, 3, 6)
		i, caught := (r.led()+1)%3, 0
		key := "h/c/n/" + r.nodeNames()[i]
		r.KillController(i)
		r.Advance(3 * time.Second)
		r.InterceptTxns(func(from int, tx store.Txn) TxnOutcome {
			if from == i && caught == 0 && slices.ContainsFunc(tx.Then, func(o store.Op) bool { return o.Put == key }) {
				caught++
				r.After(100*time.Millisecond, func() { r.KillController(i) })
				r.After(150*time.Millisecond, func() { r.StartController(i) })
				return TxnOutcome{Delay: after}
			}
			return TxnOutcome{}
		})
		r.StartController(i)
		r.Advance(8 * time.Second)
		if caught == 0 {
			t.Fatal("it did not register")
		}
		var v struct{ Hold uint64 }
		if _ = json.Unmarshal(r.StoredItem(key).Value, &v); v.Hold == 0 {
			t.Errorf("%v: %s has no member key", after, key)
		}
		r.InterceptTxns(nil)
		r.settled()
	}
}

// A leader is cut off from state service and others while workers and users still reach it, and jobs are cancelled through
// the new one: asked afterwards, the old one never says anything older, and what was cancelled is gone in time.
func TestCutOffLeaderAndCancellations(t *testing.T) {
	for _, duration := range []time.Duration{1500 * time.Millisecond, 4 * time.Second, 9 * time.Second, 25 * time.Second} {
		for what, f := range inside {
			t.Run(fmt.Sprint(duration, " ", what), func(t *testing.T) {
				r, balancer := met(t, 215, 3, 24)
				pollers := r.asked(balancer)
				l := r.led()
				r.CutLinks(l, StateLink|PeerLinks)
				r.After(duration, func() { r.CutLinks(l, 0) })
				r.After(700*time.Millisecond, func() { f(r, l) })
				for k := range 14 {
					r.After(time.Duration(100+450*k)*time.Millisecond, func() { r.cancelAt(r.users[k], (l+1+k%2)%3) })
				}
				r.Advance(duration + 12*time.Second)
				from := r.Now()
				r.settled()
				if gap, job := pollers.LongestUnanswered(from, r.Now()); gap > 30*time.Second {
					t.Errorf("no question about %s was answered for %v", job, gap)
				}
			})
		}
	}
}

// An old report arrives after newer ones, also of an earlier session or attempt: before and after a takeover, a move, a forget
// and a restart of its machine.
func TestOldReports(t *testing.T) {
	meets := map[string]func(r *rolling, k int){
		"takeover": func(r *rolling, k int) {
			r.onLeader(time.Duration(100+k*300)*time.Millisecond, r.KillController)
		},
		"move":    func(r *rolling, k int) { r.KillMachine(); r.ReclaimSpotMachine(time.Second) },
		"forget":  func(r *rolling, k int) { r.CrashTask(); r.cancelAt(r.users[k], k%3) },
		"restart": func(r *rolling, k int) { r.RestartMachine("", 200*time.Millisecond); r.RestartMachine("", time.Second) },
		"session": func(r *rolling, k int) { r.DropInbound(4, "", 7*time.Second) },
		"cut":     func(r *rolling, k int) { r.partitionZoneFor("a", DelayBoth, 2*time.Second) },
	}
	for what, f := range meets {
		for _, most := range []time.Duration{3 * time.Second, 24 * time.Second} {
			t.Run(fmt.Sprint(what, " ", most), func(t *testing.T) {
				r, _ := met(t, 216, 3, 16)
				r.load(24 * time.Second)
				r.DuplicateMessages(0.7, 100*time.Millisecond, most)
				for k := range 8 {
					r.After(time.Duration(3*k)*time.Second, func() { f(r, k) })
				}
				r.Advance(25 * time.Second)
				if what != "takeover" {
					r.DelayHeartbeatAnswers(100*time.Millisecond, 2*time.Second)
					r.Advance(4 * time.Second)
					r.DelayHeartbeatAnswers(0, 0)
				}
				r.settled()
			})
		}
	}
}

// The state service answers slowly, refuses the leader alone and then everybody for longer than cancel_s, while users cancel
// and ask: nobody is told anything older or that there is no such job, and soon afterwards all are answered.
func TestSlowThenGone(t *testing.T) {
	for _, slow := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 2200 * time.Millisecond} {
		r, balancer := met(t, 217, 5, 24)
		pollers := r.asked(balancer)
		r.load(30 * time.Second)
		r.DelayStateAnswers(10*time.Millisecond, slow)
		r.Advance(4 * time.Second)
		if l, _ := r.Leader(); l >= 0 {
			r.RefuseController(l, true)
			r.After(12*time.Second, func() { r.RefuseController(l, false) })
		}
		for k := range 14 {
			r.After(time.Duration(250*k)*time.Millisecond, func() { r.cancelAt(r.users[k], k%5) })
		}
		r.Advance(3 * time.Second)
		r.SetStateOutage(true)
		r.Advance(seconds(1.3 * tight.CancelS))
		r.SetStateOutage(false)
		r.Advance(10 * time.Second)
		r.DelayStateAnswers(0, 0)
		from := r.Now()
		r.Advance(75 * time.Second)
		if gap, job := pollers.LongestUnanswered(from, r.Now()); gap > 30*time.Second {
			t.Errorf("%v: no question about %s was answered for %v", slow, job, gap)
		}
		r.settled()
	}
}

// Jobs of two or three tasks end far apart across changes of the leader, one of them without any leader: a job is done when all
// of them are, soon, and nothing that is done begins once more.
func TestTasksEndFarApart(t *testing.T) {
	// For longer than its hold, and not for so long that workers, who wait 4 s for an answer, outwait their lease of 6.
	frozen := func(r *rolling, l int) { r.FreezeController(l, 2600*time.Millisecond) }
	for what, f := range map[string]func(r *rolling, l int){"killed": inside["leader back at once"], "frozen": frozen, "drained": inside["leader drained"], "late writes": inside["leader killed"]} {
		t.Run(what, func(t *testing.T) {
			r, _ := met(t, 218, 3, 0)
			if what == "late writes" {
				r.DelayWrites(0.2, 500*time.Millisecond, 3*time.Second)
			}
			done, stored, worst := map[string]time.Duration{}, map[string]bool{}, time.Duration(0)
			for i := range 40 {
				r.After(time.Duration(500*i)*time.Millisecond, func() { r.give(i, 6) })
			}
			var look func()
			look = func() {
				for _, u := range r.users {
					id := u.spec.ID
					if _, ok := done[id]; !ok && r.AllDone(id, u.spec.Tasks) {
						done[id] = r.Now()
					}
					var rec jobs.Record
					if !stored[id] && json.Unmarshal(r.StoredItem(jobs.RecordKey(id)).Value, &rec) == nil && rec.State == jobs.Done.String() {
						stored[id] = true
						worst = max(worst, r.Now()-done[id])
					}
				}
				r.After(50*time.Millisecond, look)
			}
			look()
			for range 5 {
				r.Advance(5 * time.Second)
				f(r, r.led())
			}
			r.Advance(6 * time.Second)
			r.DelayWrites(0, 0, 0)
			r.settled()
			s := r.Stats()
			t.Logf("done is durable %v after the last task ended at most, %d leases ran out, %d tasks that were done began again", worst, s.WorkerLeasesExpired, s.TasksRerun)
			most := 8 * time.Second
			if what == "late writes" { // each costs 2 s until it is given up, and the next may be late too
				most = 14 * time.Second
			}
			if worst > most {
				t.Errorf("that a job is done was durable %v after its last task had ended", worst)
			}
			if s.TasksRerun > 0 && s.WorkerLeasesExpired == 0 {
				t.Errorf("%d tasks began again though they were done", s.TasksRerun)
			}
		})
	}
}
