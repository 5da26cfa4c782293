package rollout

import "github.com/harewalk/harewalk/internal/store"

// This file decides whether the level may be upgraded, by pure functions of what a controller has read. model_test.go
// explores all runs of them within bounds, with crashes, restarts and late transactions.

// Mode is what the operators' latest directive asks for.
type Mode string

// The modes.
const (
	NoDirective       Mode = ""        // the settings decide
	PausedByOperator  Mode = "held"    // the level isn't upgraded, and no controller should be restarted
	AbortedByOperator Mode = "aborted" // the level isn't upgraded, and controllers return to the former release
	FinishRequested   Mode = "finish"  // the level is upgraded as soon as all have announced the next one
)

// preventsUpgrade reports whether the level must not be upgraded in a mode.
func (m Mode) preventsUpgrade() bool { return m == PausedByOperator || m == AbortedByOperator }

// directive is the operators' latest directive about the rollout.
type directive struct {
	mode     Mode
	level    Level // to which FinishRequested lets the cluster be upgraded
	operator string
}

// PeerRecord is what a controller has read of one that the settings name.
type PeerRecord struct {
	AnnouncedLevel      Level  // the highest level that it supports; 0: no readable announcement
	AnnouncedLease      uint64 // the lease of the process that made the announcement
	AnnouncementVersion uint64 // of its key; 0: there is none
	Lease               uint64 // of its present process, by its member key; 0: there is none, it is down
	MemberVersion       uint64 // of that key
}

// Announced returns the highest level that a controller has announced, 0 if no announcement counts. An announcement
// counts for its own process and, after that has ended, until another process of the controller has joined.
func (p PeerRecord) Announced() Level {
	if p.MemberVersion != 0 && p.Lease != p.AnnouncedLease {
		return 0 // the present process has announced nothing: its release is older, or it has just joined
	}
	return p.AnnouncedLevel
}

// Observation is what a controller has read of all keys that an upgrade of the level depends on.
type Observation struct {
	Level            Level
	LevelVersion     uint64 // 0: there is no key, which means Base
	Mode             Mode
	DirectiveVersion uint64
	Peers            []PeerRecord // in the order of the controllers' names
}

// NextLevel returns the level to which the cluster can be upgraded: the highest that all have announced and that this
// controller supports. It returns the present level if that is none.
func (o Observation) NextLevel(supported Level) Level {
	next := supported
	for _, peer := range o.Peers {
		next = min(next, peer.Announced())
	}
	return max(next, o.Level)
}

// MayUpgrade reports whether the level may be upgraded now. soaked: all controllers have been healthy for long enough;
// auto: the settings allow it without a directive.
func (o Observation) MayUpgrade(supported Level, soaked, auto bool) bool {
	if o.NextLevel(supported) <= o.Level || o.Mode.preventsUpgrade() {
		return false
	}
	return o.Mode == FinishRequested || (auto && soaked)
}

// Conditions returns the conditions of the transaction that upgrades the level: nothing that the decision depends on
// has changed since. nodes names the peers. The leader's guard is added by the sender.
func (o Observation) Conditions(nodes []string) []store.Condition {
	conditions := []store.Condition{
		{Key: levelKey, Version: o.LevelVersion},
		{Key: directiveKey, Version: o.DirectiveVersion},
	}
	for i, peer := range o.Peers {
		conditions = append(conditions,
			store.Condition{Key: AnnounceKey(nodes[i]), Version: peer.AnnouncementVersion},
			store.Condition{Key: MemberKey(nodes[i]), Version: peer.MemberVersion},
		)
	}
	return conditions
}
