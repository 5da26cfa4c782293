package controller

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
	"github.com/harewalk/harewalk/internal/zones"
)

// zonesWriteInterval is the minimum time between two writes of the zones' state.
const zonesWriteInterval = time.Second

// storedZones is the zones' state as stored. This controller's next leader term starts with this state.
type storedZones struct {
	latest        store.Item
	writeInFlight bool
	lastWriteAt   time.Duration // time of the last attempt to write
}

// handleItem applies the zones' stored state. An older version than the last is ignored.
func (z *storedZones) handleItem(item store.Item) {
	if item.Version > z.latest.Version {
		z.latest = item
	}
}

// isZoneKey reports whether a key belongs to zones.
func isZoneKey(key string) bool { return strings.HasPrefix(key, zones.Prefix) }

// restoreZones initializes a term's zones from the state that an earlier leader has stored, if there is one.
func (c *Controller) restoreZones() {
	stored := c.storedZones.latest.Value
	if stored == nil {
		return
	}
	if err := c.term.capacity.Zones.Restore(stored, c.jobs.Names.Zones.Index, c.jobs.MonotonicAt); err != nil {
		c.rollout.MarkUnreadable(zones.Key, stored, err)
	}
}

// storeZones stores the zones' state for the next leader whenever it has changed, since this leader may be cut off at
// any time.
func (c *Controller) storeZones(now time.Duration) {
	table := c.term.capacity.Zones
	if !table.Dirty() || c.storedZones.writeInFlight || now-c.storedZones.lastWriteAt < zonesWriteInterval {
		return
	}
	c.storedZones.writeInFlight = true
	c.storedZones.lastWriteAt = now
	raw := table.Encode(c.jobs.Names.Zones.Name, c.jobs.WallMS)
	table.MarkClean()
	txn := store.Txn{
		If:   []store.Condition{{Key: zones.Key, Version: c.storedZones.latest.Version}},
		Then: []store.Op{{Put: zones.Key, Value: raw}},
	}
	c.commitInTerm(txn, store.NormalPriority, func(result store.Result) {
		c.storedZones.writeInFlight = false
		if result.Outcome == store.Committed {
			c.storedZones.latest = store.Item{Key: zones.Key, Value: raw, Version: result.Revision}
			return
		}
		slog.Debug("zones not stored", "outcome", result.Outcome.String())
		table.MarkDirty()
	})
}

// Values of ZoneView.AcceptsWork: the new work that a zone accepts.
const (
	acceptsAll    = "all"
	acceptsGangs  = "gangs"
	acceptsArrays = "arrays"
)

// handleZonesRequest handles a request for all zones, or for one zone with the estimated effect of its loss.
func (c *Controller) handleZonesRequest(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	views := c.zoneViews(now)
	if request.Name == "" {
		reply(api.Reply{Status: http.StatusOK, Body: views})
		return
	}
	position := slices.IndexFunc(views, func(view ZoneView) bool { return view.Zone == request.Name })
	if position < 0 {
		reply(api.Refuse(api.NotFound, fmt.Sprintf("no zone %q", request.Name)))
		return
	}
	view := views[position]
	c.addZoneLoss(&view)
	reply(api.Reply{Status: http.StatusOK, Body: view})
}

// addZoneLoss adds the estimated effect of the zone's loss at this time.
func (c *Controller) addZoneLoss(view *ZoneView) {
	view.LeaseS = c.settings.Params.Workers.LeaseS
	for _, machineType := range c.machineTypes.list {
		view.BootS = max(view.BootS, machineType.BootS)
	}
	names := c.jobs.Names
	for _, loss := range c.term.fleet.EstimateZoneLoss(names.Zones.Index(view.Zone)) {
		view.IfLost = append(view.IfLost, ZoneLossView{
			Class: names.Classes.Name(loss.Class),
			Team:  names.Teams.Name(loss.Team),
			Jobs:  loss.Jobs,
			Tasks: loss.Tasks,
			Fit:   loss.PlaceableTasks,
			Wait:  loss.Tasks - loss.PlaceableTasks,
		})
	}
}

// zoneViews returns the zones of the settings, sorted by name.
func (c *Controller) zoneViews(now time.Duration) []ZoneView {
	names := slices.Sorted(slices.Values(c.settings.Params.Zones))
	views := make([]ZoneView, len(names))
	viewByIndex := map[int32]*ZoneView{}
	for i, name := range names {
		index := c.jobs.Names.Zones.Index(name)
		views[i] = c.zoneView(now, name, index)
		viewByIndex[index] = &views[i]
	}
	overdueAfter := c.term.capacity.HeartbeatOverdueLimit()
	for _, machine := range c.term.fleet.Machines() {
		view := viewByIndex[machine.Zone]
		if view == nil || machine.Condition == fleet.Terminated || machine.Zone == jobs.None {
			continue
		}
		view.Machines++
		view.Tasks += len(machine.Tasks)
		if now-max(machine.LastContactAt, c.term.authoritySince) > overdueAfter {
			view.Overdue++
		}
		if machine.Quarantined {
			view.Quarantined++
			view.TasksOnQuarantined += len(machine.Tasks)
		}
	}
	return views
}

// zoneView returns a zone without the counts of its machines and tasks.
func (c *Controller) zoneView(now time.Duration, name string, index int32) ZoneView {
	table := c.term.capacity.Zones
	zone := table.Zone(index)
	view := ZoneView{
		Zone:        name,
		State:       zone.State.String(),
		ForS:        max(0, (now - zone.Since).Seconds()),
		Flaps:       zone.Flaps,
		Rents:       table.AllowsRenting(index),
		AcceptsWork: acceptsAll,
	}
	switch {
	case !table.AcceptsWork(now, index, zones.Gang):
		view.AcceptsWork = acceptsArrays
	case !table.AcceptsWork(now, index, zones.Service):
		view.AcceptsWork = acceptsGangs
	}
	return view
}
