package simulator

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/controller"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/zones"
)

// zoneViews asks the leader about zones, by name.
func (r *rolling) zoneViews() map[string]controller.ZoneView {
	out := map[string]controller.ZoneView{}
	l, _ := r.World.Leader()
	if l < 0 {
		return out
	}
	r.Ask(l, "GET", "/v2/zones", nil, func(_ int, raw []byte) {
		var vs []controller.ZoneView
		if json.Unmarshal(raw, &vs) == nil {
			for _, v := range vs {
				out[v.Zone] = v
			}
		}
	})
	r.Advance(50 * time.Millisecond)
	return out
}

// wide is a cluster with many machines in each zone, which take a while to boot.
func wide(t *testing.T, seed uint64, controllers int) *rolling {
	types := []capacity.MachineType{{Name: "g4", CPUs: 16, GPUs: 4, Mem: 128, CacheGB: 100, FetchGB: 10, Price: 4, Spot: 1.5, BootS: 12, Zones: []string{"a", "b", "c"}}}
	return newRollingOn(t, seed, controllers, rollout.Newest, "", 36, types, []config.Team{{Name: "red", CPUs: 80}, {Name: "blue", CPUs: 80}})
}

// submitMany fills the cluster with work that goes on, so that machines stand in all zones.
func (r *rolling) submitMany(n int, seconds float64) {
	for i := range n {
		spec := &jobs.Spec{
			ID: fmt.Sprintf("req-8%05d", i), Class: "long", Team: []string{"red", "blue"}[i%2], Kind: jobs.Array, Priority: "standard", Tasks: 4, CPUs: 4, MemoryGB: 1,
			Image: "i", ImageGB: 1, EstimateS: seconds, Spot: true,
		}
		u := &simUser{w: r.World, rng: r.rng, spec: spec}
		r.users = append(r.users, u)
		u.submit()
	}
}

// elsewhere is a zone that the leader isn't in.
func (r *rolling) elsewhere() string {
	l, _ := r.World.Leader()
	for _, z := range []string{"a", "b", "c"} {
		if r.settings[l].Zone != z {
			return z
		}
	}
	return ""
}

// A zone is cut off and comes back: it is found lost before its leases are over, nothing is rented there meanwhile, what was
// planned there goes elsewhere, its machines are kept when it returns, and it counts as well again in the end.
func TestZoneLostAndBack(t *testing.T) {
	for _, how := range []Cut{Lost, Held, Refused, Deaf, Mute} {
		t.Run(fmt.Sprint(how), func(t *testing.T) {
			r := wide(t, 71, 5)
			r.submitMany(24, 20)
			r.load(40 * time.Second)
			r.reach("working", 60*time.Second, func() bool { return r.Look().Running > 60 })
			r.Advance(5 * time.Second)
			zone := r.elsewhere()
			there := r.zoneViews()[zone].Machines
			if there < 4 {
				t.Fatalf("only %d machines in the zone", there)
			}
			r.CutZone(zone, how)
			r.reach("found lost", 4*time.Second, func() bool { return r.zoneViews()[zone].State == "lost" })
			if v := r.zoneViews()[zone]; v.Rents || v.AcceptsWork != "arrays" {
				t.Errorf("%+v", v)
			}
			r.Advance(5 * time.Second)
			r.CutZone(zone, Whole)
			r.reach("heard again", 5*time.Second, func() bool { s := r.zoneViews()[zone].State; return s == "returning" || s == "proving" })
			r.Advance(500 * time.Millisecond)
			if v := r.zoneViews()[zone]; v.Machines < there*3/4 {
				t.Errorf("%d of %d machines are kept: %+v", v.Machines, there, v)
			}
			r.reach("well", 30*time.Second, func() bool { return r.zoneViews()[zone].State == "well" })
			r.over()
		})
	}
}

