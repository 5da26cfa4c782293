package simulator

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Tests of a cascade of cancellations whose leader ends at every one of its transactions.

// Sizes of the cascades.
const (
	cascadeJobs = 30
	// cascadeTxnOps is how many changes a transaction has at most.
	cascadeTxnOps = 4
)

// countCancellations counts the records of cancelled jobs in a transaction, without that of one job.
func countCancellations(txn store.Txn, except string) (count int) {
	for _, op := range txn.Then {
		var record jobs.Record
		id := jobs.IDOfKey(op.Put)
		if id == "" || id == except || json.Unmarshal(op.Value, &record) != nil {
			continue
		}
		if record.State == jobs.Cancelled.String() {
			count++
		}
	}
	return count
}

// cascadeKiller kills the leader at the transactions of a cascade.
type cascadeKiller struct {
	cluster *testCluster
	head    string // the job that a user cancels
	// outcome is what becomes of each transaction at which the leader is killed.
	outcome TxnOutcome
	// afterAnswer kills the leader only as it sends the next transaction, which is not carried out: it has received the
	// answer to the one before.
	afterAnswer bool

	answered map[int]bool // controllers that have sent a transaction since their start
	kills    int
	largest  int // the most cancellations in a transaction
}

// killRestart is how long after its end a leader starts again.
const killRestart = 300 * time.Millisecond

// intercept decides what becomes of a transaction.
func (k *cascadeKiller) intercept(controller int, txn store.Txn) TxnOutcome {
	cancellations := countCancellations(txn, k.head)
	if cancellations == 0 {
		return TxnOutcome{}
	}
	k.largest = max(k.largest, cancellations)
	if k.afterAnswer && !k.answered[controller] {
		k.answered[controller] = true
		return TxnOutcome{}
	}
	delete(k.answered, controller)
	k.kills++
	k.cluster.After(0, func() { k.cluster.KillController(controller) })
	k.cluster.After(killRestart, func() { k.cluster.StartController(controller) })
	return k.outcome
}

// TestLeaderDiesAtEveryTransactionOfCascade cancels a job that 30 others wait for, in a row or all at once, and kills the
// leader at every transaction of the cascade: after its answer, before it, or long before it is carried out.
func TestLeaderDiesAtEveryTransactionOfCascade(t *testing.T) {
	killers := map[string]cascadeKiller{
		"after the answer":  {afterAnswer: true, outcome: TxnOutcome{Dropped: true}},
		"before the answer": {outcome: TxnOutcome{Unanswered: true}},
		"carried out late":  {outcome: TxnOutcome{Delay: 3 * time.Second}},
	}
	graphs := map[string]func(cluster *testCluster) []*testUser{
		"chain": func(cluster *testCluster) []*testUser { return cluster.addChain(cascadeJobs + 1) },
		"wide": func(cluster *testCluster) []*testUser {
			users := []*testUser{cluster.addUser()}
			for range cascadeJobs {
				users = append(users, cluster.addUser(users[0]))
			}
			return users
		},
	}
	for name, killer := range killers {
		for shape, add := range graphs {
			t.Run(name+" "+shape, func(t *testing.T) {
				t.Parallel()
				cluster := newCascadeCluster(t)
				users := add(cluster)
				users[0].spec.EstimateS = 600
				cluster.submitAll()
				cluster.waitUntilAccepted(users...)
				kill := killer
				kill.cluster = cluster
				kill.head = users[0].spec.ID
				kill.answered = map[int]bool{}
				cluster.InterceptTxns(kill.intercept)
				users[0].cancel()
				for end := cluster.Now() + 4*time.Minute; len(cluster.pendingJobs()) > 0; cluster.Advance(250 * time.Millisecond) {
					if cluster.Now() >= end {
						t.Fatalf("%d jobs are pending, %d kills", len(cluster.pendingJobs()), kill.kills)
					}
					cluster.askEverywhere(users)
				}
				cluster.InterceptTxns(nil)
				cluster.waitUntilDone()
				cluster.wantFinalStates(stateCancelled, users...)
				t.Logf("%d kills, at most %d cancellations in a transaction", kill.kills, kill.largest)
				if kill.kills < cascadeJobs/cascadeTxnOps || kill.largest > cascadeTxnOps {
					t.Errorf("%d kills, at most %d cancellations in a transaction", kill.kills, kill.largest)
				}
			})
		}
	}
}

// newCascadeCluster starts a cluster whose state service takes few changes in a transaction.
func newCascadeCluster(t *testing.T) *testCluster {
	t.Helper()
	cluster := newPipelineCluster(t, 641)
	limits := cluster.state.initialLimits
	cluster.LowerStateLimits(limits.ValueKB, cascadeTxnOps, limits.WriteRPS)
	return cluster
}
