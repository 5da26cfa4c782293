package rollout

import (
	"slices"
	"time"

	"golang.org/x/mod/semver"
)

const (
	// healthTTL is how long a controller's last health report is valid.
	healthTTL = 3 * time.Second
	// restartWindow is the time after its start during which a controller is preferred as leader to one that may be
	// restarted next.
	restartWindow = 2 * time.Minute
)

// peer is the state of one controller in the settings, by the keys and health reports received here.
type peer struct {
	NodeConfig
	PeerRecord
	release         string        // release in the announcement
	startedAtMS     int64         // start of the process in the announcement, in wall-clock milliseconds
	unreadableCause string        // why the announcement can't be read; "" if it can
	healthy         bool          // value of the last health report
	healthAt        time.Duration // time of the last health report
}

// isHealthy reports whether the controller is up, has reported itself healthy within healthTTL, and runs the process
// that made its announcement.
func (p *peer) isHealthy(now time.Duration) bool {
	if !p.healthy || now-p.healthAt > healthTTL {
		return false
	}
	return p.isUp() && p.Lease == p.AnnouncedLease
}

// isUp reports whether the controller has a member key.
func (p *peer) isUp() bool { return p.MemberVersion != 0 }

// markDown records that the controller no longer has a member key.
func (p *peer) markDown() {
	p.Lease = 0
	p.MemberVersion = 0
}

// peer returns a controller by name, or nil if the settings don't contain it.
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

// HandleHealth records a controller's health report. No safety property depends on health reports.
func (r *Rollout) HandleHealth(now time.Duration, node string, healthy bool) {
	peer := r.peer(node)
	if peer == nil {
		return
	}
	peer.healthAt = now
	peer.healthy = healthy
}

// PreferredLeaders returns the number of controllers that should lead instead of this one: those that are up, not
// drained and of a newer release. While controllers are being restarted, a controller of the same release that has
// already been restarted is preferred too, because this one may be restarted next. wallMS is the wall-clock time in
// milliseconds.
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

// leaderCandidate contains the properties of a controller that decide whether it should lead.
type leaderCandidate struct {
	level       Level // highest level that the controller supports
	release     string
	startedAtMS int64 // start of the process, in wall-clock milliseconds
}

// isPreferredTo reports whether controller c should lead instead of the other.
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

// olderRelease reports whether release a is older than b. An empty release is older than all others.
func olderRelease(a, b string) bool { return semver.Compare(a, b) < 0 }
