package licences

import (
	"log/slog"
	"slices"
	"time"
)

// Ref names a task by dense indices.
type Ref struct {
	Job  int32
	Task int32
}

// Holder is one attempt of a task. Attempt 0 stands for one that is not known yet: a new leader
// knows from the durable plan that a task may run, but not as which attempt.
type Holder struct {
	Ref
	Attempt uint64
}

// State is where a seat stands.
type State uint8

// The states of a seat.
//
//	Free      -> Booked     its gang is about to start, this task's launch is put off
//	Free      -> Held       its task's launch is about to be sent, or it was found on a machine
//	Booked    -> Held       the launch follows
//	Booked    -> Free       the gang was given up before this launch was sent
//	Held      -> Free       surely never started, or gone and nobody has to be asked
//	Held      -> Lingering  the task is gone, but the seat may still be taken
//	Lingering -> Free       an answer asked for after that lacks it, or the linger is over
//	Lingering -> Held       an attempt thought to be gone was found on a machine
const (
	Free State = iota
	Booked
	Held
	Lingering
)

func (s State) String() string { return [...]string{"free", "booked", "held", "lingering"}[s] }

// moves lists the changes of state that can be meant; anything else is a defect.
var moves = [...][]State{
	Free:      {Booked, Held},
	Booked:    {Held, Free},
	Held:      {Free, Lingering},
	Lingering: {Free, Held},
}

// End is how a task came off its machine, as far as its seat is concerned.
type End uint8

// The ends.
const (
	Unstarted End = iota // it surely never started
	Clean                // it ended by itself or was stopped: it had the time to give its seat back
	Crashed              // its process, machine or lease ended: the server may hold the seat on
)

// seat is what one holder has of one pool.
type seat struct {
	state State
	team  int32
	units int           // ours: booked, held or lingering
	shown int           // what the server's last answer has for this holder
	since time.Duration // of state
	until time.Duration // Lingering without an answer ends then
	late  bool          // Held, and answers lack it although one had it
}

// weight is what the seat takes of its pool: what is booked here and what the server shows
// overlap, so the larger counts.
func (s *seat) weight() int { return max(s.units, s.shown) }

// Line is how far a pool's server can be believed.
type Line uint8

// The states of a line to a server.
//
//	Unasked -> Open      the first answer of this term
//	Open    -> Silent    no good answer for a while: nothing new starts
//	Silent  -> Open      it answers again
//	Open    -> Doubted   it lacks holders that it had and that surely still run: what it says
//	                     of others is not believed to have fallen
//	Doubted -> Open      it has them again, or they are gone, for as long as a linger
//	Doubted -> Silent
//
// A pool without a server is Open from the start, or Unasked for as long as seats of an
// earlier term may linger.
const (
	Unasked Line = iota
	Open
	Silent
	Doubted
)

func (l Line) String() string { return [...]string{"unasked", "open", "silent", "doubted"}[l] }

// account is one pool's state.
type account struct {
	*Pool
	index   int32
	seats   map[Holder]*seat
	current map[Ref]Holder // the booked or held attempt of a task
	teams   map[int32]*member

	weight  int // of all seats
	byState [Lingering + 1]int
	unsure  int // units held by attempts that are not known yet

	line     Line
	lineAt   time.Duration
	answered time.Duration // when the last good answer was asked for
	asking   bool
	askedAt  time.Duration
	foreign  int    // units of holders that are none of ours, by the last answer
	recent   []past // of foreign, newest last, for as long as a linger
	missing  int    // held seats that answers lack although one had them
	serverN  int    // the server's own count, 0 if it doesn't say
	reserve  int
	wanted   bool // somebody waits for a seat: an answer is worth asking for soon
}

// past is what an answer said of others.
type past struct {
	at    time.Duration
	units int
}

type member struct {
	Share
	units int // booked, held or lingering
}

// Ledger counts the seats of all pools for one term of one leader.
type Ledger struct {
	cat   *Catalog
	pools []*account
	since time.Duration
}

// Timing of questions to a server.
const (
	defaultPoll = 2 * time.Second
	leastPoll   = 100 * time.Millisecond // however much somebody waits
	// AskTimeout bounds a question.
	AskTimeout  = 2 * time.Second
	silentPolls = 3 // unanswered polls after which a server counts as silent
	leastSilent = 3 * time.Second
	leastWindow = 5 * time.Second // for which a server's highest figures are kept
)

