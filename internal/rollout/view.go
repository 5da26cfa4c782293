package rollout

import (
	"fmt"
	"time"
)

// modeFree is the mode in View when there is no directive.
const modeFree Mode = "free"

// View is the state of a rollout as operators read it.
type View struct {
	Revision   uint64         `json:"revision"` // of the operators' directive
	Mode       Mode           `json:"mode"`
	By         string         `json:"by,omitempty"` // the operator who gave the directive
	State      string         `json:"stance"`
	ReportedBy string         `json:"told_by"` // the controller that answers
	Level      Level          `json:"level"`
	Next       Level          `json:"next_level"`
	SoakLeftS  float64        `json:"soak_left_s,omitempty"` // seconds
	Missing    []string       `json:"missing"`               // what prevents an upgrade of the level
	Migration  *MigrationView `json:"migration,omitempty"`
	Nodes      []NodeView     `json:"nodes"`
	// Restart is the controller that may be restarted next, "" if none may. Why is the reason.
	Restart    string             `json:"restart,omitempty"`
	Why        string             `json:"why"`
	Unreadable []UnreadableRecord `json:"unreadable"`
}

// MigrationView is the progress of a migration.
type MigrationView struct {
	Done    bool `json:"done"`
	Left    int  `json:"left"`    // records
	Leaders int  `json:"leaders"` // the number that have worked on it
}

// NodeView is one controller.
type NodeView struct {
	Node         string `json:"node"`
	Zone         string `json:"zone,omitempty"`
	Release      string `json:"release,omitempty"` // "": it has no announcement that counts
	Level        Level  `json:"knows_level"`       // the highest that it supports
	Alive        bool   `json:"alive"`             // it keeps a lease
	Healthy      bool   `json:"well"`
	Leads        bool   `json:"leads"`
	Incompatible bool   `json:"behind"` // the cluster's level is newer than its release: it must not act
	// NotNextReason is why it should not be restarted now; "" for the one that may be.
	NotNextReason string `json:"not_now,omitempty"`
}

// Cluster is what a View contains of other packages' state.
type Cluster struct {
	Leader  string          // "": there is none
	Left    int             // records left to migrate, as the leader counts them
	Drained map[string]bool // controllers with a drain request
}

// View returns the state of the rollout and the controller to restart next.
func (r *Rollout) View(now time.Duration, cluster Cluster) View {
	view := View{
		Revision:   r.stored.directiveVersion,
		Mode:       r.stored.directive.mode,
		By:         r.stored.directive.operator,
		State:      r.state.String(),
		ReportedBy: r.cfg.Node,
		Level:      r.Level(),
		Next:       r.observe().NextLevel(r.cfg.MaxLevel),
		Missing:    r.missing(now),
		Migration:  r.migrationView(cluster),
		Unreadable: r.unreadableRecords(),
	}
	if view.Mode == NoDirective {
		view.Mode = modeFree
		view.By = ""
	}
	if r.state == Soaking {
		left := r.cfg.Soak - r.soak.elapsed(now)
		view.SoakLeftS = max(0, left.Seconds())
	}
	for _, peer := range r.peers {
		view.Nodes = append(view.Nodes, r.nodeView(now, peer, cluster))
	}
	r.planRestart(&view, cluster)
	return view
}

// migrationView returns the progress of the migration, nil if there has been none.
func (r *Rollout) migrationView(cluster Cluster) *MigrationView {
	if !r.hasUpgraded() {
		return nil
	}
	view := &MigrationView{
		Done:    r.Migrated(),
		Left:    r.stored.migration.left,
		Leaders: r.stored.migration.leaders,
	}
	if !view.Done && cluster.Leader == r.cfg.Node {
		view.Left = cluster.Left
	}
	return view
}

func (r *Rollout) nodeView(now time.Duration, peer *peer, cluster Cluster) NodeView {
	view := NodeView{
		Node:    peer.Node,
		Zone:    peer.Zone,
		Alive:   peer.isUp(),
		Healthy: peer.isHealthy(now),
		Leads:   peer.Node == cluster.Leader,
	}
	if peer.Announced() > 0 {
		view.Release = peer.release
		view.Level = peer.AnnouncedLevel
		view.Incompatible = !IsCompatible(peer.AnnouncedLevel, r.stored.level)
	}
	return view
}

// missing returns what prevents an upgrade of the level, a sentence for each controller concerned.
func (r *Rollout) missing(now time.Duration) []string {
	reasons := []string{}
	if r.stored.level >= r.cfg.MaxLevel {
		return reasons
	}
	for _, peer := range r.peers {
		if reason := r.missingOf(now, peer); reason != "" {
			reasons = append(reasons, reason)
		}
	}
	return reasons
}

// missingOf returns why one controller prevents an upgrade of the level, "" if it doesn't.
func (r *Rollout) missingOf(now time.Duration, peer *peer) string {
	switch {
	case peer.unreadableCause != "":
		return fmt.Sprintf("%s: %s", peer.Node, peer.unreadableCause)
	case peer.AnnouncementVersion == 0 && !peer.isUp():
		return peer.Node + " was never seen with a release that says what it knows: start it"
	case peer.Announced() == 0:
		return peer.Node + " runs a release that doesn't say what it knows: it is older than " + firstAnnouncingRelease
	case peer.Announced() <= r.stored.level:
		return fmt.Sprintf("%s runs %s, which knows no level above %d",
			peer.Node, peer.release, peer.AnnouncedLevel)
	case peer.isHealthy(now):
		return ""
	case !peer.isUp():
		return peer.Node + " is down; it announced " + peer.release
	}
	return peer.Node + " is not well: it isn't heard, drains, or doesn't reach the state service"
}
