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

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/membership"
	"github.com/harewalk/harewalk/internal/peers"
	"github.com/harewalk/harewalk/internal/quota"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// hot is the prefix of the keys that every controller follows.
const (
	followedPrefix = "h/"
	typesKey       = membership.Prefix + "types"
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
	settings *config.Settings
	loop     *Loop
	rng      *rand.Rand

	stateSender   httpio.Sender // to the state service and the cloud
	workerSender  httpio.Sender
	licenceSender httpio.Sender // to licence servers

	store      *store.Client
	watchCache *store.WatchCache
	membership *membership.Membership
	rollout    *rollout.Rollout
	jobs       *jobs.Table
	api        *api.Service
	cloud      *capacity.Cloud
	quota      *quota.Ledger

	licencePools *licences.Catalog
	machineTypes machineTypes
	term         leaderTerm
	lifecycle    lifecycle
	archive      jobArchive
	storedZones  storedZones
	drains       drainState
	peers        peerSet

	foreignHeartbeats foreignHeartbeats
	answers           api.ResponseCounter
	failoverTiming    failoverTiming

	rolloutCheckedAt time.Duration
	jobsListedAt     time.Duration
	summarizedAt     time.Duration
}

// New builds a controller that is not yet listening.
func New(settings *config.Settings) *Controller {
	if settings.Params.Limits.MemMB != nil {
		// Stay clear of the limit at which the process would be ended.
		debug.SetMemoryLimit(int64(settings.Params.Limits.MemoryLimitMB() * 0.7 * (1 << 20)))
	}
	start := time.Now()
	c := build(settings, Environment{Now: func() time.Duration { return time.Since(start) }, EpochMS: start.UnixMilli(), Seed: uint64(start.UnixNano())})
	for _, p := range settings.Peers {
		dial := peers.Plain(p.Addr)
		if t := settings.Operator.TLS; t != nil && t.Peers {
			dial = peers.Secure(p.Addr, func() *tls.Config { return settings.Keys().PeerClientConfig(p.Node) })
		}
		c.peers.links = append(c.peers.links, peers.NewLink(dial))
	}
	return c
}

// build puts a controller together on what is outside.
func build(settings *config.Settings, o Environment) *Controller {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(settings.Node))
	c := &Controller{
		settings:     settings,
		loop:         NewLoop(o.Now),
		rng:          rand.New(rand.NewPCG(seed.Sum64(), o.Seed)),
		machineTypes: machineTypes{byIndex: map[int32]*fleet.MachineType{}},
		lifecycle:    lifecycle{ended: make(chan struct{})},
		drains:       drainState{machines: drain.NewMachineRequests()},
		peers:        peerSet{status: map[string]peerStatus{}},
	}
	if o.Sender == nil {
		o.Sender = func(limit int) httpio.Sender { return httpio.New(limit, c.loop.Post) }
	}
	c.stateSender = o.Sender(settings.Params.Limits.MaxOutgoing(serviceSlots))
	c.workerSender = o.Sender(settings.Params.Limits.MaxOutgoing(workerSlots))
	c.store = store.New(settings.Services.State, c.stateSender, c.loop.Now, c.share(false), settings.Params.State.Limits())
	c.licenceSender = o.Sender(settings.Params.Limits.MaxOutgoing(licenceSlots))
	c.jobs = jobs.NewTable(o.EpochMS)
	c.licencePools = licences.NewCatalog(settings.LicencePools())
	c.jobs.Names.Pools = c.licencePools
	c.quota = quota.New(settings.Params.Teams, c.jobs.Names.Teams.Index)
	c.cloud = capacity.NewCloud(settings.Services.Cloud, c.stateSender, c.loop.Now, settings.Params.Cloud.RPS*0.9)
	c.watchCache = store.NewWatchCache(c.store, followedPrefix, settings.StalenessBound())
	c.rollout = c.newRollout()
	c.membership = membership.New(membership.Config{
		Rollout: member{c.rollout, c}, Node: settings.Node, Public: settings.PublicAddr, Secure: settings.TLSAddr(), TTL: settings.ControllerLeaseTTL(), StalenessBound: settings.StalenessBound(), Rng: c.rng,
		OnElected: c.lead, OnDeposed: c.lose,
	}, c.store, c.watchCache.FreshAt)
	c.watchCache.OnItem = func(item store.Item) { c.item(c.loop.Now(), item) }
	c.watchCache.OnDelete = func(k string, v uint64) {
		if strings.HasPrefix(k, jobs.Prefix) {
			c.recordGone(k, v)
		}
		c.rollout.HandleDelete(k, v)
		c.membership.HandleDelete(c.loop.Now(), k, v)
		c.licencePools.Drop(k, v)
		if k == drain.DocumentKey {
			c.applyDrainDocument(nil, v)
		}
		c.drains.machines.HandleDelete(k, v)
	}
	c.watchCache.OnReset = c.resetKeys
	c.watchCache.OnSynced = func() { c.rollout.HandleSynced(); c.membership.HandleSynced(c.loop.Now()) }
	c.archive.settings = settings.Archive()
	c.archive.reader = c.newReader(c.archive.settings.CacheEntries)
	c.api = api.New(api.Env{
		Store: c.store, Jobs: c.jobs, Archive: c.archive.reader, Admit: c.admit, Ready: c.watchCache.Synced,
		Counts: c.counts, OnJobRecord: c.learned, LevelCondition: c.rollout.LevelCondition, Compatible: c.rollout.Compatible, TxnOps: settings.Params.State.TxnOps, Limits: c.store.Limits, MaxTasks: settings.Params.Limits.MaxTasks(),
		MaxBytes: settings.Params.Limits.MaxQueueBytes(), MaxValue: settings.Params.State.Limits().MaxValueBytes,
	})
	return c
}

