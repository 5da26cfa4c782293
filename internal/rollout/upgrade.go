package rollout

import "github.com/harewalk/harewalk/internal/store"

// This file is what decides whether the level may rise, as pure functions of what a controller has read. Every run
// of them, with crashes, returns and late transactions, is looked at in model_test.go.

// Mode is operators' last word about a rollout.
type Mode string

// The modes.
const (
	NoDirective       Mode = ""        // no word: as the settings say
	PausedByOperator  Mode = "held"    // nothing rises, nobody should be restarted
	AbortedByOperator Mode = "aborted" // nothing rises, controllers go back to the former release
	FinishRequested   Mode = "finish"  // rise as soon as all have announced it
)

// PeerRecord is what was read of one controller that the settings name.
type PeerRecord struct {
	AnnouncedLevel      Level  // the highest level it knows by its announcement, 0: none, or it can't be read
	AnnouncedLease      uint64 // the hold under which it was made
	AnnouncementVersion uint64 // of its key, 0: there is none
	Lease               uint64 // the hold of its present process, by its member key; 0: there is none, it is down
	MemberVersion       uint64 // of that key
}

// Announced is the highest level that a controller has announced, 0: none that counts. What a process says
// counts for itself and, after it has ended, until another process of that controller is there.
func (p PeerRecord) Announced() Level {
	if p.MemberVersion != 0 && p.Lease != p.AnnouncedLease {
		return 0 // a process that has said nothing: it is older than announcements, or has just come
	}
	return p.AnnouncedLevel
}

// Observation is what a controller has read of all keys that a rise depends on.
type Observation struct {
	Level            Level
	LevelVersion     uint64 // 0: there is no key, which means Base
	Mode             Mode
	DirectiveVersion uint64
	Peers            []PeerRecord // in the order of the settings' names
}

// NextLevel is the level to which the cluster can rise: the highest that all have announced, and that who asks knows.
func (s Observation) NextLevel(knows Level) Level {
	next := knows
	for _, p := range s.Peers {
		next = min(next, p.Announced())
	}
	return max(next, s.Level)
}

// MayRaise tells whether the level may rise now. soaked: all have been well for long enough; auto: operators need not
// say so.
func (s Observation) MayRaise(knows Level, soaked, auto bool) bool {
	switch {
	case s.NextLevel(knows) <= s.Level || s.Mode == PausedByOperator || s.Mode == AbortedByOperator:
		return false
	case s.Mode == FinishRequested:
		return true
	}
	return auto && soaked
}

// Conditions are the conditions of the transaction that lets the level rise: nothing of what it was decided by has
// changed since. The leader's guard comes on top.
func (s Observation) Conditions(nodes []string) []store.Condition {
	cs := []store.Condition{{Key: levelKey, Version: s.LevelVersion}, {Key: wordsKey, Version: s.DirectiveVersion}}
	for i, p := range s.Peers {
		cs = append(cs, store.Condition{Key: AnnounceKey(nodes[i]), Version: p.AnnouncementVersion}, store.Condition{Key: memberPrefix + nodes[i], Version: p.MemberVersion})
	}
	return cs
}

// IsCompatible tells whether a controller that knows a level may act in a cluster of another.
func IsCompatible(knows, cluster Level) bool { return cluster <= knows }
