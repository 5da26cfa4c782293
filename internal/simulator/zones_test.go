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

// zoneViews returns the leader's views of the zones by name; none if there is no leader or no answer within 50 ms.
func (r *testCluster) zoneViews() map[string]controller.ZoneView {
	views := map[string]controller.ZoneView{}
	l, _ := r.Leader()
	if l < 0 {
		return views
	}
	r.Request(l, "GET", "/v2/zones", nil, func(_ int, raw []byte) {
		var vs []controller.ZoneView
		if json.Unmarshal(raw, &vs) == nil {
			for _, v := range vs {
				views[v.Zone] = v
			}
		}
	})
	r.Advance(50 * time.Millisecond)
	return views
}

// newWideCluster starts a cluster with many machines in each zone, which take 12 s to boot.
func newWideCluster(t *testing.T, seed uint64, controllers int) *testCluster {
	types := gpuMachineTypes(12)
	return newTestClusterWithMachines(
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

// submitSmallJobs submits n arrays whose tasks take some seconds, so that machines are rented in all zones.
func (r *testCluster) submitSmallJobs(n int, seconds float64) {
	for i := range n {
		spec := arraySpec(fmt.Sprintf("req-8%05d", i), "long", teamInTurn(i))
		spec.Tasks = 4
		spec.CPUs = 4
		spec.EstimateS = seconds
		r.submit(spec)
	}
}

// zoneWithoutLeader returns the first zone that isn't the leader's.
func (r *testCluster) zoneWithoutLeader() string {
	l, _ := r.Leader()
	for _, z := range zoneNames() {
		if r.settings[l].Zone != z {
			return z
		}
	}
	return ""
}

// TestZoneLostAndRestored partitions a zone and restores it. The zone is detected as lost before its machines' leases
// expire, no machines are rented there meanwhile, and tasks planned there run elsewhere. When the zone returns, at
// least three quarters of its machines are kept, and its state becomes well again.
func TestZoneLostAndRestored(t *testing.T) {
	for _, partition := range []Partition{DropBoth, DelayBoth, RefuseBoth, DropInto, DropOutOf} {
		t.Run(fmt.Sprint(partition), func(t *testing.T) {
			cluster := newWideCluster(t, 71, 5)
			cluster.submitSmallJobs(24, 20)
			cluster.submitJobs(40 * time.Second)
			cluster.waitForLoad()
			cluster.Advance(5 * time.Second)
			zone := cluster.zoneWithoutLeader()
			machines := cluster.zoneViews()[zone].Machines
			if machines < 4 {
				t.Fatalf("got %d machines in the zone, want at least 4", machines)
			}
			cluster.PartitionZone(zone, partition)
			cluster.waitFor(
				"zone lost",
				4*time.Second,
				func() bool { return cluster.zoneViews()[zone].State == "lost" },
			)
			if v := cluster.zoneViews()[zone]; v.Rents || v.AcceptsWork != "arrays" {
				t.Errorf("got view %+v of the lost zone, want no rentals and only arrays", v)
			}
			cluster.Advance(5 * time.Second)
			cluster.PartitionZone(zone, Connected)
			cluster.waitFor(
				"zone returning",
				5*time.Second,
				func() bool { s := cluster.zoneViews()[zone].State; return s == "returning" || s == "proving" },
			)
			cluster.Advance(500 * time.Millisecond)
			if v := cluster.zoneViews()[zone]; v.Machines < machines*3/4 {
				t.Errorf("got %d of %d machines kept, want three quarters: %+v", v.Machines, machines, v)
			}
			cluster.waitFor("zone well", 30*time.Second, func() bool { return cluster.zoneViews()[zone].State == "well" })
			cluster.waitUntilDone()
		})
	}
}

// TestLeaderLostWithItsZone partitions the leader's zone, cuts the next leader off from the state service, and
// restarts all controllers outside the zone. The new leader must read from the stored record that the zone is lost,
// and for how long.
func TestLeaderLostWithItsZone(t *testing.T) {
	cluster := newWideCluster(t, 72, 5)
	cluster.submitSmallJobs(24, 20)
	cluster.submitJobs(50 * time.Second)
	cluster.waitForLoad()
	old, _ := cluster.Leader()
	zone := cluster.settings[old].Zone
	cluster.PartitionZone(zone, DelayBoth)
	cluster.waitFor(
		"led from another zone",
		15*time.Second,
		func() bool { l, _ := cluster.Leader(); return l >= 0 && cluster.settings[l].Zone != zone },
	)
	next, _ := cluster.Leader()
	cluster.RefuseController(next, true)
	cluster.Advance(10 * time.Second)
	cluster.RefuseController(next, false)
	cluster.waitFor("zone lost", 20*time.Second, func() bool { return cluster.zoneViews()[zone].State == "lost" })
	cluster.waitFor(
		"zone stored as lost",
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
		"zone lost for 5 s at the new leader",
		12*time.Second,
		func() bool { v := cluster.zoneViews()[zone]; return v.State == "lost" && v.ForS > 5 },
	)
	cluster.PartitionZone(zone, Connected)
	cluster.waitUntilDone()
}

// TestFlappingZone partitions a zone and restores it for 1.6 s, five times. The flaps are counted, so that each return
// takes longer, and no machines are rented there while the zone is returning.
func TestFlappingZone(t *testing.T) {
	cluster := newWideCluster(t, 73, 5)
	cluster.submitSmallJobs(24, 30)
	cluster.submitJobs(60 * time.Second)
	cluster.waitForLoad()
	zone := cluster.zoneWithoutLeader()
	maxFlaps, rentable := 0, 0
	for range 5 {
		cluster.PartitionZone(zone, DropBoth)
		cluster.Advance(4 * time.Second)
		cluster.PartitionZone(zone, Connected)
		for range 20 {
			cluster.Advance(80 * time.Millisecond)
			v := cluster.zoneViews()[zone]
			maxFlaps = max(maxFlaps, v.Flaps)
			if v.State == "returning" && v.Rents {
				rentable++
			}
		}
	}
	if maxFlaps < 2 || rentable > 0 {
		t.Errorf("got %d flaps and rentals allowed in %d views of the returning zone, want at least 2 and 0", maxFlaps, rentable)
	}
	cluster.waitUntilDone()
}

// TestZoneFaultsOverlap partitions two zones one after the other, so that less than half of the machines are
// reachable. As they return, the state service and the cloud are out, and the third zone is powered off. All jobs end
// and no invariant is violated.
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
	cluster.SetStateOutage(true) // the outage begins as zone a is reconnected
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

// replicasByZone counts a job's tasks on rented machines by zone, without tasks that have exited.
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

// TestServicesAreSpread checks that a service's six replicas are spread over zones, with at most three in one zone.
// After one zone is powered off, all six run in the remaining zones, where the bound of a service with spread
// replicas still holds.
func TestServicesAreSpread(t *testing.T) {
	cluster := newWideCluster(t, 75, 3)
	cluster.submitSmallJobs(24, 60) // enough jobs that machines are rented in all zones
	cluster.waitForLoad()
	spec := spreadServiceSpec()
	user := cluster.newUser(spec)
	user.submit()
	allUp := func() bool { return sum(cluster.replicasByZone(spec)) == 6 }
	cluster.waitFor("all replicas up", 40*time.Second, allUp)
	byZone := map[string]int{}
	for zone := range cluster.zoneViews() {
		byZone[zone] = cluster.replicasByZone(spec)[zone]
		if byZone[zone] > 3 {
			t.Errorf("got replicas by zone %v, want at most 3 in a zone", byZone)
		}
	}
	if replicas := cluster.replicasByZone(spec); len(replicas) < 2 {
		t.Errorf("got replicas by zone %v, want at least 2 zones", replicas)
	}
	cluster.PowerOffZone(cluster.zoneWithoutLeader())
	cluster.waitFor("all replicas up again", 40*time.Second, allUp)
	cluster.startControllers()
	cluster.Advance(3 * time.Second)
	user.cancel()
	cluster.waitUntilDone()
}

// TestAllZonesEmptied partitions all zones and terminates all machines in them. When the network is restored the
// leader has to rent machines there again, although no machine is left that could send a heartbeat.
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
	partition  Partition
	duration   time.Duration
	controller int
	kind       int // 0 to 9, see injectZoneFault
}

// injectZoneFault starts a fault, and returns whether the fault partitions a zone.
func (r *testCluster) injectZoneFault(fault zoneFault) (cutsZone bool) {
	zone, duration, i := fault.zone, fault.duration, fault.controller
	switch fault.kind {
	case 0, 1, 2, 3:
		r.PartitionZone(zone, fault.partition)
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

// playRandomZoneFaults injects random zone faults under load, then ends all faults and waits until all jobs have
// ended. It returns the cluster and the number of faults that partitioned a zone.
func playRandomZoneFaults(t *testing.T, seed uint64, controllers int) (cluster *testCluster, zonesCut int) {
	t.Helper()
	cluster = newTestCluster(t, seed, controllers, rollout.Newest, "")
	rng := cluster.rng
	cluster.SetNetwork(time.Duration(1+rng.IntN(15))*time.Millisecond, 0.01, 0.01, 8*time.Second)
	cluster.submitJobs(90 * time.Second)
	for at := 5 * time.Second; at < 95*time.Second; at += time.Duration(rng.IntN(6000)) * time.Millisecond {
		fault := zoneFault{
			zone:       zoneNames()[rng.IntN(3)],
			partition:  Partition(1 + rng.IntN(5)),
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

// TestRandomZoneFaults partitions zones, makes them flap and powers them off at random under load, with overlapping
// kills, drains and outages. All jobs end and no invariant is violated.
func TestRandomZoneFaults(t *testing.T) {
	seeds := 5
	if os.Getenv("HAREWALK_LONG") != "" {
		seeds = 200
	}
	counts, starts, partitions, jobCount := map[string]int{}, 0, 0, 0
	for seed := range seeds {
		cluster, zonesCut := playRandomZoneFaults(t, uint64(400+seed), 3+2*(seed%2))
		partitions += zonesCut
		jobCount += len(cluster.users)
		countEnds(counts, cluster.users)
		starts += cluster.Stats().TaskStarts
		if t.Failed() {
			t.Fatalf("seed %d failed", 400+seed)
		}
	}
	t.Logf("%d seeds: %d jobs, %v; %d starts, %d zone partitions", seeds, jobCount, counts, starts, partitions)
}
