package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// maxOperatorBytes is the maximum length of an operator's name.
const maxOperatorBytes = 100

// UnnamedOperator stands for an operator who gave no name.
const UnnamedOperator = "somebody"

// Command is an operator's request to change the directive.
type Command struct {
	Op string `json:"op"` // "hold", "finish", "abort" or "free"
	By string `json:"by"` // the operator
	// Revision is the version of the directive that the operator has read; nil: any.
	Revision *uint64 `json:"revision"`
}

// commandModes maps Command.Op to the mode that it sets.
var commandModes = map[string]Mode{
	"hold":   PausedByOperator,
	"finish": FinishRequested,
	"abort":  AbortedByOperator,
	"free":   NoDirective,
}

// The errors of Execute; each is wrapped with its details.
var (
	// ErrMalformed: the operation is unknown, or the operator's name is too long.
	ErrMalformed = errors.New("not a command")
	// ErrChanged: the directive has changed since the operator has read it.
	ErrChanged = errors.New("somebody said something meanwhile")
	// ErrTooLate: the level has been upgraded already.
	ErrTooLate = errors.New("too late")
	// ErrTooEarly: not all controllers have announced the next level.
	ErrTooEarly = errors.New("not yet")
)

// Execute returns the transaction that stores an operator's directive, to be sent under the leader's guard. It
// refuses a command that can't be carried out, by an error that wraps one of the errors above. wallMS is the wall
// clock, in milliseconds.
func (r *Rollout) Execute(now time.Duration, command Command, wallMS int64) (store.Txn, error) {
	mode, known := commandModes[command.Op]
	if !known || len(command.By) > maxOperatorBytes {
		return store.Txn{}, fmt.Errorf(
			"%w: op must be hold, finish, abort or free, by at most %d characters", ErrMalformed, maxOperatorBytes)
	}
	if command.Revision != nil && *command.Revision != r.stored.directiveVersion {
		return store.Txn{}, fmt.Errorf("%w: %s, %s", ErrChanged, r.stored.directive.operator, r.stored.directive.mode)
	}
	next := r.observe().NextLevel(r.cfg.MaxLevel)
	if err := r.checkMode(now, mode, next); err != nil {
		return store.Txn{}, err
	}
	operator := cmp.Or(command.By, UnnamedOperator)
	record := directiveRecord{Mode: mode, Level: next, By: operator, AtMS: wallMS}
	// An upgrade in flight and an abort both depend on both versions: the one committed first makes the other fail.
	return store.Txn{
		If:   []store.Condition{{Key: directiveKey, Version: r.stored.directiveVersion}, r.LevelCondition()},
		Then: []store.Op{{Put: directiveKey, Value: encode(record)}},
	}, nil
}

// checkMode returns why a mode can't be set now, or nil.
func (r *Rollout) checkMode(now time.Duration, mode Mode, next Level) error {
	switch mode {
	case AbortedByOperator:
		return r.checkAbort()
	case FinishRequested:
		return r.checkFinish(now, next)
	}
	return nil
}

// checkAbort returns an error if the level has been upgraded and no controller has announced a higher one: then there
// is no upgrade to abort.
func (r *Rollout) checkAbort() error {
	level := r.stored.level
	higherAnnounced := slices.ContainsFunc(r.peers, func(p *peer) bool { return p.AnnouncedLevel > level })
	if level <= Base || higherAnnounced {
		return nil
	}
	return fmt.Errorf(
		"%w: the level has risen to %d, and releases that know no level above %d can't read what is stored now. "+
			"The way back is a newer release that migrates the other way; this one has none",
		ErrTooLate, level, level-1)
}

// checkFinish returns an error if the level can't be upgraded, or can't be yet.
func (r *Rollout) checkFinish(now time.Duration, next Level) error {
	if r.stored.levelVersion != 0 && r.stored.level >= r.cfg.MaxLevel {
		return fmt.Errorf("%w: the level is %d already, the highest that %s knows",
			ErrTooLate, r.stored.level, r.cfg.Release)
	}
	if next <= r.stored.level {
		return fmt.Errorf("%w: %s", ErrTooEarly, strings.Join(r.missing(now), "; "))
	}
	return nil
}
