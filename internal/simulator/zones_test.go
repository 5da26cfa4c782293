package simulator

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/controller"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/zones"
)

// zoneViews asks the leader about zones, by name.
func (r *testCluster) zoneViews() map[string]controller.ZoneView {
	out := map[string]controller.ZoneView{}
	l, _ := r.Leader()
	if l < 0 {
		return out
	}
	r.Request(l, "GET", "/v2/zones", nil, func(_ int, raw []byte) {
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

// newWideCluster is a cluster with many machines in each zone, which take a while to boot.
func newWideCluster(t *testing.T, seed uint64, controllers int) *testCluster {
	types := gpuMachineTypes(12)
	return newTestClusterOn(
		t,
		seed,
		controllers,
		rollout.Newest,
		"",
		36,
		types,
		[]config.Team{{Name: "red", CPUs: 80}, {Name: "blue", CPUs: 80}},
	)
}

// submitSmallJobs fills the cluster with work that goes on, so that machines stand in all zones.
func (r *testCluster) submitSmallJobs(n int, seconds float64) {
	for i := range n {
		spec := arraySpec(fmt.Sprintf("req-8%05d", i), "long", teamInTurn(i))
		spec.Tasks = 4
		spec.CPUs = 4
		spec.EstimateS = seconds
		r.submit(spec)
	}
}

// zoneWithoutLeader is a zone that the leader isn't in.
func (r *testCluster) zoneWithoutLeader() string {
	l, _ := r.Leader()
	for _, z := range zoneNames() {
		if r.settings[l].Zone != z {
			return z
		}
	}
	return ""
}

// TestZoneLostAndRestored partitions a zone and restores it: it is found lost before its leases are over, nothing
// is rented there meanwhile, what was planned there goes elsewhere, its machines are kept when it returns, and it
// counts as well again in the end.
func TestZoneLostAndRestored(t *testing.T) {
	for _, how := range []Partition{DropBoth, DelayBoth, RefuseBoth, DropInto, DropOutOf} {
		t.Run(fmt.Sprint(how), func(t *testing.T) {
			cluster := newWideCluster(t, 71, 5)
			cluster.submitSmallJobs(24, 20)
			cluster.submitJobs(40 * time.Second)
			cluster.waitForLoad()
			cluster.Advance(5 * time.Second)
			zone := cluster.zoneWithoutLeader()
			there := cluster.zoneViews()[zone].Machines
			if there < 4 {
				t.Fatalf("only %d machines in the zone", there)
			}
			cluster.PartitionZone(zone, how)
			cluster.waitFor(
				"found lost",
				4*time.Second,
				func() bool { return cluster.zoneViews()[zone].State == "lost" },
			)
			if v := cluster.zoneViews()[zone]; v.Rents || v.AcceptsWork != "arrays" {
				t.Errorf("%+v", v)
			}
			cluster.Advance(5 * time.Second)
			cluster.PartitionZone(zone, Connected)
			cluster.waitFor(
				"heard again",
				5*time.Second,
				func() bool { s := cluster.zoneViews()[zone].State; return s == "returning" || s == "proving" },
			)
			cluster.Advance(500 * time.Millisecond)
			if v := cluster.zoneViews()[zone]; v.Machines < there*3/4 {
				t.Errorf("%d of %d machines are kept: %+v", v.Machines, there, v)
			}
			cluster.waitFor("well", 30*time.Second, func() bool { return cluster.zoneViews()[zone].State == "well" })
			cluster.waitUntilDone()
		})
	}
}

// TestLeaderLostWithItsZone loses the leader's zone and then refuses its successor at the state service, and
// restarts every controller while a zone is lost: the next leader has since when the zone is lost, and how often.
func TestLeaderLostWithItsZone(t *testing.T) {
	cluster := newWideCluster(t, 72, 5)
	cluster.submitSmallJobs(24, 20)
	cluster.submitJobs(50 * time.Second)
	cluster.waitForLoad()
	old, _ := cluster.Leader()
	zone := cluster.settings[old].Zone
	cluster.PartitionZone(zone, DelayBoth)
	cluster.waitFor(
		"led from elsewhere",
		15*time.Second,
		func() bool { l, _ := cluster.Leader(); return l >= 0 && cluster.settings[l].Zone != zone },
	)
	next, _ := cluster.Leader()
	cluster.RefuseController(next, true)
	cluster.Advance(10 * time.Second)
	cluster.RefuseController(next, false)
	cluster.waitFor("found lost", 20*time.Second, func() bool { return cluster.zoneViews()[zone].State == "lost" })
	cluster.waitFor(
		"stored",
		3*time.Second,
		func() bool { return strings.Contains(string(cluster.StoredItem(zones.Key).Value), `"lost"`) },
	)
	for i := range 5 {
		if cluster.settings[i].Zone != zone {
			cluster.KillController(i)
		}
	}
	cluster.Advance(3 * time.Second)
	cluster.startControllers()
	cluster.waitFor(
		"known at once",
		12*time.Second,
		func() bool { v := cluster.zoneViews()[zone]; return v.State == "lost" && v.ForS > 5 },
	)
	cluster.PartitionZone(zone, Connected)
	cluster.waitUntilDone()
}

// TestFlappingZone restores a zone for a moment and partitions it again, five times: each time it has to be heard
// for longer, and machines are not rented there in between.
func TestFlappingZone(t *testing.T) {
	cluster := newWideCluster(t, 73, 5)
	cluster.submitSmallJobs(24, 30)
	cluster.submitJobs(60 * time.Second)
	cluster.waitForLoad()
	zone := cluster.zoneWithoutLeader()
	maxFlaps, rented := 0, 0
	for range 5 {
		cluster.PartitionZone(zone, DropBoth)
		cluster.Advance(4 * time.Second)
		cluster.PartitionZone(zone, Connected)
		for range 20 {
			cluster.Advance(80 * time.Millisecond)
			v := cluster.zoneViews()[zone]
			maxFlaps = max(maxFlaps, v.Flaps)
			if v.State == "returning" && v.Rents {
				rented++
			}
		}
	}
	if maxFlaps < 2 || rented > 0 {
		t.Errorf("%d flaps were seen, renting was open %d times while it returned", maxFlaps, rented)
	}
	cluster.waitUntilDone()
}

// TestZoneFaultsOverlap partitions two zones one after the other, so that less than half the machines are left;
// powers one off; ends half of a zone's machines while the rest is heard: in the end all jobs have ended and no
// rule is broken.
func TestZoneFaultsOverlap(t *testing.T) {
	cluster := newWideCluster(t, 74, 5)
	cluster.submitSmallJobs(24, 15)
	cluster.submitJobs(60 * time.Second)
	cluster.waitForLoad()
	cluster.PartitionZone("a", DelayBoth)
	cluster.Advance(6 * time.Second)
	cluster.PartitionZone("b", DropBoth)
	cluster.Advance(15 * time.Second)
	cluster.PartitionZone("a", Connected)
	cluster.SetStateOutage(true) // the state service is out as the zone returns
	cluster.Advance(3 * time.Second)
	cluster.SetStateOutage(false)
	cluster.PartitionZone("b", Connected)
	cluster.SetCloudOutage(true)
	cluster.PowerOffZone("c")
	cluster.Advance(10 * time.Second)
	cluster.SetCloudOutage(false)
	cluster.startControllers()
	cluster.waitUntilDone()
}

// replicasByZone counts the tasks of a job on machines that are rented, by their zones.
func (r *testCluster) replicasByZone(spec *jobs.Spec) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	replicas := map[string]int{}
	for _, machine := range r.cloud.machines {
		for _, task := range machine.tasks {
			if task.spec == spec && task.state != taskExited && !machine.dead {
				replicas[machine.zone]++
			}
		}
	}
	return replicas
}

func sum(counts map[string]int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}

// TestServicesAreSpread checks that replicas of a service are spread, so that no zone has most of them where others
// have room; with two zones left a service that must stay apart keeps its bound, and what can't be placed waits.
func TestServicesAreSpread(t *testing.T) {
	cluster := newWideCluster(t, 75, 3)
	cluster.submitSmallJobs(24, 60) // machines in all zones
	cluster.waitForLoad()
	spec := spreadServiceSpec()
	user := cluster.newUser(spec)
	user.submit()
	allUp := func() bool { return sum(cluster.replicasByZone(spec)) == 6 }
	cluster.waitFor("up", 40*time.Second, allUp)
	up := map[string]int{}
	for zone := range cluster.zoneViews() {
		up[zone] = cluster.replicasByZone(spec)[zone]
		if up[zone] > 3 {
			t.Errorf("%v", up)
		}
	}
	if replicas := cluster.replicasByZone(spec); len(replicas) < 2 {
		t.Errorf("all replicas stand in one zone: %v", replicas)
	}
	cluster.PowerOffZone(cluster.zoneWithoutLeader())
	cluster.waitFor("up again", 40*time.Second, allUp)
	cluster.startControllers()
	cluster.Advance(3 * time.Second)
	user.cancel()
	cluster.waitUntilDone()
}

// TestAllZonesEmptied partitions a zone and ends all machines there, in every zone: when the network is back the
// leader has to try to rent there again, though no machine is left to be heard.
func TestAllZonesEmptied(t *testing.T) {
	cluster := newWideCluster(t, 76, 3)
	cluster.submitSmallJobs(24, 15)
	cluster.waitForLoad()
	for _, z := range zoneNames() {
		cluster.PartitionZone(z, DropBoth)
		cluster.Advance(3 * time.Second)
	}
	for _, z := range zoneNames() {
		cluster.PowerOffZone(z)
	}
	cluster.Advance(20 * time.Second)
	for _, z := range zoneNames() {
		cluster.PartitionZone(z, Connected)
	}
	cluster.startControllers()
	cluster.waitUntilDone()
}

// zoneFault is a random fault of a run in which zones are lost.
type zoneFault struct {
	zone       string
	how        Partition
	duration   time.Duration
	controller int
	kind       int // 0 to 9
}

// injectZoneFault begins a random fault, and returns whether it cuts a zone off.
func (r *testCluster) injectZoneFault(fault zoneFault) (cutsZone bool) {
	zone, duration, i := fault.zone, fault.duration, fault.controller
	switch fault.kind {
	case 0, 1, 2, 3:
		r.PartitionZone(zone, fault.how)
		r.After(duration, func() { r.PartitionZone(zone, Connected) })
		return true
	case 4:
		r.flapZone(zone, duration/8)
		return true
	case 5:
		r.PowerOffZone(zone)
		r.After(duration/4, r.startControllers)
	case 6:
		r.KillController(i)
		r.After(duration/4, func() { r.StartController(i) })
	case 7:
		r.DrainController(i, func() { r.After(duration/8, func() { r.StartController(i) }) })
	case 8:
		r.during(duration/3, r.SetStateOutage)
	case 9:
		r.during(duration/2, r.SetCloudOutage)
	}
	return false
}

// playRandomZoneFaults plays zone faults over a load, then ends all faults and waits for the end of all jobs. It
// returns the cluster and how often a zone was cut off.
func playRandomZoneFaults(t *testing.T, seed uint64, controllers int) (cluster *testCluster, zonesCut int) {
	t.Helper()
	cluster = newTestCluster(t, seed, controllers, rollout.Newest, "")
	rng := cluster.rng
	cluster.SetNetwork(time.Duration(1+rng.IntN(15))*time.Millisecond, 0.01, 0.01, 8*time.Second)
	cluster.submitJobs(90 * time.Second)
	for at := 5 * time.Second; at < 95*time.Second; at += time.Duration(rng.IntN(6000)) * time.Millisecond {
		fault := zoneFault{
			zone:       zoneNames()[rng.IntN(3)],
			how:        Partition(1 + rng.IntN(5)),
			duration:   time.Duration(500+rng.IntN(20000)) * time.Millisecond,
			controller: rng.IntN(controllers),
			kind:       rng.IntN(10),
		}
		cluster.After(at, func() {
			if cluster.injectZoneFault(fault) {
				zonesCut++
			}
		})
	}
	cluster.Advance(120 * time.Second)
	cluster.SetNetwork(2*time.Millisecond, 0, 0, 0)
	for _, zone := range zoneNames() {
		cluster.PartitionZone(zone, Connected)
	}
	cluster.Advance(time.Second)
	cluster.startControllers()
	cluster.waitUntilDone()
	return cluster, zonesCut
}

// TestRandomZoneFaults loses zones at random, flapping, without power and returning, over kills, drains, outages
// and rolls, under load.
func TestRandomZoneFaults(t *testing.T) {
	seeds := 5
	if os.Getenv("HAREWALK_LONG") != "" {
		seeds = 200
	}
	ends, starts, lost, jobCount := map[string]int{}, 0, 0, 0
	for seed := range seeds {
		cluster, zonesCut := playRandomZoneFaults(t, uint64(400+seed), 3+2*(seed%2))
		lost += zonesCut
		jobCount += len(cluster.users)
		countEnds(ends, cluster.users)
		starts += cluster.Stats().TaskStarts
		if t.Failed() {
			t.Fatalf("seed %d", 400+seed)
		}
	}
	t.Logf("%d seeds: %d jobs, %v; %d starts, %d times a zone was cut off", seeds, jobCount, ends, starts, lost)
}
