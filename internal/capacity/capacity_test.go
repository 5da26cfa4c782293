package capacity

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// cloud is a stand-in for the cloud: offers by kind, boots that take a while, a list.
type cloud struct {
	now    time.Duration
	room   map[string]int // by zone and kind
	list   map[string]listed
	born   map[string]time.Duration
	claims map[string]bool
	n      int
	hold   []func()
	held   bool
	asked  []string
}

func (c *cloud) Send(_ string, request httpio.Request, done func(httpio.Response)) {
	res := c.serve(request)
	c.hold = append(c.hold, func() { done(res) })
}

func answer(status int, v any) httpio.Response {
	b, _ := json.Marshal(v)
	return httpio.Response{Status: status, Body: b}
}

func (c *cloud) serve(request httpio.Request) httpio.Response {
	switch {
	case request.Path == "/machines/return":
		var b struct {
			Names []string `json:"dens"`
		}
		_ = json.Unmarshal(request.Body, &b)
		for _, n := range b.Names {
			delete(c.list, n)
		}
		c.asked = append(c.asked, "return")
		return answer(200, nil)
	case request.Method == "POST":
		var b struct {
			Claim string `json:"claim"`
			Type  string `json:"build"`
			Zone  string `json:"meadow"`
			Spot  bool   `json:"stray"`
			N     int    `json:"how_many"`
		}
		_ = json.Unmarshal(request.Body, &b)
		if c.claims[b.Claim] {
			panic("claim used twice: " + b.Claim)
		}
		c.claims[b.Claim] = true
		kind := fmt.Sprint(b.Zone, b.Spot)
		c.asked = append(c.asked, kind)
		n := min(b.N, c.room[kind])
		if n <= 0 {
			return answer(503, map[string]string{"error": "no capacity"})
		}
		c.room[kind] -= n
		var names []string
		for range n {
			c.n++
			name := fmt.Sprintf("i-%06d", c.n)
			names = append(names, name)
			c.list[name] = listed{Name: name, Addr: "x", Type: b.Type, Zone: b.Zone, Spot: b.Spot, State: booting}
			c.born[name] = c.now
		}
		return answer(200, map[string]any{"dens": names})
	}
	var all []listed
	for n, l := range c.list {
		l.AgeS = (c.now - c.born[n]).Seconds()
		all = append(all, l)
	}
	return answer(200, map[string]any{"dens": all, "has_next": false})
}

type bench struct {
	*Manager
	cloud *cloud
	book  *jobs.Table
	rev   uint64
	// authority is since when the manager acts.
	authority time.Duration
}

func setup(t *testing.T) *bench {
	settings := &config.Settings{}
	settings.Params.Teams = []config.Team{{Name: "t"}}
	settings.Params.Workers = config.Workers{ReportS: 3, LeaseS: 20}
	settings.Params.Cloud = config.Cloud{RPS: 100, ListLagS: 4}
	settings.Operator = config.Operator{SilentS: 13, MaxMachines: 50, NetworkFactor: 1}
	types := []MachineType{{Name: "m", CPUs: 4, Mem: 16, CacheGB: 10, FetchGB: 1, Price: 2, Spot: 1, BootS: 40, Zones: []string{"a", "b"}}}
	c := &cloud{room: map[string]int{}, list: map[string]listed{}, born: map[string]time.Duration{}, claims: map[string]bool{}}
	book := jobs.NewTable(0)
	now := func() time.Duration { return c.now }
	f := fleet.New(fleet.Env{
		Settings: settings, Jobs: book, Rng: rand.New(rand.NewPCG(1, 1)), TxnOps: 20, Now: now,
		Types: func(int32) *fleet.MachineType {
			return &fleet.MachineType{Size: types[0].Size(), CacheGB: 10, FetchGB: 1, BootS: 40}
		},
		CanWrite: func(int) bool { return true },
		Commit:   func(store.Txn, func(store.Result)) {},
	}, 1, 0)
	f.LoadPlans(0, nil)
	b := &bench{cloud: c, book: book, authority: -time.Hour}
	b.Manager = New(settings, NewCloud("", c, now, 100), f, book.Names, func() []MachineType { return types }, 1)
	return b
}