// New opens the accounts of a term that begins at now. team maps a team's name to its dense
// index.
func New(cat *Catalog, team func(string) int32, now time.Duration) *Ledger {
	l := &Ledger{cat: cat, since: now}
	for i, pool := range cat.pools {
		a := &account{
			Pool: pool, index: int32(i), seats: map[Holder]*seat{}, current: map[Ref]Holder{}, teams: map[int32]*member{},
			reserve: pool.Reserve, lineAt: now, answered: now,
		}
		for name, s := range pool.Teams {
			a.teams[team(name)] = &member{Share: s}
		}
		if pool.Server == "" && pool.Linger == 0 {
			a.line = Open // there is nothing that an earlier term could have left behind
		}
		l.pools = append(l.pools, a)
	}
	return l
}

// None tells whether there are no pools at all.
func (l *Ledger) None() bool { return len(l.pools) == 0 }

// account finds a pool's account, or nil.
func (l *Ledger) account(pool int32) *account {
	if pool < 0 || int(pool) >= len(l.pools) {
		return nil
	}
	return l.pools[pool]
}

// to is the only place where a line's state changes.
func (a *account) to(now time.Duration, s Line, cause string) {
	if a.line == s {
		return
	}
	slog.Warn("licence server", "pool", a.Name, "from", a.line.String(), "to", s.String(), "cause", cause)
	a.line, a.lineAt = s, now
}

// set is the only place where a seat's state changes. A seat that is free and not shown is
// forgotten.
func (l *Ledger) set(now time.Duration, a *account, h Holder, s *seat, to State) {
	if s.state != to && !slices.Contains(moves[s.state], to) {
		slog.Error("state machine", "pool", a.Name, "seat", s.state.String(), "to", to.String())
	}
	before := s.weight()
	team := a.team(s.team)
	if s.state != Free {
		a.byState[s.state] -= s.units
		team.units -= s.units
		if h.Attempt == 0 && s.state == Held {
			a.unsure -= s.units
		}
		if a.current[h.Ref] == h && to != Booked && to != Held {
			delete(a.current, h.Ref)
		}
	}
	s.state, s.since = to, now
	if s.late {
		a.missing--
		s.late = false
	}
	switch to {
	case Free:
		s.units = 0
	case Booked, Held:
		a.current[h.Ref] = h
	}
	if to != Free {
		a.byState[to] += s.units
		team.units += s.units
		if h.Attempt == 0 && to == Held {
			a.unsure += s.units
		}
	}
	a.weight += s.weight() - before
	a.keep(h, s)
}

// keep stores a seat, or forgets one that says nothing any more.
func (a *account) keep(h Holder, s *seat) {
	if s.state == Free && s.shown == 0 {
		delete(a.seats, h)
	} else {
		a.seats[h] = s
	}
}

func (a *account) team(ix int32) *member {
	m := a.teams[ix]
	if m == nil {
		m = &member{}
		a.teams[ix] = m
	}
	return m
}

// seat finds a holder's seat or makes a free one.
func (a *account) seat(h Holder) *seat {
	if s := a.seats[h]; s != nil {
		return s
	}
	return &seat{}
}

// Take books what a task holds from now on: before its launch is sent (to is Held), before
// its gang's is (Booked), or because it was found on a machine. Taking again changes only the
// state.
func (l *Ledger) Take(now time.Duration, ref Ref, attempt uint64, team int32, needs []Unit, to State) {
	for _, unit := range needs {
		a := l.account(unit.Pool)
		if a == nil {
			continue
		}
		h := Holder{ref, attempt}
		if was, ok := a.current[ref]; ok {
			if was != h {
				l.rename(now, a, was, attempt)
			}
			if s := a.seats[h]; s.state != to && !(s.state == Held && to == Booked) {
				l.set(now, a, h, s, to)
			}
			continue
		}
		s := a.seat(h)
		if s.state == Lingering {
			l.set(now, a, h, s, Held)
			continue
		}
		before := s.weight()
		s.team, s.units = team, unit.N
		a.weight += s.weight() - before
		l.set(now, a, h, s, to)
	}
}

