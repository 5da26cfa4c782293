package main

import (
	"net/http"
	"time"
)

// command sends an operator's command about a licence pool to the leader, and reports whether it was carried out.
func (c *cluster) command(pool string, body []byte) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if l := c.leader(); l >= 0 {
			r := c.ask(l, http.MethodPost, "/v2/licences/"+pool, body, 5*time.Second)
			c.rec.logf("operator %s: %d %s", body, r.status, r.body)
			if r.status == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// seatsTaken returns how many units of a pool tasks on machines hold.
func (c *cluster) seatsTaken(pool string) int { return -c.freeSeats(pool, 0) }

// awaitSeats waits until a number of units is taken.
func (c *cluster) awaitSeats(pool string, want int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if c.seatsTaken(pool) == want {
			return true
		}
	}
	return false
}

// repeatCase: an operator's request that was carried out arrives once more, after a newer one.
func repeatCase(rec *recorder, trouble bool) error {
	const pool = "optimise"
	s := brightfork()
	s.operator = "licence \"optimise\" {\n  count    = 2\n  on_lower = \"stop\"\n}\n"
	c, err := newCluster(s, rec, 1)
	if err != nil {
		return err
	}
	defer c.close()
	for _, zone := range s.zones {
		c.cloud.add("clapboard", zone)
	}
	if err := c.startAll(); err != nil {
		return err
	}
	job := &jobSpec{
		ID: "req-000001", Class: "audit-replay", Team: s.teams[0].Name, Kind: "sweep", Priority: "standard", Tasks: 12,
		CPUs: 1, MemoryGB: 1.9, Image: "img-1", ImageGB: 0.2, Spot: true, EstS: 60, runS: 60,
		Licences: map[string]int{pool: 1},
	}
	if !c.submit(job) || !c.awaitSeats(pool, 2, 20*time.Second) {
		return errNotAccepted
	}
	raise := []byte(`{"by":"kana","count":6}`)
	if !c.command(pool, raise) || !c.awaitSeats(pool, 6, 15*time.Second) {
		return errNotCarriedOut
	}
	if !c.command(pool, []byte(`{"by":"mika","count":2}`)) || !c.awaitSeats(pool, 2, 15*time.Second) {
		return errNotCarriedOut
	}
	rec.logf("the count is 2 by the last answer, and 2 units are taken")
	time.Sleep(2 * time.Second)
	if trouble {
		if l := c.leader(); l >= 0 {
			r := c.ask(l, http.MethodPost, "/v2/licences/"+pool, raise, 5*time.Second)
			rec.logf("the first request once more %s: %d %s", raise, r.status, r.body)
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if taken := c.seatsTaken(pool); taken > 2 {
			rec.breakRule("the count is never exceeded: %d units are taken, the operator's last command set 2", taken)
			return nil
		}
	}
	return nil
}