func (b *bench) submit(t *testing.T, tasks int, spot bool) {
	b.rev++
	sp := &jobs.Spec{
		ID: fmt.Sprintf("req-%06d", b.rev), Class: "c", Team: "t", Kind: jobs.Array, Priority: "standard", Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 100, Spot: spot,
	}
	job, _, err := b.book.Apply(sp.ID, jobs.EncodeRecord(jobs.Pending, 0, tasks, sp), b.rev)
	if err != nil {
		t.Fatal(err)
	}
	b.Fleet.HandleJobChange(b.cloud.now, job)
	b.Fleet.RankJobs(b.cloud.now)
}

func (b *bench) runFor(duration time.Duration) {
	for end := b.cloud.now + duration; b.cloud.now < end; b.cloud.now += 100 * time.Millisecond {
		b.Tick(b.cloud.now, b.authority)
		for len(b.cloud.hold) > 0 && !b.cloud.held {
			f := b.cloud.hold[0]
			b.cloud.hold = b.cloud.hold[1:]
			f()
		}
	}
}

func TestRentsForWaitingWork(t *testing.T) {
	b := setup(t)
	b.cloud.room = map[string]int{"atrue": 1, "btrue": 2, "afalse": 9}
	b.runFor(5 * time.Second)
	if len(b.cloud.list) != 0 {
		t.Fatal("rented without work")
	}
	b.submit(t, 16, true)
	b.runFor(15 * time.Second)
	spot, ordinary := 0, 0
	for _, l := range b.cloud.list {
		if l.Spot {
			spot++
		} else {
			ordinary++
		}
	}
	if spot != 3 || ordinary != 1 {
		t.Fatalf("%d spot and %d ordinary machines, want the 3 cheap ones there are and 1 more", spot, ordinary)
	}
	b = setup(t)
	b.cloud.room = map[string]int{"atrue": 5, "bfalse": 5}
	b.submit(t, 4, false)
	b.runFor(15 * time.Second)
	for _, l := range b.cloud.list {
		if l.Spot {
			t.Fatal("rented a spot machine for a job that may not use it")
		}
	}
	if len(b.cloud.list) != 1 {
		t.Fatalf("%d machines for one machine's work", len(b.cloud.list))
	}
}

// The leader's connections bound the fleet: beyond max_machines nothing is rented, neither for
// waiting work nor ahead of it, and the work waits.
func TestNeverMoreMachinesThanTheBound(t *testing.T) {
	for _, most := range []int{1, 7, 8} {
		b := setup(t)
		b.Settings.Operator.MaxMachines, b.Settings.Operator.Headroom = most, 1
		b.cloud.room = map[string]int{"atrue": 40, "afalse": 40}
		b.submit(t, 400, true)
		b.runFor(30 * time.Second)
		if len(b.cloud.list) != most {
			t.Errorf("%d machines, at most %d are allowed", len(b.cloud.list), most)
		}
		if !b.Full() {
			t.Error("it isn't told that the bound binds")
		}
		// One less is there and full: what is rented ahead of need keeps to the bound, too.
		b = setup(t)
		b.Settings.Operator.MaxMachines, b.Settings.Operator.Headroom = most, 10
		b.cloud.room = map[string]int{"atrue": 40, "afalse": 40}
		b.submit(t, 4*most, true)
		for i := range most - 1 {
			heartbeat := &fleet.Heartbeat{Machine: fmt.Sprintf("i-%d", i), Addr: "x", Type: "m", Zone: "a", Spot: true, Session: 1, Seq: 1, Token: 1 << 20}
			for k := range 4 {
				heartbeat.Tasks = append(heartbeat.Tasks, fleet.TaskReport{Task: fmt.Sprintf("req-000001/%d", 4*i+k), Attempt: 1, State: "running"})
			}
			b.Fleet.HandleHeartbeat(b.cloud.now, heartbeat)
		}
		b.listedAt = 1
		b.spare(b.cloud.now, most-1)
		for _, f := range b.cloud.hold {
			f()
		}
		if n := len(b.cloud.list); n != min(1, most-1) {
			t.Errorf("%d rented ahead of need with %d of %d machines", n, most-1, most)
		}
	}
}