// rename moves a task's seat to another attempt: the one that a report told of a task that
// was known from the durable plan only.
func (l *Ledger) rename(now time.Duration, a *account, was Holder, attempt uint64) {
	s := a.seats[was]
	state, team, units, shown := s.state, s.team, s.units, s.shown
	// What the server shows for the old name stays there.
	a.byState[state] -= units
	a.team(team).units -= units
	if was.Attempt == 0 && state == Held {
		a.unsure -= units
	}
	if s.late {
		a.missing--
		s.late = false
	}
	delete(a.current, was.Ref)
	a.weight += shown - s.weight()
	s.state, s.units = Free, 0
	a.keep(was, s)
	h := Holder{was.Ref, attempt}
	n := a.seat(h)
	if n.state == Lingering {
		// It was thought to be gone and is not.
		l.set(now, a, h, n, Held)
		return
	}
	before := n.weight()
	n.team, n.units = team, units
	a.weight += n.weight() - before
	l.set(now, a, h, n, state)
}

// Attempt tells which attempt of a task is on its machine.
func (l *Ledger) Attempt(now time.Duration, ref Ref, attempt uint64, needs []Unit) {
	for _, unit := range needs {
		if a := l.account(unit.Pool); a != nil {
			if was, ok := a.current[ref]; ok && was.Attempt != attempt {
				l.rename(now, a, was, attempt)
			}
		}
	}
}

// Give takes a booking back once the task is known to be gone: by a fenced report, the cloud's
// confirmation, or the end of its worker's lease. What a server may still count lingers.
func (l *Ledger) Give(now time.Duration, ref Ref, needs []Unit, how End) {
	for _, unit := range needs {
		a := l.account(unit.Pool)
		if a == nil {
			continue
		}
		h, ok := a.current[ref]
		if !ok {
			continue
		}
		s := a.seats[h]
		switch {
		case s.state == Booked, how == Unstarted && s.shown == 0:
			l.set(now, a, h, s, Free)
		case a.Server == "" && (how == Clean || a.Linger == 0):
			l.set(now, a, h, s, Free)
		default:
			s.until = now + a.Linger
			l.set(now, a, h, s, Lingering)
		}
	}
}

// total is how many units there are: the count, or what the server gives out if that is less.
func (l *Ledger) total(a *account) int {
	n := l.cat.Count(a.index)
	if a.serverN > 0 {
		n = min(n, a.serverN)
	}
	return n
}

// others is what holders that are none of ours have, as far as the server is believed.
func (a *account) others() int {
	n := a.foreign
	if a.line == Doubted || a.missing > 0 {
		// It forgot some of ours, and so perhaps some of theirs.
		for _, p := range a.recent {
			n = max(n, p.units)
		}
	}
	return n
}

// free is how many units are known to be free now; never below 0.
func (l *Ledger) free(a *account) int {
	if a.line == Unasked || a.line == Silent {
		return 0
	}
	// What others hold comes out of what is kept for them.
	return max(0, l.total(a)-a.weight-max(a.others(), a.reserve))
}

// Denial says why a task may not have its seats. The zero value says that it may.
type Denial uint8

// The denials.
const (
	Granted    Denial = iota
	NoPool            // the pool is not declared here
	NoSeat            // all seats are taken
	TeamMost          // the team has as many as it may
	NoAnswer          // the licence server has not been heard
	OtherFirst        // seats are free, but others come before
)

func (d Denial) String() string {
	return [...]string{
		"granted", "no such licence pool", "no seat is free", "the team holds as many seats as it may",
		"the licence server does not answer", "free seats go to others first",
	}[d]
}

// Fits tells whether n more tasks may have their seats now, all of them, and if not, which
// pool is in the way.
func (l *Ledger) Fits(team int32, needs []Unit, n int) (Denial, int32) {
	for _, unit := range needs {
		a := l.account(unit.Pool)
		switch {
		case a == nil:
			return NoPool, unit.Pool
		case a.line == Unasked || a.line == Silent:
			return NoAnswer, unit.Pool
		case l.free(a) < unit.N*n:
			return NoSeat, unit.Pool
		}
		if m := a.teams[team]; m != nil && m.Most > 0 && m.units+unit.N*n > m.Most {
			return TeamMost, unit.Pool
		}
	}
	return Granted, -1
}
