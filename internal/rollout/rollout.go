package rollout

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// State is the state of a rollout as one controller sees it.
type State uint8

// The states of a rollout. Depending on the keys read, any state but Loading can follow any other. Upgrading ends only
// when the outcome of its transaction is known or the leadership is lost.
const (
	// Loading: the keys have not been read yet.
	Loading State = iota
	// Settled: the level is the highest that this release supports, and nothing is left to migrate.
	Settled
	// Mixed: some controller has not announced a higher level.
	Mixed
	// Soaking: all controllers have announced a higher level, but have not all been healthy for the soak time.
	Soaking
	// Ready: the level can be upgraded; the leader's transaction or a directive of the operators is still missing.
	Ready
	// Paused: the operators have paused or aborted the rollout.
	Paused
	// Upgrading: the transaction that upgrades the level has been sent. Only the leader is ever in this state.
	Upgrading
	// Migrating: the level has been upgraded, and records of a former format are being rewritten.
	Migrating
	// Incompatible: the cluster's level or a record is newer than this release, so this controller must not act.
	Incompatible
)

// String returns the state's name in logs, metrics, events and answers to operators.
func (s State) String() string {
	return [...]string{
		"reading", "settled", "mixed", "soaking", "ready", "stopped", "raising", "migrating", "behind",
	}[s]
}

// Config configures a Rollout.
type Config struct {
	Node     string       // name of this controller
	Nodes    []NodeConfig // all controllers in the settings, including this one
	Release  string       // release of this controller
	MaxLevel Level        // highest level that this controller supports
	// Auto lets the level be upgraded without a directive once all controllers have been healthy for Soak.
	Auto bool
	Soak time.Duration // time for which all controllers must have been healthy
	// StartedAtMS is when this process started, in wall-clock milliseconds.
	StartedAtMS int64
	// OnStateChange, if not nil, is called at every change of state. why is the cause, for operators.
	OnStateChange func(now time.Duration, to State, why string)
}

// NodeConfig is the name and zone of a controller in the settings.
type NodeConfig struct{ Node, Zone string }

// storedState contains the values of the keys that concern the whole cluster, as this controller has read them.
type storedState struct {
	level            Level  // Base if there is no level key
	levelVersion     uint64 // this and the other versions: 0 if there is no key
	directive        directive
	directiveVersion uint64
	migration        migration
	migrationVersion uint64
	// bootstrapped is set if the cluster has ever had a leader. A cluster that has never had one starts at the highest
	// level that its first leader supports.
	bootstrapped bool
}

// Rollout is the state machine of a rollout on one controller. Only the controller's event loop may use it.
type Rollout struct {
	cfg    Config
	state  State
	synced bool    // all keys have been read at least once
	peers  []*peer // all controllers in the settings, sorted by name
	stored storedState

	keyVersions map[string]uint64           // the newest version read of each key
	unreadable  map[string]UnreadableRecord // unreadable records by key

	txnInFlight bool          // the outcome of a transaction that Tick returned is still awaited
	retryAt     time.Duration // Tick returns no transaction before this time
	soak        soakTimer
}

// New returns a rollout in state Loading.
func New(cfg Config) *Rollout {
	r := &Rollout{
		cfg:         cfg,
		stored:      storedState{level: Base},
		keyVersions: map[string]uint64{},
		unreadable:  map[string]UnreadableRecord{},
	}
	slices.SortFunc(r.cfg.Nodes, func(a, b NodeConfig) int { return strings.Compare(a.Node, b.Node) })
	for _, node := range r.cfg.Nodes {
		r.peers = append(r.peers, &peer{NodeConfig: node})
	}
	return r
}

// setState sets, logs and reports a new state. The state is changed nowhere else.
func (r *Rollout) setState(now time.Duration, to State, cause string) {
	if to == r.state {
		return
	}
	log := slog.Info
	if to == Incompatible {
		log = slog.Error
	}
	log("rollout state changed",
		"from", r.state.String(), "to", to.String(), "cause", cause,
		"level", int(r.stored.level), "release", r.cfg.Release, "max_level", int(r.cfg.MaxLevel))
	r.state = to
	if r.cfg.OnStateChange != nil {
		r.cfg.OnStateChange(now, to, cause)
	}
}

// State returns the current state.
func (r *Rollout) State() State { return r.state }

// MaxLevel returns the highest level that this controller supports.
func (r *Rollout) MaxLevel() Level { return r.cfg.MaxLevel }

