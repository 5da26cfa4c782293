package main

import (
	"net/http"
	"time"
)

const leftWaiting = 90 * time.Second

// roomFor reports whether a machine that is up and fits has room for one more task of a job without accelerators.
func (c *cluster) roomFor(spec *jobSpec) bool {
	used := map[*worker][3]float64{}
	c.world.mu.Lock()
	for task, places := range c.world.on {
		id, _ := splitTask(task)
		other := c.world.jobs[id]
		for m := range places {
			u := used[m]
			used[m] = [3]float64{u[0] + other.CPUs, u[1] + other.GPUs, u[2] + other.MemoryGB}
		}
	}
	c.world.mu.Unlock()
	for _, m := range c.cloud.workers() {
		size, u := c.world.types[m.build], used[m]
		if !m.isHung() && u[0]+spec.CPUs <= size.CPUs && u[1]+spec.GPUs <= size.GPUs && u[2]+spec.MemoryGB <= size.MemoryGB {
			return true
		}
	}
	return false
}

// freeSeats returns how many units of a pool no task on a machine holds.
func (c *cluster) freeSeats(pool string, count int) int {
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	for task, places := range c.world.on {
		id, _ := splitTask(task)
		count -= c.world.jobs[id].Licences[pool] * len(places)
	}
	return count
}

// isOn reports whether a task is on a machine.
func (c *cluster) isOn(task string) bool {
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	return len(c.world.on[task]) > 0
}

// seatCase: a task crashes while it holds a seat. Its seat is free, and is kept for a task that its team's limit keeps
// from starting.
func seatCase(rec *recorder, trouble bool) error {
	const seats = 13
	s := harmonia()
	s.operator = "licence \"transcribe\" {\n  count = 13\n}\n"
	c, err := newCluster(s, rec, 1)
	if err != nil {
		return err
	}
	defer c.close()
	startMachines(c)
	if err := c.startAll(); err != nil {
		return err
	}
	small := &jobSpec{
		ID: "req-000001", Class: "ticket-checks", Team: "festival-desk", Kind: "sweep", Priority: "standard", Tasks: 1,
		CPUs: 1, MemoryGB: 2, Image: "img-1", ImageGB: 0.2, Spot: true, EstS: 20, runS: 20,
		Licences: map[string]int{"transcribe": 1},
	}
	if trouble {
		small.crash = 3
	}
	due := 460.0
	array := &jobSpec{
		ID: "req-000002", Class: "pitch-check", Team: "core-app-00", Kind: "sweep", Priority: "standard", Tasks: 14,
		CPUs: 6, GPUs: 1, MemoryGB: 36, Image: "img-2", ImageGB: 0.5, Types: []string{"sakurajima"}, Spot: true,
		EstS: 150, runS: 150, DueS: &due, Licences: map[string]int{"transcribe": 1},
	}
	for _, spec := range []*jobSpec{small, array} {
		if !c.submit(spec) {
			return errNotAccepted
		}
		if spec == small {
			for end := time.Now().Add(15 * time.Second); !c.isOn("req-000001/0") && time.Now().Before(end); {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	var waitsSince time.Time
	for end := time.Now().Add(106 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if c.world.isDone("req-000001/0") {
			rec.logf("req-000001 is done")
			return nil
		}
		free := c.freeSeats("transcribe", seats)
		waits := !c.isOn("req-000001/0") && free > 0 && c.roomFor(small)
		if !waits {
			waitsSince = time.Time{}
			continue
		}
		if waitsSince.IsZero() {
			waitsSince = time.Now()
		}
		waited := time.Since(waitsSince)
		rec.logf("req-000001 waits for %.1f s, %d of %d seats are free, a machine has room", waited.Seconds(), free, seats)
		if waited > leftWaiting {
			if l := c.leader(); l >= 0 {
				rec.logf("why: %s", c.ask(l, http.MethodGet, "/v2/runs/req-000001/why", nil, 3*time.Second).body)
				rec.logf("pool: %s", c.ask(l, http.MethodGet, "/v2/licences/transcribe", nil, 3*time.Second).body)
			}
			c.pollAt(0, "req-000001")
			rec.breakRule("left waiting: req-000001 waits for %.1f s while %d of %d seats are free, a machine that fits has room and its team has no limit", waited.Seconds(), free, seats)
			return nil
		}
	}
	return nil
}
