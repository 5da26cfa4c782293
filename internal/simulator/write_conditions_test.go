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

type condition struct {
	prefix string
	own    bool
	others []string
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

// TestEveryWriteHasItsCondition checks that every transaction that controllers send, while jobs are submitted, end
// and are cancelled, through failovers, a rollout, a lost zone and operators' commands, has the conditions that the
// table requires; a write without a row in it fails.
func TestEveryWriteHasItsCondition(t *testing.T) {
	cluster := newTestCluster(t, 221, 3, rollout.Base, "soak_s = 3")
	seen, wrong := map[string]int{}, map[string]bool{}
	cluster.InterceptTxns(func(_ int, tx store.Txn) TxnOutcome {
		has := func(prefix string) bool {
			return slices.ContainsFunc(
				tx.If,
				func(c store.Condition) bool { return strings.HasPrefix(c.Key, prefix) },
			)
		}
		for _, o := range tx.Then {
			key := o.Put + o.Delete
			i := slices.IndexFunc(conditions, func(c condition) bool { return strings.HasPrefix(key, c.prefix) })
			if i < 0 {
				wrong[key+" has no row"] = true
				continue
			}
			c := conditions[i]
			seen[c.prefix]++
			// An old plan's key that is dropped is never written again.
			gone := o.Delete != "" && c.prefix == jobs.PlanPrefix
			if c.own && !gone && !slices.ContainsFunc(tx.If, func(x store.Condition) bool { return x.Key == key }) {
				wrong[c.prefix+" doesn't depend on its own version"] = true
			}
			// A job's record is made only where the job isn't archived: a first submission may land long after its
			// end.
			if made := slices.Contains(tx.If, store.Condition{Key: o.Put}); made && c.prefix == jobs.Prefix &&
				!slices.Contains(tx.If, archive.Absent(strings.TrimPrefix(o.Put, jobs.Prefix))) {
				wrong[c.prefix+" is made without a look at the archive"] = true
			}
			for _, other := range c.others {
				if !has(other) {
					wrong[c.prefix+" doesn't depend on "+other] = true
				}
			}
		}
		return TxnOutcome{}
	})
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
	for w := range wrong {
		t.Error(w)
	}
	for _, p := range []string{
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
		if seen[p] == 0 {
			t.Errorf("no write of %s was seen: %v", p, seen)
		}
	}
}
