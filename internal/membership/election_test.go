package membership

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"
)

// At no time do two controllers have authority, no term is led twice, and once all faults have ended there is a
// leader: over crashes, restarts, cuts, outages, withdrawals and late transactions.
func TestAtMostOneHasAuthority(t *testing.T) {
	terms := 0
	for seed := uint64(1); seed <= 25; seed++ {
		c := newCluster(t, seed)
		c.lossRate = 0.03
		for range 60 {
			c.injectFault()
			c.runFor(c.randomDuration(4 * time.Second))
		}
		c.endFaults()
		c.runFor(25 * time.Second)
		if c.leader() == nil {
			t.Fatalf("seed %d: nobody leads in the end", seed)
		}
		terms += len(c.leaders)
	}
	if terms < 100 {
		t.Fatalf("only %d terms: the test decides little", terms)
	}
}

// injectFault changes the state of a random node, or of the state service.
func (c *cluster) injectFault() {
	n := c.nodes[c.rng.IntN(3)]
	switch c.rng.IntN(8) {
	case 0:
		n.kill()
	case 1:
		n.isCut = !n.isCut
	case 2:
		c.service.Down = !c.service.Down
		if !c.service.Down {
			c.service.Recover()
		}
	case 6:
		if n.membership != nil {
			n.membership.Withdraw(c.service.Now)
		}
	case 7:
		if n.membership != nil {
			n.membership.Rejoin(c.service.Now)
		}
	default:
		if n.membership == nil {
			n.start()
		}
	}
}

// endFaults has every node running, connected and taking part.
func (c *cluster) endFaults() {
	c.lossRate = 0
	c.service.Down = false
	for _, n := range c.nodes {
		n.isCut = false
		if n.membership == nil {
			n.start()
		}
		n.membership.Rejoin(c.service.Now)
	}
}

// A leader that is cut from the state service alone has no authority before its lease can expire, and another one
// takes over.
func TestLeaderCutFromTheStateServiceLosesAuthority(t *testing.T) {
	c := newCluster(t, 1)
	c.runFor(3 * time.Second)
	leader := c.leader()
	if leader == nil {
		t.Fatal("nobody leads")
	}
	leader.isCut = true
	c.runFor(testTTL)
	if leader.membership.HasAuthority(c.service.Now) {
		t.Fatal("still has authority after its lease has expired")
	}
	c.runFor(2 * time.Second)
	if next := c.leader(); next == nil || next == leader {
		t.Fatal("nobody took over")
	}
}

// A leader that withdraws has no authority from then on, and another leads without waiting for the lease's expiry. It
// stays away until it rejoins.
func TestWithdrawalHandsLeadershipOver(t *testing.T) {
	c := newCluster(t, 3)
	c.runFor(3 * time.Second)
	leader := c.leader()
	leader.membership.Withdraw(c.service.Now)
	if leader.membership.HasAuthority(c.service.Now) {
		t.Fatal("still has authority")
	}
	c.runFor(800 * time.Millisecond)
	next := c.leader()
	if next == nil || next == leader {
		t.Fatalf("nobody took over within 0.8 s of a lease that lives for %v", testTTL)
	}
	for _, n := range c.nodes {
		if n != leader {
			n.kill()
		}
	}
	c.runFor(10 * time.Second)
	if c.leader() != nil {
		t.Fatal("one that has withdrawn leads again")
	}
	leader.membership.Rejoin(c.service.Now)
	c.runFor(5 * time.Second)
	if c.leader() != leader {
		t.Fatal("back, and alone, it doesn't lead")
	}
}

// A restarted leader revokes the lease of its former process instead of waiting for its expiry.
func TestRestartedLeaderRevokesItsOldLease(t *testing.T) {
	c, restarted := restartOnlyTheLeader(t, 2)
	if c.leader() != restarted {
		t.Fatal("the restarted leader waits for the expiry of its former lease")
	}
}

// A restarted controller, leader or not, revokes the lease of its former process before it requests one of its own.
func TestOldLeaseIsRevokedBeforeANewOneIsAcquired(t *testing.T) {
	for _, isLeader := range []bool{true, false} {
		t.Run(fmt.Sprintf("leader=%v", isLeader), func(t *testing.T) {
			c := newCluster(t, 4)
			c.runFor(3 * time.Second)
			i := slices.IndexFunc(c.nodes, func(n *node) bool { return (n == c.leader()) == isLeader })
			restarted := c.nodes[i]
			oldLease := restarted.membership.lease.id
			restarted.kill()
			restarted.start()
			deadline := c.service.Now + testTTL/2 // too soon for the old lease to expire
			for restarted.membership.State() <= RevokingOldLease && c.service.Now < deadline {
				c.step()
			}
			if state := restarted.membership.State(); state != AcquiringLease {
				t.Fatalf("its state is %s", state)
			}
			path := fmt.Sprintf("/holds/%d/touch", oldLease)
			if response := c.call("POST", path, nil); response.Status != 404 {
				t.Fatalf("renewing the old lease is answered with %d", response.Status)
			}
		})
	}
}

// restartOnlyTheLeader ends all controllers of a cluster and starts only the one that led again, a second ago.
func restartOnlyTheLeader(t *testing.T, seed uint64) (*cluster, *node) {
	t.Helper()
	c := newCluster(t, seed)
	c.runFor(3 * time.Second)
	leader := c.leader()
	for _, n := range c.nodes {
		n.kill()
	}
	leader.start()
	c.runFor(time.Second)
	return c, leader
}

// A campaign of a former process is carried out after the new process has revoked the old lease: the leader key
// names a lease that the new process doesn't have. Without a revocation nobody would lead for as long as that lease
// lives.
func TestLateCampaignOfFormerProcessIsRevoked(t *testing.T) {
	c, restarted := restartOnlyTheLeader(t, 3)
	var granted struct {
		ID uint64 `json:"tether"`
	}
	response := c.call("POST", "/holds", []byte(`{"ttl_ms":60000}`))
	if err := json.Unmarshal(response.Body, &granted); err != nil || granted.ID == 0 {
		t.Fatal(err)
	}
	value, _ := json.Marshal(Leader{Node: restarted.name, Term: restarted.membership.Term() + 1, Lease: granted.ID})
	txn := fmt.Appendf(nil, `{"if":[],"apply":[{"set":%q,"data":%s,"tether":%d}]}`, leaderKey, value, granted.ID)
	if response := c.call("POST", "/txn", txn); response.Status != 200 {
		t.Fatal(response.Status)
	}
	c.runFor(200 * time.Millisecond)
	if c.leader() != nil {
		t.Fatal("it acts in the name of its former process")
	}
	c.runFor(3 * time.Second)
	if c.leader() != restarted {
		t.Fatal("its former process's lease keeps it from leading")
	}
}
