// Package controller puts the slices together around one event loop.
package controller

import (
	"crypto/tls"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/intake"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/membership"
	"github.com/harewalk/harewalk/internal/operate"
	"github.com/harewalk/harewalk/internal/peers"
	"github.com/harewalk/harewalk/internal/quota"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/sessions"
	"github.com/harewalk/harewalk/internal/store"
)

// hot is the prefix of the keys that every controller follows.
const (
	hot      = "h/"
	typesKey = membership.Prefix + "types"
)

// leaderPart is the leader's part of the state service's rate: it writes the plans and
// reads more. The others share what is left evenly, however many they are, so that all
// together stay within the limit.
const leaderPart = 0.6

// How many seconds' worth of its part a controller may use at once: the service allows one
// second's worth in all. The leader's requests are many and even, while submissions come
// in bursts.
const (
	leaderBurst = 0.8
	otherBurst  = 1.25
)

// Most requests in flight: to the state service and the cloud, and to workers. The two don't
// share slots, or workers that hang behind a cut would keep holds from being renewed.
const (
	serviceSlots = 48
	workerSlots  = 64
)

// Controller is one process of the service.
type Controller struct {
	s     *config.Settings
	loop  *Loop
	rng   *rand.Rand
	send  httpio.Sender // to the state service and the cloud
	wire  httpio.Sender // to workers
	seats httpio.Sender // to licence servers
	pools *licences.Catalog
	store *store.Client
	mir   *store.WatchCache
	mem   *membership.Membership
	roll  *rollout.Rollout
	jobs  *jobs.Table
	in    *intake.Intake
	cloud *capacity.Cloud
	quota *quota.Ledger

	types    []capacity.MachineType
	byType   map[int32]*fleet.Type
	typesRaw string
	typesAt  time.Duration
	askTypes bool
	typesVer uint64

	// While leading.
	fleet   *fleet.Fleet
	cap     *capacity.Manager
	sess    *sessions.Manager // nil where sessions are off
	mover   *archive.Mover
	loading bool
	loadAt  time.Duration
	steady  time.Duration // since when authority was not interrupted
	had     bool

	// A planned end.
	life   Life
	lifeAt time.Duration
	calm   time.Duration // since when nothing was under way while leaving
	parks  bool          // operators want it drained: it stays instead of ending
	ended  chan struct{}

	rolledAt  time.Duration // when the rollout was looked at
	archive   config.Archive
	archived  *archive.Reader
	archiveAt time.Duration // when ended jobs were looked at
	zoned     zoned
	wishes    operate.Wishes
	wishesVer uint64
	drains    *operate.Drains
	upkeep    drainUpkeep
	listAt    time.Duration // when jobs were listed last

	strays  strays
	answers intake.Counter
	pace    pace

	summary  time.Duration
	links    []link
	status   map[string]heard
	statusAt time.Duration
}

// New builds a controller that is not yet listening.
func New(s *config.Settings) *Controller {
	if s.Params.Limits.MemMB != nil {
		// Stay clear of the limit at which the process would be ended.
		debug.SetMemoryLimit(int64(s.Params.Limits.Memory() * 0.7 * (1 << 20)))
	}
	start := time.Now()
	c := build(s, Outside{Now: func() time.Duration { return time.Since(start) }, EpochMS: start.UnixMilli(), Seed: uint64(start.UnixNano())})
	for _, p := range s.Peers {
		dial := peers.Plain(p.Addr)
		if t := s.Operator.TLS; t != nil && t.Peers {
			dial = peers.Secure(p.Addr, func() *tls.Config { return s.Keys().Peer(p.Node) })
		}
		c.links = append(c.links, peers.NewLink(dial))
	}
	return c
}

