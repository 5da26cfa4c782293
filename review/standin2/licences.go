package main

import (
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// licenceServer is a licence server by docs/licences.md. Its entries have no attempt, which the page allows.
type licenceServer struct {
	rec    *recorder
	pool   string
	count  int
	linger time.Duration // how long a crashed holder keeps its unit
	addr   string

	mu      sync.Mutex
	units   map[string]int // by holder
	refused []string
}

func newLicenceServer(rec *recorder, pool string, count int, linger time.Duration) (*licenceServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &licenceServer{
		rec: rec, pool: pool, count: count, linger: linger, addr: listener.Addr().String(), units: map[string]int{},
	}
	server := &http.Server{Handler: http.HandlerFunc(l.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return l, nil
}

func (l *licenceServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/pools/"+l.pool {
		sendJSON(w, http.StatusNotFound, map[string]string{"error": "no such pool"})
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	holders := []any{}
	names := []string{}
	for name := range l.units {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if l.units[name] > 0 {
			holders = append(holders, map[string]any{"holder": name, "units": l.units[name]})
		}
	}
	sendJSON(w, http.StatusOK, map[string]any{"count": l.count, "holders": holders})
}

// checkOut takes a unit for a task that starts, or refuses it if none is free.
func (l *licenceServer) checkOut(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := 0
	for _, units := range l.units {
		taken += units
	}
	if taken >= l.count {
		l.refused = append(l.refused, task)
		l.rec.logf("licence server: %s is refused, %d of %d units are in use: %v", task, taken, l.count, l.units)
		return
	}
	l.units[task]++
	l.rec.logf("licence server: %s has a unit, in use: %v", task, l.units)
}

// checkIn gives a unit back: at once after a clean end, later after a crash.
func (l *licenceServer) checkIn(task, why string) {
	free := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.units[task] = max(0, l.units[task]-1)
		l.rec.logf("licence server: a unit of %s is free again, in use: %v", task, l.units)
	}
	if why == "done" || why == "halted" {
		free()
		return
	}
	time.AfterFunc(l.linger, free)
}

func (l *licenceServer) refusals() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.refused...)
}

// lingerCase: a task crashes while it holds a unit, and starts again while the server still lists that unit.
func lingerCase(rec *recorder, trouble bool) error {
	const pool = "transcribe"
	licences, err := newLicenceServer(rec, pool, 2, 30*time.Second)
	if err != nil {
		return err
	}
	s := harmonia()
	s.operator = "licence \"transcribe\" {\n  count    = 2\n  server   = \"" + licences.addr + "\"\n" +
		"  poll_s   = 0.5\n  linger_s = 30\n}\n"
	c, err := newCluster(s, rec, 1)
	if err != nil {
		return err
	}
	defer c.close()
	startMachines(c)
	c.world.onStart = func(task string, _ uint64, _ *worker) { licences.checkOut(task) }
	c.world.onLeave = licences.checkIn
	if err := c.startAll(); err != nil {
		return err
	}
	jobs := []*jobSpec{}
	for i, name := range []string{"core-app-00", "core-app-01"} {
		jobs = append(jobs, &jobSpec{
			ID: []string{"req-000001", "req-000002"}[i], Class: "pitch-check", Team: name, Kind: "sweep", Priority: "standard",
			Tasks: 1, CPUs: 6, GPUs: 1, MemoryGB: 36, Image: []string{"img-1", "img-2"}[i], ImageGB: []float64{5, 0.5}[i],
			Types: []string{"sakurajima"}, Spot: true, EstS: 40, runS: 40, Licences: map[string]int{pool: 1},
		})
	}
	if trouble {
		jobs[0].crash = 5
	}
	if !c.submit(jobs[0]) {
		return errNotAccepted
	}
	wait := func(limit time.Duration, until func() bool) bool {
		for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if until() {
				return true
			}
		}
		return false
	}
	if !wait(50*time.Second, func() bool { return c.isOn("req-000001/0") }) {
		return errNotAccepted
	}
	// The other job comes while the first task fetches its image again, or a few seconds after its start.
	if trouble && !wait(20*time.Second, func() bool { return c.isFetchingAgain("req-000001/0") }) {
		return errNotAccepted
	}
	time.Sleep(2 * time.Second)
	if !c.submit(jobs[1]) {
		return errNotAccepted
	}
	wait(45*time.Second, func() bool {
		return len(licences.refusals()) > 0 || c.world.isDone("req-000001/0") && c.world.isDone("req-000002/0")
	})
	for _, task := range licences.refusals() {
		rec.breakRule("a task starts only when a unit is truly free: %s was started, and the licence server had none for it", task)
	}
	return nil
}

// isFetchingAgain reports whether the second attempt at a task fetches its image.
func (c *cluster) isFetchingAgain(task string) bool {
	for _, m := range c.cloud.workers() {
		m.mu.Lock()
		for _, a := range m.attempts {
			if a.task == task && a.state == "pulling" && c.world.startsOf(task) > 0 {
				m.mu.Unlock()
				return true
			}
		}
		m.mu.Unlock()
	}
	return false
}
