package membership

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"
)

// During crashes, restarts, disconnections, outages, withdrawals and late transactions, at most one controller has
// authority at a time, and each term has at most one leader. After all faults have ended, a leader is elected.
func TestAtMostOneControllerHasAuthority(t *testing.T) {
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
			t.Fatalf("seed %d: no leader 25 s after the last fault, want one", seed)
		}
		terms += len(c.leaders)
	}
	if terms < 100 {
		t.Fatalf("got %d terms in all runs, want at least 100 for a significant test", terms)
	}
}

// injectFault starts or ends a fault of a random node or of the state service.
func (c *cluster) injectFault() {
	n := c.nodes[c.rng.IntN(3)]
	switch c.rng.IntN(8) {
	case 0:
		n.kill()
	case 1:
		n.isDisconnected = !n.isDisconnected
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

// endFaults ends all faults: every node is running, connected and not withdrawn.
func (c *cluster) endFaults() {
	c.lossRate = 0
	c.service.Down = false
	for _, n := range c.nodes {
		n.isDisconnected = false
		if n.membership == nil {
			n.start()
		}
		n.membership.Rejoin(c.service.Now)
	}
}

// If only the leader is disconnected from the state service, it loses its authority before its lease can expire, and
// another controller is elected.
func TestDisconnectedLeaderLosesAuthority(t *testing.T) {
	c := newCluster(t, 1)
	c.runFor(3 * time.Second)
	leader := c.leader()
	if leader == nil {
		t.Fatal("no leader 3 s after the start, want one")
	}
	leader.isDisconnected = true
	c.runFor(testTTL)
	if leader.membership.HasAuthority(c.service.Now) {
		t.Fatal("the disconnected leader has authority after the lease's time to live, want none")
	}
	c.runFor(2 * time.Second)
	if next := c.leader(); next == nil || next == leader {
		t.Fatal("no other leader 2 s after the lease has expired, want one")
	}
}

// A leader that withdraws loses its authority at once, and another controller is elected before the lease would have
// expired. The withdrawn controller doesn't lead again until it rejoins.
func TestWithdrawalTransfersLeadership(t *testing.T) {
	c := newCluster(t, 3)
	c.runFor(3 * time.Second)
	leader := c.leader()
	leader.membership.Withdraw(c.service.Now)
	if leader.membership.HasAuthority(c.service.Now) {
		t.Fatal("the leader has authority after its withdrawal, want none")
	}
	c.runFor(800 * time.Millisecond)
	next := c.leader()
	if next == nil || next == leader {
		t.Fatalf("no other leader 0.8 s after the withdrawal, want one before the lease of %v expires", testTTL)
	}
	for _, n := range c.nodes {
		if n != leader {
			n.kill()
		}
	}
	c.runFor(10 * time.Second)
	if c.leader() != nil {
		t.Fatal("the withdrawn controller leads, want no leader")
	}
	leader.membership.Rejoin(c.service.Now)
	c.runFor(5 * time.Second)
	if c.leader() != leader {
		t.Fatal("the only running controller doesn't lead 5 s after it has rejoined")
	}
}

// A restarted leader revokes the lease of its former process instead of waiting for its expiry.
func TestRestartedLeaderRevokesItsOldLease(t *testing.T) {
	c, restarted := restartOnlyTheLeader(t, 2)
	if c.leader() != restarted {
		t.Fatal("the restarted leader doesn't lead within a second, before its former lease expires")
	}
}

// A restarted controller revokes the lease of its former process before it requests a new lease, whether it was the
// leader or not.
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
			deadline := c.service.Now + testTTL/2 // before the old lease can expire
			for restarted.membership.State() <= RevokingOldLease && c.service.Now < deadline {
				c.step()
			}
			if state := restarted.membership.State(); state != AcquiringLease {
				t.Fatalf("got state %s after the restart, want acquiring_lease", state)
			}
			path := fmt.Sprintf("/holds/%d/touch", oldLease)
			if response := c.call("POST", path, nil); response.Status != 404 {
				t.Fatalf("renewal of the old lease got status %d, want 404", response.Status)
			}
		})
	}
}

// restartOnlyTheLeader kills all controllers of a cluster, restarts only the leader, and lets it run for a second.
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

// A campaign of a former process is committed after the new process has revoked the old lease. The leader key then
// names a lease that the new process doesn't have. If the new process didn't revoke this lease, the cluster would have
// no leader until the lease's expiry.
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
		t.Fatal("the restarted controller has authority with the lease of its former process, want none")
	}
	c.runFor(3 * time.Second)
	if c.leader() != restarted {
		t.Fatal("the restarted controller doesn't lead, want the lease of its former process revoked")
	}
}
