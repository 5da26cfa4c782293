package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func chaos(rec *recorder, trouble bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	forS, _ := strconv.ParseFloat(os.Getenv("FOR_S"), 64)
	if forS == 0 {
		forS = 90
	}
	s := brightfork()
	for i := range s.types {
		s.types[i].ReadyS = 6
	}
	s.teams[0].CPUsMax = 20
	if os.Getenv("EXTRA") != "" {
		s.operator = "archive { retain_s = 1 }\nlicence \"seat\" { count = 6 }\nlicence \"desk\" {\n count = 4\n linger_s = 3\n}\n"
	}
	c, err := newCluster(s, rec, seed)
	if err != nil {
		return err
	}
	defer c.close()
	rng := c.world.rng
	if os.Getenv("COPIES") != "" {
		c.cloud.onWorker = func(m *worker) {
			m.lateReport = func() time.Duration { return lateness(rng, 0.2, 40) }
			m.lateOrders = func() time.Duration { return lateness(rng, 0.4, 18) }
		}
	}
	c.world.seats = map[string]int{"seat": 6, "desk": 4}
	if os.Getenv("EXTRA") != "" && trouble {
		go c.operators()
	}
	for i, zone := range s.zones {
		for range 4 {
			c.cloud.add("clapboard", zone)
		}
		_ = i
		c.cloud.add("lobsterpot", zone)
	}
	if err := c.startAll(); err != nil {
		return err
	}
	until := time.Now().Add(seconds(forS))
	var users sync.WaitGroup
	if trouble {
		go func() {
			for time.Now().Before(until) {
				c.fault()
				time.Sleep(seconds(1 + 5*rng.float()))
			}
		}()
	}
	n := 0
	for time.Now().Before(until) {
		n++
		spec := randomJob(c, n)
		users.Add(1)
		go func() {
			defer users.Done()
			if !c.submit(spec) {
				return
			}
			if rng.intn(4) == 0 {
				time.Sleep(seconds(15 * rng.float() * rng.float()))
				c.cancel(spec.ID)
				for k := range c.nodes {
					c.pollAt(k, spec.ID)
				}
			}
			c.follow(spec.ID, until.Add(60*time.Second))
			for k := range c.nodes {
				c.pollAt(k, spec.ID)
				c.submitAt(k, spec)
			}
		}()
		time.Sleep(seconds(0.2 + 0.6*rng.float()))
		if n%10 == 0 {
			r := c.pollAt(rng.intn(3), fmt.Sprintf("req-%06d", 900000+n))
			if r.status == 200 {
				rec.breakRule("invented")
			}
		}
	}
	users.Wait()
	for id, told := range c.world.told {
		if l := c.leader(); told == "accepted" && l >= 0 {
			rec.logf("why %s fails %v: %s", id, c.world.jobs[id].fails, c.ask(l, "GET", "/v2/runs/"+id+"/why", nil, 3*time.Second).body)
		}
	}
	if l := c.leader(); l >= 0 {
		rec.logf("licences %s", c.ask(l, "GET", "/v2/licences", nil, 3*time.Second).body)
		rec.logf("admin %s", c.ask(l, "GET", "/v2/admin", nil, 3*time.Second).body)
	}
	rec.logf("%s", c.world.snapshot())
	fmt.Println(c.world.snapshot())
	return nil
}

func randomJob(c *cluster, n int) *jobSpec {
	rng := c.world.rng
	spec := &jobSpec{
		ID: fmt.Sprintf("req-%06d", n), Class: "audit-replay", Team: c.site.teams[rng.intn(3)].Name, Kind: "sweep",
		Priority: []string{"prod", "urgent", "standard", "best_effort"}[rng.intn(4)],
		Tasks:    1 + rng.intn(8), CPUs: 1, MemoryGB: 1.9, Image: fmt.Sprintf("img-%d", rng.intn(4)), ImageGB: 0.4,
		Spot: rng.intn(2) == 0, EstS: 4, runS: 1 + 8*rng.float(),
	}
	switch rng.intn(5) {
	case 0:
		spec.Kind, spec.Class = "gang", "rollout-model-train"
		spec.Tasks = 1 + rng.intn(3)
		spec.CPUs, spec.GPUs, spec.MemoryGB = 4, 0, 6
		spec.OneZone = rng.intn(2) == 0
		spec.Spread = !spec.OneZone && rng.intn(2) == 0
		spec.RestS, spec.SaveS = 2, 1
	case 1:
		spec.GPUs, spec.CPUs = 1, 3
		spec.RestS, spec.SaveS = 3, 1
		spec.Tasks = 1 + rng.intn(2)
	case 2:
		zone := c.site.zones[rng.intn(3)]
		spec.Zone = &zone
	}
	if c.site.operator != "" && rng.intn(3) > 0 {
		spec.Licences = map[string]int{[]string{"seat", "desk"}[rng.intn(2)]: 1}
		spec.Tasks = min(spec.Tasks, 4)
	}
	if rng.intn(15) == 0 {
		spec.fails = true
	}
	return spec
}