// Level returns the cluster's level. A cluster that has never had a leader is bootstrapped at the highest level
// that its first leader supports.
func (r *Rollout) Level() Level {
	if r.needsBootstrap() {
		return r.cfg.MaxLevel
	}
	return r.stored.level
}

// AllSupportLevel reports whether the cluster is at a level, or all controllers have announced the level and the
// operators don't prevent the upgrade. From then on, records that the level introduced and that a former release would
// quarantine may be written. So users can use the level's features as soon as no controller runs a former release,
// while the upgrade waits until all controllers have been healthy for the soak time.
func (r *Rollout) AllSupportLevel(level Level) bool {
	if r.Level() >= level {
		return true
	}
	observed := r.observe()
	return observed.NextLevel(r.cfg.MaxLevel) >= level && !observed.Mode.preventsUpgrade()
}

// needsBootstrap reports whether the cluster has no level and has never had a leader.
func (r *Rollout) needsBootstrap() bool { return r.stored.levelVersion == 0 && !r.stored.bootstrapped }

// Compatible reports whether this controller may act: neither the cluster's level nor a record with GuardStandDown is
// newer than its release.
func (r *Rollout) Compatible() bool { return r.incompatibility() == "" }

// incompatibility returns why this controller must not act, or "" if it may.
func (r *Rollout) incompatibility() string {
	if !IsCompatible(r.cfg.MaxLevel, r.stored.level) {
		return fmt.Sprintf(
			"the cluster is at level %d, and release %s supports no level above %d: "+
				"start this controller with a newer release",
			r.stored.level, r.cfg.Release, r.cfg.MaxLevel)
	}
	for _, key := range slices.Sorted(maps.Keys(r.unreadable)) {
		record := r.unreadable[key]
		if record.Newer && record.Guard == GuardStandDown {
			return fmt.Sprintf(
				"record %s is in a format that release %s can't read (%s): "+
					"start this controller with a newer release",
				key, r.cfg.Release, record.Cause)
		}
	}
	return ""
}

// LevelCondition returns the condition that the level hasn't changed. Every transaction that depends on the level needs
// it, unless the transaction is sent under the leader's guard.
func (r *Rollout) LevelCondition() store.Condition {
	return store.Condition{Key: levelKey, Version: r.stored.levelVersion}
}

// BootstrapConditions returns the conditions and writes that a campaign adds to its transaction: the condition that the
// level hasn't changed and, for the first leader of a new cluster, the writes that set the level.
func (r *Rollout) BootstrapConditions() ([]store.Condition, []store.Op) {
	conditions := []store.Condition{r.LevelCondition()}
	if !r.needsBootstrap() {
		return conditions, nil
	}
	level := levelRecord{Level: r.cfg.MaxLevel, By: r.cfg.Node, AtMS: r.cfg.StartedAtMS}
	nothingToMigrate := migration{level: r.cfg.MaxLevel, done: true}
	return conditions, []store.Op{
		{Put: levelKey, Value: encode(level)},
		{Put: migrationKey, Value: encode(newMigrationRecord(nothingToMigrate))},
	}
}

// Announcement returns the write of this controller's announcement, which belongs in the transaction that writes its
// member key. lease is the lease of this process.
func (r *Rollout) Announcement(lease uint64) store.Op {
	record := announcementRecord{
		Node:        r.cfg.Node,
		Release:     r.cfg.Release,
		Level:       r.cfg.MaxLevel,
		Lease:       lease,
		StartedAtMS: r.cfg.StartedAtMS,
		Reads:       readFormats(),
		Writes:      writtenFormats(r.cfg.MaxLevel),
	}
	if self := r.peer(r.cfg.Node); self != nil {
		record.Zone = self.Zone
	}
	for level := Base; level <= r.cfg.MaxLevel; level++ {
		record.Behaviours = append(record.Behaviours, levelBehaviours[level])
	}
	return store.Op{Put: AnnounceKey(r.cfg.Node), Value: encode(record)}
}

// observe returns the contents of all keys that an upgrade of the level depends on, as read so far.
func (r *Rollout) observe() Observation {
	observed := Observation{
		Level:            r.stored.level,
		LevelVersion:     r.stored.levelVersion,
		Mode:             r.stored.directive.mode,
		DirectiveVersion: r.stored.directiveVersion,
	}
	for _, peer := range r.peers {
		observed.Peers = append(observed.Peers, peer.PeerRecord)
	}
	if observed.Mode == FinishRequested && observed.NextLevel(r.cfg.MaxLevel) > r.stored.directive.level {
		observed.Mode = NoDirective // the directive allowed an upgrade to a lower level only
	}
	return observed
}
