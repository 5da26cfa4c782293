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

// condition is what a write of a key with a prefix must depend on.
type condition struct {
	prefix string
	own    bool     // its own version
	others []string // prefixes of other keys
}

// conditions are what a write of a key must depend on, by the key's prefix, longest first: its own version, and
// others. The table in docs/design.md says why each is enough.
var conditions = []condition{
	{prefix: "p/images", others: []string{"h/c/leader"}},
	{prefix: jobs.PlanPagePrefix, own: true, others: []string{"h/c/leader"}},
	{prefix: jobs.PlanPrefix, own: true, others: []string{"h/c/leader"}},
	{prefix: "h/j/", own: true},
	{prefix: archive.Prefix, own: true, others: []string{"h/c/leader", "h/j/"}},
	{prefix: "h/c/leader", own: true, others: []string{"h/c/term"}},
	{prefix: "h/c/term", others: []string{"h/c/leader"}},
	{prefix: "h/c/map", others: []string{"h/c/leader", "h/c/term"}},
	{prefix: "h/c/types", own: true, others: []string{"h/c/leader"}},
	{prefix: "h/c/n/", own: true},
	{prefix: "h/r/n/", others: []string{"h/c/n/"}},
	{prefix: "h/r/level", own: true, others: []string{"h/c/leader"}},
	{prefix: "h/r/migration", others: []string{"h/c/leader", "h/r/level"}},
	{prefix: "h/r/words", own: true, others: []string{"h/c/leader"}},
	{prefix: "h/z/", own: true, others: []string{"h/c/leader"}},
	{prefix: "h/o/", own: true, others: []string{"h/c/leader"}},
	{prefix: "h/l/", own: true, others: []string{"h/c/leader"}},
}

// conditionChecks compares transactions with the table of conditions.
type conditionChecks struct {
	seen  map[string]int  // writes, by the prefix of their row
	wrong map[string]bool // what is missing somewhere
}

// add checks a transaction, and leaves it as it is.
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
		c.wrong[key+" has no row"] = true
		return
	}
	row := conditions[i]
	c.seen[row.prefix]++
	// An old plan's key that is dropped is never written again.
	dropped := op.Delete != "" && row.prefix == jobs.PlanPrefix
	if row.own && !dropped && !dependsOn(txn, func(other string) bool { return other == key }) {
		c.wrong[row.prefix+" doesn't depend on its own version"] = true
	}
	// A job's record is made only where the job isn't archived: a first submission may land long after its end.
	made := row.prefix == jobs.Prefix && slices.Contains(txn.If, store.Condition{Key: op.Put})
	if made && !slices.Contains(txn.If, archive.Absent(strings.TrimPrefix(op.Put, jobs.Prefix))) {
		c.wrong[row.prefix+" is made without a look at the archive"] = true
	}
	for _, prefix := range row.others {
		if !dependsOn(txn, func(other string) bool { return strings.HasPrefix(other, prefix) }) {
			c.wrong[row.prefix+" doesn't depend on "+prefix] = true
		}
	}
}

// dependsOn returns whether a transaction has a condition on a key that matches.
func dependsOn(txn store.Txn, matches func(key string) bool) bool {
	return slices.ContainsFunc(txn.If, func(c store.Condition) bool { return matches(c.Key) })
}

// TestEveryWriteHasItsCondition checks that every transaction that controllers send, while jobs are submitted, end
// and are cancelled, through failovers, a rollout, a lost zone and operators' commands, has the conditions that the
// table requires; a write without a row in it fails.
func TestEveryWriteHasItsCondition(t *testing.T) {
	cluster := newTestCluster(t, 221, 3, rollout.Base, "soak_s = 3")
	checks := &conditionChecks{seen: map[string]int{}, wrong: map[string]bool{}}
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
	cluster.waitFor("rolled", time.Minute, func() bool { return rolled })
	cluster.waitFor("upgraded", 30*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
	cluster.rolloutCommand("hold")
	cluster.PartitionZone("a", DropBoth)
	cluster.Advance(12 * time.Second)
	cluster.PartitionZone("a", Connected)
	cluster.Advance(70 * time.Second) // prices are asked for once a minute
	cluster.InterceptTxns(nil)
	cluster.waitUntilDone()
	for wrong := range checks.wrong {
		t.Error(wrong)
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
		if checks.seen[prefix] == 0 {
			t.Errorf("no write of %s was seen: %v", prefix, checks.seen)
		}
	}
}
