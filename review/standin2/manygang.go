package main

import (
	"time"
)

// manyTasks tries an entry of the project's own list: a gang of more tasks than a machine's list holds.
func manyTasks(rec *recorder, trouble bool) error {
	s := brightfork()
	s.capacity = map[offerKey]int{}
	c, err := newCluster(s, rec, 1)
	if err != nil {
		return err
	}
	defer c.close()
	c.cloud.add("granitehall", s.zones[0])
	c.cloud.add("granitehall", s.zones[1])
	if err := c.startAll(); err != nil {
		return err
	}
	gang := &jobSpec{
		ID: "req-000001", Class: "usage-rollup", Team: s.teams[0].Name, Kind: "gang", Priority: "standard", Tasks: 400,
		CPUs: 0.02, MemoryGB: 0.05, Image: "img-3", ImageGB: 0.5, Spot: true, EstS: 10, runS: 10,
	}
	if trouble {
		gang.Tasks = 450
	}
	if !c.submit(gang) {
		return errNotAccepted
	}
	start := time.Now()
	for time.Since(start) < 98*time.Second {
		if c.world.isDone("req-000001/0") {
			rec.logf("req-000001 is done")
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	rec.breakRule("left waiting: a gang of %d tasks doesn't run for %.0f s", gang.Tasks, time.Since(start).Seconds())
	return nil
}