// A boot that never comes up is deleted, and the lagging list does not bring it back.
func TestBootThatNeverComesUp(t *testing.T) {
	b := setup(t)
	b.cloud.room = map[string]int{"afalse": 1}
	b.submit(t, 1, false)
	b.runFor(5 * time.Second)
	if len(b.cloud.list) != 1 {
		t.Fatal("nothing rented")
	}
	b.cloud.asked = nil
	var ghost listed
	for _, l := range b.cloud.list {
		ghost = l
	}
	b.runFor(230 * time.Second)
	b.cloud.list[ghost.Name] = ghost
	b.runFor(20 * time.Second)
	returns := 0
	for _, a := range b.cloud.asked {
		if a == "return" {
			returns++
		}
	}
	if returns != 1 {
		t.Fatalf("returned %d times, want once", returns)
	}
}

// What boots take is learned by type and zone: after some that took long their like are waited for longer, elsewhere not;
// what is overdue is replaced one after the other and not as a wave, and given back in the end.
func TestOverdueBoots(t *testing.T) {
	b := setup(t)
	m := b.Manager
	typ := m.Names.Types.Index(m.Types()[0].Name)
	here, there := offer{typ, m.Names.Zones.Index("a"), false}, offer{typ, m.Names.Zones.Index("b"), false}
	bootS := m.Types()[0].BootS
	plain := m.bootTimes.usual(here, bootS)
	for range 6 {
		m.bootTimes.took(here, 2*plain)
	}
	if got := m.bootTimes.usual(here, bootS); got < 2*plain || got > 4*plain || m.bootTimes.usual(there, bootS) != plain {
		t.Fatalf("waits %v here, %v there, %v at first", got, m.bootTimes.usual(there, bootS), plain)
	}
	for range 30 {
		m.bootTimes.took(here, plain/4)
	}
	if got := m.bootTimes.usual(here, bootS); got >= plain {
		t.Fatalf("waits %v after many quick ones", got)
	}
	for i := range 40 {
		m.boots[fmt.Sprintf("i-%03d", i)] = &pendingBoot{there, 0}
	}
	last := 0
	for at := plain - time.Second; at < 2*plain+2*time.Second; at += time.Second {
		n := len(m.overdue(at))
		if n < last || n-last > 2 {
			t.Fatalf("%v: %d boots are replaced at once", at, n-last)
		}
		last = n
	}
	if last != 40 {
		t.Fatalf("%d of 40 are replaced in the end", last)
	}
}

// An answer of the cloud that comes after the term touches nothing of it. This once ended
// the controller.
func TestAnswersAfterTheTerm(t *testing.T) {
	b := setup(t)
	machine := b.Fleet.RegisterMachine(0, "i-000001")
	b.cloud.list[machine.Name] = listed{Name: machine.Name, Addr: "x", Type: "m", Zone: "a", State: failed}
	b.cloud.held = true
	b.toReturn[machine.Name] = "failed"
	b.runFor(time.Second)
	if len(b.cloud.hold) < 2 {
		t.Fatal("nothing was asked")
	}
	b.Stop()
	before := machine.Condition
	for _, f := range b.cloud.hold {
		f()
	}
	if machine.Condition != before {
		t.Fatalf("condition became %v after the term", machine.Condition)
	}
}