// build puts a controller together on what is outside.
func build(s *config.Settings, o Outside) *Controller {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(s.Node))
	c := &Controller{
		s: s, loop: NewLoop(o.Now), status: map[string]heard{}, drains: operate.NewDrains(), ended: make(chan struct{}), byType: map[int32]*fleet.Type{},
		rng: rand.New(rand.NewPCG(seed.Sum64(), o.Seed)),
	}
	if o.Sender == nil {
		o.Sender = func(limit int) httpio.Sender { return httpio.New(limit, c.loop.Post) }
	}
	c.send = o.Sender(s.Params.Limits.Outgoing(serviceSlots))
	c.wire = o.Sender(s.Params.Limits.Outgoing(workerSlots))
	c.store = store.New(s.Services.State, c.send, c.loop.Now, c.share(false), s.Params.State.Limits())
	c.seats = o.Sender(s.Params.Limits.Outgoing(licenceSlots))
	c.jobs = jobs.NewTable(o.EpochMS)
	c.pools = licences.NewCatalog(s.Pools())
	c.jobs.Names.Pools = c.pools
	c.quota = quota.New(s.Params.Teams, c.jobs.Names.Teams.Index)
	c.cloud = capacity.NewCloud(s.Services.Cloud, c.send, c.loop.Now, s.Params.Cloud.RPS*0.9)
	c.mir = store.NewWatchCache(c.store, hot, s.PictureFor())
	c.roll = c.newRollout()
	c.mem = membership.New(membership.Config{
		Rollout: member{c.roll, c}, Node: s.Node, Public: s.Public, Secure: s.Secure(), TTL: s.HoldTTL(), StalenessBound: s.PictureFor(), Rng: c.rng,
		OnElected: c.lead, OnDeposed: c.lose,
	}, c.store, c.mir.FreshAt)
	c.mir.OnItem = func(it store.Item) { c.item(c.loop.Now(), it) }
	c.mir.OnDelete = func(k string, v uint64) {
		if strings.HasPrefix(k, jobs.Prefix) {
			c.recordGone(k, v)
		}
		c.roll.HandleDelete(k, v)
		c.mem.HandleDelete(c.loop.Now(), k, v)
		c.pools.Drop(k, v)
		if k == operate.Key {
			c.wished(nil, v)
		}
		c.drains.Drop(k, v)
	}
	c.mir.OnReset = c.resetKeys
	c.mir.OnSynced = func() { c.roll.HandleSynced(); c.mem.HandleSynced(c.loop.Now()) }
	c.archive = s.Archive()
	c.archived = c.newReader(c.archive.CacheEntries)
	c.in = intake.New(intake.Env{
		Store: c.store, Jobs: c.jobs, Archive: c.archived, Admit: c.admit, Ready: c.mir.Synced,
		Counts: c.counts, Learned: c.learned, Guard: c.roll.LevelCondition, Fit: c.roll.Compatible, TxnOps: s.Params.State.TxnOps, Limits: c.store.Limits, MaxTasks: s.Params.Limits.Tasks(),
		MaxBytes: s.Params.Limits.QueueBytes(), MaxValue: s.Params.State.Limits().MaxValueBytes,
	})
	return c
}

// share is this controller's part of the state service's rate.
func (c *Controller) share(leading bool) store.Share {
	part, burst := leaderPart, leaderBurst
	if others := len(c.s.Peers); !leading && others > 0 {
		part, burst = (1-leaderPart)/float64(others), otherBurst
	}
	return store.Share{RPS: c.s.Params.State.RPS * part, WriteRPS: c.s.Params.State.WriteRPS * part, BurstS: burst}
}

