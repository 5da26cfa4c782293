package rollout

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// Keys. The members' belong to package membership; a rise depends on them.
const (
	prefix         = "h/r/"
	levelKey       = prefix + "level"
	wordsKey       = prefix + "words"
	migrationKey   = prefix + "migration"
	announcePrefix = prefix + "n/"
	memberPrefix   = "h/c/n/"
	termKey        = "h/c/term"
)

// State is where a rollout stands.
type State uint8

// The states of a rollout, as a controller knows it.
//
//	Reading    the keys were not read yet
//	Settled    the level is the highest that this release knows, and nothing is left to migrate
//	Mixed      some controller hasn't announced the next level
//	Soaking    all have; they have not all been well for long enough
//	Ready      all have, and operators are to say the word
//	Stopped    operators hold the rollout, or have aborted it
//	Raising    the transaction that lets the level rise is under way (leader only)
//	Migrating  the level has risen; what stands in a former format is being moved
//	Behind     the cluster's level, or a record, is beyond this release: it stays out
//
// Any state leads to any other but Reading, by what is read; Raising only to those after its outcome is known.
const (
	Loading State = iota
	Settled
	Mixed
	Soaking
	Ready
	Paused
	Upgrading
	Migrating
	Incompatible
)

func (s State) String() string {
	return [...]string{"reading", "settled", "mixed", "soaking", "ready", "stopped", "raising", "migrating", "behind"}[s]
}

// Config is what a controller brings along.
type Config struct {
	Node     string
	Nodes    []NodeConfig // all that the settings name, this one included
	Release  string
	MaxLevel Level
	// Auto lets the level rise without operators' word once all have been well for Soak.
	Auto bool
	Soak time.Duration
	// StartedAtMS is the clock on the wall when this process began.
	StartedAtMS int64
	// OnStateChange is told of every change of state; nil for nobody.
	OnStateChange func(now time.Duration, to State, why string)
}

// NodeConfig is a controller by the settings.
type NodeConfig struct{ Node, Zone string }

// peer is all that is known of a controller.
type peer struct {
	NodeConfig
	PeerRecord
	said  Announcement
	cause string // why its announcement or member key can't be read
	heard time.Duration
	well  bool          // by its last word, to us
	since time.Duration // all its words said so since
}

// Rollout is the state machine; it belongs to the event loop.
type Rollout struct {
	cfg    Config
	state  State
	synced bool
	peers  []*peer

	level        Level // as stored, Base without a key
	levelVersion uint64
	by           string
	founded      bool // a leader has ever been: a cluster without one starts at the newest level
	words        Directive
	wordsVersion uint64
	migration    Migration
	migVersion   uint64
	seen         map[string]uint64 // newest version seen, by key
	unread       map[string]UnreadableRecord

	busy     bool // a transaction is under way
	retryAt  time.Duration
	soakFrom time.Duration // all well since
	soaking  bool
}

// New makes a rollout of which nothing is known yet.
func New(cfg Config) *Rollout {
	r := &Rollout{cfg: cfg, level: Base, seen: map[string]uint64{}, unread: map[string]UnreadableRecord{}}
	slices.SortFunc(r.cfg.Nodes, func(a, b NodeConfig) int { return strings.Compare(a.Node, b.Node) })
	for _, n := range r.cfg.Nodes {
		r.peers = append(r.peers, &peer{NodeConfig: n})
	}
	return r
}

// to is the only place where the state changes.
func (r *Rollout) to(now time.Duration, s State, why string) {
	if s == r.state {
		return
	}
	log := slog.Info
	if s == Incompatible {
		log = slog.Error
	}
	log("rollout", "from", r.state.String(), "to", s.String(), "why", why, "level", int(r.level), "release", r.cfg.Release, "knows", int(r.cfg.MaxLevel))
	r.state = s
	if r.cfg.OnStateChange != nil {
		r.cfg.OnStateChange(now, s, why)
	}
}

// State is the present state.
func (r *Rollout) State() State { return r.state }

// MaxLevel is the highest level that this controller knows.
func (r *Rollout) MaxLevel() Level { return r.cfg.MaxLevel }

// Level is the cluster's. One that has never had a leader is founded at the highest that its founder knows.
func (r *Rollout) Level() Level {
	if r.levelVersion == 0 && !r.founded {
		return r.cfg.MaxLevel
	}
	return r.level
}

// Compatible tells whether this controller may act: neither the level nor a record is beyond its release.
func (r *Rollout) Compatible() bool { return r.incompatibility() == "" }

