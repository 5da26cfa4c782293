package rollout

import "github.com/harewalk/harewalk/internal/store"

// The functions in this file decide whether the level may be upgraded. They are pure functions of the keys that a
// controller has read. model_test.go and model_explore_test.go explore all runs within bounds, with crashes, restarts
// and delayed transactions.

// Mode is the effect of the operators' latest directive on the rollout.
type Mode string

// Effects of the operators' latest directive.
const (
	NoDirective       Mode = ""        // the settings decide whether the level is upgraded automatically
	PausedByOperator  Mode = "held"    // the level isn't upgraded, and no controller should be restarted
	AbortedByOperator Mode = "aborted" // the level isn't upgraded, and controllers return to the former release
	FinishRequested   Mode = "finish"  // the level is upgraded once all controllers have announced the next one
)

// preventsUpgrade reports whether the mode forbids an upgrade of the level.
func (m Mode) preventsUpgrade() bool { return m == PausedByOperator || m == AbortedByOperator }

// directive is the operators' latest directive about the rollout.
type directive struct {
	mode     Mode
	level    Level  // the highest level to which FinishRequested allows an upgrade
	operator string // name of the operator who gave the directive
}

// PeerRecord is the part of the stored keys of one controller in the settings that an upgrade of the level depends on.
type PeerRecord struct {
	AnnouncedLevel      Level  // highest level that the controller supports; 0: no readable announcement
	AnnouncedLease      uint64 // lease of the process that made the announcement
	AnnouncementVersion uint64 // version of the announcement's key; 0: there is no announcement
	Lease               uint64 // lease in the member key; 0: the controller is down, or its member key is unreadable
	MemberVersion       uint64 // version of the member key; 0: there is no member key, so the controller is down
}

// Announced returns the highest level that a controller has announced, or 0 if it has no valid announcement. An
// announcement stays valid after the process that made it has ended, until another process of the controller joins.
func (p PeerRecord) Announced() Level {
	if p.MemberVersion != 0 && p.Lease != p.AnnouncedLease {
		return 0 // the present process has announced nothing: its release has no levels, or it has just joined
	}
	return p.AnnouncedLevel
}

// Observation contains the values of all keys that an upgrade of the level depends on, as one controller has read them.
type Observation struct {
	Level            Level
	LevelVersion     uint64 // version of the level key; 0: there is no key, and the level is Base
	Mode             Mode
	DirectiveVersion uint64       // version of the directive key; 0: there is no key
	Peers            []PeerRecord // all controllers in the settings, sorted by name
}

// NextLevel returns the level to which the cluster can be upgraded: the highest level that all controllers have
// announced and that this controller supports. If no upgrade is possible, NextLevel returns the present level.
func (o Observation) NextLevel(supported Level) Level {
	next := supported
	for _, peer := range o.Peers {
		next = min(next, peer.Announced())
	}
	return max(next, o.Level)
}

// MayUpgrade reports whether the level may be upgraded now. soaked means that all controllers have been healthy for the
// soak time. auto means that the settings allow an upgrade without a directive.
func (o Observation) MayUpgrade(supported Level, soaked, auto bool) bool {
	if o.NextLevel(supported) <= o.Level || o.Mode.preventsUpgrade() {
		return false
	}
	return o.Mode == FinishRequested || (auto && soaked)
}

// Conditions returns the conditions of the transaction that upgrades the level: none of the keys that the decision
// depends on has changed. nodes are the names of Peers, in the same order. The sender adds the leader's guard.
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
