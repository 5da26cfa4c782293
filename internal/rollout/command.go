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

// UnnamedOperator is recorded as the operator of a command that names none.
const UnnamedOperator = "somebody"

// Command is an operator's request to change the directive.
type Command struct {
	Op string `json:"op"` // "hold", "finish", "abort" or "free"
	By string `json:"by"` // name of the operator; "" means UnnamedOperator
	// Revision is the version of the directive that the operator has read; nil means any version.
	Revision *uint64 `json:"revision"`
}

// commandModes maps Command.Op to the mode that it sets.
var commandModes = map[string]Mode{
	"hold":   PausedByOperator,
	"finish": FinishRequested,
	"abort":  AbortedByOperator,
	"free":   NoDirective,
}

// Errors of Execute, which wraps each of them with details.
var (
	// ErrMalformed means that the operation is unknown, or that the operator's name is too long.
	ErrMalformed = errors.New("malformed rollout command")
	// ErrChanged means that the directive has changed since the operator read it.
	ErrChanged = errors.New("the directive was changed meanwhile")
	// ErrTooLate means that the level has already been upgraded.
	ErrTooLate = errors.New("too late")
	// ErrTooEarly means that some controller has not announced the next level.
	ErrTooEarly = errors.New("too early")
)

// Execute returns the transaction that stores an operator's directive; the caller sends the transaction under the
// leader's guard. If the command can't be executed, Execute returns an error that wraps one of the errors above. wallMS
// is the wall-clock time in milliseconds.
func (r *Rollout) Execute(now time.Duration, command Command, wallMS int64) (store.Txn, error) {
	mode, known := commandModes[command.Op]
	if !known || len(command.By) > maxOperatorBytes {
		return store.Txn{}, fmt.Errorf(
			"%w: op must be hold, finish, abort or free, and by at most %d bytes long", ErrMalformed, maxOperatorBytes)
	}
	if command.Revision != nil && *command.Revision != r.stored.directiveVersion {
		return store.Txn{}, fmt.Errorf(
			"%w: %s set mode %q", ErrChanged, r.stored.directive.operator, r.stored.directive.mode)
	}
	next := r.observe().NextLevel(r.cfg.MaxLevel)
	if err := r.checkMode(now, mode, next); err != nil {
		return store.Txn{}, err
	}
	operator := cmp.Or(command.By, UnnamedOperator)
	record := directiveRecord{Mode: mode, Level: next, By: operator, AtMS: wallMS}
	// An upgrade and an abort both depend on the versions of the level and the directive. If both are in flight, the
	// one committed first makes the other fail.
	return store.Txn{
		If:   []store.Condition{{Key: directiveKey, Version: r.stored.directiveVersion}, r.LevelCondition()},
		Then: []store.Op{{Put: directiveKey, Value: encode(record)}},
	}, nil
}

// checkMode returns an error if a mode can't be set now. next is the level to which the cluster can be upgraded.
func (r *Rollout) checkMode(now time.Duration, mode Mode, next Level) error {
	switch mode {
	case AbortedByOperator:
		return r.checkAbort()
	case FinishRequested:
		return r.checkFinish(now, next)
	}
	return nil
}

// checkAbort returns an error if there is no upgrade to abort: the level has been upgraded, and no controller has
// announced a higher one.
func (r *Rollout) checkAbort() error {
	level := r.stored.level
	higherAnnounced := slices.ContainsFunc(r.peers, func(p *peer) bool { return p.AnnouncedLevel > level })
	if level <= Base || higherAnnounced {
		return nil
	}
	return fmt.Errorf(
		"%w: the level has risen to %d, and releases that support no level above %d can't read what is stored now. "+
			"Going back takes a newer release that migrates the records back; this release can't",
		ErrTooLate, level, level-1)
}

// checkFinish returns an error if the level is already the highest, or if some controller prevents its upgrade. next is
// the level to which the cluster can be upgraded.
func (r *Rollout) checkFinish(now time.Duration, next Level) error {
	if r.stored.levelVersion != 0 && r.stored.level >= r.cfg.MaxLevel {
		return fmt.Errorf("%w: the level is %d already, the highest that %s knows",
			ErrTooLate, r.stored.level, r.cfg.Release)
	}
	if next <= r.stored.level {
		return fmt.Errorf("%w: %s", ErrTooEarly, strings.Join(r.upgradeObstacles(now), "; "))
	}
	return nil
}
