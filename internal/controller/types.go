package controller

import (
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

func (c *Controller) setMachineTypes(raw string, types []capacity.MachineType) {
	c.machineTypes.raw, c.machineTypes.list = raw, types
	for _, machineType := range types {
		c.machineTypes.byIndex[c.jobs.Names.Types.Index(machineType.Name)] = &fleet.MachineType{
			Size: machineType.Size(), CacheGB: machineType.CacheGB, FetchGB: machineType.FetchGB,
			BootS: machineType.BootS, Price: machineType.Price, Spot: machineType.Spot,
		}
	}
}

// admit tells whether a job can ever run.
func (c *Controller) admit(spec *jobs.Spec) api.AdmissionResult {
	no := func(why string) api.AdmissionResult { return api.AdmissionResult{Known: true, Why: why} }
	team := c.jobs.Names.Teams.Index(spec.Team)
	if c.quota.Team(team) == nil {
		return no("unknown team")
	}
	if len(c.machineTypes.list) == 0 {
		return api.AdmissionResult{Why: "the machine types are not known yet"}
	}
	n := 1
	if spec.Kind != jobs.Array {
		n = spec.Tasks
	}
	if !c.quota.Ever(team, spec.Size(), n) {
		return no("the job needs more than the team's limit")
	}
	if !slices.ContainsFunc(c.machineTypes.list, func(machineType capacity.MachineType) bool { return fitsType(spec, machineType) }) {
		// Types are learnt, by each controller in its time: one that knew a new type had accepted a job that another,
		// behind it, refused for good.
		v := no("a task fits no allowed machine type")
		v.Open = true
		return v
	}
	return c.admitLicences(spec.Licences, spec.Team, n)
}

func fitsType(spec *jobs.Spec, machineType capacity.MachineType) bool {
	allowed := spec.Types == nil
	for _, n := range spec.Types {
		allowed = allowed || n == machineType.Name
	}
	zone := spec.Zone == nil
	for _, z := range machineType.Zones {
		zone = zone || z == *spec.Zone
	}
	return allowed && zone && spec.Size().Fits(machineType.Size())
}

// refreshMachineTypes keeps the machine types and prices up to date; the leader stores them, so
// that controllers that start during trouble of the cloud know them too.
func (c *Controller) refreshMachineTypes(now time.Duration) {
	every := 5 * time.Second
	if len(c.machineTypes.list) > 0 {
		if c.term.fleet == nil {
			return
		}
		every = time.Minute
	}
	if c.machineTypes.requesting || !c.watchCache.Synced() || (c.machineTypes.fetchedAt > 0 && now-c.machineTypes.fetchedAt < every) {
		return
	}
	c.machineTypes.fetchedAt = now
	c.machineTypes.requesting = c.cloud.Types(func(raw []byte, types []capacity.MachineType) {
		c.machineTypes.requesting = false
		if types == nil {
			c.machineTypes.fetchedAt = c.loop.Now() - every + 2*time.Second
			return
		}
		same := string(raw) == c.machineTypes.raw
		c.setMachineTypes(string(raw), types)
		if c.term.fleet != nil && (!same || c.machineTypes.version == 0) {
			txn := store.Txn{If: []store.Condition{c.membership.LeaderCondition()}, Then: []store.Op{{Put: machineTypesKey, Value: raw}}}
			txn.If = append(txn.If, store.Condition{Key: machineTypesKey, Version: c.machineTypes.version}) // older prices that land late change nothing
			c.store.Txn(txn, store.NormalPriority, func(store.Result) {})
		}
	})
}