// The leader's zone is the one that is lost, and its successor loses the state service; every controller restarts while a
// zone is lost: the next leader knows since when, and how often.
func TestLeaderLostWithItsZone(t *testing.T) {
	r := wide(t, 72, 5)
	r.submitMany(24, 20)
	r.load(50 * time.Second)
	r.reach("working", 60*time.Second, func() bool { return r.Look().Running > 60 })
	old, _ := r.World.Leader()
	zone := r.settings[old].Zone
	r.CutZone(zone, Held)
	r.reach("led from elsewhere", 15*time.Second, func() bool { l, _ := r.World.Leader(); return l >= 0 && r.settings[l].Zone != zone })
	next, _ := r.World.Leader()
	r.Refuse(next, true)
	r.Advance(10 * time.Second)
	r.Refuse(next, false)
	r.reach("found lost", 20*time.Second, func() bool { return r.zoneViews()[zone].State == "lost" })
	r.reach("stored", 3*time.Second, func() bool { return strings.Contains(string(r.Key(zones.Key).Value), `"lost"`) })
	for i := range 5 {
		if r.settings[i].Zone != zone {
			r.KillController(i)
		}
	}
	r.Advance(3 * time.Second)
	for i := range 5 {
		r.StartController(i)
	}
	r.reach("known at once", 12*time.Second, func() bool { v := r.zoneViews()[zone]; return v.State == "lost" && v.ForS > 5 })
	r.CutZone(zone, Whole)
	r.over()
}

// A zone that comes back for a moment and goes again, five times: each time it has to prove itself for longer, and
// machines are not rented there in between.
func TestZoneFlaps(t *testing.T) {
	r := wide(t, 73, 5)
	r.submitMany(24, 30)
	r.load(60 * time.Second)
	r.reach("working", 60*time.Second, func() bool { return r.Look().Running > 60 })
	zone := r.elsewhere()
	most, rented := 0, 0
	for range 5 {
		r.CutZone(zone, Lost)
		r.Advance(4 * time.Second)
		r.CutZone(zone, Whole)
		for range 20 {
			r.Advance(80 * time.Millisecond)
			v := r.zoneViews()[zone]
			most = max(most, v.Flaps)
			if v.State == "returning" && v.Rents {
				rented++
			}
		}
	}
	if most < 2 || rented > 0 {
		t.Errorf("%d flaps were seen, renting was open %d times while it returned", most, rented)
	}
	r.over()
}

// Two zones one after the other, so that less than half the fleet stands; power lost in one; half of what is in a zone
// dead and the rest heard: in the end all jobs are over and no rule is broken.
func TestZonesOverlap(t *testing.T) {
	r := wide(t, 74, 5)
	r.submitMany(24, 15)
	r.load(60 * time.Second)
	r.reach("working", 60*time.Second, func() bool { return r.Look().Running > 60 })
	r.CutZone("a", Held)
	r.Advance(6 * time.Second)
	r.CutZone("b", Lost)
	r.Advance(15 * time.Second)
	r.CutZone("a", Whole)
	r.Outage(true) // the state service is out as the zone returns
	r.Advance(3 * time.Second)
	r.Outage(false)
	r.CutZone("b", Whole)
	r.CloudOutage(true)
	r.PowerLost("c")
	r.Advance(10 * time.Second)
	r.CloudOutage(false)
	for i := range 5 {
		r.StartController(i)
	}
	r.over()
}

// Replicas of a service are spread, so that no zone holds most of them where others have room; with two zones left a
// service that must stay apart keeps its bound, and what can't be placed waits.
func TestServicesAreSpread(t *testing.T) {
	r := wide(t, 75, 3)
	r.submitMany(24, 60) // machines in all zones
	r.reach("working", 60*time.Second, func() bool { return r.Look().Running > 60 })
	spec := &jobs.Spec{ID: "req-000777", Class: "svc", Team: "blue", Kind: jobs.Service, Priority: "urgent", Tasks: 6, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, Spread: true}
	u := &simUser{w: r.World, rng: r.rng, spec: spec}
	u.submit()
	on := func() map[string]int {
		r.mu.Lock()
		defer r.mu.Unlock()
		m := map[string]int{}
		for _, x := range r.machines {
			for _, k := range x.tasks {
				if k.spec == spec && k.state != exited && !x.dead {
					m[x.zone]++
				}
			}
		}
		return m
	}
	total := func() (n int) {
		for _, v := range on() {
			n += v
		}
		return n
	}
	r.reach("up", 40*time.Second, func() bool { return total() == 6 })
	up := map[string]int{}
	for z := range r.zoneViews() {
		up[z] = on()[z]
		if up[z] > 3 {
			t.Errorf("%v", up)
		}
	}
	if len(on()) < 2 {
		t.Errorf("all replicas stand in one zone: %v", on())
	}
	zone := r.elsewhere()
	r.PowerLost(zone)
	r.reach("up again", 40*time.Second, func() bool { return total() == 6 && on()[zone] == 0 || total() == 6 })
	for i := range 3 {
		r.StartController(i)
	}
	r.Advance(3 * time.Second)
	u.cancel()
	r.over()
}

