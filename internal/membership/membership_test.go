package membership

import (
	"encoding/json"
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

type flight struct {
	at time.Duration
	f  func()
}

// cluster drives several memberships against one service over a network that delays and
// loses.
type cluster struct {
	t     *testing.T
	rng   *rand.Rand
	svc   *state.Service
	nodes []*node
	net   []flight
	terms map[uint64]string
	lossy float64
}

type node struct {
	c     *cluster
	name  string
	gen   int
	mem   *Membership
	seen  time.Duration
	known map[string]uint64
	cut   bool // from the state service
}

// Send implements httpio.Sender.
func (n *node) Send(_ string, request httpio.Request, done func(httpio.Response)) {
	c, gen := n.c, n.gen
	back := func(res httpio.Response) {
		if n.gen == gen {
			done(res)
		}
	}
	delay := func() time.Duration { return time.Duration(c.rng.Int64N(int64(30 * time.Millisecond))) }
	if n.cut || c.rng.Float64() < c.lossy {
		late := c.rng.IntN(2) == 0 // what was given up may still be carried out, late
		if late {
			c.net = append(c.net, flight{c.svc.Now + time.Duration(c.rng.Int64N(int64(8*time.Second))), func() { c.svc.Serve(request) }})
		}
		c.net = append(c.net, flight{c.svc.Now + request.Timeout, func() { back(httpio.Response{Err: httpio.ErrBusy}) }})
		return
	}
	c.net = append(c.net, flight{c.svc.Now + delay(), func() {
		res := c.svc.Serve(request)
		c.net = append(c.net, flight{c.svc.Now + delay(), func() { back(res) }})
	}})
}

// oneRelease is a rollout in which everybody knows the same.
type oneRelease struct{ node string }

func (oneRelease) Compatible() bool      { return true }
func (oneRelease) Level() rollout.Level  { return rollout.Newest }
func (oneRelease) PreferredLeaders() int { return 0 }
func (o oneRelease) Announcement(uint64) store.Op {
	return store.Op{Put: rollout.AnnounceKey(o.node), Value: []byte("{}")}
}
func (oneRelease) BootstrapConditions() ([]store.Condition, []store.Op) { return nil, nil }

func (n *node) start() {
	n.gen++
	c := n.c
	now := func() time.Duration { return c.svc.Now }
	st := store.New("", n, now, store.Share{RPS: 1e6, WriteRPS: 1e6, BurstS: 0.8}, store.Limits{MaxOps: 24, MaxValueBytes: 32 << 10})
	n.seen = c.svc.Now
	n.known = map[string]uint64{}
	n.mem = New(Config{
		Node: n.name, TTL: 3 * time.Second, StalenessBound: 9 * time.Second, Rng: c.rng, Rollout: oneRelease{n.name},
		OnElected: func(_ time.Duration, term uint64) {
			if who, ok := c.terms[term]; ok {
				c.t.Fatalf("term %d led by %s and %s", term, who, n.name)
			}
			c.terms[term] = fmt.Sprintf("%s.%d", n.name, n.gen)
		},
		OnDeposed: func(time.Duration) {},
	}, st, func() time.Duration { return n.seen })
}

// follow shows a node the keys as they are, as its mirror would.
func (n *node) follow() {
	if n.cut || n.c.svc.Down {
		return
	}
	s := n.c.svc
	n.seen = s.Now
	for k, v := range n.known {
		if s.Keys[k].Version == 0 {
			delete(n.known, k)
			n.mem.HandleDelete(s.Now, k, s.Rev+v)
		}
	}
	for k, item := range s.Keys {
		if n.known[k] != item.Version {
			n.known[k] = item.Version
			if err := n.mem.HandleItem(s.Now, item); err != nil {
				n.c.t.Fatal(err)
			}
		}
	}
	n.mem.HandleSynced(s.Now)
}

func (c *cluster) step() {
	c.svc.Now += 20 * time.Millisecond
	c.svc.Expire()
	for i := 0; i < len(c.net); i++ {
		if f := c.net[i]; f.at <= c.svc.Now {
			c.net = append(c.net[:i], c.net[i+1:]...)
			i--
			f.f()
		}
	}
	acting := ""
	for _, n := range c.nodes {
		if n.mem == nil {
			continue
		}
		if c.rng.IntN(4) == 0 {
			n.follow()
		}
		n.mem.Tick(c.svc.Now)
		if n.mem.HasAuthority(c.svc.Now) {
			if acting != "" {
				c.t.Fatalf("%v: %s and %s both have authority", c.svc.Now, acting, n.name)
			}
			acting = n.name
		}
	}
}

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), terms: map[uint64]string{},
		svc: state.New(),
	}
	for i := range 3 {
		n := &node{c: c, name: fmt.Sprintf("n-%d", i)}
		c.nodes = append(c.nodes, n)
		n.start()
	}
	return c
}

func (c *cluster) leader() *node {
	for _, n := range c.nodes {
		if n.mem != nil && n.mem.HasAuthority(c.svc.Now) {
			return n
		}
	}
	return nil
}

func (c *cluster) runFor(duration time.Duration) {
	for end := c.svc.Now + duration; c.svc.Now < end; {
		c.step()
	}
}

