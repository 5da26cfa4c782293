package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// shapes submits jobs of many shapes without troubles, and reports those that wait.
func shapes(rec *recorder, _ bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	s := brightfork()
	for i := range s.types {
		s.types[i].ReadyS = 8
	}
	s.capacity[offerKey{"granitehall", "housatonic", true}] = 1
	s.capacity[offerKey{"granitehall", "narragansett", false}] = 1
	s.teams[0].CPUsMax = 10
	s.teams[1].CPUs = 10
	s.teams = append(s.teams, team{Name: "billing-guests"})
	c, err := newCluster(s, rec, seed)
	if err != nil {
		return err
	}
	defer c.close()
	rng := c.world.rng
	for _, zone := range s.zones {
		for range 3 {
			c.cloud.add("clapboard", zone)
		}
		c.cloud.add("lobsterpot", zone)
	}
	if err := c.startAll(); err != nil {
		return err
	}
	var users sync.WaitGroup
	until := time.Now().Add(35 * time.Second)
	for n := 1; time.Now().Before(until); n++ {
		spec := &jobSpec{
			ID: fmt.Sprintf("req-%06d", n), Class: []string{"a", "b", "c"}[rng.intn(3)], Team: s.teams[rng.intn(len(s.teams))].Name,
			Kind: []string{"sweep", "sweep", "gang", "daemon"}[rng.intn(4)], Priority: []string{"prod", "urgent", "standard", "best_effort"}[rng.intn(4)],
			Tasks: 1 + rng.intn(6), CPUs: []float64{0.1, 0.5, 1, 2, 4, 7, 8, 10}[rng.intn(8)], MemoryGB: []float64{0, 1, 4, 15, 16, 30}[rng.intn(6)],
			Image: fmt.Sprintf("i%d", rng.intn(5)), ImageGB: 0.5 * rng.float(), Spot: rng.intn(2) == 0, EstS: []float64{0, 0.1, 1, 4, 100, 3000}[rng.intn(6)],
			runS: 0.5 + 4*rng.float(),
		}
		if rng.intn(3) == 0 && os.Getenv("NOGPU") == "" {
			spec.GPUs = []float64{0.5, 1, 2}[rng.intn(3)]
		}
		if rng.intn(3) == 0 {
			z := s.zones[rng.intn(3)]
			spec.Zone = &z
		}
		if os.Getenv("NOGANG") != "" && spec.Kind == "gang" {
			spec.Tasks = 1
		}
		spec.OneZone = rng.intn(4) == 0
		spec.Spread = !spec.OneZone && spec.Zone == nil && rng.intn(4) == 0
		if rng.intn(3) == 0 {
			spec.Types = []string{[]string{"clapboard", "lobsterpot", "granitehall"}[rng.intn(3)]}
		}
		if rng.intn(3) == 0 {
			d := 30 * rng.float()
			spec.DueS = &d
		}
		if rng.intn(2) == 0 {
			spec.RestS, spec.SaveS = 1, 0.5
		}
		users.Add(1)
		go func() {
			defer users.Done()
			if c.submit(spec) && spec.Kind == "daemon" {
				time.Sleep(seconds(5 + 10*rng.float()))
				c.cancel(spec.ID)
			}
		}()
		time.Sleep(seconds(0.6 * rng.float()))
	}
	users.Wait()
	time.Sleep(60 * time.Second)
	for id, told := range c.world.told {
		if told != "accepted" {
			continue
		}
		r := c.pollAt(0, id)
		if l := c.leader(); r.stance != "done" && r.stance != "cancelled" && l >= 0 {
			spec := c.world.jobs[id]
			fmt.Printf("%+v zone %v\n", *spec, spec.Zone)
			if spec.Zone != nil {
				fmt.Println(*spec.Zone)
			}
			fmt.Println(c.ask(l, http.MethodGet, "/v2/runs/"+id+"/why", nil, 3*time.Second).body)
		}
	}
	fmt.Println(c.world.snapshot())
	return nil
}
