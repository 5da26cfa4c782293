// Package allocation divides a limit (a team's cores, a pool's seats) among the parts of the fleet, each
// with an owner that plans alone. The division is one durable document; a part may use what the
// document gives it, and the parts together never more than the limit, whatever lands late and whoever
// owns them.
//
// A Holder is one owner's side of one part: a state machine without clock and I/O. Its owner sends the
// changes it asks for, each guarded by the document's version and by the owner's lead of the part, and
// tells it what came back and what was read. Three rules carry it, and each is missed by the model in the tests
// if it is taken out:
//
//   - more counts only once it is known to be durable, less at once, before it is sent;
//   - while it is open whether a change was carried out, the lesser of both counts, until the document
//     is seen at a newer version: a change that was lost may land as long as its version stands;
//   - a change is void once its owner doesn't lead the part any more.
package allocation

import (
	"fmt"
	"slices"
)

// Doc is the durable division: what each part may use, in units of the limit.
type Doc []int32

// Sum is what all parts together may use.
func (d Doc) Sum() (n int32) {
	for _, a := range d {
		n += a
	}
	return n
}

// State is where a holder stands.
type State uint8

// The states.
//
//	Unread    -> Settled    the document was read
//	Settled   -> Asking     a change is under way
//	Asking    -> Settled    it was carried out
//	Asking    -> Doubtful   it was refused, or no answer came: it may have been carried out, or may be yet
//	Doubtful  -> Asking     the same change is sent again
//	any       -> Settled    the document is seen at a newer version: what was open is decided
const (
	Unread State = iota
	Settled
	Asking
	Doubtful
)

func (s State) String() string { return [...]string{"unread", "settled", "asking", "doubtful"}[s] }

// Change is a new document that takes the place of the one at Version, if that still stands and
// whoever asked still leads its part.
type Change struct {
	Version uint64
	Doc     Doc
}

// Holder is one owner's side of one part.
type Holder struct {
	part    int
	state   State
	version uint64 // of doc
	doc     Doc    // as last seen
	ask     int32  // what the change under way, or in doubt, would give this part
	use     int32  // what may be in use: booked here before anything starts
}

// New makes the holder of a part; inUse is what may be in use of it already, by the durable plan.
// Nothing more may be used before the document was read.
func New(part int, inUse int32) *Holder { return &Holder{part: part, use: inUse} }

// to is the only place where the state changes.
func (h *Holder) to(s State) { h.state = s }

// May is what the part may use now: the lesser of what it has and what it has asked for.
func (h *Holder) May() int32 {
	switch h.state {
	case Unread:
		return 0
	case Settled:
		return h.doc[h.part]
	}
	return min(h.doc[h.part], h.ask)
}

// Use is what may be in use.
func (h *Holder) Use() int32 { return h.use }

// State tells where it stands.
func (h *Holder) State() State { return h.state }

// Fits tells whether n more may be used.
func (h *Holder) Fits(n int32) bool { return h.use+n <= h.May() }

// Take books n, before anything that uses them may start.
func (h *Holder) Take(n int32) { h.use += n }

// Give ends the booking of n, once it is proven that they are not in use any more.
func (h *Holder) Give(n int32) error {
	if n > h.use {
		return fmt.Errorf("part %d gives %d of %d in use", h.part, n, h.use)
	}
	h.use -= n
	return nil
}

// Learn takes a document that was read or followed. An older one than is known tells nothing.
func (h *Holder) Learn(doc Doc, version uint64) {
	if h.state != Unread && version <= h.version {
		return
	}
	h.doc, h.version = slices.Clone(doc), version
	h.to(Settled)
}

// Ask makes the change that would give this part as much as is wanted: less at once, though never less than
// is in use, more as far as the limit leaves free. ok is false if there is nothing to ask for, or if
// it is not the time.
func (h *Holder) Ask(want, limit int32) (c Change, ok bool) {
	if h.state != Settled {
		return Change{}, false
	}
	have := h.doc[h.part]
	to := max(want, h.use, 0)
	if to > have {
		to = min(to, have+max(0, limit-h.doc.Sum()))
	}
	if to == have {
		return Change{}, false
	}
	h.ask = to
	h.to(Asking)
	return h.change(), true
}

// Again sends the change in doubt once more: whichever of the two lands makes the other void.
func (h *Holder) Again() (c Change, ok bool) {
	if h.state != Doubtful {
		return Change{}, false
	}
	h.to(Asking)
	return h.change(), true
}

func (h *Holder) change() Change {
	d := slices.Clone(h.doc)
	d[h.part] = h.ask
	return Change{h.version, d}
}

// Ended takes what came back of a change: version is the document's new one if it was surely carried
// out, 0 if not. Whether it was refused, lost or not even sent makes no difference: the same may have been
// sent before and be on its way, so only a newer version ends the doubt.
func (h *Holder) Ended(c Change, version uint64) {
	switch {
	case h.state != Asking || c.Version != h.version: // decided meanwhile
	case version > 0:
		h.Learn(c.Doc, version)
	default:
		h.to(Doubtful)
	}
}
