// Package allocation divides a limit (a team's cores, a licence pool's units) among the shards of the fleet, each with
// a leader that plans alone. The division is one durable document, Shares. Together the shards never use more than
// the limit, even if changes are written late or leaders change.
//
// A ShardQuota runs the protocol for one shard's leader, and a Policy decides how many units a shard requests. Both
// are pure: they have no clock, I/O or goroutines. The package never writes the document. Its caller does, with each
// change conditional on the document's version and on the caller's leadership of the shard. Three rules keep the
// shards within the limit:
//
//   - a larger share counts only once it is known to be durable; a smaller share counts at once, before it is sent;
//   - while the outcome of a change is indeterminate, the smaller of the old and the requested share counts. Only a
//     newer version of the document ends this: until then a change that seemed lost may still be written;
//   - a change is void once its sender doesn't lead the shard any more.
//
// The controllers don't call the package yet; docs/owners-design.md describes what is missing.
package allocation

import (
	"errors"
	"fmt"
	"slices"
)

// ErrNotReserved means that Release was called for more units than are reserved.
var ErrNotReserved = errors.New("more units released than reserved")

// Shares is the durable division of a limit: the units that each shard may use.
type Shares []int32

// Sum returns the units that all shards may use together.
func (s Shares) Sum() int32 {
	sum := int32(0)
	for _, units := range s {
		sum += units
	}
	return sum
}

// State is the state of a ShardQuota.
type State uint8

// The states of a shard quota and the transitions between them:
//
//	Unread        -> Settled        the document was read
//	Settled       -> Requesting     a change is sent
//	Requesting    -> Settled        the change is durable
//	Requesting    -> Indeterminate  the change was refused or got no response: it may be durable, or become durable
//	Indeterminate -> Requesting     the same change is sent again
//	any           -> Settled        a newer version of the document was read, which decides any open outcome
const (
	Unread State = iota
	Settled
	Requesting
	Indeterminate
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{
		Unread:        "unread",
		Settled:       "settled",
		Requesting:    "requesting",
		Indeterminate: "indeterminate",
	}[s]
}

// Change replaces the document, if the document still has this version and the sender still leads its shard.
type Change struct {
	Version uint64
	Shares  Shares
}

// ShardQuota holds the units of a limit that one shard may use and the units that may be in use. The shard's leader
// has a ShardQuota for one term. It isn't safe for concurrent use.
type ShardQuota struct {
	shard   int
	state   State
	version uint64 // version of the document in shares
	shares  Shares // the document as last read
	// requested is this shard's share in the change that is in flight or indeterminate.
	requested int32
	// reserved is the number of units that may be in use: units are reserved before a task that uses them starts.
	reserved int32
}

// NewShardQuota returns the quota of a shard. inUse is the number of units that may be in use already according to the
// durable plan. No more can be reserved before the document has been read.
func NewShardQuota(shard int, inUse int32) *ShardQuota {
	return &ShardQuota{shard: shard, reserved: inUse}
}

// setState is the only place where the state changes.
func (q *ShardQuota) setState(s State) { q.state = s }

// State returns the state.
func (q *ShardQuota) State() State { return q.state }

// Usable returns the units that the shard may use now. While the outcome of a change is open, they are the smaller of
// the share that was read and the requested share.
func (q *ShardQuota) Usable() int32 {
	switch q.state {
	case Unread:
		return 0
	case Settled:
		return q.shares[q.shard]
	}
	return min(q.shares[q.shard], q.requested)
}

// Reserved returns the units that may be in use.
func (q *ShardQuota) Reserved() int32 { return q.reserved }

// CanReserve reports whether the given number of further units may be reserved.
func (q *ShardQuota) CanReserve(units int32) bool { return q.reserved+units <= q.Usable() }

// Reserve reserves units, before a task that uses them may start. The caller has to check CanReserve first.
func (q *ShardQuota) Reserve(units int32) { q.reserved += units }

// Release ends the reservation of units, once they are proven not to be in use any more. If fewer units are reserved
// it changes nothing and returns an error that wraps ErrNotReserved.
func (q *ShardQuota) Release(units int32) error {
	if units > q.reserved {
		return fmt.Errorf("shard %d: release %d of %d units: %w", q.shard, units, q.reserved, ErrNotReserved)
	}
	q.reserved -= units
	return nil
}

// SharesRead records the document as it was read or received from a watch. It ignores a version that isn't newer.
func (q *ShardQuota) SharesRead(shares Shares, version uint64) {
	if q.state != Unread && version <= q.version {
		return
	}
	q.shares = slices.Clone(shares)
	q.version = version
	q.setState(Settled)
}

// Request returns the change that sets this shard's share to the wanted units, but to at least the reserved units, and
// to no more than the limit leaves free. A smaller share counts from now on. ok is false if the share would not change
// or if the outcome of an earlier change is still open.
func (q *ShardQuota) Request(wanted, limit int32) (change Change, ok bool) {
	if q.state != Settled {
		return Change{}, false
	}
	current := q.shares[q.shard]
	requested := max(wanted, q.reserved, 0)
	if requested > current {
		free := max(0, limit-q.shares.Sum())
		requested = min(requested, current+free)
	}
	if requested == current {
		return Change{}, false
	}
	q.requested = requested
	return q.sendChange(), true
}

// RetryRequest returns the change with an indeterminate outcome again; ok is false if there is none. The copy that is
// written first makes the other void.
func (q *ShardQuota) RetryRequest() (change Change, ok bool) {
	if q.state != Indeterminate {
		return Change{}, false
	}
	return q.sendChange(), true
}

func (q *ShardQuota) sendChange() Change {
	q.setState(Requesting)
	shares := slices.Clone(q.shares)
	shares[q.shard] = q.requested
	return Change{Version: q.version, Shares: shares}
}

// ChangeCommitted records that a change is durable, at the document's new version.
func (q *ShardQuota) ChangeCommitted(change Change, version uint64) {
	if q.isInFlight(change) {
		q.SharesRead(change.Shares, version)
	}
}

// ChangeUnconfirmed records that a change was refused, got no response or was not sent. These cases are treated alike:
// an earlier copy may still be written, so only a newer version of the document decides the outcome.
func (q *ShardQuota) ChangeUnconfirmed(change Change) {
	if q.isInFlight(change) {
		q.setState(Indeterminate)
	}
}

// isInFlight reports whether a change's outcome is awaited. Once a newer version of the document is read, it is not.
func (q *ShardQuota) isInFlight(change Change) bool {
	return q.state == Requesting && change.Version == q.version
}