// Run listens and serves until the process is ended.
func (c *Controller) Run() error {
	public, err := net.Listen("tcp4", c.s.Public)
	if err != nil {
		return fmt.Errorf("setting \"public_addr\": %w", err)
	}
	back, err := net.Listen("tcp4", c.s.Back)
	if err != nil {
		return fmt.Errorf("setting \"back\": %w", err)
	}
	if t := c.s.Operator.TLS; t != nil && t.Peers {
		back = tls.NewListener(back, c.s.Keys().Peers())
	}
	if addr := c.s.Operator.DebugAddr; addr != "" {
		if err := c.observe(addr); err != nil {
			return err
		}
	}
	go peers.Serve(back, func(s peers.Status) { c.loop.Offer(func() { c.hear(s) }) })
	fail := make(chan error, 2)
	routes := intake.Routes{
		Post: c.loop.Offer, PostReport: c.loop.OfferWorker, Now: c.loop.Now, Intake: c.in, Up: c.up,
		Report: c.report, Leader: c.leaderCalls(), MaxConns: c.s.Params.Limits.Conns(), Crowded: c.s.Params.Limits.Crowded(), Users: c.s.Users(), Counter: &c.answers,
	}
	if t := c.s.Operator.TLS; t != nil {
		secure, err := net.Listen("tcp", t.Listen)
		if err != nil {
			return fmt.Errorf("setting \"tls.listen\": %w", err)
		}
		// The connections that are taken from outside are shared out.
		over := routes
		over.MaxConns, over.Crowded = max(1, routes.MaxConns/4), max(1, routes.Crowded/4)
		routes.MaxConns, routes.Crowded = routes.MaxConns-over.MaxConns, max(1, routes.Crowded-over.Crowded)
		routes.WorkersOnly = t.Plain == "workers"
		go func() { fail <- intake.Serve(tls.NewListener(secure, c.s.Keys().Users()), over) }()
	}
	go func() { fail <- intake.Serve(public, routes) }()
	go c.checkFiles(checkFilesEvery)
	c.sayArchive()
	slog.Info("serving", "node", c.s.Node, "public", c.s.Public, "hold_ms", c.s.Operator.HoldTTLMS,
		"money_counts", c.s.MoneyCounts(), "objectives", len(c.s.Params.Objectives))
	go c.loop.Run(TickEvery, c.tick)
	return <-fail
}

// checkFilesEvery is how often keys and users are looked at.
const checkFilesEvery = 5 * time.Second

// checkFiles takes changed keys and users over, until the process ends.
func (c *Controller) checkFiles(every time.Duration) {
	check := func(what string, f func() error) {
		if err := f(); err != nil {
			slog.Error("a file cannot be taken over: what was read before counts", "what", what, "cause", err)
		}
	}
	if c.s.Keys() == nil && c.s.Users() == nil {
		return
	}
	for range time.Tick(every) {
		if k := c.s.Keys(); k != nil {
			check("keys", k.Check)
		}
		if u := c.s.Users(); u != nil {
			check("users", u.Check)
		}
	}
}

// tick does what is due at a time.
func (c *Controller) tick(now time.Duration) {
	c.mir.Tick(now)
	c.mem.Tick(now)
	c.in.Tick(now)
	c.learnTypes(now)
	c.tell(now)
	if c.life != Serving {
		c.drain(now)
	}
	c.operate(now)
	c.rolled(now)
	c.keepPace(now)
	if c.fleet == nil {
		return
	}
	auth := c.mem.HasAuthority(now)
	if !auth && c.blind(now) {
		c.mem.Resign(now, "the followed keys are too old")
		return
	}
	if !c.fleet.Loaded() {
		c.load(now)
		return
	}
	if c.fleet.Stuck() {
		c.mem.Resign(now, "writes without an outcome don't fit the state service's limits any more")
		return
	}
	if now >= c.summary {
		c.summary = now + 30*time.Second
		c.fleet.Summary(now)
	}
	if auth && !c.had {
		c.steady = now
	}
	c.had = auth
	c.fleet.Tick(now, auth)
	if auth && c.sess != nil {
		c.sess.Tick(now)
	}
	if auth {
		c.askServers(now)
		c.cap.Tick(now, c.steady)
		c.keepZones(now)
		c.cutOff(now)
		c.moveEnded(now)
	}
}
