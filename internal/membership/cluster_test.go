package membership

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

const (
	testTTL            = 3 * time.Second
	testStalenessBound = 9 * time.Second
	stepInterval       = 20 * time.Millisecond
	maxNetworkDelay    = 30 * time.Millisecond
	// maxLateDelay bounds the delay of a request that is served although its sender gets a timeout.
	maxLateDelay = 8 * time.Second
)

// delivery is a message on the network with its time of arrival.
type delivery struct {
	at      time.Duration
	deliver func()
}

// cluster runs several memberships against one state service over a network that delays and loses messages.
type cluster struct {
	t        *testing.T
	rng      *rand.Rand
	service  *state.Service
	nodes    []*node
	network  []delivery
	leaders  map[uint64]string // names of nodes with the number of the process, by term
	lossRate float64
}

// node is a controller. It runs one process at a time.
type node struct {
	cluster        *cluster
	name           string
	process        int         // number of the process; start and kill increment it
	membership     *Membership // nil: no process is running
	syncedAt       time.Duration
	versions       map[string]uint64 // versions of the watched keys as last passed to membership
	isDisconnected bool              // requests to the state service get a timeout
}

func newCluster(t *testing.T, seed uint64) *cluster {
	t.Helper()
	c := &cluster{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 3)),
		leaders: map[uint64]string{},
		service: state.New(),
	}
	for i := range 3 {
		n := &node{cluster: c, name: fmt.Sprintf("n-%d", i)}
		c.nodes = append(c.nodes, n)
		n.start()
	}
	return c
}

// randomDuration returns a random duration below a bound.
func (c *cluster) randomDuration(bound time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(bound)))
}

func (c *cluster) deliverAfter(delay time.Duration, deliver func()) {
	c.network = append(c.network, delivery{at: c.service.Now + delay, deliver: deliver})
}

// leader returns the node that has authority, or nil if there is none.
func (c *cluster) leader() *node {
	for _, n := range c.nodes {
		if n.membership != nil && n.membership.HasAuthority(c.service.Now) {
			return n
		}
	}
	return nil
}

func (c *cluster) runFor(duration time.Duration) {
	c.t.Helper()
	for end := c.service.Now + duration; c.service.Now < end; {
		c.step()
	}
}

// step advances the time, delivers messages and ticks each node. It fails the test if two nodes have authority.
func (c *cluster) step() {
	c.t.Helper()
	c.service.Now += stepInterval
	c.service.Expire()
	c.deliverDue()
	authority := ""
	for _, n := range c.nodes {
		if n.membership == nil {
			continue
		}
		if c.rng.IntN(4) == 0 {
			n.pollKeys()
		}
		n.membership.Tick(c.service.Now)
		if !n.membership.HasAuthority(c.service.Now) {
			continue
		}
		if authority != "" {
			c.t.Fatalf("at %v: %s and %s have authority, want at most one node", c.service.Now, authority, n.name)
		}
		authority = n.name
	}
}

// deliverDue delivers the messages that are due, including due messages that a delivery sends.
func (c *cluster) deliverDue() {
	for i := 0; i < len(c.network); i++ {
		if message := c.network[i]; message.at <= c.service.Now {
			c.network = append(c.network[:i], c.network[i+1:]...)
			i--
			message.deliver()
		}
	}
}

// call sends a request to the state service directly, without delay or loss.
func (c *cluster) call(method, path string, body []byte) httpio.Response {
	return c.service.Serve(httpio.Request{Method: method, Path: path, Body: body})
}

// start starts a new process of the node.
func (n *node) start() {
	n.cluster.t.Helper()
	n.process++
	c := n.cluster
	now := func() time.Duration { return c.service.Now }
	share := store.RateShare{RPS: 1e6, WriteRPS: 1e6, BurstSeconds: 0.8}
	limits := store.TxnLimits{MaxOps: 24, MaxValueBytes: 32 << 10}
	client := store.New("", n, now, share, limits)
	n.syncedAt = c.service.Now
	n.versions = map[string]uint64{}
	n.membership = New(Config{
		Node:           n.name,
		TTL:            testTTL,
		StalenessBound: testStalenessBound,
		Rng:            c.rng,
		Rollout:        oneRelease{n.name},
		OnElected:      n.recordTerm,
		OnDeposed:      func(time.Duration) {},
	}, client, func() time.Duration { return n.syncedAt })
}

// kill ends the node's process. Responses to its requests in flight are dropped.
func (n *node) kill() {
	n.process++
	n.membership = nil
}

// recordTerm records this node as the leader of a term. It fails the test if the term already has a leader.
func (n *node) recordTerm(_ time.Duration, term uint64) {
	leaders := n.cluster.leaders
	if other, ok := leaders[term]; ok {
		n.cluster.t.Fatalf("term %d has leaders %s and %s, want one", term, other, n.name)
	}
	leaders[term] = fmt.Sprintf("%s.%d", n.name, n.process)
}

// Send implements httpio.Sender.
func (n *node) Send(_ string, request httpio.Request, done func(httpio.Response)) {
	c, process := n.cluster, n.process
	respond := func(response httpio.Response) {
		if n.process == process {
			done(response)
		}
	}
	if n.isDisconnected || c.rng.Float64() < c.lossRate {
		if isServedLate := c.rng.IntN(2) == 0; isServedLate {
			c.deliverAfter(c.randomDuration(maxLateDelay), func() { c.service.Serve(request) })
		}
		c.deliverAfter(request.Timeout, func() { respond(httpio.Response{Err: httpio.ErrBusy}) })
		return
	}
	c.deliverAfter(c.randomDuration(maxNetworkDelay), func() {
		response := c.service.Serve(request)
		c.deliverAfter(c.randomDuration(maxNetworkDelay), func() { respond(response) })
	})
}

// pollKeys passes the changes of all keys to the node's membership, as its watch cache would.
func (n *node) pollKeys() {
	n.cluster.t.Helper()
	service := n.cluster.service
	if n.isDisconnected || service.Down {
		return
	}
	n.syncedAt = service.Now
	for key, version := range n.versions {
		if service.Keys[key].Version == 0 {
			delete(n.versions, key)
			n.membership.HandleDelete(service.Now, key, service.Revision+version)
		}
	}
	for key, item := range service.Keys {
		if n.versions[key] == item.Version {
			continue
		}
		n.versions[key] = item.Version
		if err := n.membership.HandleItem(service.Now, item); err != nil {
			n.cluster.t.Fatal(err)
		}
	}
	n.membership.HandleSynced(service.Now)
}

// oneRelease is the Rollout of a node in a cluster whose controllers all have the same release.
type oneRelease struct{ node string }

func (oneRelease) Compatible() bool { return true }

func (oneRelease) Level() rollout.Level { return rollout.Newest }

func (oneRelease) PreferredLeaders() int { return 0 }

func (o oneRelease) Announcement(uint64) store.Op {
	return store.Op{Put: rollout.AnnounceKey(o.node), Value: []byte("{}")}
}

func (oneRelease) BootstrapConditions() ([]store.Condition, []store.Op) { return nil, nil }
