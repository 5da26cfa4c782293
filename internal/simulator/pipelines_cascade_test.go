package simulator

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Tests of a cascade of cancellations in which the leader is killed at every transaction of the cascade.

// Sizes of the cascades.
const (
	cascadeJobs = 30 // number of successors of the cancelled job
	// cascadeTxnOps is the maximum number of operations in a transaction.
	cascadeTxnOps = 4
)

// countCancellations counts the records of cancelled jobs that a transaction writes, except the record of one job.
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
	cluster      *testCluster
	cancelledJob string // ID of the job that a user cancels
	// outcome applies to each transaction at which the leader is killed.
	outcome TxnOutcome
	// afterAnswer delays the kill until the leader sends its next transaction, which is dropped. By then the leader
	// has received the answer to the previous transaction.
	afterAnswer bool

	answered         map[int]bool // controllers that have sent a transaction of the cascade since their start
	kills            int
	maxCancellations int // largest number of cancellations in one transaction
}

// killRestart is the time from a leader's kill to its restart.
const killRestart = 300 * time.Millisecond

// intercept returns the outcome of a transaction, and kills and restarts the leader if the transaction is part of the
// cascade.
func (k *cascadeKiller) intercept(controller int, txn store.Txn) TxnOutcome {
	cancellations := countCancellations(txn, k.cancelledJob)
	if cancellations == 0 {
		return TxnOutcome{}
	}
	k.maxCancellations = max(k.maxCancellations, cancellations)
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

// TestLeaderDiesAtEveryTransactionOfCascade cancels a job that has 30 successors, in a chain or all direct, and kills
// the leader at every transaction of the cascade: after its answer, before its answer, or long before it is applied.
func TestLeaderDiesAtEveryTransactionOfCascade(t *testing.T) {
	killers := map[string]cascadeKiller{
		"after the answer":  {afterAnswer: true, outcome: TxnOutcome{Dropped: true}},
		"before the answer": {outcome: TxnOutcome{Unanswered: true}},
		"applied late":      {outcome: TxnOutcome{Delay: 3 * time.Second}},
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
				kill.cancelledJob = users[0].spec.ID
				kill.answered = map[int]bool{}
				cluster.InterceptTxns(kill.intercept)
				users[0].cancel()
				for end := cluster.Now() + 4*time.Minute; len(cluster.pendingJobs()) > 0; cluster.Advance(250 * time.Millisecond) {
					if cluster.Now() >= end {
						t.Fatalf("got %d jobs pending after 4 m and %d kills, want 0 pending", len(cluster.pendingJobs()), kill.kills)
					}
					cluster.queryEverywhere(users)
				}
				cluster.InterceptTxns(nil)
				cluster.waitUntilDone()
				cluster.wantFinalStates(stateCancelled, users...)
				t.Logf("%d kills, at most %d cancellations in a transaction", kill.kills, kill.maxCancellations)
				if kill.kills < cascadeJobs/cascadeTxnOps || kill.maxCancellations > cascadeTxnOps {
					t.Errorf("got %d kills and %d cancellations in a transaction, want at least 7 and at most 4", kill.kills, kill.maxCancellations)
				}
			})
		}
	}
}

// newCascadeCluster starts a cluster whose state service accepts at most cascadeTxnOps operations in a transaction.
func newCascadeCluster(t *testing.T) *testCluster {
	t.Helper()
	cluster := newPipelineCluster(t, 641)
	limits := cluster.state.initialLimits
	cluster.SetStateLimits(limits.ValueKB, cascadeTxnOps, limits.WriteRPS)
	return cluster
}
