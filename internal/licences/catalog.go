package licences

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/harewalk/harewalk/internal/rollout"
)

// Prefix is the key prefix in the state service of counts set at run time. All controllers follow it.
const Prefix = "h/l/"

// Key returns the key of a pool's count that was set at run time.
func Key(pool string) string { return Prefix + pool }

// newestOverrideFormat is the newest format of CountOverride that this release reads.
const newestOverrideFormat = 1

// CountOverride is the stored record of a count that an operator set at run time.
type CountOverride struct {
	Format int            `json:"v,omitempty"`
	Count  int            `json:"count"`
	Lower  LoweringPolicy `json:"lower,omitempty"` // "": as the pool declares
	By     string         `json:"by,omitempty"`
	AtMS   int64          `json:"at_ms,omitempty"` // wall-clock time, in ms since 1970
}

// errNegativeCount is the error of a stored count below 0.
var errNegativeCount = errors.New("negative count")

// decodeOverride reads a stored count. It returns a *rollout.NewerFormatError for one in a newer format.
func decodeOverride(raw json.RawMessage) (CountOverride, error) {
	var override CountOverride
	if err := json.Unmarshal(raw, &override); err != nil {
		return CountOverride{}, err
	}
	if override.Format > newestOverrideFormat {
		return CountOverride{}, &rollout.NewerFormatError{Format: override.Format}
	}
	if override.Count < 0 {
		return CountOverride{}, errNegativeCount
	}
	return override, nil
}

// Catalog holds the declared pools and the counts that operators have set at run time. Every controller has one.
type Catalog struct {
	pools     []*Pool
	byName    map[string]int32
	overrides map[int32]CountOverride // counts set at run time
	versions  map[int32]uint64        // versions of the keys that exist
	newest    map[int32]uint64        // newest version applied, deletions included
}

// NewCatalog returns a catalog of the declared pools. A pool's position in pools is its dense index.
func NewCatalog(pools []*Pool) *Catalog {
	c := &Catalog{
		pools:     pools,
		byName:    map[string]int32{},
		overrides: map[int32]CountOverride{},
		versions:  map[int32]uint64{},
		newest:    map[int32]uint64{},
	}
	for i, pool := range pools {
		c.byName[pool.Name] = int32(i)
	}
	return c
}

// Pools returns all pools by dense index. The caller must not change them.
func (c *Catalog) Pools() []*Pool { return c.pools }

// Index returns the dense index of a pool by its name.
func (c *Catalog) Index(name string) (int32, bool) {
	index, ok := c.byName[name]
	return index, ok
}

// Count returns a pool's present count, in units.
func (c *Catalog) Count(index int32) int {
	if override, ok := c.overrides[index]; ok {
		return override.Count
	}
	return c.pools[index].Count
}

// Lowering returns the policy for holders when the present count is below the units in use.
func (c *Catalog) Lowering(index int32) LoweringPolicy {
	if override, ok := c.overrides[index]; ok && override.Lower != "" {
		return override.Lower
	}
	return c.pools[index].OnCountLowered
}

// OverrideVersion returns the version of the key that holds a pool's count and who set it; version 0 means that
// none is set.
func (c *Catalog) OverrideVersion(index int32) (version uint64, by string) {
	return c.versions[index], c.overrides[index].By
}

// ApplyRecord applies a stored count at a version of its key. A version that isn't newer than the last one applied is
// ignored, and so is a pool that isn't declared here. After an error the pool's count is 0 until it is set again,
// since the number of units is unknown.
func (c *Catalog) ApplyRecord(key string, raw json.RawMessage, version uint64) error {
	index, ok := c.byName[strings.TrimPrefix(key, Prefix)]
	if !ok || version <= c.newest[index] {
		return nil
	}
	override, err := decodeOverride(raw)
	if err != nil {
		override = CountOverride{Lower: WaitForRelease, By: "a record that can't be read"}
		err = fmt.Errorf("stored count of licence pool %q: %w", c.pools[index].Name, err)
	}
	c.overrides[index] = override
	c.versions[index] = version
	c.newest[index] = version
	return err
}

// ApplyDeletion applies the deletion of a stored count: the declared count applies again.
func (c *Catalog) ApplyDeletion(key string, version uint64) {
	index, ok := c.byName[strings.TrimPrefix(key, Prefix)]
	if !ok || !strings.HasPrefix(key, Prefix) || version <= c.newest[index] {
		return
	}
	c.removeOverride(index)
	c.newest[index] = version
}

// Reset applies a complete listing of the keys: counts that it lacks were deleted.
func (c *Catalog) Reset(present func(key string) bool) {
	for index := range c.versions {
		if !present(Key(c.pools[index].Name)) {
			c.removeOverride(index)
		}
	}
}

func (c *Catalog) removeOverride(index int32) {
	delete(c.overrides, index)
	delete(c.versions, index)
}

// UnknownPoolError is the error for a pool that isn't declared here.
type UnknownPoolError struct{ Pool string }

// Error returns the message, which users get.
func (e *UnknownPoolError) Error() string { return fmt.Sprintf("unknown licence pool %q", e.Pool) }

// UnitsByIndex returns the units of a job's tasks, given by pool name, in the order of the dense indices. It
// returns an *UnknownPoolError for a pool that isn't declared here.
func (c *Catalog) UnitsByIndex(unitsByPool map[string]int) ([]Unit, error) {
	if len(unitsByPool) == 0 {
		return nil, nil
	}
	needs := make([]Unit, 0, len(unitsByPool))
	for name, units := range unitsByPool {
		index, ok := c.byName[name]
		if !ok {
			return nil, &UnknownPoolError{Pool: name}
		}
		needs = append(needs, Unit{index, units})
	}
	sort.Slice(needs, func(a, b int) bool { return needs[a].Pool < needs[b].Pool })
	return needs, nil
}

// CanEverFit reports whether a number of a team's tasks could hold their units at once if there were no other
// holders. If not, why is the reason for the user.
func (c *Catalog) CanEverFit(unitsByPool map[string]int, team string, tasks int) (ok bool, why string) {
	needs, err := c.UnitsByIndex(unitsByPool)
	if err != nil {
		return false, err.Error()
	}
	for _, unit := range needs {
		pool := c.pools[unit.Pool]
		limit := c.Count(unit.Pool) - pool.OutsideReserve
		if teamLimit := pool.Teams[team].Limit; teamLimit > 0 {
			limit = min(limit, teamLimit)
		}
		if needed := unit.N * tasks; needed > limit {
			return false, fmt.Sprintf("the job needs %d seats of %q at once, which never gives it more than %d",
				needed, pool.Name, max(0, limit))
		}
	}
	return true, ""
}
