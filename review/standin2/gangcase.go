package main

import (
	"fmt"
	"net/http"
	"time"
)

// gangRoom reports whether the machines that are up have room for all tasks of a gang without accelerators. The
// gang's own tasks don't count.
func (c *cluster) gangRoom(spec *jobSpec) bool {
	used := map[*worker][2]float64{}
	c.world.mu.Lock()
	for task, places := range c.world.on {
		id, _ := splitTask(task)
		if id == spec.ID {
			continue
		}
		for m := range places {
			u := used[m]
			used[m] = [2]float64{u[0] + c.world.jobs[id].CPUs, u[1] + c.world.jobs[id].MemoryGB}
		}
	}
	c.world.mu.Unlock()
	places := 0
	for _, m := range c.cloud.workers() {
		size, u := c.world.types[m.build], used[m]
		if m.spot && !spec.Spot || m.isHung() {
			continue
		}
		places += int(min((size.CPUs-u[0])/spec.CPUs, (size.MemoryGB-u[1])/spec.MemoryGB))
	}
	return places >= spec.Tasks
}

// isRunning reports whether all tasks of a gang run.
func (c *cluster) isRunning(spec *jobSpec) bool {
	for _, m := range c.cloud.workers() {
		m.mu.Lock()
		for _, a := range m.attempts {
			if a.spec == spec && a.state == "running" {
				m.mu.Unlock()
				return true
			}
		}
		m.mu.Unlock()
	}
	return false
}

// gangCase: while a job with accelerators waits, a gang without accelerators starts with one task after the other.
func gangCase(rec *recorder, trouble bool) error {
	s := brightfork()
	s.types = s.types[:2]
	s.capacity = map[offerKey]int{}
	for _, zone := range s.zones {
		s.capacity[offerKey{"clapboard", zone, false}] = 5
		s.capacity[offerKey{"lobsterpot", zone, false}] = 1
	}
	s.teams = append(s.teams, team{Name: "billing-guests"})
	c, err := newCluster(s, rec, 1)
	if err != nil {
		return err
	}
	defer c.close()
	for _, zone := range s.zones {
		for range 2 {
			c.cloud.add("clapboard", zone)
		}
		c.cloud.add("lobsterpot", zone)
	}
	if err := c.startAll(); err != nil {
		return err
	}
	jobs := []*jobSpec{}
	for i := range 3 {
		jobs = append(jobs, &jobSpec{
			ID: fmt.Sprintf("req-%06d", i+1), Class: "variant-scoring", Team: s.teams[i].Name, Kind: "sweep", Priority: "standard",
			Tasks: 1, CPUs: 6.5, GPUs: 1, MemoryGB: 48, Image: "img-1", ImageGB: 0.5, Spot: true, EstS: 180, runS: 180,
			RestS: 20, SaveS: 3,
		})
	}
	if trouble {
		jobs = append(jobs, &jobSpec{
			ID: "req-000004", Class: "rollout-model-train", Team: s.teams[3].Name, Kind: "gang", Priority: "standard", Tasks: 1,
			CPUs: 10, GPUs: 2, MemoryGB: 77, Image: "img-2", ImageGB: 0.5, Types: []string{"lobsterpot", "granitehall"},
			OneZone: true, EstS: 40, runS: 40, RestS: 15, SaveS: 4,
		})
	}
	gang := &jobSpec{
		ID: "req-000005", Class: "usage-rollup", Team: "billing-guests", Kind: "gang", Priority: "standard", Tasks: 3,
		CPUs: 1, MemoryGB: 20, Image: "img-3", ImageGB: 0.5, Spot: true, EstS: 10, runS: 10,
	}
	for _, spec := range append(jobs, gang) {
		if !c.submit(spec) {
			return errNotAccepted
		}
		if spec == jobs[2] {
			time.Sleep(3 * time.Second)
		}
	}
	var waitsSince time.Time
	for end := time.Now().Add(106 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if c.world.isDone("req-000005/0") {
			rec.logf("req-000005 is done")
			return nil
		}
		if c.isRunning(gang) || !c.gangRoom(gang) {
			waitsSince = time.Time{}
			continue
		}
		if waitsSince.IsZero() {
			waitsSince = time.Now()
		}
		waited := time.Since(waitsSince)
		rec.logf("req-000005 waits for %.1f s, the machines have room for all its tasks", waited.Seconds())
		if waited > leftWaiting {
			if l := c.leader(); l >= 0 {
				rec.logf("why: %s", c.ask(l, http.MethodGet, "/v2/runs/req-000005/why", nil, 3*time.Second).body)
			}
			c.pollAt(0, "req-000005")
			rec.breakRule("left waiting: req-000005 waits for %.1f s while the machines that fit have room for all its tasks and its team has no limit", waited.Seconds())
			return nil
		}
	}
	return nil
}
