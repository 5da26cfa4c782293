package controller

import (
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/store"
)

// machineTypes are the cloud's machine types and prices, as last fetched from the cloud or read from the store.
type machineTypes struct {
	list            []capacity.MachineType
	byIndex         map[int32]*fleet.MachineType
	raw             string // list as fetched or as stored, in JSON
	fetchedAt       time.Duration
	requestInFlight bool
	version         uint64 // version of the stored key, 0 if there is none
}

// Times between fetches of the machine types: until the first success, afterwards on the leader, and after a failure.
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
			Size:          machineType.Size(),
			CacheGB:       machineType.CacheGB,
			FetchGB:       machineType.FetchGBPerS,
			BootS:         machineType.BootS,
			OnDemandPrice: machineType.OnDemandPrice,
			SpotPrice:     machineType.SpotPrice,
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

// refreshMachineTypes fetches the machine types and prices when they are due: every controller until its first
// success, and the leader from then on.
func (c *Controller) refreshMachineTypes(now time.Duration) {
	interval := firstTypesInterval
	if len(c.machineTypes.list) > 0 {
		if !c.term.active() {
			return
		}
		interval = typesInterval
	}
	isFetchRecent := c.machineTypes.fetchedAt > 0 && now-c.machineTypes.fetchedAt < interval
	if c.machineTypes.requestInFlight || !c.watchCache.Synced() || isFetchRecent {
		return
	}
	c.machineTypes.fetchedAt = now
	c.machineTypes.requestInFlight = c.cloud.Types(func(raw []byte, types []capacity.MachineType) {
		c.machineTypes.requestInFlight = false
		if types == nil {
			c.machineTypes.fetchedAt = c.loop.Now() - interval + typesRetryBackoff
			return
		}
		c.handleFetchedMachineTypes(raw, types)
	})
}

// handleFetchedMachineTypes applies the machine types that the cloud returned. The leader stores them for controllers
// that start during an outage of the cloud.
func (c *Controller) handleFetchedMachineTypes(raw []byte, types []capacity.MachineType) {
	isChanged := string(raw) != c.machineTypes.raw
	c.setMachineTypes(string(raw), types)
	if !c.term.active() || (!isChanged && c.machineTypes.version > 0) {
		return
	}
	txn := store.Txn{
		If: []store.Condition{
			c.membership.LeaderCondition(),
			{Key: machineTypesKey, Version: c.machineTypes.version}, // a late write of older prices must fail
		},
		Then: []store.Op{{Put: machineTypesKey, Value: raw}},
	}
	c.store.Txn(txn, store.NormalPriority, func(store.Result) {})
}
