package rollout

import (
	"fmt"
	"time"
)

// modeFree is View.Mode if there is no directive.
const modeFree Mode = "free"

// View is the state of a rollout in answers to operators.
type View struct {
	Revision   uint64         `json:"revision"` // version of the directive key; 0: there is no key
	Mode       Mode           `json:"mode"`
	By         string         `json:"by,omitempty"` // the operator who gave the directive
	State      string         `json:"stance"`
	ReportedBy string         `json:"told_by"` // the controller that sends the answer
	Level      Level          `json:"level"`
	Next       Level          `json:"next_level"`
	SoakLeftS  float64        `json:"soak_left_s,omitempty"` // remaining soak time in seconds
	Missing    []string       `json:"missing"`               // reason of each controller that prevents an upgrade
	Migration  *MigrationView `json:"migration,omitempty"`
	Nodes      []NodeView     `json:"nodes"`
	// Restart is the controller that may be restarted next; "" if none may. Why is the reason in both cases.
	Restart    string             `json:"restart,omitempty"`
	Why        string             `json:"why"`
	Unreadable []UnreadableRecord `json:"unreadable"`
}

// MigrationView is the progress of a migration.
type MigrationView struct {
	Done    bool `json:"done"`
	Left    int  `json:"left"`    // number of records left
	Leaders int  `json:"leaders"` // number of leaders that have worked on the migration
}

// NodeView is the state of one controller in answers to operators.
type NodeView struct {
	Node         string `json:"node"`
	Zone         string `json:"zone,omitempty"`
	Release      string `json:"release,omitempty"` // "": there is no valid announcement
	Level        Level  `json:"knows_level"`       // highest supported level; 0: there is no valid announcement
	Alive        bool   `json:"alive"`             // the controller has a member key
	Healthy      bool   `json:"well"`
	Leads        bool   `json:"leads"`
	Incompatible bool   `json:"behind"` // the cluster's level is too high for the controller, which must not act
	// NotNextReason is why it should not be restarted now; "" for the controller that may be restarted.
	NotNextReason string `json:"not_now,omitempty"`
}

// Cluster is the state of other packages that a View needs.
type Cluster struct {
	Leader  string          // "": there is no leader
	Left    int             // number of records left to migrate; used on the leader only
	Drained map[string]bool // controllers with a drain request
}

// View returns the state of the rollout, including the controller to restart next.
func (r *Rollout) View(now time.Duration, cluster Cluster) View {
	view := View{
		Revision:   r.stored.directiveVersion,
		Mode:       r.stored.directive.mode,
		By:         r.stored.directive.operator,
		State:      r.state.String(),
		ReportedBy: r.cfg.Node,
		Level:      r.Level(),
		Next:       r.observe().NextLevel(r.cfg.MaxLevel),
		Missing:    r.upgradeObstacles(now),
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

// migrationView returns the progress of the migration, or nil if the level is still Base.
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

// upgradeObstacles returns, for each controller that prevents an upgrade of the level, the reason.
func (r *Rollout) upgradeObstacles(now time.Duration) []string {
	reasons := []string{}
	if r.stored.level >= r.cfg.MaxLevel {
		return reasons
	}
	for _, peer := range r.peers {
		if reason := r.upgradeObstacle(now, peer); reason != "" {
			reasons = append(reasons, reason)
		}
	}
	return reasons
}

// upgradeObstacle returns why one controller prevents an upgrade of the level, or "" if it doesn't.
func (r *Rollout) upgradeObstacle(now time.Duration, peer *peer) string {
	switch {
	case peer.unreadableCause != "":
		return fmt.Sprintf("%s: %s", peer.Node, peer.unreadableCause)
	case peer.AnnouncementVersion == 0 && !peer.isUp():
		return peer.Node + " is down and has never announced a release: start it"
	case peer.Announced() == 0:
		return peer.Node + " runs a release that announces no level: it is older than " + firstAnnouncingRelease
	case peer.Announced() <= r.stored.level:
		return fmt.Sprintf("%s runs %s, which knows no level above %d",
			peer.Node, peer.release, peer.AnnouncedLevel)
	case peer.isHealthy(now):
		return ""
	case !peer.isUp():
		return peer.Node + " is down; it has announced " + peer.release
	}
	return peer.Node + " is not well: it isn't heard, drains, or doesn't reach the state service"
}
