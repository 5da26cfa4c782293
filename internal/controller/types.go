package controller

import (
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/intake"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

func (c *Controller) setTypes(raw string, types []capacity.MachineType) {
	c.typesRaw, c.types = raw, types
	for _, t := range types {
		c.byType[c.jobs.Names.Types.Index(t.Name)] = &fleet.MachineType{
			Size: t.Size(), CacheGB: t.CacheGB, FetchGB: t.FetchGB,
			BootS: t.BootS, Price: t.Price, Spot: t.Spot,
		}
	}
}

// admit tells whether a job can ever run.
func (c *Controller) admit(s *jobs.Spec) intake.AdmissionResult {
	no := func(why string) intake.AdmissionResult { return intake.AdmissionResult{Known: true, Why: why} }
	team := c.jobs.Names.Teams.Index(s.Team)
	if c.quota.Team(team) == nil {
		return no("unknown team")
	}
	if len(c.types) == 0 {
		return intake.AdmissionResult{Why: "the machine types are not known yet"}
	}
	n := 1
	if s.Kind != jobs.Array {
		n = s.Tasks
	}
	if !c.quota.Ever(team, s.Size(), n) {
		return no("the job needs more than the team's limit")
	}
	if !slices.ContainsFunc(c.types, func(t capacity.MachineType) bool { return fitsType(s, t) }) {
		// Types are learnt, by each controller in its time: one that knew a new type had accepted a job that another,
		// behind it, refused for good.
		v := no("a task fits no allowed machine type")
		v.Open = true
		return v
	}
	return c.fitsPools(s.Licences, s.Team, n)
}

func fitsType(s *jobs.Spec, t capacity.MachineType) bool {
	allowed := s.Types == nil
	for _, n := range s.Types {
		allowed = allowed || n == t.Name
	}
	zone := s.Zone == nil
	for _, z := range t.Zones {
		zone = zone || z == *s.Zone
	}
	return allowed && zone && s.Size().Fits(t.Size())
}

// learnTypes keeps the machine types and prices up to date; the leader stores them, so
// that controllers that start during trouble of the cloud know them too.
func (c *Controller) learnTypes(now time.Duration) {
	every := 5 * time.Second
	if len(c.types) > 0 {
		if c.fleet == nil {
			return
		}
		every = time.Minute
	}
	if c.askTypes || !c.watchCache.Synced() || (c.typesAt > 0 && now-c.typesAt < every) {
		return
	}
	c.typesAt = now
	c.askTypes = c.cloud.Types(func(raw []byte, types []capacity.MachineType) {
		c.askTypes = false
		if types == nil {
			c.typesAt = c.loop.Now() - every + 2*time.Second
			return
		}
		same := string(raw) == c.typesRaw
		c.setTypes(string(raw), types)
		if c.fleet != nil && (!same || c.typesVer == 0) {
			t := store.Txn{If: []store.Condition{c.membership.LeaderCondition()}, Then: []store.Op{{Put: typesKey, Value: raw}}}
			t.If = append(t.If, store.Condition{Key: typesKey, Version: c.typesVer}) // older prices that land late change nothing
			c.store.Txn(t, store.NormalPriority, func(store.Result) {})
		}
	})
}
