// Package controller puts the slices together around one event loop.
package controller

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/events"
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
	mir   *store.Mirror
	mem   *membership.Membership
	roll  *rollout.Rollout
	book  *jobs.Book
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
	listAt    time.Duration // when jobs were listed last
	sweptAt   time.Duration // of marks of machines that are gone

	strays  strays
	answers intake.Counter
	pace    pace

	summary  time.Duration
	links    []link
	status   map[string]heard
	statusAt time.Duration
}

// heard is the last status of another controller.
type heard struct {
	peers.Status
	at time.Duration
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
	c := &Controller{s: s, loop: NewLoop(o.Now), status: map[string]heard{}, ended: make(chan struct{}), byType: map[int32]*fleet.Type{},
		rng: rand.New(rand.NewPCG(seed.Sum64(), o.Seed))}
	if o.Sender == nil {
		o.Sender = func(limit int) httpio.Sender { return httpio.New(limit, c.loop.Post) }
	}
	c.send = o.Sender(s.Params.Limits.Outgoing(serviceSlots))
	c.wire = o.Sender(s.Params.Limits.Outgoing(workerSlots))
	c.store = store.New(s.Services.State, c.send, c.loop.Now, c.share(false), s.Params.State.TxnOps)
	c.seats = o.Sender(s.Params.Limits.Outgoing(licenceSlots))
	c.book = jobs.NewBook(o.EpochMS)
	c.pools = licences.NewCatalog(s.Pools())
	c.book.Door.Pools = c.pools
	c.quota = quota.New(s.Params.Teams, c.book.Door.Teams.Index)
	c.cloud = capacity.NewCloud(s.Services.Cloud, c.send, c.loop.Now, s.Params.Cloud.RPS*0.9)
	c.mir = store.NewMirror(c.store, hot, s.PictureFor())
	c.roll = c.newRollout()
	c.mem = membership.New(membership.Config{Rollout: member{c.roll, c}, Node: s.Node, Public: s.Public, Secure: s.Secure(), TTL: s.HoldTTL(), Picture: s.PictureFor(), Rng: c.rng,
		OnLead: c.lead, OnLose: c.lose}, c.store, c.mir.Fresh)
	c.mir.OnItem = func(it store.Item) { c.item(c.loop.Now(), it) }
	c.mir.OnDrop = func(k string, v uint64) {
		if strings.HasPrefix(k, jobs.Prefix) {
			c.recordGone(k, v)
		}
		c.roll.Drop(k, v)
		c.mem.Drop(c.loop.Now(), k, v)
		c.pools.Drop(k, v)
		if k == operate.Key {
			c.wished(nil, v)
		}
	}
	c.mir.OnReset = c.resetKeys
	c.mir.OnSynced = func() { c.roll.Synced(); c.mem.Synced(c.loop.Now()) }
	c.archive = s.Archive()
	c.archived = c.newReader(c.archive.CacheEntries)
	c.in = intake.New(intake.Env{Store: c.store, Book: c.book, Archive: c.archived, Admit: c.admit, Ready: c.mir.Synced,
		Counts: c.counts, Learned: c.learned, Guard: c.roll.Guard, Fit: c.roll.Fit, TxnOps: s.Params.State.TxnOps, MaxTasks: s.Params.Limits.Tasks(),
		MaxBytes: s.Params.Limits.QueueBytes(), MaxValue: int(s.Params.State.ValueKB * 1024)})
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
	routes := intake.Routes{Post: c.loop.Offer, PostReport: c.loop.OfferWorker, Now: c.loop.Now, Intake: c.in, Up: c.up,
		Report: c.report, Leader: c.leaderCalls(), MaxConns: c.s.Params.Limits.Conns(), Crowded: c.s.Params.Limits.Crowded(), Users: c.s.Users(), Counter: &c.answers}
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

// leaderCalls are the requests that only the leader can answer.
func (c *Controller) leaderCalls() *intake.Leader {
	return &intake.Leader{Token: c.s.Operator.Token, Answer: c.leaderCall, Licences: len(c.pools.Pools()) > 0, Sessions: c.s.Sessions().On}
}

// leaderCall answers such a request, or says who leads.
func (c *Controller) leaderCall(now time.Duration, q intake.Call, reply func(intake.Reply)) {
	switch {
	case q.What == "rollout" && q.Verb == "show" && (!c.roll.Fit() || c.mem.Leader().Node == ""):
		c.rolloutShow(now, reply) // what it knows itself: it may be what is in the way
	case c.mem.State() != membership.Leading || c.fleet == nil:
		l := c.mem.Leader()
		if l.Node == "" {
			reply(intake.Refuse(503, "no controller leads"))
			return
		}
		reply(intake.Reply{Status: 421, Body: struct {
			Error  string `json:"error"`
			Leader string `json:"leader"`
			Secure string `json:"leader_tls,omitempty"`
		}{"only the leader knows", l.Public, l.Secure}})
	case !c.mem.Authority(now) || !c.fleet.Loaded():
		reply(intake.Refuse(503, "the leader may not act now"))
	case q.What == "rollout":
		c.rolloutCall(now, q, reply)
	case q.What == "zones":
		c.zoneCall(now, q, reply)
	case q.What == "why":
		c.whyCall(now, q, reply)
	case q.What == "events":
		c.eventsCall(now, q, reply)
	case q.What == "list":
		c.listCall(now, q, reply)
	case q.What == "admin":
		c.adminCall(now, q, reply)
	case q.What == "licences":
		c.licenceCall(now, q, reply)
	default:
		c.sessionCall(now, q, reply)
	}
}

// item takes over a followed key.
func (c *Controller) item(now time.Duration, it store.Item) {
	switch {
	case strings.HasPrefix(it.Key, jobs.Prefix):
		c.record(now, it)
	case strings.HasPrefix(it.Key, licences.Prefix):
		c.counted(it)
	case it.Key == operate.Key:
		c.wished(it.Value, it.Version)
	case isZoneKey(it.Key):
		if it.Version > c.zoned.item.Version {
			c.zoned.item = it
		}
	case it.Key == typesKey:
		types, err := capacity.ParseTypes(it.Value)
		if err != nil {
			c.roll.Unreadable(it.Key, it.Value, err)
		} else if it.Version > c.typesVer {
			c.typesVer = it.Version
			c.setTypes(string(it.Value), types)
		}
	default:
		c.roll.Item(it)
		if err := c.mem.Item(now, it); err != nil {
			c.roll.Unreadable(it.Key, it.Value, err)
		}
	}
}

// learned takes over a job's record that was read or written beside the followed keys. If they have passed its version
// and the table lacks the job, it was archived since: an answer that came late must not let it live again.
func (c *Controller) learned(now time.Duration, it store.Item) {
	if c.book.Get(strings.TrimPrefix(it.Key, jobs.Prefix)) == nil && it.Version <= c.mir.Revision() {
		return
	}
	c.record(now, it)
}

// record takes over a job's record.
func (c *Controller) record(now time.Duration, it store.Item) {
	j, changed, err := c.book.Apply(strings.TrimPrefix(it.Key, jobs.Prefix), it.Value, it.Version)
	if err != nil {
		c.roll.Unreadable(it.Key, it.Value, err)
		return
	}
	if changed && j.Stance.Terminal() {
		j.EndedAt = now
	}
	if changed && c.fleet != nil {
		c.fleet.Changed(now, j)
	}
}

func (c *Controller) setTypes(raw string, types []capacity.MachineType) {
	c.typesRaw, c.types = raw, types
	for _, t := range types {
		c.byType[c.book.Door.Types.Index(t.Name)] = &fleet.Type{Size: t.Size(), CacheGB: t.CacheGB, FetchGB: t.FetchGB,
			BootS: t.BootS, Price: t.Price, Spot: t.Spot}
	}
}

// admit tells whether a job can ever run.
func (c *Controller) admit(s *jobs.Spec) intake.Verdict {
	no := func(why string) intake.Verdict { return intake.Verdict{Known: true, Why: why} }
	team := c.book.Door.Teams.Index(s.Team)
	if c.quota.Team(team) == nil {
		return no("unknown team")
	}
	if len(c.types) == 0 {
		return intake.Verdict{Why: "the machine types are not known yet"}
	}
	n := 1
	if s.Kind != jobs.Array {
		n = s.Tasks
	}
	if !c.quota.Ever(team, s.Size(), n) {
		return no("the job needs more than the team's limit")
	}
	if !slices.ContainsFunc(c.types, func(t capacity.MachineType) bool { return fitsType(s, t) }) {
		// Types are learnt, by each controller in its time: one that knew a new type had accepted a job that another,
		// behind it, refused for good.
		v := no("a task fits no allowed machine type")
		v.Open = true
		return v
	}
	return c.fitsPools(s.Licences, s.Team, n)
}

func fitsType(s *jobs.Spec, t capacity.MachineType) bool {
	allowed := s.Types == nil
	for _, n := range s.Types {
		allowed = allowed || n == t.Name
	}
	zone := s.Zone == nil
	for _, z := range t.Zones {
		zone = zone || z == *s.Zone
	}
	return allowed && zone && s.Size().Fits(t.Size())
}

func (c *Controller) counts(j *jobs.Job) (done, running int) {
	if c.fleet != nil && j.Tasks != nil {
		return c.fleet.Counts(j)
	}
	return j.DoneN, j.RunningN
}

// hear takes what another controller says of itself.
func (c *Controller) hear(s peers.Status) {
	c.status[s.Node] = heard{s, c.loop.Now()}
	c.roll.Heard(c.loop.Now(), s.Node, s.StateOK && !s.Leaving)
	c.display(s)
}

// display takes over the leader's counts.
func (c *Controller) display(s peers.Status) {
	if c.fleet != nil || !s.Leading || s.Term < c.mem.Leader().Term {
		return
	}
	for _, n := range s.Counts {
		if j := c.book.Get(n.Job); j != nil && !j.Stance.Terminal() {
			j.DoneN, j.RunningN = int(n.Done), int(n.Running)
		}
	}
}

// up tells the load balancer whether users are well served here. When the state service
// answers nobody, this controller is as good as any other.
func (c *Controller) up() bool {
	now := c.loop.Now()
	if !c.mir.Synced() || len(c.types) == 0 || c.life != Serving || !c.roll.Fit() {
		return false
	}
	if now-c.store.LastOK() < 3*time.Second {
		return true
	}
	peers := false
	for _, h := range c.status {
		if now-h.at < heardFor {
			if h.StateOK {
				return false
			}
			peers = true
		}
	}
	// Who hears neither the state service nor any other controller is cut off, and must not keep its users: an
	// outage is told by answers of 503, and by others that are told the same.
	return peers || len(c.s.Peers) == 0 || now-c.store.LastHeard() < 3*time.Second
}

// report answers a worker.
func (c *Controller) report(now time.Duration, r *fleet.Report, reply func(intake.Reply)) {
	no := intake.Reply{Status: 503, Body: struct{}{}}
	if c.mem.State() == membership.Leading && c.fleet != nil {
		if !c.mem.Authority(now) || !c.fleet.Loaded() {
			reply(no)
			return
		}
		a, v := c.fleet.Report(now, r)
		switch v {
		case fleet.Accept:
			reply(intake.Reply{Status: 200, Body: a})
		case fleet.Deposed:
			reply(no)
			slog.Info("a worker has seen a higher token", "machine", r.Machine, "token", r.Token, "term", c.mem.Term())
		default:
			reply(no)
		}
		return
	}
	c.strays.count(now, config.Seconds(c.s.Params.Workers.ReportS), 1)
	type keeper struct {
		Keeper string `json:"keeper,omitempty"`
	}
	reply(intake.Reply{Status: 421, Body: keeper{c.keeper(now, r.Machine)}})
}

// keeper is whom a worker is sent to, "" if that isn't known: the owner by the followed keys, unless they are older than a
// hold lives; then whoever says itself that it leads. Two controllers that were cut off with their workers would
// otherwise send them to one that has long lost the lead.
func (c *Controller) keeper(now time.Duration, machine string) string {
	if now-c.mir.Fresh() <= c.s.HoldTTL() {
		return c.mem.Owner(machine)
	}
	name, term := "", uint64(0)
	for _, h := range c.status {
		if h.Leading && h.Term > term && now-h.at < heardFor {
			name, term = h.Node, h.Term
		}
	}
	return name
}

// lead starts a term.
func (c *Controller) lead(now time.Duration, term uint64) {
	c.store.SetShare(c.share(true))
	c.book.Recall()
	c.fleet = fleet.New(fleet.Env{
		Settings: c.s, Book: c.book, Rng: c.rng, TxnOps: c.s.Params.State.TxnOps - 1, MaxOrders: c.s.Params.Limits.Outgoing(workerSlots), Now: c.loop.Now, Learned: c.learned,
		Types:      func(ix int32) *fleet.Type { return c.byType[ix] },
		Paged:      func() bool { return c.roll.Level() >= rollout.Paged },
		Unreadable: c.roll.Unreadable,
		Room:       func(n int) bool { return c.store.Room(n, store.Bulk) },
		Spare:      c.store.Spare,
		Commit:     func(t store.Txn, done func(store.Result)) { c.commit(t, store.Bulk, done) },
		Read:       c.read,
		Order:      c.order,
		Events:     events.New(keptEvents(c.s.Params.Limits.Memory())),
	}, term, now)
	c.fleet.Events.Add(events.Event{At: now, Kind: events.Term, Task: events.None, Machine: events.None, Note: c.s.Node})
	c.mover = c.newMover()
	c.cap = capacity.New(c.s, c.cloud, c.fleet, c.book.Door, func() []capacity.MachineType { return c.types }, term)
	c.zoned.writing = false
	c.recallZones()
	c.loading, c.loadAt, c.had = false, now, false
}

// commit sends a transaction of the leader's term; its answer counts only within it.
func (c *Controller) commit(t store.Txn, class store.Class, done func(store.Result)) {
	t.If = append([]store.Cond{c.mem.Guard()}, t.If...)
	f := c.fleet
	c.store.Txn(t, class, func(r store.Result) {
		if c.fleet == f {
			done(r)
		}
	})
}

// read re-reads a key for the leader's term.
func (c *Controller) read(key string, done func(store.Item, error)) {
	f := c.fleet
	c.store.Get(key, store.Safety, func(it store.Item, err error) {
		if c.fleet == f {
			done(it, err)
		}
	})
}

// lose ends a term: nothing of its state may be used any more.
func (c *Controller) lose(time.Duration) {
	c.store.SetShare(c.share(false))
	if c.cap != nil {
		c.cap.Close()
	}
	c.fleet, c.cap, c.sess, c.mover, c.loading = nil, nil, nil, nil, false
	c.roll.Lost()
	c.book.Recall()
}

// order sends commands straight to a machine.
func (c *Controller) order(m *fleet.Machine, o fleet.Orders, done func(*fleet.Report, bool)) {
	body, _ := json.Marshal(o)
	f := c.fleet
	// One connection each: a large fleet's idle ones would use up the sockets.
	c.wire.Send(m.Addr, httpio.Request{Method: "POST", Path: "/orders", Body: body, Timeout: config.OrderWait, Once: true}, func(r httpio.Response) {
		if c.fleet != f {
			return
		}
		if r.Err != nil || (r.Status != 200 && r.Status != 409) {
			done(nil, r.Refused || (r.Err == nil && r.Status == 400))
			return
		}
		rep, err := fleet.ParseReport(r.Body)
		if err != nil {
			rep = nil
		}
		done(rep, true)
	})
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
	auth := c.mem.Authority(now)
	if !auth && c.blind(now) {
		c.mem.Resign(now, "the followed keys are too old")
		return
	}
	if !c.fleet.Loaded() {
		c.load(now)
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

// load reads the durable plans at the start of a term.
func (c *Controller) load(now time.Duration) {
	if c.loading || now < c.loadAt {
		return
	}
	c.loading = true
	f := c.fleet
	// list reads keys; what goes wrong begins anew a little later.
	list := func(prefix string, then func(at time.Duration, items []store.Item)) {
		c.store.List(prefix, func(items []store.Item, _ uint64, err error) {
			if c.fleet != f {
				return
			}
			at := c.loop.Now()
			if err != nil {
				c.loading, c.loadAt = false, at+200*time.Millisecond
				return
			}
			then(at, items)
		})
	}
	plans := func() {
		list(jobs.PlanPrefix, func(at time.Duration, items []store.Item) {
			c.loading = false
			f.Load(at, items)
		})
	}
	if c.sess = c.newSessions(f.Term); c.sess == nil {
		plans()
		return
	}
	// Which sessions are reclaimed must be known before anything is planned.
	list(sessions.Prefix, func(at time.Duration, items []store.Item) {
		c.sess.Load(at, items)
		plans()
	})
}

// learnTypes keeps the machine types and prices up to date; the leader stores them, so
// that controllers that start during trouble of the cloud know them too.
func (c *Controller) learnTypes(now time.Duration) {
	every := 5 * time.Second
	if len(c.types) > 0 {
		if c.fleet == nil {
			return
		}
		every = time.Minute
	}
	if c.askTypes || !c.mir.Synced() || (c.typesAt > 0 && now-c.typesAt < every) {
		return
	}
	c.typesAt = now
	c.askTypes = c.cloud.Types(func(raw []byte, types []capacity.MachineType) {
		c.askTypes = false
		if types == nil {
			c.typesAt = c.loop.Now() - every + 2*time.Second
			return
		}
		same := string(raw) == c.typesRaw
		c.setTypes(string(raw), types)
		if c.fleet != nil && (!same || c.typesVer == 0) {
			t := store.Txn{If: []store.Cond{c.mem.Guard()}, Then: []store.Op{{Put: typesKey, Value: raw}}}
			t.If = append(t.If, store.Cond{Key: typesKey, Version: c.typesVer}) // older prices that land late change nothing
			c.store.Txn(t, store.Ordinary, func(store.Result) {})
		}
	})
}

// tell sends the others a status.
func (c *Controller) tell(now time.Duration) {
	if now-c.statusAt < time.Second {
		return
	}
	c.statusAt = now
	s := peers.Status{Node: c.s.Node, Leading: c.fleet != nil, StateOK: now-c.store.LastOK() < 2500*time.Millisecond,
		Workers: c.strays.count(now, config.Seconds(c.s.Params.Workers.ReportS), 0), Leaving: c.life != Serving}
	if c.fleet != nil {
		s.Term = c.mem.Term()
		c.book.Live(func(j *jobs.Job) {
			if j.Tasks != nil && len(s.Counts) < 2000 {
				d, r := c.fleet.Counts(j)
				s.Counts = append(s.Counts, peers.Count{Job: j.ID, Done: uint32(d), Running: uint32(r)})
			}
		})
	}
	raw := peers.Encode(s)
	for _, l := range c.links {
		l.Send(raw)
	}
}