// fault plays one random trouble of the pages.
func (c *cluster) fault() {
	rng := c.world.rng
	workers := c.cloud.workers()
	someone := func() *worker { return workers[rng.intn(len(workers))] }
	if len(workers) == 0 {
		return
	}
	node := rng.intn(3)
	if l := c.leader(); l >= 0 && rng.intn(3) > 0 {
		node = l
	}
	switch rng.intn(13) {
	case 0, 1:
		c.kill(node)
		time.Sleep(seconds([]float64{0.05, 0.5, 4, 8}[rng.intn(4)]))
		_ = c.start(node)
	case 2:
		c.signal(node, syscall.SIGSTOP)
		time.Sleep(seconds(1 + 12*rng.float()))
		c.signal(node, syscall.SIGCONT)
	case 3:
		c.state.setDown(true)
		time.Sleep(seconds(2 + 10*rng.float()))
		c.state.setDown(false)
	case 4:
		c.state.refuse(node, true)
		time.Sleep(seconds(2 + 14*rng.float()))
		c.state.refuse(node, false)
	case 5:
		w := someone()
		w.hang(seconds(2 + 25*rng.float()))
	case 6:
		c.cloud.take(someone(), "taken")
	case 7:
		w := someone()
		w.mu.Lock()
		w.deaf = true
		w.mu.Unlock()
		c.rec.logf("deaf %s", w.name)
		time.AfterFunc(seconds(5+25*rng.float()), func() {
			w.mu.Lock()
			w.deaf = false
			w.mu.Unlock()
		})
	case 8:
		w := someone()
		w.mu.Lock()
		w.mute = true
		w.mu.Unlock()
		c.rec.logf("mute %s", w.name)
		time.AfterFunc(seconds(5+25*rng.float()), func() {
			w.mu.Lock()
			w.mute = false
			w.mu.Unlock()
		})
	case 9, 10:
		share := 0.1 + 0.3*rng.float()
		mode := rng.intn(3)
		c.rec.logf("transactions: share %.2f mode %d", share, mode)
		c.state.mu.Lock()
		c.state.fateOf = func(_ int, method, path string, _ []byte) fate {
			if path != "/txn" || rng.float() > share {
				if mode == 2 && path != "/follow" && method != "" {
					return fate{after: seconds(0.6 * rng.float())}
				}
				return fate{}
			}
			switch mode {
			case 0:
				return fate{noWait: true, before: seconds(2 + 10*rng.float())}
			case 1:
				return fate{lose: true}
			}
			return fate{before: seconds(rng.float()), after: seconds(1.5 * rng.float())}
		}
		c.state.mu.Unlock()
		time.Sleep(seconds(4 + 8*rng.float()))
		c.state.mu.Lock()
		c.state.fateOf = nil
		c.state.mu.Unlock()
	case 12:
		c.cutZone(c.site.zones[rng.intn(len(c.site.zones))], seconds(10+25*rng.float()))
	case 11:
		c.signal(node, syscall.SIGTERM)
		<-c.nodes[node].ended
		_ = c.start(node)
	}
}

// operators drains controllers and machines, and changes them back.
func (c *cluster) operators() {
	rng := c.world.rng
	for {
		time.Sleep(seconds(3 + 6*rng.float()))
		op := []string{"drain", "undrain"}[rng.intn(2)]
		kind, name := "node", c.nodes[rng.intn(3)].name
		if workers := c.cloud.workers(); rng.intn(2) == 0 && len(workers) > 0 {
			kind, name = "machine", workers[rng.intn(len(workers))].name
		}
		body := fmt.Sprintf(`{"op":%q,"kind":%q,"name":%q,"by":"kana","stop":%v}`, op, kind, name, rng.intn(2) == 0)
		if l := c.leader(); l >= 0 {
			r := c.ask(l, "POST", "/v2/admin", []byte(body), 3*time.Second)
			c.rec.logf("operator %s: %d %.100s", body, r.status, r.body)
		}
		if rng.intn(3) == 0 {
			for _, n := range c.nodes {
				if l := c.leader(); l >= 0 {
					c.ask(l, "POST", "/v2/admin", []byte(fmt.Sprintf(`{"op":"undrain","kind":"node","name":%q,"by":"mika"}`, n.name)), 3*time.Second)
				}
			}
		}
	}
}

// lateness returns, for a share of the messages, how late a copy of the message arrives, and 0 for the others.
func lateness(rng *lockedRand, share, longestS float64) time.Duration {
	if rng.float() > share {
		return 0
	}
	return seconds(2 + (longestS-2)*rng.float())
}

// cutZone cuts the machines of a zone off from all controllers for a time.
func (c *cluster) cutZone(zone string, d time.Duration) {
	c.rec.logf("zone %s is cut off for %v", zone, d)
	for _, m := range c.cloud.workers() {
		if m.zone != zone {
			continue
		}
		set := func(on bool) {
			m.mu.Lock()
			m.deaf, m.mute = on, on
			m.mu.Unlock()
		}
		set(true)
		time.AfterFunc(d, func() { set(false) })
	}
}
