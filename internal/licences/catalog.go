package licences

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/harewalk/harewalk/internal/rollout"
)

// Prefix is the key prefix, in the state service, of counts set at run time. All controllers watch these keys.
const Prefix = "h/l/"

// Key returns the key of the count set at run time for a pool.
func Key(pool string) string { return Prefix + pool }

// newestOverrideFormat is the newest format of CountOverride that this release can decode.
const newestOverrideFormat = 1

// CountOverride is the stored record of a count that an operator set at run time.
type CountOverride struct {
	Format int            `json:"v,omitempty"`
	Count  int            `json:"count"`
	Lower  LoweringPolicy `json:"lower,omitempty"` // "": the pool's declared policy applies
	By     string         `json:"by,omitempty"`    // the operator who set the count
	AtMS   int64          `json:"at_ms,omitempty"` // wall-clock time, in ms since 1970
}

// errNegativeCount is the error for a stored count below 0.
var errNegativeCount = errors.New("negative count")

// decodeOverride decodes and checks a stored count. It returns a *rollout.NewerFormatError for a record in a newer
// format.
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
	versions  map[int32]uint64        // version of each existing key
	newest    map[int32]uint64        // newest version applied of each key, deletions included
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

// Pools returns all declared pools by dense index. The caller must not modify them.
func (c *Catalog) Pools() []*Pool { return c.pools }

// Index returns the dense index of a pool by its name, and whether the pool is declared.
func (c *Catalog) Index(name string) (int32, bool) {
	index, ok := c.byName[name]
	return index, ok
}

// Count returns a pool's current count, in units: the one set at run time, or the declared one.
func (c *Catalog) Count(index int32) int {
	if override, ok := c.overrides[index]; ok {
		return override.Count
	}
	return c.pools[index].Count
}

// Lowering returns a pool's policy for holders when the current count is below the units in use.
func (c *Catalog) Lowering(index int32) LoweringPolicy {
	if override, ok := c.overrides[index]; ok && override.Lower != "" {
		return override.Lower
	}
	return c.pools[index].OnCountLowered
}

// OverrideVersion returns the version of the key of a pool's count set at run time, and the operator who set it.
// Version 0 means that no count is set.
func (c *Catalog) OverrideVersion(index int32) (version uint64, by string) {
	return c.versions[index], c.overrides[index].By
}

// ApplyRecord applies a stored count at a version of its key. It ignores a version that isn't newer than the last one
// applied, and a pool that isn't declared on this controller. If the record is invalid, it returns an error and the
// pool's count is 0 until it is set again, as the number of units is unknown.
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

// ApplyDeletion applies the deletion of a stored count, so that the declared count applies again. It ignores a version
// that isn't newer than the last one applied.
func (c *Catalog) ApplyDeletion(key string, version uint64) {
	index, ok := c.byName[strings.TrimPrefix(key, Prefix)]
	if !ok || !strings.HasPrefix(key, Prefix) || version <= c.newest[index] {
		return
	}
	c.removeOverride(index)
	c.newest[index] = version
}

// Reset applies a complete listing of the keys: it removes the counts whose keys aren't present.
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

// UnknownPoolError is the error for a pool that isn't declared on this controller.
type UnknownPoolError struct{ Pool string }

// Error returns the message, which is sent to users.
func (e *UnknownPoolError) Error() string { return fmt.Sprintf("unknown licence pool %q", e.Pool) }

// UnitsByIndex converts the units that each task of a job needs, by pool name, to a list sorted by the pools' dense
// indices. It returns an *UnknownPoolError for a pool that isn't declared on this controller.
func (c *Catalog) UnitsByIndex(unitsByPool map[string]int) ([]Requirement, error) {
	if len(unitsByPool) == 0 {
		return nil, nil
	}
	needs := make([]Requirement, 0, len(unitsByPool))
	for name, units := range unitsByPool {
		index, ok := c.byName[name]
		if !ok {
			return nil, &UnknownPoolError{Pool: name}
		}
		needs = append(needs, Requirement{index, units})
	}
	sort.Slice(needs, func(a, b int) bool { return needs[a].Pool < needs[b].Pool })
	return needs, nil
}

// CanEverFit reports whether a number of a team's tasks could hold their units at once if there were no other holders.
// If not, why is the reason as text for the user.
func (c *Catalog) CanEverFit(unitsByPool map[string]int, team string, tasks int) (ok bool, why string) {
	needs, err := c.UnitsByIndex(unitsByPool)
	if err != nil {
		return false, err.Error()
	}
	for _, requirement := range needs {
		pool := c.pools[requirement.Pool]
		limit := c.Count(requirement.Pool) - pool.OutsideReserve
		if teamLimit := pool.Teams[team].Limit; teamLimit > 0 {
			limit = min(limit, teamLimit)
		}
		if needed := requirement.Units * tasks; needed > limit {
			return false, fmt.Sprintf("the job needs %d seats of %q at once, which never gives it more than %d",
				needed, pool.Name, max(0, limit))
		}
	}
	return true, ""
}
