package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/mod/semver"

	"github.com/harewalk/harewalk/internal/store"
)

// View is what operators are shown of a rollout.
type View struct {
	Revision   uint64         `json:"revision"` // of operators' words
	Mode       Mode           `json:"mode"`
	By         string         `json:"by,omitempty"` // whose word that was
	State      string         `json:"stance"`
	ReportedBy string         `json:"told_by"` // the controller that tells this
	Level      Level          `json:"level"`
	Next       Level          `json:"next_level"`
	SoakLeftS  float64        `json:"soak_left_s,omitempty"`
	Missing    []string       `json:"missing"`
	Migration  *MigrationView `json:"migration,omitempty"`
	Nodes      []NodeView     `json:"nodes"`
	// Restart is who may be restarted next, "" for nobody; Why says why.
	Restart    string             `json:"restart,omitempty"`
	Why        string             `json:"why"`
	Unreadable []UnreadableRecord `json:"unreadable"`
}

// MigrationView is how far a migration has come.
type MigrationView struct {
	Done    bool `json:"done"`
	Left    int  `json:"left"`
	Leaders int  `json:"leaders"` // that have worked on it
}

// NodeView is one controller.
type NodeView struct {
	Node         string `json:"node"`
	Zone         string `json:"zone,omitempty"`
	Release      string `json:"release,omitempty"` // "": it has announced none that counts
	Level        Level  `json:"knows_level"`
	Alive        bool   `json:"alive"` // it keeps a hold
	Healthy      bool   `json:"well"`
	Leads        bool   `json:"leads"`
	Incompatible bool   `json:"behind"` // the cluster's level is beyond it: it stays out
	// NotNextReason says why it should not be restarted now; "" for the one that may be.
	NotNextReason string `json:"not_now,omitempty"`
}

// Cluster is what a view needs besides.
type Cluster struct {
	Leader  string
	Left    int             // records left to migrate, as the leader counts them
	Drained map[string]bool // controllers that operators want drained
}

// View shows where the rollout stands.
func (r *Rollout) View(now time.Duration, k Cluster) View {
	seen := r.seenNow()
	v := View{
		Revision: r.wordsVersion, Mode: r.words.Mode, By: r.words.By, State: r.state.String(), ReportedBy: r.cfg.Node, Level: r.Level(),
		Next: seen.NextLevel(r.cfg.MaxLevel), Missing: r.missing(now), Unreadable: []UnreadableRecord{},
	}
	if v.Mode == NoDirective {
		v.Mode, v.By = "free", ""
	}
	if r.state == Soaking {
		left := r.cfg.Soak
		if r.soaking {
			left -= now - r.soakFrom
		}
		v.SoakLeftS = max(0, left.Seconds())
	}
	if r.levelVersion != 0 && r.level > Base {
		v.Migration = &MigrationView{r.Migrated(), r.migration.Left, r.migration.Leaders}
		if !v.Migration.Done && k.Leader == r.cfg.Node {
			v.Migration.Left = k.Left
		}
	}
	for _, u := range r.unread {
		v.Unreadable = append(v.Unreadable, u)
	}
	slices.SortFunc(v.Unreadable, func(a, b UnreadableRecord) int { return strings.Compare(a.Key, b.Key) })
	for _, peer := range r.peers {
		n := NodeView{Node: peer.Node, Zone: peer.Zone, Alive: peer.MemberVersion != 0, Healthy: peer.isWell(now), Leads: peer.Node == k.Leader}
		if peer.Announced() > 0 {
			n.Release, n.Level = peer.said.Release, peer.AnnouncedLevel
			n.Incompatible = !IsCompatible(peer.AnnouncedLevel, r.level)
		}
		v.Nodes = append(v.Nodes, n)
	}
	r.order(&v, k)
	return v
}

