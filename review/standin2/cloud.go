package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// offerKey is a type, zone and kind of machine.
type offerKey struct {
	build, zone string
	spot        bool
}

// rented is one machine of the cloud.
type rented struct {
	name, build, zone string
	spot              bool
	at                time.Time // of the rental request
	up                time.Time // when it comes up
	gone              time.Time
	worker            *worker
}

// cloud rents out machines.
type cloud struct {
	world  *world
	nodes  func() map[string]string
	listen string
	rps    float64
	lagS   float64

	mu       sync.Mutex
	machines []*rented
	claims   map[string][]string
	capacity map[offerKey]int
	nextID   int
	bootS    func(build string) float64
	budget   bucket
	onWorker func(*worker)
}

func newCloud(w *world, nodes func() map[string]string, rps, lagS float64, capacity map[offerKey]int) (*cloud, error) {
	c := &cloud{
		world: w, nodes: nodes, rps: rps, lagS: lagS, claims: map[string][]string{}, capacity: capacity, nextID: 100,
		budget: bucket{rate: rps, burstS: 2},
	}
	c.bootS = func(build string) float64 { return w.types[build].ReadyS * (0.6 + 0.9*w.rng.float()) }
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.listen = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(c.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go c.boot()
	return c, nil
}

func (c *cloud) boot() {
	for range time.Tick(50 * time.Millisecond) {
		c.mu.Lock()
		for _, m := range c.machines {
			if m.worker == nil && m.gone.IsZero() && !time.Now().Before(m.up) {
				c.start(m)
			}
		}
		c.mu.Unlock()
	}
}

func (c *cloud) start(m *rented) {
	w, err := newWorker(c.world, c.nodes, m.name, m.build, m.zone, m.spot)
	if err != nil {
		c.world.rec.logf("machine %s: %v", m.name, err)
		return
	}
	m.worker = w
	if c.onWorker != nil {
		c.onWorker(w)
	}
	c.world.rec.logf("machine %s is up: %s %s spot %v", m.name, m.build, m.zone, m.spot)
}

// add adds a machine that is up at the start.
func (c *cloud) add(build, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.create(build, zone, false, 0)
	m.at = time.Now().Add(-time.Minute)
	c.start(m)
}

func (c *cloud) create(build, zone string, spot bool, bootS float64) *rented {
	c.nextID++
	m := &rented{
		name: fmt.Sprintf("i-%06d", c.nextID), build: build, zone: zone, spot: spot,
		at: time.Now(), up: time.Now().Add(seconds(bootS)),
	}
	c.machines = append(c.machines, m)
	return m
}

// workers returns the machines that are up.
func (c *cloud) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*worker
	for _, m := range c.machines {
		if m.worker != nil && m.gone.IsZero() {
			all = append(all, m.worker)
		}
	}
	return all
}

// take takes a machine away.
func (c *cloud) take(w *worker, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker == w && m.gone.IsZero() {
			m.gone = time.Now()
			w.die(why)
		}
	}
}

func (c *cloud) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.budget.take(1) {
		sendJSON(w, http.StatusTooManyRequests, map[string]string{"error": "too many requests"})
		return
	}
	switch {
	case r.URL.Path == "/machine_types":
		var all []machineType
		for _, one := range c.world.types {
			all = append(all, one)
		}
		sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
		sendJSON(w, http.StatusOK, map[string]any{"builds": all})
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		c.rent(w, r)
	case r.URL.Path == "/machines/return":
		c.giveBack(w, r)
	case r.URL.Path == "/machines":
		c.list(w, r)
	default:
		sendJSON(w, http.StatusBadRequest, map[string]string{"error": "unknown path"})
	}
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Claim string `json:"claim"`
		Build string `json:"build"`
		Zone  string `json:"meadow"`
		Spot  bool   `json:"stray"`
		Count int    `json:"how_many"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Count < 1 || request.Count > 50 {
		sendJSON(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	if names, ok := c.claims[request.Claim]; ok {
		c.world.rec.logf("cloud: claim %s repeated", request.Claim)
		sendJSON(w, http.StatusOK, map[string]any{"dens": names})
		return
	}
	key := offerKey{request.Build, request.Zone, request.Spot}
	used := 0
	for _, m := range c.machines {
		if m.gone.IsZero() && m.build == key.build && m.zone == key.zone && m.spot == key.spot {
			used++
		}
	}
	count := min(request.Count, c.capacity[key]-used)
	if count <= 0 {
		sendJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	names := []string{}
	for range count {
		m := c.create(request.Build, request.Zone, request.Spot, c.bootS(request.Build))
		names = append(names, m.name)
	}
	c.claims[request.Claim] = names
	c.world.rec.logf("cloud: rented %v for %s", names, request.Claim)
	sendJSON(w, http.StatusOK, map[string]any{"dens": names})
}

func (c *cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Names []string `json:"dens"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Names) > 100 {
		sendJSON(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	for _, name := range request.Names {
		for _, m := range c.machines {
			if m.name == name && m.gone.IsZero() {
				m.gone = time.Now()
				if m.worker != nil {
					m.worker.die("returned")
				}
			}
		}
	}
	sendJSON(w, http.StatusOK, map[string]any{})
}

// list describes the machines as they were some seconds ago.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	lag := seconds(c.lagS * (0.6 + 0.4*c.world.rng.float()))
	if c.world.rng.intn(10) == 0 {
		lag = seconds(c.lagS * 2)
	}
	then := time.Now().Add(-lag)
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 || limit < 1 {
		limit = 500
	}
	listed := []any{}
	more := false
	for _, m := range c.machines {
		isGone := !m.gone.IsZero() && m.gone.Before(then)
		if m.name <= query.Get("since") || m.at.After(then) || isGone {
			continue
		}
		if len(listed) == limit {
			more = true
			break
		}
		stance, addr := "running", ""
		if m.up.After(then) {
			stance = "starting"
		}
		if m.worker != nil {
			addr = m.worker.addr
		}
		listed = append(listed, map[string]any{
			"name_id": m.name, "address": addr, "build": m.build, "meadow": m.zone, "stray": m.spot, "stance": stance,
			"age_s": then.Sub(m.at).Seconds(),
		})
	}
	sendJSON(w, http.StatusOK, map[string]any{"dens": listed, "has_next": more})
}
