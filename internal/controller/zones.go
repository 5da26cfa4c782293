package controller

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
	"github.com/harewalk/harewalk/internal/zones"
)

// storedZones is what was read of zones, for the next term that is ours.
type storedZones struct {
	latest      store.Item
	writing     bool
	attemptedAt time.Duration // of the last try
}

// restoreZones lets a term begin with what an earlier leader has found.
func (c *Controller) restoreZones() {
	if c.storedZones.latest.Value == nil {
		return
	}
	err := c.term.capacity.Zones.Restore(c.storedZones.latest.Value, c.jobs.Names.Zones.Index, c.jobs.SteadyAt)
	if err != nil {
		c.rollout.MarkUnreadable(zones.Key, c.storedZones.latest.Value, err)
	}
}

// storeZones stores what has changed of zones, for whoever leads next: it may be about to be us that is cut off.
func (c *Controller) storeZones(now time.Duration) {
	z := c.term.capacity.Zones
	if !z.Dirty() || c.storedZones.writing || now-c.storedZones.attemptedAt < time.Second {
		return
	}
	c.storedZones.writing, c.storedZones.attemptedAt = true, now
	raw := z.Encode(c.jobs.Names.Zones.Name, c.jobs.WallMS)
	z.MarkStored()
	c.commitInTerm(store.Txn{If: []store.Condition{{Key: zones.Key, Version: c.storedZones.latest.Version}}, Then: []store.Op{{Put: zones.Key, Value: raw}}}, store.NormalPriority, func(result store.Result) {
		c.storedZones.writing = false
		if result.Outcome == store.Committed {
			c.storedZones.latest = store.Item{Key: zones.Key, Value: raw, Version: result.Revision}
			return
		}
		slog.Debug("zones not stored", "outcome", result.Outcome.String())
		z.MarkDirty()
	})
}

// ZoneView is a zone as operators are shown it.
type ZoneView struct {
	Zone     string  `json:"zone"`
	State    string  `json:"stance"`
	ForS     float64 `json:"for_s"` // in this state, as far as it is known
	Flaps    int     `json:"flaps"`
	Machines int     `json:"machines"`
	Quiet    int     `json:"quiet"` // not heard for longer than a report and a bit
	Aside    int     `json:"aside"` // where nothing is planned until they are heard
	Tasks    int     `json:"tasks"` // that count as being on its machines
	Held     int     `json:"held"`  // of them, on machines that are set aside: until their leases end
	Rents    bool    `json:"rents"`
	Takes    string  `json:"takes"` // the most that it gets of new work: arrays, gangs or all
	// EstimateZoneLoss is what its loss would mean now; only where it was asked for.
	IfLost []LossView `json:"if_lost,omitempty"`
	BootS  float64    `json:"boot_s,omitempty"`  // of the machines that would be rented instead
	LeaseS float64    `json:"lease_s,omitempty"` // after which what was there may start elsewhere
}

// LossView is what one class of one team would lose.
type LossView struct {
	Class string `json:"breed"`
	Team  string `json:"warren"`
	Jobs  int    `json:"jobs"`
	Tasks int    `json:"tasks"`
	Fit   int    `json:"fit"`  // that would find room elsewhere at once
	Wait  int    `json:"wait"` // that would wait for machines
}

// zoneCall answers about zones: all, or one with what its loss would mean.
func (c *Controller) zoneCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	views := c.zoneViews(now)
	if request.Name == "" {
		reply(api.Reply{Status: 200, Body: views})
		return
	}
	i := slices.IndexFunc(views, func(v ZoneView) bool { return v.Zone == request.Name })
	if i < 0 {
		reply(api.Refuse(api.NotFound, fmt.Sprintf("no zone %q", request.Name)))
		return
	}
	v := views[i]
	v.LeaseS = c.settings.Params.Workers.LeaseS
	for _, machineType := range c.machineTypes.list {
		v.BootS = max(v.BootS, machineType.BootS)
	}
	d := c.jobs.Names
	for _, l := range c.term.fleet.EstimateZoneLoss(d.Zones.Index(v.Zone)) {
		v.IfLost = append(v.IfLost, LossView{d.Classes.Name(l.Class), d.Teams.Name(l.Team), l.Jobs, l.Tasks, l.Fit, l.Tasks - l.Fit})
	}
	reply(api.Reply{Status: 200, Body: v})
}

func (c *Controller) zoneViews(now time.Duration) []ZoneView {
	names := slices.Clone(c.settings.Params.Zones)
	slices.Sort(names)
	by := map[int32]*ZoneView{}
	out := make([]ZoneView, len(names))
	for i, n := range names {
		ix := c.jobs.Names.Zones.Index(n)
		z := c.term.capacity.Zones.Zone(ix)
		out[i] = ZoneView{Zone: n, State: z.State.String(), ForS: max(0, (now - z.Since).Seconds()), Flaps: z.Flaps, Rents: c.term.capacity.Zones.AllowsRenting(ix), Takes: "all"}
		switch {
		case !c.term.capacity.Zones.AcceptsWork(now, ix, zones.Together):
			out[i].Takes = "arrays"
		case !c.term.capacity.Zones.AcceptsWork(now, ix, zones.Lasting):
			out[i].Takes = "gangs"
		}
		by[ix] = &out[i]
	}
	quiet := c.term.capacity.QuietFor()
	for _, machine := range c.term.fleet.Machines() {
		v := by[machine.Zone]
		if v == nil || machine.Condition == fleet.Terminated || machine.Zone == jobs.None {
			continue
		}
		v.Machines++
		v.Tasks += len(machine.Tasks)
		if now-max(machine.LastHeardAt, c.term.authoritySince) > quiet {
			v.Quiet++
		}
		if machine.Quarantined {
			v.Aside++
			v.Held += len(machine.Tasks)
		}
	}
	return out
}

// isZoneKey tells whether a key belongs to zones.
func isZoneKey(key string) bool { return strings.HasPrefix(key, zones.Prefix) }