// missing says what keeps the next level from coming, in plain words.
func (r *Rollout) missing(now time.Duration) []string {
	out := []string{}
	if r.level >= r.cfg.MaxLevel {
		return out
	}
	for _, peer := range r.peers {
		switch {
		case peer.cause != "":
			out = append(out, fmt.Sprintf("%s: %s", peer.Node, peer.cause))
		case peer.AnnouncementVersion == 0 && peer.MemberVersion == 0:
			out = append(out, peer.Node+" was never seen with a release that says what it knows: start it")
		case peer.Announced() == 0:
			out = append(out, peer.Node+" runs a release that doesn't say what it knows: it is older than "+first)
		case peer.Announced() <= r.level:
			out = append(out, fmt.Sprintf("%s runs %s, which knows no level above %d", peer.Node, peer.said.Release, peer.AnnouncedLevel))
		case !peer.isWell(now) && peer.MemberVersion == 0:
			out = append(out, peer.Node+" is down; it announced "+peer.said.Release)
		case !peer.isWell(now):
			out = append(out, peer.Node+" is not well: it isn't heard, drains, or doesn't reach the state service")
		}
	}
	return out
}

// order says who may be restarted next, and why nobody else.
func (r *Rollout) order(v *View, k Cluster) {
	newest, oldest := "", ""
	out := ""
	for _, n := range v.Nodes {
		switch {
		case !n.Alive && !k.Drained[n.Node]:
			out = n.Node
		case n.Alive:
			if newest == "" || older(newest, n.Release) {
				newest = n.Release
			}
			if oldest == "" || older(n.Release, oldest) {
				oldest = n.Release
			}
		}
	}
	lost := lostZone(v.Nodes)
	goal := newest
	if v.Mode == AbortedByOperator {
		goal = oldest
	}
	nobody := ""
	switch {
	case r.state == Loading:
		nobody = "the keys have not been read yet"
	case r.state == Upgrading:
		nobody = "the level is rising at this moment"
	case v.Mode == PausedByOperator:
		nobody = fmt.Sprintf("%s holds the rollout", r.words.By)
	case out != "" && lost != "":
		nobody = fmt.Sprintf("no controller of zone %s is there: it may be lost", lost)
	case out != "":
		nobody = fmt.Sprintf("%s is out: two at once leave too few", out)
	case k.Leader == "":
		nobody = "nobody leads"
	}
	var next *NodeView
	for i := range v.Nodes {
		n := &v.Nodes[i]
		switch {
		case nobody != "":
			n.NotNextReason = nobody
		case n.Release == goal && newest != oldest:
			n.NotNextReason = "it runs " + orNone(goal) + " already"
		case n.Leads:
			n.NotNextReason = "it leads: restarted last, the lead moves once"
		case next == nil:
			next = n
		default:
			n.NotNextReason = fmt.Sprintf("%s comes first", next.Node)
		}
	}
	if next == nil && nobody == "" {
		for i := range v.Nodes {
			// Everybody else is there: the leader's turn has come.
			if n := &v.Nodes[i]; n.Leads && (newest == oldest || n.Release != goal) {
				next, n.NotNextReason = n, ""
			}
		}
	}
	switch {
	case nobody != "":
		v.Why = nobody
	case newest == oldest:
		v.Why = "all run " + orNone(newest) + ": a rollout may begin"
		if next != nil {
			v.Restart = next.Node
		}
	case next != nil:
		v.Restart = next.Node
		v.Why = fmt.Sprintf("it runs %s, %s is the goal", orNone(next.Release), orNone(goal))
	}
}

// lostZone is a zone of several controllers none of which is there, "": there is none.
func lostZone(nodes []NodeView) string {
	all, there := map[string]int{}, map[string]int{}
	for _, n := range nodes {
		if all[n.Zone]++; n.Alive {
			there[n.Zone]++
		}
	}
	for _, n := range nodes {
		if n.Zone != "" && all[n.Zone] > 1 && there[n.Zone] == 0 {
			return n.Zone
		}
	}
	return ""
}

func orNone(release string) string {
	if release == "" {
		return "a release that doesn't say which"
	}
	return release
}

// older tells whether release a comes before b; one that isn't said comes first.
func older(a, b string) bool { return semver.Compare(a, b) < 0 }

