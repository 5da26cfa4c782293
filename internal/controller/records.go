package controller

import (
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/store"
)

// handleItem takes over a followed key.
func (c *Controller) handleItem(now time.Duration, item store.Item) {
	switch {
	case strings.HasPrefix(item.Key, jobs.Prefix):
		c.applyJobRecord(now, item)
	case strings.HasPrefix(item.Key, licences.Prefix):
		c.handleLicenceCount(item)
	case item.Key == drain.DocumentKey:
		c.applyDrainDocument(item.Value, item.Version)
	case strings.HasPrefix(item.Key, drain.MachinePrefix):
		c.handleDrainRequest(item)
	case isZoneKey(item.Key):
		if item.Version > c.storedZones.latest.Version {
			c.storedZones.latest = item
		}
	case item.Key == machineTypesKey:
		types, err := capacity.ParseTypes(item.Value)
		if err != nil {
			c.rollout.MarkUnreadable(item.Key, item.Value, err)
		} else if item.Version > c.machineTypes.version {
			c.machineTypes.version = item.Version
			c.setMachineTypes(string(item.Value), types)
		}
	default:
		c.rollout.HandleItem(item)
		if err := c.membership.HandleItem(now, item); err != nil {
			c.rollout.MarkUnreadable(item.Key, item.Value, err)
		}
	}
}

// handleJobRead takes over a job's record that was read or written beside the followed keys. If they have passed its version
// and the table lacks the job, it was archived since: an answer that came late must not let it live again.
func (c *Controller) handleJobRead(now time.Duration, item store.Item) {
	if c.jobs.Get(strings.TrimPrefix(item.Key, jobs.Prefix)) == nil && item.Version <= c.watchCache.Revision() {
		return
	}
	c.applyJobRecord(now, item)
}

// applyJobRecord takes over a job's record.
func (c *Controller) applyJobRecord(now time.Duration, item store.Item) {
	job, changed, err := c.jobs.Apply(strings.TrimPrefix(item.Key, jobs.Prefix), item.Value, item.Version)
	if err != nil {
		c.rollout.MarkUnreadable(item.Key, item.Value, err)
		return
	}
	if changed && job.State.Terminal() {
		job.EndedAt = now
	}
	if changed && c.term.fleet != nil {
		c.term.fleet.HandleJobChange(now, job)
	}
}
