// Package licences counts seats: units of something that only so many tasks may hold at a
// time, whoever else uses it. It owns the pools, what each task holds of them, what a licence
// server last told, and who may have the next seat. It never talks to a server or reads a clock:
// the controller asks the servers when Ledger.Due says so and hands the answers in.
//
// Names: a pool is what is licensed, a seat one unit of it, a holder one attempt of a task.
package licences

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/calendar"
)

// Unit is what a task holds of one pool while it is on a machine.
type Unit struct {
	Pool int32 // dense index
	N    int
}

// Lower is what happens to holders when the count falls below what is in use.
type Lower string

// The ways to lower a count.
const (
	Wait Lower = "wait" // nothing new starts until it fits again
	Stop Lower = "stop" // the least costly holders are stopped, with time to save
)

// Share is a team's part of a pool, in units. 0: no guarantee, no bound of its own.
type Share struct{ Guarantee, Most int }

// Reserve keeps units of a pool for others in a window of the week, on top of the pool's
// standing reserve.
type Reserve struct {
	Units  int
	During calendar.Window
}

// Pool is a pool as the operators declare it.
type Pool struct {
	Name  string
	Count int // units in all, unless a count was set at run time
	// Server is the licence server's address ("host:port"), "" if nobody can be asked.
	Server string
	Poll   time.Duration // between two questions to it
	// Linger is how long the seat of a crashed holder may still be taken after its task is
	// known to be gone.
	Linger   time.Duration
	Reserve  int // units kept for others at all times
	Windows  []Reserve
	Lowering Lower
	Teams    map[string]Share
}

// ReserveAt is what is kept for others at a moment: the standing reserve, or the largest of
// the windows it lies in if that is more.
func (p *Pool) ReserveAt(wall time.Time) int {
	n := p.Reserve
	for _, w := range p.Windows {
		if w.Units > n && w.During.Contains(wall) {
			n = w.Units
		}
	}
	return n
}

// Prefix is where counts that were set at run time stand. All controllers follow it.
const Prefix = "h/l/"

// Key is where a pool's count stands once it was set.
func Key(pool string) string { return Prefix + pool }

// Set is a count that an operator set at run time, as stored.
type Set struct {
	Format int    `json:"v,omitempty"`
	Count  int    `json:"count"`
	Lower  Lower  `json:"lower,omitempty"` // "": as the pool declares
	By     string `json:"by,omitempty"`
	AtMS   int64  `json:"at_ms,omitempty"`
}

// Catalog is what every controller knows of the pools: the declarations, and the counts that
// operators have set since.
type Catalog struct {
	pools  []*Pool
	byName map[string]int32
	set    map[int32]Set
	stamps map[int32]uint64 // version of the key, while it stands
	seen   map[int32]uint64 // newest change heard of, drops included
}

// NewCatalog makes a catalog; a pool's place in it is its dense index.
func NewCatalog(pools []*Pool) *Catalog {
	c := &Catalog{pools: pools, byName: map[string]int32{}, set: map[int32]Set{}, stamps: map[int32]uint64{}, seen: map[int32]uint64{}}
	for i, pool := range pools {
		c.byName[pool.Name] = int32(i)
	}
	return c
}

// Pools are all pools by dense index. The caller must not change them.
func (c *Catalog) Pools() []*Pool { return c.pools }

// Index finds a pool by name.
func (c *Catalog) Index(name string) (int32, bool) {
	i, ok := c.byName[name]
	return i, ok
}

// Count is a pool's present count, in units.
func (c *Catalog) Count(ix int32) int {
	if s, ok := c.set[ix]; ok {
		return s.Count
	}
	return c.pools[ix].Count
}

// Lowering is what happens when the present count is below what is in use.
func (c *Catalog) Lowering(ix int32) Lower {
	if s, ok := c.set[ix]; ok && s.Lower != "" {
		return s.Lower
	}
	return c.pools[ix].Lowering
}

// Stamp is the version of the key that holds a pool's count, 0 if none was set; By is who set
// it.
func (c *Catalog) Stamp(ix int32) (version uint64, by string) { return c.stamps[ix], c.set[ix].By }

// Item takes over a stored count. Older versions than one already seen are ignored.
func (c *Catalog) Item(key string, raw json.RawMessage, version uint64) error {
	ix, ok := c.byName[strings.TrimPrefix(key, Prefix)]
	if !ok || version <= c.seen[ix] {
		return nil // of a pool that is no longer declared here, or old
	}
	var s Set
	err := json.Unmarshal(raw, &s)
	if err == nil && s.Format > 1 {
		err = fmt.Errorf("format %d", s.Format)
	}
	if err != nil || s.Count < 0 {
		// Nobody knows how many there are: nothing more starts until somebody sets it anew.
		c.set[ix], c.stamps[ix], c.seen[ix] = Set{Lower: Wait, By: "a record that can't be read"}, version, version
		return fmt.Errorf("count of licence pool %q: %d, %w", c.pools[ix].Name, s.Count, err)
	}
	c.set[ix], c.stamps[ix], c.seen[ix] = s, version, version
	return nil
}

// Drop takes over the end of a stored count: what is declared counts again.
func (c *Catalog) Drop(key string, version uint64) {
	ix, ok := c.byName[strings.TrimPrefix(key, Prefix)]
	if !ok || !strings.HasPrefix(key, Prefix) || version <= c.seen[ix] {
		return
	}
	delete(c.set, ix)
	delete(c.stamps, ix)
	c.seen[ix] = version
}

// Reset takes a new reading of all keys: counts that it lacks were dropped.
func (c *Catalog) Reset(present func(key string) bool) {
	for ix := range c.stamps {
		if !present(Key(c.pools[ix].Name)) {
			delete(c.set, ix)
			delete(c.stamps, ix)
		}
	}
}

// Needs turns what a job says its tasks hold into units, in a fixed order. Its error names a
// pool that is not declared here.
func (c *Catalog) Needs(of map[string]int) ([]Unit, error) {
	if len(of) == 0 {
		return nil, nil
	}
	us := make([]Unit, 0, len(of))
	for name, n := range of {
		ix, ok := c.byName[name]
		if !ok {
			return nil, fmt.Errorf("unknown licence pool %q", name)
		}
		us = append(us, Unit{ix, n})
	}
	sort.Slice(us, func(a, b int) bool { return us[a].Pool < us[b].Pool })
	return us, nil
}

// Ever tells whether n tasks at once could have their seats if nobody else held any; why says
// what is in the way.
func (c *Catalog) Ever(of map[string]int, team string, n int) (ok bool, why string) {
	needs, err := c.Needs(of)
	if err != nil {
		return false, err.Error()
	}
	for _, unit := range needs {
		pool := c.pools[unit.Pool]
		most := c.Count(unit.Pool) - pool.Reserve
		if m := pool.Teams[team].Most; m > 0 {
			most = min(most, m)
		}
		if unit.N*n > most {
			return false, fmt.Sprintf("the job needs %d seats of %q at once, which never gives it more than %d", unit.N*n, pool.Name, max(0, most))
		}
	}
	return true, ""
}
