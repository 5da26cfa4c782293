package rollout

import (
	"slices"
	"time"

	"golang.org/x/mod/semver"
)

const (
	// healthTTL is how long a controller's last health report counts.
	healthTTL = 3 * time.Second
	// restartWindow is how long after a controller's start a rollout is taken to be under way.
	restartWindow = 2 * time.Minute
)

// peer is a controller that the settings name, by the keys that this one has read and the health reports that it got.
type peer struct {
	NodeConfig
	PeerRecord
	release         string // by its announcement
	startedAtMS     int64  // start of its process by its announcement, in wall-clock milliseconds
	unreadableCause string // why its announcement can't be read, or ""
	healthy         bool   // by its last health report
	healthAt        time.Duration
}

// isHealthy reports whether the controller is up, reports itself healthy, and is the process that made the
// announcement.
func (p *peer) isHealthy(now time.Duration) bool {
	if !p.healthy || now-p.healthAt > healthTTL {
		return false
	}
	return p.isUp() && p.Lease == p.AnnouncedLease
}

// isUp reports whether the controller has a member key.
func (p *peer) isUp() bool { return p.MemberVersion != 0 }

// markDown records that the controller has no member key any more.
func (p *peer) markDown() {
	p.Lease = 0
	p.MemberVersion = 0
}

// peer returns a controller by its name, or nil.
func (r *Rollout) peer(node string) *peer {
	i := slices.IndexFunc(r.peers, func(p *peer) bool { return p.Node == node })
	if i < 0 {
		return nil
	}
	return r.peers[i]
}

// nodeNames returns the names of all controllers, in the order of Observation.Peers.
func (r *Rollout) nodeNames() []string {
	names := make([]string, 0, len(r.peers))
	for _, peer := range r.peers {
		names = append(names, peer.Node)
	}
	return names
}

// HandleHealth records a controller's report that it is healthy, or isn't. No safety property depends on it.
func (r *Rollout) HandleHealth(now time.Duration, node string, healthy bool) {
	peer := r.peer(node)
	if peer == nil {
		return
	}
	peer.healthAt = now
	peer.healthy = healthy
}

// PreferredLeaders returns the number of controllers that should lead rather than this one: up, not drained, and of
// a newer release; or, while controllers are being restarted, of the same release but restarted already, as this
// one may be next. wallMS is the wall clock, in milliseconds.
func (r *Rollout) PreferredLeaders(wallMS int64, drained func(node string) bool) int {
	self := leaderCandidate{level: r.cfg.MaxLevel, release: r.cfg.Release, startedAtMS: r.cfg.StartedAtMS}
	count := 0
	for _, peer := range r.peers {
		if peer.Node == r.cfg.Node || !peer.isUp() || peer.Announced() == 0 {
			continue
		}
		if drained(peer.Node) || !IsCompatible(peer.AnnouncedLevel, r.stored.level) {
			continue
		}
		other := leaderCandidate{level: peer.AnnouncedLevel, release: peer.release, startedAtMS: peer.startedAtMS}
		if other.isPreferredTo(self, wallMS) {
			count++
		}
	}
	return count
}

// leaderCandidate is what the choice of a leader depends on.
type leaderCandidate struct {
	level       Level // the highest that it supports
	release     string
	startedAtMS int64 // start of its process, in wall-clock milliseconds
}

// isPreferredTo reports whether a controller should lead rather than another.
func (c leaderCandidate) isPreferredTo(other leaderCandidate, wallMS int64) bool {
	switch {
	case c.level != other.level:
		return c.level > other.level
	case olderRelease(other.release, c.release):
		return true
	case olderRelease(c.release, other.release):
		return false
	}
	return c.startedRecently(wallMS) && !other.startedRecently(wallMS)
}

// startedRecently reports whether the process started within the restart window.
func (c leaderCandidate) startedRecently(wallMS int64) bool {
	return wallMS-c.startedAtMS < restartWindow.Milliseconds()
}

// olderRelease reports whether release a comes before b. An empty release comes before all others.
func olderRelease(a, b string) bool { return semver.Compare(a, b) < 0 }