// A zone that falls silent keeps its machines, however many there are, while a single silent
// machine is given back: 219 machines behind a cut were once returned and booted again.
func TestSilentZoneIsKept(t *testing.T) {
	for _, cut := range []bool{false, true} {
		b := setup(t)
		b.Settings.Operator.IdleS = 1e6
		seq := uint64(0)
		hear := func(i int) {
			seq++
			b.Fleet.HandleHeartbeat(b.cloud.now, &fleet.Heartbeat{
				Machine: fmt.Sprintf("i-%d", i), Addr: "x", Type: "m",
				Zone: "ab"[i%2 : i%2+1], Session: 1, Seq: seq, Token: 1 << 20,
			})
		}
		for step := range 15 {
			b.cloud.now += time.Second
			for i := range 40 {
				silent := i == 1 || (cut && i%2 == 1)
				// Reports of the silent ones stop one by one.
				if !silent || step < i%4 {
					hear(i)
				}
			}
			b.judge(b.cloud.now, true)
		}
		want := 1
		if cut {
			want = 0
		}
		if len(b.toReturn) != want {
			t.Fatalf("cut %v: %d machines to be returned, want %d: %v", cut, len(b.toReturn), want, b.toReturn)
		}
	}
}

// A machine that isn't heard for longer than one lost report explains gets nothing new, long before its lease is over; its next
// report ends that.
func TestSilentMachineIsSetAside(t *testing.T) {
	b := setup(t)
	b.Settings.Operator.IdleS = 1e6
	seq := uint64(0)
	for step := range 11 {
		for i := range 20 {
			if seq++; i != 3 || step == 0 {
				b.Fleet.HandleHeartbeat(b.cloud.now, &fleet.Heartbeat{Machine: fmt.Sprintf("i-%d", i), Addr: "x", Type: "m", Zone: "ab"[i%2 : i%2+1], Session: 1, Seq: seq, Token: 1 << 20})
			}
		}
		b.cloud.now += time.Second
		b.judge(b.cloud.now, true)
		for i := range 20 {
			machine := b.Fleet.FindMachine(fmt.Sprintf("i-%d", i))
			if machine.Quarantined != (i == 3 && step >= 9) || machine.Condition != fleet.Ready {
				t.Fatalf("after %d s %s is %v, set aside: %v", step+1, machine.Name, machine.Condition, machine.Quarantined)
			}
		}
	}
	b.Fleet.HandleHeartbeat(b.cloud.now, &fleet.Heartbeat{Machine: "i-3", Addr: "x", Type: "m", Zone: "b", Session: 1, Seq: seq + 1, Token: 1 << 20})
	if b.Fleet.FindMachine("i-3").Quarantined {
		t.Error("it is heard again and still set aside")
	}
}

// While a controller has no authority it hears nobody, and that is no machine's silence: after
// an outage of the state service of 8 s all zones at once once counted as cut off.
func TestSilenceCountsFromAuthority(t *testing.T) {
	for _, outage := range []bool{true, false} {
		b := setup(t)
		for i := range 40 {
			b.Fleet.HandleHeartbeat(b.cloud.now, &fleet.Heartbeat{
				Machine: fmt.Sprintf("i-%d", i), Addr: "x", Type: "m",
				Zone: "ab"[i%2 : i%2+1], Session: 1, Seq: 1, Token: 1 << 20,
			})
		}
		b.cloud.now += 9 * time.Second
		if outage {
			b.authority = b.cloud.now
		}
		b.runFor(time.Second)
		if want := 2; outage == (len(b.Zones.Lost()) > 0) || (!outage && len(b.Zones.Lost()) != want) {
			t.Fatalf("outage %v: %d zones count as lost", outage, len(b.Zones.Lost()))
		}
	}
}

// A small fleet may have several idle machines by chance; a large one has not, and returns
// the more of them the sooner.
func TestIdleBeyondChance(t *testing.T) {
	if got := excess(20, 8, 0.1); got != 1 {
		t.Fatalf("8 idle of 20 shorten the time to %v", got)
	}
	if got := excess(1000, 90, 0.1); got != 1 {
		t.Fatalf("90 idle of 1000 shorten the time to %v", got)
	}
	if a, b := excess(1000, 200, 0.1), excess(1000, 350, 0.1); a >= 0.6 || b >= a || b < 0.15 {
		t.Fatalf("200 and 350 idle of 1000 shorten the time to %v and %v", a, b)
	}
}
