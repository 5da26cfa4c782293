package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// submitOneZoneGang adds a gang whose tasks must be in the same zone and take the given number of CPUs each.
func (f *fixture) submitOneZoneGang(t *testing.T, tasks int, cpus float64) *jobs.Job {
	t.Helper()
	f.revision++
	spec := &jobs.Spec{
		ID: fmt.Sprintf("req-%06d", f.revision), Class: "c", Team: "t", Kind: jobs.Gang, Priority: "standard",
		Tasks: tasks, CPUs: cpus, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 100, OneZone: true, Spot: true,
	}
	job, _, err := f.table.Apply(spec.ID, jobs.EncodeRecord(jobs.Pending, 0, tasks, spec), f.revision)
	if err != nil {
		t.Fatal(err)
	}
	f.Fleet.HandleJobChange(f.cloud.now, job)
	f.Fleet.RankJobs(f.cloud.now)
	return job
}

// addReady adds an idle machine of a zone that sends heartbeats.
func (f *fixture) addReady(i int, zone string) {
	ready := heartbeat(i, 1)
	ready.Zone = zone
	f.Fleet.HandleHeartbeat(f.cloud.now, ready)
}

// rentedByZone counts the rented machines by zone.
func (f *fixture) rentedByZone() map[string]int {
	count := map[string]int{}
	for _, machine := range f.cloud.machines {
		count[machine.Zone]++
	}
	return count
}

// Free machines in different zones must not count as room for a gang that must stay in one zone.
func TestMachinesForAGangInOneZoneAreRented(t *testing.T) {
	f := newFixture()
	f.cloud.available = map[cloudOffer]int{{"a", true}: 9, {"b", true}: 9}
	f.addReady(0, "a")
	f.addReady(1, "b")
	f.submitOneZoneGang(t, 2, 4)
	f.inventory.readAt = 1
	f.scaleOut(f.cloud.now)
	f.cloud.deliverAll()
	if count := f.rentedByZone(); count["a"]+count["b"] != 1 {
		t.Errorf("got rented machines by zone %v, want one", count)
	}
}

// The machines for a gang that must stay in one zone must meet in one zone, also if the cloud has too few in another.
func TestMachinesForAGangInOneZoneMeet(t *testing.T) {
	f := newFixture()
	f.cloud.available = map[cloudOffer]int{{"a", true}: 2, {"a", false}: 0, {"b", true}: 9}
	f.submitOneZoneGang(t, 4, 4)
	f.runFor(10 * time.Second)
	if count := f.rentedByZone(); max(count["a"], count["b"]) < 4 || count["a"]+count["b"] > 6 {
		t.Errorf("got rented machines by zone %v, want four in one zone, and at most two others", count)
	}
}

// A machine on which a gang counts must not be returned as idle before the gang's other machines have booted.
func TestMachinesOfAWaitingGangAreKept(t *testing.T) {
	f := newFixture()
	f.cloud.available = map[cloudOffer]int{{"a", true}: 9}
	f.addReady(0, "a")
	f.submitOneZoneGang(t, 2, 4)
	f.inventory.readAt = 1
	f.scaleOut(f.cloud.now)
	machine := f.Fleet.FindMachine("i-0")
	idleFor := f.idleLimit(machine) + time.Second
	if !f.isSurplus(machine.IdleSince+idleFor+10*scaleOutInterval, machine) {
		t.Fatal("a machine on which no job has counted lately is kept, want it returned")
	}
	f.awaitedInZone[machine.Index] = machine.IdleSince + idleFor
	if f.isSurplus(machine.IdleSince+idleFor, machine) {
		t.Error("a machine on which a waiting gang counts is returned, want it kept")
	}
	late := machine.IdleSince + idleFor + f.retentionTime(machine)
	f.awaitedInZone[machine.Index] = late
	if !f.isSurplus(late, machine) {
		t.Error("a machine on which a gang has counted for too long is kept, want it returned")
	}
}

// fitsOneZone is the plain model: it reports whether some zone has room for the tasks of a gang, one by one.
func fitsOneZone(bins []*capacityBin, job *jobs.Job, tasks int, horizonS float64) bool {
	placed := map[int32]int{}
	for _, bin := range bins {
		free := bin.free
		for work := job.Spec.Size().Scale(horizonS); bin.allowedFor(job) && work.Fits(free); free = free.Sub(work) {
			if placed[bin.zone]++; placed[bin.zone] == tasks {
				return true
			}
		}
	}
	return false
}

// After the plan's machines have been rented, some zone has room for the whole gang, and no machine is rented if one
// had room before.
func TestRentingMakesAGangInOneZonePossible(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 53))
	rented, enough := 0, 0
	for range 400 {
		f := newFixture()
		for i := range rng.IntN(7) {
			f.addReady(i, []string{"a", "b"}[rng.IntN(2)])
		}
		tasks := 2 + rng.IntN(6)
		job := f.submitOneZoneGang(t, tasks, float64(1+rng.IntN(4)))
		f.inventory.readAt = 1
		before := &scaleOutPlan{manager: f.Manager, horizonS: f.planningHorizonS(), toRent: map[offer]int{}}
		before.addMachines()
		hadRoom := fitsOneZone(before.bins, job, tasks, before.horizonS)
		plan := f.planScaleOut(f.cloud.now)
		after := &scaleOutPlan{manager: f.Manager, horizonS: plan.horizonS, toRent: map[offer]int{}}
		after.addMachines()
		for o, count := range plan.toRent {
			for range count {
				after.bins = append(after.bins, &capacityBin{offer: o, free: f.machineType(o.typeIndex).Size().Scale(plan.horizonS)})
			}
		}
		if !fitsOneZone(after.bins, job, tasks, plan.horizonS) {
			t.Fatalf("no zone has room for %d tasks of %v after renting %v", tasks, job.Spec.Size(), plan.toRent)
		}
		if hadRoom && len(plan.toRent) > 0 {
			t.Fatalf("%v to be rented for %d tasks of %v, which had room", plan.toRent, tasks, job.Spec.Size())
		}
		if hadRoom {
			enough++
		} else {
			rented++
		}
	}
	if enough < 50 || rented < 50 {
		t.Errorf("%d plans with room, %d without, want at least 50 of each", enough, rented)
	}
}
