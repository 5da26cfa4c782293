package controller

import (
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/operate"
	"github.com/harewalk/harewalk/internal/store"
)

// item takes over a followed key.
func (c *Controller) item(now time.Duration, it store.Item) {
	switch {
	case strings.HasPrefix(it.Key, jobs.Prefix):
		c.record(now, it)
	case strings.HasPrefix(it.Key, licences.Prefix):
		c.counted(it)
	case it.Key == operate.Key:
		c.applyDrainDocument(it.Value, it.Version)
	case strings.HasPrefix(it.Key, operate.DrainPrefix):
		c.handleDrainRequest(it)
	case isZoneKey(it.Key):
		if it.Version > c.storedZones.item.Version {
			c.storedZones.item = it
		}
	case it.Key == typesKey:
		types, err := capacity.ParseTypes(it.Value)
		if err != nil {
			c.rollout.MarkUnreadable(it.Key, it.Value, err)
		} else if it.Version > c.typesVer {
			c.typesVer = it.Version
			c.setTypes(string(it.Value), types)
		}
	default:
		c.rollout.HandleItem(it)
		if err := c.membership.HandleItem(now, it); err != nil {
			c.rollout.MarkUnreadable(it.Key, it.Value, err)
		}
	}
}

// learned takes over a job's record that was read or written beside the followed keys. If they have passed its version
// and the table lacks the job, it was archived since: an answer that came late must not let it live again.
func (c *Controller) learned(now time.Duration, it store.Item) {
	if c.jobs.Get(strings.TrimPrefix(it.Key, jobs.Prefix)) == nil && it.Version <= c.watchCache.Revision() {
		return
	}
	c.record(now, it)
}

// record takes over a job's record.
func (c *Controller) record(now time.Duration, it store.Item) {
	j, changed, err := c.jobs.Apply(strings.TrimPrefix(it.Key, jobs.Prefix), it.Value, it.Version)
	if err != nil {
		c.rollout.MarkUnreadable(it.Key, it.Value, err)
		return
	}
	if changed && j.State.Terminal() {
		j.EndedAt = now
	}
	if changed && c.fleet != nil {
		c.fleet.HandleJobChange(now, j)
	}
}