// rollingFor is how long after a controller's start a rollout may still be under way.
const rollingFor = 2 * time.Minute

// PreferredLeaders counts the controllers that should lead rather than this one: alive, not drained, and of a newer release; or
// in the middle of restarts, restarted already, where this one may be next. wallMS is the clock on the wall now.
func (r *Rollout) PreferredLeaders(wallMS int64, drained func(node string) bool) (n int) {
	me := r.peer(r.cfg.Node)
	fresh := func(p *peer) bool { return wallMS-p.said.AtMS < rollingFor.Milliseconds() }
	for _, p := range r.peers {
		if p == me || p.MemberVersion == 0 || p.Announced() == 0 || drained(p.Node) || !IsCompatible(p.AnnouncedLevel, r.level) {
			continue
		}
		mine := Announcement{Level: r.cfg.MaxLevel, Release: r.cfg.Release, AtMS: r.cfg.StartedAtMS}
		switch {
		case p.AnnouncedLevel != mine.Level:
			if p.AnnouncedLevel > mine.Level {
				n++
			}
		case older(mine.Release, p.said.Release):
			n++
		case older(p.said.Release, mine.Release):
		case fresh(p) && !fresh(&peer{said: mine}):
			n++
		}
	}
	return n
}

// Command is what an operator asks for.
type Command struct {
	Op string `json:"op"` // "hold", "finish", "abort" or "free"
	By string `json:"by"`
	// Revision is the version of the words that the command is based on; nil: any.
	Revision *uint64 `json:"revision"`
}

// Reasons for refusing a command. Each is wrapped with what it is about.
var (
	ErrMalformed = errors.New("not a command")
	ErrChanged   = errors.New("somebody said something meanwhile")
	ErrTooLate   = errors.New("too late")
	ErrEarly     = errors.New("not yet")
)

// Execute is the transaction that keeps an operator's word, under the leader's guard. It refuses what can't be had.
func (r *Rollout) Execute(now time.Duration, c Command, wallMS int64) (store.Txn, error) {
	mode, ok := map[string]Mode{"hold": PausedByOperator, "finish": FinishRequested, "abort": AbortedByOperator, "free": NoDirective}[c.Op]
	if !ok || len(c.By) > 100 {
		return store.Txn{}, fmt.Errorf("%w: op must be hold, finish, abort or free, by at most 100 characters", ErrMalformed)
	}
	if c.Revision != nil && *c.Revision != r.wordsVersion {
		return store.Txn{}, fmt.Errorf("%w: %s, %s", ErrChanged, r.words.By, r.words.Mode)
	}
	seen := r.seenNow()
	// A rise that is under way and an abort meet in the state service: whichever comes first lets the other fail.
	more := slices.ContainsFunc(r.peers, func(p *peer) bool { return p.AnnouncedLevel > r.level })
	switch {
	case mode == AbortedByOperator && r.level > Base && !more:
		return store.Txn{}, fmt.Errorf("%w: the level has risen to %d, and releases that know no level above %d can't read what is stored now. "+
			"The way back is a newer release that migrates the other way; this one has none", ErrTooLate, r.level, r.level-1)
	case mode == FinishRequested && r.levelVersion != 0 && r.level >= r.cfg.MaxLevel:
		return store.Txn{}, fmt.Errorf("%w: the level is %d already, the highest that %s knows", ErrTooLate, r.level, r.cfg.Release)
	case mode == FinishRequested && seen.NextLevel(r.cfg.MaxLevel) <= r.level:
		return store.Txn{}, fmt.Errorf("%w: %s", ErrEarly, strings.Join(r.missing(now), "; "))
	}
	by := c.By
	if by == "" {
		by = "somebody"
	}
	raw, _ := json.Marshal(Directive{Mode: mode, Level: seen.NextLevel(r.cfg.MaxLevel), By: by, AtMS: wallMS})
	return store.Txn{If: []store.Condition{{Key: wordsKey, Version: r.wordsVersion}, r.LevelCondition()}, Then: []store.Op{{Put: wordsKey, Value: raw}}}, nil
}