// incompatibility says why not.
func (r *Rollout) incompatibility() string {
	if !IsCompatible(r.cfg.MaxLevel, r.level) {
		return fmt.Sprintf("the cluster is at level %d, and release %s knows no level above %d: start this controller with a release that does", r.level, r.cfg.Release, r.cfg.MaxLevel)
	}
	for _, key := range slices.Sorted(maps.Keys(r.unread)) {
		if u := r.unread[key]; u.Newer && u.Guard == GuardStandDown {
			return fmt.Sprintf("record %s is in a format that release %s doesn't know (%s): start this controller with a newer release", key, r.cfg.Release, u.Cause)
		}
	}
	return ""
}

// LevelCondition is the condition that what was decided at the present level carries, where it isn't the leader's.
func (r *Rollout) LevelCondition() store.Condition {
	return store.Condition{Key: levelKey, Version: r.levelVersion}
}

// BootstrapConditions is what a campaign adds to its transaction: the level must not have changed, and the first leader of
// all sets it.
func (r *Rollout) BootstrapConditions() ([]store.Condition, []store.Op) {
	cond := []store.Condition{r.LevelCondition()}
	if r.levelVersion != 0 || r.founded {
		return cond, nil
	}
	raw, _ := json.Marshal(levelDoc{Level: r.cfg.MaxLevel, By: r.cfg.Node, AtMS: r.cfg.StartedAtMS})
	done, _ := json.Marshal(Migration{Level: r.cfg.MaxLevel, Done: true})
	return cond, []store.Op{{Put: levelKey, Value: raw}, {Put: migrationKey, Value: done}}
}

// Announcement is what a controller writes beside its member key.
func (r *Rollout) Announcement(hold uint64) store.Op {
	a := Announcement{Node: r.cfg.Node, Release: r.cfg.Release, Level: r.cfg.MaxLevel, Lease: hold, AtMS: r.cfg.StartedAtMS, Reads: reads(), Writes: writes(r.cfg.MaxLevel)}
	for _, n := range r.cfg.Nodes {
		if n.Node == r.cfg.Node {
			a.Zone = n.Zone
		}
	}
	for l := Base; l <= r.cfg.MaxLevel; l++ {
		a.Behaviours = append(a.Behaviours, behaviours[l])
	}
	raw, _ := json.Marshal(a)
	return store.Op{Put: AnnounceKey(r.cfg.Node), Value: raw}
}

func (r *Rollout) peer(node string) *peer {
	i := slices.IndexFunc(r.peers, func(p *peer) bool { return p.Node == node })
	if i < 0 {
		return nil
	}
	return r.peers[i]
}

// MarkUnreadable notes a record that can't be read, from wherever it was read.
func (r *Rollout) MarkUnreadable(key string, raw json.RawMessage, cause error) {
	u := recordOf(key, raw, cause)
	if old, ok := r.unread[key]; !ok || old != u {
		slog.Error("a stored record cannot be read", "key", key, "kind", u.Kind, "newer", u.Newer, "guard", string(u.Guard), "cause", cause)
	}
	r.unread[key] = u
}

// UnreadableCount is how many stored records can't be read here.
func (r *Rollout) UnreadableCount() int { return len(r.unread) }

// MarkReadable notes that a record can be read, or is gone.
func (r *Rollout) MarkReadable(key string) { delete(r.unread, key) }

// wellFor is how long a controller's last word counts.
const wellFor = 3 * time.Second

// HandleHealth takes a controller's word that it is well, or not. Nothing about safety depends on it.
func (r *Rollout) HandleHealth(now time.Duration, node string, well bool) {
	peer := r.peer(node)
	if peer == nil {
		return
	}
	if !well || !peer.well || now-peer.heard > wellFor {
		peer.since = now
	}
	peer.heard, peer.well = now, well
}

// isWell tells whether a controller is there, says so, and is the one that has announced itself.
func (p *peer) isWell(now time.Duration) bool {
	return p.well && now-p.heard <= wellFor && p.MemberVersion != 0 && p.Lease == p.AnnouncedLease
}

// seenNow is what a rise is decided by.
func (r *Rollout) seenNow() Observation {
	observed := Observation{Level: r.level, LevelVersion: r.levelVersion, Mode: r.words.Mode, DirectiveVersion: r.wordsVersion}
	for _, peer := range r.peers {
		observed.Peers = append(observed.Peers, peer.PeerRecord)
	}
	if observed.Mode == FinishRequested && observed.NextLevel(r.cfg.MaxLevel) > r.words.Level {
		observed.Mode = NoDirective // it was said of an earlier rise
	}
	return observed
}

func (r *Rollout) names() (ns []string) {
	for _, peer := range r.peers {
		ns = append(ns, peer.Node)
	}
	return ns
}
