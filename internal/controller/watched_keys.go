package controller

import (
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/store"
)

// This file dispatches changes of the state service's watched keys to the components that own them.

// handleItem applies a write of a watched key.
func (c *Controller) handleItem(now time.Duration, item store.Item) {
	switch {
	case strings.HasPrefix(item.Key, jobs.RecordPrefix):
		c.applyJobRecord(now, item)
	case strings.HasPrefix(item.Key, licences.Prefix):
		c.handleLicenceCount(item)
	case item.Key == drain.DocumentKey:
		c.applyDrainDocument(item.Value, item.Version)
	case strings.HasPrefix(item.Key, drain.MachinePrefix):
		c.handleDrainRequest(item)
	case isZoneKey(item.Key):
		c.storedZones.handleItem(item)
	case item.Key == machineTypesKey:
		c.handleStoredMachineTypes(item)
	default:
		c.rollout.HandleItem(item)
		if err := c.membership.HandleItem(now, item); err != nil {
			c.rollout.MarkUnreadable(item.Key, item.Value, err)
		}
	}
}

// handleDelete applies the deletion of a watched key.
func (c *Controller) handleDelete(key string, version uint64) {
	if strings.HasPrefix(key, jobs.RecordPrefix) {
		c.handleJobDeleted(key, version)
	}
	c.rollout.HandleDelete(key, version)
	c.membership.HandleDelete(c.loop.Now(), key, version)
	c.licencePools.ApplyDeletion(key, version)
	if key == drain.DocumentKey {
		c.applyDrainDocument(nil, version)
	}
	c.drains.machines.HandleDelete(key, version)
}

// handleSynced notifies the components that all watched keys have been read.
func (c *Controller) handleSynced() {
	c.rollout.HandleSynced()
	c.membership.HandleSynced(c.loop.Now())
}

// resetKeys replaces the state of the watched keys by a complete new listing. A key that is missing from items was
// deleted.
func (c *Controller) resetKeys(items []store.Item) {
	c.rollout.HandleReset(items)
	c.membership.HandleReset(c.loop.Now(), items)
	keys := make(map[string]bool, len(items))
	for _, item := range items {
		keys[item.Key] = true
	}
	isPresent := func(key string) bool { return keys[key] }
	c.licencePools.Reset(isPresent)
	c.drains.machines.HandleReset(c.watchCache.Revision(), isPresent)
	c.jobs.ArchiveMissing(c.watchCache.Revision(), func(id string) bool { return keys[jobs.RecordKey(id)] })
	c.dependencies.graph.RemoveMissing()
}

// handleJobRead applies a job's record that was read or written outside the watched keys. If the job isn't in the
// table although the watched keys have reached the record's version, it was archived since: a late response must not
// restore it.
func (c *Controller) handleJobRead(now time.Duration, item store.Item) {
	isKnown := c.jobs.Get(jobs.IDOfKey(item.Key)) != nil
	if !isKnown && item.Version <= c.watchCache.Revision() {
		return
	}
	c.applyJobRecord(now, item)
}

// applyJobRecord applies a job's record to the job table, to the dependency graph and, on the leader, to the fleet.
func (c *Controller) applyJobRecord(now time.Duration, item store.Item) {
	job, changed, err := c.jobs.Apply(jobs.IDOfKey(item.Key), item.Value, item.Version)
	if err != nil {
		c.rollout.MarkUnreadable(item.Key, item.Value, err)
		return
	}
	if changed && job.State.Terminal() {
		job.EndedAt = now
	}
	if changed {
		c.dependencies.graph.HandleJobChange(now, job)
	}
	if changed && c.term.active() {
		c.term.fleet.HandleJobChange(now, job)
	}
}

// handleJobDeleted applies the deletion of a job's record from the watched keys.
func (c *Controller) handleJobDeleted(key string, version uint64) {
	id := jobs.IDOfKey(key)
	c.jobs.Archive(id, version)
	if job := c.jobs.Get(id); job == nil || job.Archived {
		c.dependencies.graph.HandleRemoved(id)
	}
	if c.term.archiver != nil {
		c.term.archiver.ForgetBackoff(id)
	}
}
