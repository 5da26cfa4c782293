// Package world is everything around the controllers, played on loopback by the published
// protocols: the state service, the cloud, machines with their workers, a licence server and a
// load balancer's worth of users. Faults come on command or from a seed. It is for tests, the
// development cluster and experiments; it knows the truth, and Broken says which rule did not
// hold.
//
// A World belongs to no event loop: one mutex guards all of it, a ticker lets time pass.
package world

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/world/state"
)

// Config says what is played. Zero values are replaced by defaults that suit a test.
type Config struct {
	Seed        uint64
	Controllers int
	Zones       []string
	Types       []capacity.MachineType
	Teams       []config.Team
	Workers     config.Workers
	State       config.State
	Cloud       config.Cloud
	// Machines bounds what the cloud gives out.
	Machines int
	// Pools are the licence pools of the licence server, by name.
	Pools map[string]int
	// Speed is how many times faster tasks run than their owners estimate.
	Speed float64
	// Linger is how long it counts a holder that it hears no more.
	Linger time.Duration
}

func or[T comparable](given, otherwise T) T {
	var zero T
	if given == zero {
		return otherwise
	}
	return given
}

func (c *Config) defaults() {
	c.Controllers = or(c.Controllers, 3)
	c.Machines = or(c.Machines, 20)
	c.Linger = or(c.Linger, 4*time.Second)
	c.Speed = or(c.Speed, 1)
	if c.Zones == nil {
		c.Zones = []string{"a", "b"}
	}
	if c.Types == nil {
		c.Types = []capacity.MachineType{{Name: "g4", CPUs: 16, GPUs: 4, Mem: 128, CacheGB: 100, FetchGB: 10, Price: 4, Spot: 1.5, BootS: 1, Zones: c.Zones}}
	}
	if c.Teams == nil {
		c.Teams = []config.Team{{Name: "red", CPUs: 40}, {Name: "blue", CPUs: 40, CPUsMax: 120}}
	}
	c.Workers = or(c.Workers, config.Workers{ReportS: 0.5, LeaseS: 6, GangWaitS: 10, GangPeerS: 2, CancelS: 20})
	c.State = or(c.State, config.State{RPS: 2000, WriteRPS: 600, ValueKB: 32, TxnOps: 40})
	c.Cloud = or(c.Cloud, config.Cloud{RPS: 20, ListLagS: 0.5})
}

// World is what is played.
type World struct {
	cfg   Config
	start time.Time
	stop  chan struct{}
	done  sync.WaitGroup
	apps  []*fiber.App

	mu       sync.Mutex
	rng      *rand.Rand
	broken   []string
	settings []config.Settings

	svc     *state.Service
	changed chan struct{} // closed at every change of a key
	reqs    bucket
	writes  bucket
	down    bool
	cut     []bool // by controller: the state service refuses it

	machines []*Machine
	byName   map[string]*Machine
	claims   map[string][]string
	cloudOut bool

	specs map[string]*jobs.Spec
	told  map[string]time.Duration // cancelled
	tasks map[string]*progress     // by task name

	notebooks map[string]*Notebook

	// Licences is the licence server.
	Licences *LicenceServer
	stats    Stats
	began    []time.Duration          // when tasks started
	known    map[string]time.Duration // jobs, since when
	waits    map[string]time.Duration // from there to a job's first start
}

// Stats counts what happened.
type Stats struct {
	Starts, Done, Crashed, MachinesKilled, Hung, LeaseEnds, LateOrders, ServerEnds int
}

// progress is what is kept of a task outside its machine.
type progress struct {
	done  bool
	saved float64 // seconds of work
}

