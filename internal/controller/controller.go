// Package controller connects the other packages around one event loop and runs them as one controller process.
//
// It owns the event loop and all state that only the loop may access: the wiring between store, membership, rollout,
// jobs, fleet, capacity, sessions and archive, the state of the current leader term, the controller's lifecycle, and
// the responses to operators. It never plans tasks, never elects a leader and never interprets a stored record: it
// passes events to the package that does. Commands in cmd/harewalk call New and Run; the simulator calls Simulate.
package controller

import (
	"crypto/tls"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
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

// Keys of the state service that this package handles itself.
const (
	// watchedPrefix is the prefix of the keys that every controller watches.
	watchedPrefix   = "h/"
	machineTypesKey = membership.Prefix + "types"
)

// leaderShare is the leader's fraction of the state service's rate limits: the leader writes the plans and reads
// more. The other controllers divide the remainder evenly, so that all controllers together stay within the limits.
const leaderShare = 0.6

// Maximum bursts of a controller, in seconds' worth of its share. The state service allows one second's worth for all
// controllers together. The leader's requests are many and steady, while submissions come in bursts.
const (
	leaderBurstSeconds   = 0.8
	followerBurstSeconds = 1.25
)

// Maximum numbers of requests in flight: to the state service and the cloud together, and to workers. The limits are
// separate because requests to workers behind a network partition would otherwise block lease renewals.
const (
	maxStateRequests  = 48
	maxWorkerRequests = 64
)

// cloudRateMargin is the fraction of the cloud's request rate limit that the controller uses.
const cloudRateMargin = 0.9

// memoryLimitMargin is the fraction of the process's memory limit above which the garbage collector runs more often.
// At the limit itself the process is killed.
const memoryLimitMargin = 0.7

const bytesPerMB = 1 << 20

// Controller is one controller process. Only the event loop may access its fields, except those whose types are safe
// for concurrent use.
type Controller struct {
	settings *config.Settings
	loop     *Loop
	rng      *rand.Rand

	stateSender   httpio.Sender // requests to the state service and the cloud
	workerSender  httpio.Sender
	licenceSender httpio.Sender // requests to licence servers

	store      *store.Client
	watchCache *store.WatchCache
	membership *membership.Membership
	rollout    *rollout.Rollout
	jobs       *jobs.Table
	api        *api.Service
	cloud      *capacity.CloudClient
	quota      *quota.Ledger

	licencePools *licences.Catalog
	machineTypes machineTypes
	term         leaderTerm
	lifecycle    lifecycle
	archive      jobArchive
	dependencies jobDependencies
	storedZones  storedZones
	drains       drainState
	peers        peerSet

	foreignHeartbeats foreignHeartbeats
	responses         api.ResponseCounter // safe for concurrent use
	failoverTiming    failoverTiming

	listLimiter      listLimiter
	rolloutCheckedAt time.Duration
	nextSummaryAt    time.Duration
}

// New returns a controller that is not yet listening.
func New(settings *config.Settings) *Controller {
	if settings.Params.Limits.MemMB != nil {
		debug.SetMemoryLimit(int64(settings.Params.Limits.MemoryLimitMB() * memoryLimitMargin * bytesPerMB))
	}
	start := time.Now()
	c := build(settings, Environment{
		Now:     func() time.Duration { return time.Since(start) },
		EpochMS: start.UnixMilli(),
		Seed:    uint64(start.UnixNano()),
	})
	for _, peer := range settings.Peers {
		c.peers.links = append(c.peers.links, peers.NewLink(peerDialer(settings, peer)))
	}
	return c
}

// peerDialer returns the function that opens connections to another controller.
func peerDialer(settings *config.Settings, peer config.Peer) peers.Dial {
	if tlsSettings := settings.Operator.TLS; tlsSettings != nil && tlsSettings.Peers {
		return peers.DialTLS(peer.Addr, func() *tls.Config { return settings.Keys().PeerClientConfig(peer.Node) })
	}
	return peers.DialPlain(peer.Addr)
}

// build returns a controller that runs in an environment. It creates the components in the order of their
// dependencies.
func build(settings *config.Settings, env Environment) *Controller {
	c := &Controller{
		settings:     settings,
		loop:         NewLoop(env.Now),
		rng:          newRand(settings.Node, env.Seed),
		machineTypes: machineTypes{byIndex: map[int32]*fleet.MachineType{}},
		lifecycle:    lifecycle{ended: make(chan struct{})},
		drains:       drainState{machines: drain.NewMachineRequests()},
		peers:        peerSet{statuses: map[string]peerStatus{}},
	}
	c.buildClients(env)
	c.buildTables(env)
	c.watchCache = store.NewWatchCache(c.store, watchedPrefix, settings.StalenessBound())
	c.rollout = c.newRollout()
	c.membership = c.newMembership()
	c.watchCache.OnItem = func(item store.Item) { c.handleItem(c.loop.Now(), item) }
	c.watchCache.OnDelete = c.handleDelete
	c.watchCache.OnReset = c.resetKeys
	c.watchCache.OnSynced = c.handleSynced
	c.archive.settings = settings.Archive()
	c.archive.reader = c.newArchiveReader(c.archive.settings.CacheEntries)
	c.dependencies = c.newDependencies()
	c.api = c.newSubmissionAPI()
	return c
}

// newRand returns the controller's random number generator. Its sequence depends only on the node's name and the
// seed.
func newRand(node string, seed uint64) *rand.Rand {
	nodeHash := fnv.New64a()
	_, _ = nodeHash.Write([]byte(node))
	return rand.New(rand.NewPCG(nodeHash.Sum64(), seed))
}

// buildClients creates the clients of the state service and the cloud, and the senders of requests.
func (c *Controller) buildClients(env Environment) {
	newSender := env.Sender
	if newSender == nil {
		newSender = func(limit int) httpio.Sender { return httpio.New(limit, c.loop.Post) }
	}
	limits := &c.settings.Params.Limits
	c.stateSender = newSender(limits.MaxOutgoing(maxStateRequests))
	c.workerSender = newSender(limits.MaxOutgoing(maxWorkerRequests))
	c.licenceSender = newSender(limits.MaxOutgoing(maxLicenceRequests))
	c.store = store.New(
		c.settings.Services.State,
		c.stateSender,
		c.loop.Now,
		c.rateShare(false),
		c.settings.Params.State.Limits(),
	)
	c.cloud = capacity.NewCloud(
		c.settings.Services.Cloud,
		c.stateSender,
		c.loop.Now,
		c.settings.Params.Cloud.RPS*cloudRateMargin,
	)
}

// buildTables creates the tables of jobs, licence pools and quotas.
func (c *Controller) buildTables(env Environment) {
	c.jobs = jobs.NewTable(env.EpochMS)
	c.licencePools = licences.NewCatalog(c.settings.LicencePools())
	c.jobs.Names.Pools = c.licencePools
	c.quota = quota.New(c.settings.Params.Teams, c.jobs.Names.Teams.Index)
}

// newMembership returns this controller's membership, which takes part in the leader election.
func (c *Controller) newMembership() *membership.Membership {
	return membership.New(membership.Config{
		Node:           c.settings.Node,
		PublicAddr:     c.settings.PublicAddr,
		TLSAddr:        c.settings.TLSAddr(),
		TTL:            c.settings.ControllerLeaseTTL(),
		StalenessBound: c.settings.StalenessBound(),
		Rng:            c.rng,
		Rollout:        membershipRollout{c.rollout, c},
		OnElected:      c.startTerm,
		OnDeposed:      c.endTerm,
	}, c.store, c.watchCache.FreshAt)
}

// newSubmissionAPI returns the service that handles users' requests.
func (c *Controller) newSubmissionAPI() *api.Service {
	state := &c.settings.Params.State
	return api.New(api.Env{
		Store:          c.store,
		Jobs:           c.jobs,
		Archive:        c.archive.reader,
		Admit:          c.admit,
		Ready:          c.watchCache.Synced,
		Counts:         c.taskCounts,
		OnJobRecord:    c.handleJobRead,
		LevelCondition: c.rollout.LevelCondition,
		Compatible:     c.rollout.Compatible,
		MaxTxnOps:      state.TxnOps,
		Limits:         c.store.Limits,
		MaxTasks:       c.settings.Params.Limits.MaxTasks(),
		MaxQueuedBytes: c.settings.Params.Limits.MaxQueueBytes(),
		MaxRecordBytes: state.Limits().MaxValueBytes,

		DependencyEdges:     c.dependencies.graph.Edges,
		AcceptsDependencies: c.acceptsDependencies,
		CanReportBlocked:    c.isBlockedCertain,
	})
}

// rateShare returns this controller's share of the state service's rate limits, as the leader or as a follower.
func (c *Controller) rateShare(leading bool) store.RateShare {
	share, burst := leaderShare, leaderBurstSeconds
	if followers := len(c.settings.Peers); !leading && followers > 0 {
		share, burst = (1-leaderShare)/float64(followers), followerBurstSeconds
	}
	return store.RateShare{
		RPS:          c.settings.Params.State.RPS * share,
		WriteRPS:     c.settings.Params.State.WriteRPS * share,
		BurstSeconds: burst,
	}
}

// logStart logs the start of service with the addresses and objectives.
func (c *Controller) logStart() {
	slog.Info("serving",
		"node", c.settings.Node,
		"public_addr", c.settings.PublicAddr,
		"hold_ttl_ms", c.settings.Operator.ControllerLeaseTTLMS,
		"costs_count", c.settings.HasCostObjective(),
		"objectives", len(c.settings.Params.Objectives),
	)
}