// A zone is cut off and its machines die there, all of them, in every zone: when the network is back somebody has to
// try to rent there again, though nobody is left to be heard.
func TestEveryZoneEmptied(t *testing.T) {
	r := wide(t, 76, 3)
	r.submitMany(24, 15)
	r.reach("working", 60*time.Second, func() bool { return r.Look().Running > 60 })
	for _, z := range []string{"a", "b", "c"} {
		r.CutZone(z, Lost)
		r.Advance(3 * time.Second)
	}
	for _, z := range []string{"a", "b", "c"} {
		r.PowerLost(z)
	}
	r.Advance(20 * time.Second)
	for _, z := range []string{"a", "b", "c"} {
		r.CutZone(z, Whole)
	}
	for i := range 3 {
		r.StartController(i)
	}
	r.over()
}

// Random zones lost, flapping, without power and returning, over kills, drains, outages and rolls, under load.
func TestChaosOfZones(t *testing.T) {
	seeds := 5
	if os.Getenv("HAREWALK_LONG") != "" {
		seeds = 200
	}
	ends, starts, lost, jobsN := map[string]int{}, 0, 0, 0
	for seed := range seeds {
		r := newRolling(t, uint64(400+seed), 3+2*(seed%2), rollout.Newest, "")
		rng := r.rng
		r.Network(time.Duration(1+rng.IntN(15))*time.Millisecond, 0.01, 0.01, 8*time.Second)
		r.load(90 * time.Second)
		n := r.Controllers()
		for at := 5 * time.Second; at < 95*time.Second; at += time.Duration(rng.IntN(6000)) * time.Millisecond {
			zone, how, duration := []string{"a", "b", "c"}[rng.IntN(3)], Cut(1+rng.IntN(5)), time.Duration(500+rng.IntN(20000))*time.Millisecond
			i, what := rng.IntN(n), rng.IntN(10)
			r.After(at, func() {
				switch what {
				case 0, 1, 2, 3:
					r.CutZone(zone, how)
					r.After(duration, func() { r.CutZone(zone, Whole) })
					lost++
				case 4:
					flapZone(duration/8, 0, zone)(r.World)
					lost++
				case 5:
					r.PowerLost(zone)
					r.After(duration/4, func() {
						for i := range n {
							r.StartController(i)
						}
					})
				case 6:
					r.KillController(i)
					r.After(duration/4, func() { r.StartController(i) })
				case 7:
					r.DrainController(i, func() { r.After(duration/8, func() { r.StartController(i) }) })
				case 8:
					during(duration/3, (*World).Outage)(r.World)
				case 9:
					during(duration/2, (*World).CloudOutage)(r.World)
				}
			})
		}
		r.Advance(120 * time.Second)
		r.Network(2*time.Millisecond, 0, 0, 0)
		for _, z := range []string{"a", "b", "c"} {
			r.CutZone(z, Whole)
		}
		r.Advance(time.Second)
		for i := range n {
			r.StartController(i)
		}
		r.over()
		jobsN += len(r.users)
		for _, u := range r.users {
			if len(u.told) > 0 {
				ends[u.told[0]]++
			}
		}
		starts += r.Stats().Starts
		if t.Failed() {
			t.Fatalf("seed %d", 400+seed)
		}
	}
	t.Logf("%d seeds: %d jobs, %v; %d starts, %d times a zone was cut off", seeds, jobsN, ends, starts, lost)
}