// share is this controller's part of the state service's rate.
func (c *Controller) share(leading bool) store.Share {
	part, burst := leaderPart, leaderBurst
	if others := len(c.settings.Peers); !leading && others > 0 {
		part, burst = (1-leaderPart)/float64(others), otherBurst
	}
	return store.Share{RPS: c.settings.Params.State.RPS * part, WriteRPS: c.settings.Params.State.WriteRPS * part, BurstS: burst}
}

// Run listens and serves until the process is ended.
func (c *Controller) Run() error {
	public, err := net.Listen("tcp4", c.settings.PublicAddr)
	if err != nil {
		return fmt.Errorf("setting \"public_addr\": %w", err)
	}
	back, err := net.Listen("tcp4", c.settings.PeerAddr)
	if err != nil {
		return fmt.Errorf("setting \"back\": %w", err)
	}
	if t := c.settings.Operator.TLS; t != nil && t.Peers {
		back = tls.NewListener(back, c.settings.Keys().PeerListenerConfig())
	}
	if addr := c.settings.Operator.DebugAddr; addr != "" {
		if err := c.observe(addr); err != nil {
			return err
		}
	}
	go peers.Serve(back, func(s peers.Status) { c.loop.Offer(func() { c.hear(s) }) })
	fail := make(chan error, 2)
	routes := api.Routes{
		Post: c.loop.Offer, PostReport: c.loop.OfferWorker, Now: c.loop.Now, Intake: c.api, Up: c.up,
		Report: c.report, Leader: c.leaderCalls(), MaxConns: c.settings.Params.Limits.MaxConns(), Crowded: c.settings.Params.Limits.KeepAliveConns(), Users: c.settings.Users(), Counter: &c.answers,
	}
	if t := c.settings.Operator.TLS; t != nil {
		secure, err := net.Listen("tcp", t.Listen)
		if err != nil {
			return fmt.Errorf("setting \"tls.listen\": %w", err)
		}
		// The connections that are taken from outside are shared out.
		over := routes
		over.MaxConns, over.Crowded = max(1, routes.MaxConns/4), max(1, routes.Crowded/4)
		routes.MaxConns, routes.Crowded = routes.MaxConns-over.MaxConns, max(1, routes.Crowded-over.Crowded)
		routes.WorkersOnly = t.PlainListener == "workers"
		go func() { fail <- api.Serve(tls.NewListener(secure, c.settings.Keys().UserListenerConfig()), over) }()
	}
	go func() { fail <- api.Serve(public, routes) }()
	go c.checkFiles(checkFilesEvery)
	c.sayArchive()
	slog.Info("serving", "node", c.settings.Node, "public", c.settings.PublicAddr, "hold_ms", c.settings.Operator.ControllerLeaseTTLMS,
		"money_counts", c.settings.HasCostObjective(), "objectives", len(c.settings.Params.Objectives))
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
	if c.settings.Keys() == nil && c.settings.Users() == nil {
		return
	}
	for range time.Tick(every) {
		if k := c.settings.Keys(); k != nil {
			check("keys", k.Reload)
		}
		if u := c.settings.Users(); u != nil {
			check("users", u.Reload)
		}
	}
}

// tick does what is due at a time.
func (c *Controller) tick(now time.Duration) {
	c.watchCache.Tick(now)
	c.membership.Tick(now)
	c.api.Tick(now)
	c.learnTypes(now)
	c.tell(now)
	if c.lifecycle.state != Serving {
		c.drain(now)
	}
	c.applyDrains(now)
	c.rolled(now)
	c.keepPace(now)
	if c.term.fleet == nil {
		return
	}
	auth := c.membership.HasAuthority(now)
	if !auth && c.blind(now) {
		c.membership.Resign(now, "the followed keys are too old")
		return
	}
	if !c.term.fleet.PlansLoaded() {
		c.load(now)
		return
	}
	if c.term.fleet.WritesStuck() {
		c.membership.Resign(now, "writes without an outcome don't fit the state service's limits any more")
		return
	}
	if now >= c.summarizedAt {
		c.summarizedAt = now + 30*time.Second
		c.term.fleet.Summary(now)
	}
	if auth && !c.term.hadAuthority {
		c.term.authoritySince = now
	}
	c.term.hadAuthority = auth
	c.term.fleet.Tick(now, auth)
	if auth && c.term.sessions != nil {
		c.term.sessions.Tick(now)
	}
	if auth {
		c.askServers(now)
		c.term.capacity.Tick(now, c.term.authoritySince)
		c.keepZones(now)
		c.cutOff(now)
		c.moveEnded(now)
	}
}
