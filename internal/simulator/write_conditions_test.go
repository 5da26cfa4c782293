package simulator

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// condition names the keys on whose versions a write of a key with the prefix must depend.
type condition struct {
	prefix        string   // prefix of the written key
	ownVersion    bool     // whether the version of the written key is required
	otherPrefixes []string // prefixes of other keys whose versions are required
}

// conditions are the required conditions of writes, by key prefix. Where several prefixes match a key, the longest
// one stands first. The table in docs/design.md says why each row is sufficient.
var conditions = []condition{
	{prefix: "p/images", otherPrefixes: []string{"h/c/leader"}},
	{prefix: jobs.PlanPagePrefix, ownVersion: true, otherPrefixes: []string{"h/c/leader"}},
	{prefix: jobs.PlanPrefix, ownVersion: true, otherPrefixes: []string{"h/c/leader"}},
	{prefix: "h/j/", ownVersion: true},
	{prefix: archive.Prefix, ownVersion: true, otherPrefixes: []string{"h/c/leader", "h/j/"}},
	{prefix: "h/c/leader", ownVersion: true, otherPrefixes: []string{"h/c/term"}},
	{prefix: "h/c/term", otherPrefixes: []string{"h/c/leader"}},
	{prefix: "h/c/map", otherPrefixes: []string{"h/c/leader", "h/c/term"}},
	{prefix: "h/c/types", ownVersion: true, otherPrefixes: []string{"h/c/leader"}},
	{prefix: "h/c/n/", ownVersion: true},
	{prefix: "h/r/n/", otherPrefixes: []string{"h/c/n/"}},
	{prefix: "h/r/level", ownVersion: true, otherPrefixes: []string{"h/c/leader"}},
	{prefix: "h/r/migration", otherPrefixes: []string{"h/c/leader", "h/r/level"}},
	{prefix: "h/r/words", ownVersion: true, otherPrefixes: []string{"h/c/leader"}},
	{prefix: "h/z/", ownVersion: true, otherPrefixes: []string{"h/c/leader"}},
	{prefix: "h/o/", ownVersion: true, otherPrefixes: []string{"h/c/leader"}},
	{prefix: "h/l/", ownVersion: true, otherPrefixes: []string{"h/c/leader"}},
}

// conditionChecks compares transactions with the table of conditions.
type conditionChecks struct {
	writes   map[string]int  // number of writes by the prefix of their row
	failures map[string]bool // set of missing conditions and rows
}

// add checks a transaction, and leaves its outcome unchanged.
func (c *conditionChecks) add(_ int, txn store.Txn) TxnOutcome {
	for _, op := range txn.Then {
		c.addWrite(txn, op)
	}
	return TxnOutcome{}
}

// addWrite checks one write of a transaction.
func (c *conditionChecks) addWrite(txn store.Txn, op store.Op) {
	key := op.Put + op.Delete
	i := slices.IndexFunc(conditions, func(row condition) bool { return strings.HasPrefix(key, row.prefix) })
	if i < 0 {
		c.failures[key+" has no row in the table of conditions"] = true
		return
	}
	row := conditions[i]
	c.writes[row.prefix]++
	// A deleted plan key is never written again, so that its delete needs no version.
	deletesPlan := op.Delete != "" && row.prefix == jobs.PlanPrefix
	if row.ownVersion && !deletesPlan && !dependsOn(txn, func(other string) bool { return other == key }) {
		c.failures[row.prefix+" doesn't depend on its own version"] = true
	}
	// A job's record may be created only if the job isn't archived: a first submission may be applied long after the
	// job's end.
	creates := row.prefix == jobs.RecordPrefix && slices.Contains(txn.If, store.Condition{Key: op.Put})
	if creates && !slices.Contains(txn.If, archive.AbsentCondition(strings.TrimPrefix(op.Put, jobs.RecordPrefix))) {
		c.failures[row.prefix+" is created without the condition that the job is not archived"] = true
	}
	for _, prefix := range row.otherPrefixes {
		if !dependsOn(txn, func(other string) bool { return strings.HasPrefix(other, prefix) }) {
			c.failures[row.prefix+" doesn't depend on "+prefix] = true
		}
	}
}

// dependsOn reports whether a transaction has a condition on a matching key.
func dependsOn(txn store.Txn, matches func(key string) bool) bool {
	return slices.ContainsFunc(txn.If, func(c store.Condition) bool { return matches(c.Key) })
}

// TestEveryWriteHasItsCondition checks that all transactions of controllers have the conditions that the table
// requires, in a run with submitted, finished and cancelled jobs, a failover, a rollout, a partitioned zone and
// operators' commands. A write of a key without a row in the table fails the test.
func TestEveryWriteHasItsCondition(t *testing.T) {
	cluster := newTestCluster(t, 221, 3, rollout.Base, "soak_s = 3")
	checks := &conditionChecks{writes: map[string]int{}, failures: map[string]bool{}}
	cluster.InterceptTxns(checks.add)
	cluster.submitJobs(80 * time.Second)
	cluster.Advance(15 * time.Second)
	cluster.After(2*time.Second, func() { cluster.onLeader(time.Second, cluster.KillController) })
	cluster.Advance(10 * time.Second)
	if l, _ := cluster.Leader(); l >= 0 {
		cluster.Request(
			l,
			"POST",
			"/v2/admin",
			[]byte(`{"op":"drain","kind":"machine","name":"`+cluster.BusiestMachine()+`","by":"test"}`),
			func(int, []byte) {},
		)
	}
	rolled := false
	cluster.RollingRestart(rollout.Newest, time.Second, nil, func() { rolled = true })
	cluster.waitFor("all controllers restarted", time.Minute, func() bool { return rolled })
	cluster.waitFor("cluster at the newest level", 30*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
	cluster.rolloutCommand("hold")
	if err := cluster.BootMachines(6); err != nil {
		t.Fatal(err)
	}
	cluster.Advance(2 * time.Second)
	zone := cluster.largestZone()
	cluster.PartitionZone(zone, DropBoth)
	cluster.Advance(12 * time.Second)
	cluster.PartitionZone(zone, Connected)
	cluster.Advance(70 * time.Second) // the leader requests the prices once a minute
	cluster.InterceptTxns(nil)
	cluster.waitUntilDone()
	for failure := range checks.failures {
		t.Error(failure)
	}
	for _, prefix := range []string{
		jobs.PlanPagePrefix,
		jobs.PlanPrefix,
		"h/j/",
		archive.Prefix,
		"h/c/leader",
		"h/c/types",
		"h/c/n/",
		"h/r/level",
		"h/r/migration",
		"h/r/words",
		"h/z/",
		"h/o/",
	} {
		if checks.writes[prefix] == 0 {
			t.Errorf("got no write with prefix %s, want at least one; writes by prefix: %v", prefix, checks.writes)
		}
	}
}