// New starts a world without machines and controllers.
func New(cfg Config) (*World, error) {
	cfg.defaults()
	w := &World{cfg: cfg, start: time.Now(), stop: make(chan struct{}), rng: rand.New(rand.NewPCG(cfg.Seed, 7)),
		svc: state.New(), changed: make(chan struct{}), cut: make([]bool, cfg.Controllers),
		byName: map[string]*Machine{}, claims: map[string][]string{}, specs: map[string]*jobs.Spec{},
		told: map[string]time.Duration{}, tasks: map[string]*progress{}, notebooks: map[string]*Notebook{},
		known: map[string]time.Duration{}, waits: map[string]time.Duration{}}
	w.reqs, w.writes = bucket{rate: cfg.State.RPS}, bucket{rate: cfg.State.WriteRPS}
	w.Licences = newLicenceServer(w, cfg.Pools, cfg.Linger)
	cloud, err := w.serve(w.cloud)
	if err != nil {
		return nil, err
	}
	if w.Licences.Addr, err = w.serve(w.Licences.answer); err != nil {
		return nil, err
	}
	for i := range cfg.Controllers {
		svc, err := w.serve(func(q request) (int, any) { return w.state(i, q) })
		if err != nil {
			return nil, err
		}
		public, e1 := freePort()
		back, e2 := freePort()
		if e1 != nil || e2 != nil {
			return nil, fmt.Errorf("no free port: %v, %v", e1, e2)
		}
		s := config.Settings{Node: fmt.Sprintf("node-%d", i), Zone: cfg.Zones[i%len(cfg.Zones)], Public: public, Back: back,
			Services: config.Services{Cloud: cloud, State: svc}}
		cores, mem, sockets := 1.0, 512.0, 4096
		s.Params = config.Params{Zones: cfg.Zones, Teams: cfg.Teams, Workers: cfg.Workers, State: cfg.State, Cloud: cfg.Cloud,
			Limits: config.Limits{Cores: &cores, MemMB: &mem, Sockets: &sockets}, SkewMS: 100}
		w.settings = append(w.settings, s)
	}
	for i := range w.settings {
		for k, o := range w.settings {
			if k != i {
				w.settings[i].Peers = append(w.settings[i].Peers, config.Peer{Node: o.Node, Zone: o.Zone, Addr: o.Back})
			}
		}
	}
	w.done.Add(1)
	go w.run()
	return w, nil
}

// freePort finds a loopback address that nobody listens on now.
func freePort() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Settings is the platform's file of a controller, as JSON.
func (w *World) Settings(i int) []byte {
	raw, _ := json.Marshal(w.settings[i])
	return raw
}

// Public is a controller's address for users.
func (w *World) Public(i int) string { return w.settings[i].Public }

// Close ends the world and everything in it.
func (w *World) Close() {
	close(w.stop)
	w.done.Wait()
	for _, a := range w.apps {
		_ = a.ShutdownWithTimeout(100 * time.Millisecond)
	}
}

// Broken lists the rules that did not hold.
func (w *World) Broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.broken...)
}

// Stats tells what has happened so far.
func (w *World) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Now is the world's time, from its start.
func (w *World) Now() time.Duration { return w.now() }

// Gap is the longest time without any start between two moments.
func (w *World) Gap(from, to time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, gap := from, time.Duration(0)
	for _, t := range w.began {
		if t >= from && t <= to {
			gap, last = max(gap, t-last), t
		}
	}
	return max(gap, to-last)
}

// Waits lists how long the jobs of a class waited for their first start.
func (w *World) Waits(class string) (ds []time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, d := range w.waits {
		if w.specs[id].Class == class {
			ds = append(ds, d)
		}
	}
	return ds
}

func (w *World) fail(format string, a ...any) {
	if len(w.broken) < 100 {
		w.broken = append(w.broken, fmt.Sprintf("%.2f s: ", w.now().Seconds())+fmt.Sprintf(format, a...))
	}
}

func (w *World) now() time.Duration { return time.Since(w.start) }

// request is one HTTP request to a part of the world.
type request struct {
	method, path string
	query        url.Values
	body         []byte
}

// serve answers HTTP on a loopback port of its own until the world ends.
func (w *World) serve(answer func(request) (int, any)) (addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	app := fiber.New(fiber.Config{IdleTimeout: 30 * time.Second})
	app.All("/*", func(c fiber.Ctx) error {
		u, err := url.Parse(c.OriginalURL())
		if err != nil {
			return c.SendStatus(400)
		}
		status, body := answer(request{c.Method(), u.Path, u.Query(), append([]byte(nil), c.Body()...)})
		if raw, ok := body.([]byte); ok {
			c.Set("Content-Type", "application/json")
			return c.Status(status).Send(raw)
		}
		return c.Status(status).JSON(body)
	})
	w.apps = append(w.apps, app)
	go func() { _ = app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true}) }()
	return l.Addr().String(), nil
}

// step is how often time passes for machines and holds.
const step = 10 * time.Millisecond

func (w *World) run() {
	defer w.done.Done()
	t := time.NewTicker(step)
	defer t.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-t.C:
		}
		w.mu.Lock()
		now := w.now()
		w.expireHolds(now)
		w.Licences.expire(now)
		for _, m := range w.machines {
			w.live(now, m)
		}
		w.mu.Unlock()
	}
}

// bucket bounds a rate, with bursts of a second's worth.
type bucket struct {
	rate, level float64
	at          time.Duration
}

func (b *bucket) take(now time.Duration, n float64) bool {
	b.level = max(0, b.level-b.rate*(now-b.at).Seconds())
	b.at = now
	if b.level+n > b.rate {
		return false
	}
	b.level += n
	return true
}