// At no time do two controllers have authority, no term is led twice, and once the troubles
// end somebody leads: over crashes, restarts, cuts, outages and late transactions.
func TestAtMostOneHasAuthority(t *testing.T) {
	terms := 0
	for seed := uint64(1); seed <= 25; seed++ {
		c := newCluster(t, seed)
		c.lossy = 0.03
		for range 60 {
			n := c.nodes[c.rng.IntN(3)]
			switch c.rng.IntN(8) {
			case 6:
				if n.mem != nil {
					n.mem.Withdraw(c.svc.Now)
				}
			case 7:
				if n.mem != nil {
					n.mem.Rejoin(c.svc.Now)
				}
			case 0:
				n.gen++
				n.mem = nil
			case 1:
				n.cut = !n.cut
			case 2:
				c.svc.Down = !c.svc.Down
				if !c.svc.Down {
					c.svc.Recover()
				}
			default:
				if n.mem == nil {
					n.start()
				}
			}
			c.runFor(time.Duration(c.rng.Int64N(int64(4 * time.Second))))
		}
		c.lossy, c.svc.Down = 0, false
		for _, n := range c.nodes {
			n.cut = false
			if n.mem == nil {
				n.start()
			}
			n.mem.Rejoin(c.svc.Now)
		}
		c.runFor(25 * time.Second)
		if c.leader() == nil {
			t.Fatalf("seed %d: nobody leads in the end", seed)
		}
		terms += len(c.terms)
	}
	if terms < 100 {
		t.Fatalf("only %d terms: the test decides little", terms)
	}
}

// Refused by the state service alone, a leader stops acting before its hold can end, and
// another takes over.
func TestLeaderCutFromTheStateServiceAlone(t *testing.T) {
	c := newCluster(t, 1)
	c.runFor(3 * time.Second)
	l := c.leader()
	if l == nil {
		t.Fatal("nobody leads")
	}
	l.cut = true
	c.runFor(3 * time.Second)
	if l.mem.HasAuthority(c.svc.Now) {
		t.Fatal("still acting after its hold has ended")
	}
	c.runFor(2 * time.Second)
	if n := c.leader(); n == nil || n == l {
		t.Fatal("nobody took over")
	}
}

// A leader that leaves has no authority from then on, and another leads without waiting for its hold
// to run out; it stays away until it returns.
func TestLeaveHandsTheLeadOver(t *testing.T) {
	c := newCluster(t, 3)
	c.runFor(3 * time.Second)
	l := c.leader()
	l.mem.Withdraw(c.svc.Now)
	if l.mem.HasAuthority(c.svc.Now) {
		t.Fatal("still has authority")
	}
	c.runFor(800 * time.Millisecond)
	next := c.leader()
	if next == nil || next == l {
		t.Fatal("nobody took over within 0.8 s of a hold that lives for 3 s")
	}
	for _, n := range c.nodes {
		if n != l {
			n.gen++
			n.mem = nil
		}
	}
	if c.runFor(10 * time.Second); c.leader() != nil {
		t.Fatal("one that has left leads again")
	}
	l.mem.Rejoin(c.svc.Now)
	if c.runFor(5 * time.Second); c.leader() != l {
		t.Fatal("back, and alone, it doesn't lead")
	}
}

// A restarted leader ends the hold of its former process instead of waiting for it.
func TestRestartIsFasterThanTheHold(t *testing.T) {
	c, l := onlyTheLeaderBack(t, 2)
	if c.leader() != l {
		t.Fatal("the restarted leader waits for its own former hold")
	}
}

// onlyTheLeaderBack ends all controllers of a cluster and starts the one that led again, a second ago.
func onlyTheLeaderBack(t *testing.T, seed uint64) (*cluster, *node) {
	c := newCluster(t, seed)
	c.runFor(3 * time.Second)
	l := c.leader()
	for _, n := range c.nodes {
		n.gen++
		n.mem = nil
	}
	l.start()
	c.runFor(time.Second)
	return c, l
}

// A campaign of a former process lands after the new one, back at once, has cleared its past away: it names a hold that
// the new one doesn't have. Nobody would lead for as long as that hold lives.
func TestFormerCampaignLandsLate(t *testing.T) {
	c, l := onlyTheLeaderBack(t, 3)
	// It loses the lead to what its former process had under way, on a hold that is alive still.
	body := func(method, path, raw string) httpio.Response {
		return c.svc.Serve(httpio.Request{Method: method, Path: path, Body: []byte(raw)})
	}
	var hold struct {
		ID uint64 `json:"tether"`
	}
	if err := json.Unmarshal(body("POST", "/holds", `{"ttl_ms":60000}`).Body, &hold); err != nil || hold.ID == 0 {
		t.Fatal(err)
	}
	raw, _ := json.Marshal(Leader{Node: l.name, Term: l.mem.Term() + 1, Lease: hold.ID})
	txn, _ := json.Marshal(store.Txn{If: []store.Condition{}, Then: []store.Op{{Put: leaderKey, Value: raw, Lease: hold.ID}}})
	if response := body("POST", "/txn", string(txn)); response.Status != 200 {
		t.Fatal(response.Status)
	}
	c.runFor(200 * time.Millisecond)
	if c.leader() != nil {
		t.Fatal("it acts in the name of its former process")
	}
	c.runFor(3 * time.Second)
	if c.leader() != l {
		t.Fatal("its former process's hold keeps it from leading")
	}
}

// Rendezvous hashing parts machines evenly and moves only those of a lost owner.
func TestPartMap(t *testing.T) {
	all := ShardMap{Owners: []string{"a", "b", "c"}}
	two := ShardMap{Owners: []string{"a", "c"}}
	n := map[string]int{}
	for i := range 3000 {
		m := fmt.Sprintf("i-%06d", i)
		o := all.Owner(m)
		n[o]++
		if o != "b" && two.Owner(m) != o {
			t.Fatalf("%s moved from %s to %s although its owner stayed", m, o, two.Owner(m))
		}
	}
	for o, k := range n {
		if k < 800 || k > 1200 {
			t.Fatalf("%s owns %d of 3000", o, k)
		}
	}
	if (ShardMap{}).Owner("x") != "" {
		t.Fatal("an empty map has no owner")
	}
}
