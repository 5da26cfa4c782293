package controller

import (
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/store"
)

// machineTypes are the cloud's machine types and prices, as last fetched from the cloud or read from the store.
type machineTypes struct {
	list       []capacity.MachineType
	byIndex    map[int32]*fleet.MachineType
	raw        string // as stored
	fetchedAt  time.Duration
	requesting bool
	version    uint64 // of the stored key
}

// How often machine types are fetched: until they are known, afterwards by the leader, and after a failure.
const (
	firstTypesInterval = 5 * time.Second
	typesInterval      = time.Minute
	typesRetryBackoff  = 2 * time.Second
)

// setMachineTypes replaces the machine types.
func (c *Controller) setMachineTypes(raw string, types []capacity.MachineType) {
	c.machineTypes.raw = raw
	c.machineTypes.list = types
	for _, machineType := range types {
		c.machineTypes.byIndex[c.jobs.Names.Types.Index(machineType.Name)] = &fleet.MachineType{
			Size:    machineType.Size(),
			CacheGB: machineType.CacheGB,
			FetchGB: machineType.FetchGB,
			BootS:   machineType.BootS,
			Price:   machineType.Price,
			Spot:    machineType.Spot,
		}
	}
}

// handleStoredMachineTypes applies the machine types that a leader has stored.
func (c *Controller) handleStoredMachineTypes(item store.Item) {
	types, err := capacity.ParseTypes(item.Value)
	if err != nil {
		c.rollout.MarkUnreadable(item.Key, item.Value, err)
		return
	}
	if item.Version > c.machineTypes.version {
		c.machineTypes.version = item.Version
		c.setMachineTypes(string(item.Value), types)
	}
}

// refreshMachineTypes keeps the machine types and prices up to date: every controller fetches them until it has some,
// the leader also later.
func (c *Controller) refreshMachineTypes(now time.Duration) {
	interval := firstTypesInterval
	if len(c.machineTypes.list) > 0 {
		if !c.term.active() {
			return
		}
		interval = typesInterval
	}
	fetchedLately := c.machineTypes.fetchedAt > 0 && now-c.machineTypes.fetchedAt < interval
	if c.machineTypes.requesting || !c.watchCache.Synced() || fetchedLately {
		return
	}
	c.machineTypes.fetchedAt = now
	c.machineTypes.requesting = c.cloud.Types(func(raw []byte, types []capacity.MachineType) {
		c.machineTypes.requesting = false
		if types == nil {
			c.machineTypes.fetchedAt = c.loop.Now() - interval + typesRetryBackoff
			return
		}
		c.handleFetchedMachineTypes(raw, types)
	})
}

// handleFetchedMachineTypes applies the machine types that the cloud returned. The leader stores them, so that
// controllers that start while the cloud fails have them too.
func (c *Controller) handleFetchedMachineTypes(raw []byte, types []capacity.MachineType) {
	isChanged := string(raw) != c.machineTypes.raw
	c.setMachineTypes(string(raw), types)
	if !c.term.active() || (!isChanged && c.machineTypes.version > 0) {
		return
	}
	txn := store.Txn{
		If: []store.Condition{
			c.membership.LeaderCondition(),
			{Key: machineTypesKey, Version: c.machineTypes.version}, // older prices that land late change nothing
		},
		Then: []store.Op{{Put: machineTypesKey, Value: raw}},
	}
	c.store.Txn(txn, store.NormalPriority, func(store.Result) {})
}
