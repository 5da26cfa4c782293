package rollout

import (
	"fmt"
	"log/slog"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// A model of all that is around a rise of the level: three controllers of two releases, the keys a rise depends on,
// a record that the leader rewrites in a new format and one that any controller writes, and transactions that land
// at once, late, or never, with or without an answer. What the controllers decide is the real code (rise.go); all
// runs are looked at, within bounds on how many of each kind of step there are.

var names = []string{"a", "b", "c"}

// keys is the state service: versions count changes, 0 means that a key isn't there.
type keys struct {
	rev                     uint8
	level, levelVer         uint8
	abort                   bool
	wordsVer                uint8
	says, saysHold, saysVer [3]uint8
	hold, holdVer           [3]uint8
	leader, leaderVer       uint8 // who, counted from 1
	plan, planVer           uint8 // the leader's record: its format
	job, jobVer             uint8 // anybody's record, 0: it isn't there yet
	migrated                bool
	migratedVer             uint8
}

// proc is one controller's process.
type proc struct {
	knows  uint8 // 0: it is down
	hold   uint8
	view   keys  // what it has followed so far
	term   uint8 // version of the leader key that it holds to be its own, 0: none
	silent bool  // its release says nothing of itself and heeds no level
	stuck  bool  // it stood still for so long that its hold ran out
}

// txn is one on its way: what it depends on and does.
type txn struct {
	kind  byte // 'c' campaign, 'r' rise, 'w' words, 'p' the leader's record, 'm' migration's end, 'j' anybody's record
	by    uint8
	knows uint8
	lead  uint8    // the leader's version it depends on
	conds [8]uint8 // versions, by kind
	value uint8
	hold  uint8 // 'c': under which it was sent
}

type state struct {
	k                    keys
	p                    [3]proc
	way                  [2]txn
	ways                 uint8
	holds                uint8
	starts, sends, words uint8
	crashes, freezes     uint8
	broken               string
}

// taken names the guard that is taken out.
type taken string

func (m *state) seen(i int, w taken) Observation {
	v := m.p[i].view
	observed := Observation{Level: Level(v.level), LevelVersion: uint64(v.levelVer), DirectiveVersion: uint64(v.wordsVer), Mode: FinishRequested}
	if v.abort {
		observed.Mode = AbortedByOperator
	}
	for n := range 3 {
		p := PeerRecord{AnnouncedLevel: Level(v.says[n]), AnnouncedLease: uint64(v.saysHold[n]), AnnouncementVersion: uint64(v.saysVer[n]), Lease: uint64(v.hold[n]), MemberVersion: uint64(v.holdVer[n])}
		if w == "the present process" {
			p.AnnouncedLease = p.Lease
		}
		observed.Peers = append(observed.Peers, p)
	}
	return observed
}

func (m *state) send(x txn) bool {
	if int(m.ways) == len(m.way) {
		return false
	}
	m.sends++
	m.way[m.ways] = x
	m.ways++
	if m.ways == 2 && fmt.Sprint(m.way[1]) < fmt.Sprint(m.way[0]) {
		m.way[0], m.way[1] = m.way[1], m.way[0]
	}
	return true
}

// land carries a transaction out, if its conditions hold.
func (m *state) land(x txn, w taken) {
	k := &m.k
	if x.lead != k.leaderVer && w != "the lead" {
		return
	}
	bump := func(v *uint8) { k.rev++; *v = k.rev }
	switch x.kind {
	case 'c':
		if k.holdVer[x.by] == 0 || k.hold[x.by] != x.hold || k.leaderVer != 0 || (x.conds[0] != k.levelVer && w != "the level in campaigns") {
			return
		}
		k.leader = x.by + 1
		bump(&k.leaderVer)
	case 'r':
		ok := x.conds[0] == k.levelVer && (x.conds[1] == k.wordsVer || w == "the words' version")
		for n := range 3 {
			ok = ok && ((x.conds[2+2*n] == k.saysVer[n] && x.conds[3+2*n] == k.holdVer[n]) || w == "the members' versions")
		}
		if !ok {
			return
		}
		if k.leader != x.by+1 {
			m.broken = names[x.by] + " lets the level rise and doesn't lead"
		}
		k.level = x.value
		bump(&k.levelVer)
		if k.abort {
			m.broken = "the level rises after operators have aborted the rollout"
		}
		for n, p := range m.p {
			if p.hold > 0 && p.knows < k.level {
				m.broken = fmt.Sprintf("the level rises while %s takes part with a release that doesn't know it", names[n])
			}
		}
	case 'w':
		if x.conds[0] != k.wordsVer || x.conds[1] != k.levelVer {
			return
		}
		k.abort = x.value == 1
		bump(&k.wordsVer)
	case 'p':
		if x.conds[0] != k.planVer && w != "the record's version" {
			return
		}
		if k.leader != x.by+1 {
			m.broken = names[x.by] + " writes plans and doesn't lead"
		}
		if x.knows < k.plan {
			m.broken = fmt.Sprintf("%s writes over a record that it can't read", names[x.by])
		}
		k.plan = x.value
		bump(&k.planVer)
	case 'm':
		if x.conds[0] != k.migratedVer {
			return
		}
		k.migrated = true
		bump(&k.migratedVer)
	case 'j':
		if x.conds[0] != k.jobVer || (x.conds[1] != k.levelVer && w != "the level in everybody's writes") {
			return
		}
		if x.knows < k.job {
			m.broken = fmt.Sprintf("%s writes over a record that it can't read", names[x.by])
		}
		k.job = x.value
		bump(&k.jobVer)
	}
}

// check looks at what must hold at every moment.
func (m *state) check() string {
	k := m.k
	if m.broken != "" {
		return m.broken
	}
	if k.leader > 0 {
		if p := m.p[k.leader-1]; p.knows > 0 && p.knows < k.level && p.term == k.leaderVer {
			return fmt.Sprintf("%s leads at a level that it doesn't know", names[k.leader-1])
		}
	}
	if k.migrated && (k.plan < k.level || k.job > 0 && k.job < k.level) {
		return "the migration is over, and a record stands in the former format"
	}
	return ""
}

// bounds are how many steps of each kind are looked at.
type bounds struct{ starts, sends, words, crashes, freezes uint8 }

// rename gives versions and holds new numbers by their first appearance: only whether two are the same matters, so
// states that differ by nothing else are one.
func (m *state) rename() {
	var vs, hs [128]uint8
	v := func(p *uint8) {
		if *p != 0 {
			if vs[*p] == 0 {
				vs[0]++
				vs[*p] = vs[0]
			}
			*p = vs[*p]
		}
	}
	h := func(p *uint8) {
		if *p != 0 {
			if hs[*p] == 0 {
				hs[0]++
				hs[*p] = hs[0]
			}
			*p = hs[*p]
		}
	}
	all := func(k *keys) {
		k.rev = 0
		for _, p := range [...]*uint8{&k.levelVer, &k.wordsVer, &k.leaderVer, &k.planVer, &k.jobVer, &k.migratedVer} {
			v(p)
		}
		for n := range 3 {
			v(&k.saysVer[n])
			v(&k.holdVer[n])
			h(&k.saysHold[n])
			h(&k.hold[n])
		}
	}
	all(&m.k)
	for n := range m.p {
		p := &m.p[n]
		if p.knows == 0 {
			continue
		}
		all(&p.view)
		v(&p.term)
		h(&p.hold)
	}
	for i := range m.way[:m.ways] {
		x := &m.way[i]
		v(&x.lead)
		h(&x.hold)
		for c := range x.conds {
			v(&x.conds[c])
		}
	}
	m.k.rev, m.holds = vs[0], hs[0]
}

// next lists all states that can follow. silent: the former release says nothing and heeds no level.
func (m *state) next(w taken, b bounds, silent bool) (out []state) {
	step := func(f func(c *state) bool) {
		c := *m
		if f(&c) {
			c.rename()
			out = append(out, c)
		}
	}
	for i := range uint8(m.ways) { // one on its way lands, late or not, or never does
		step(func(c *state) bool {
			x := c.way[i]
			c.drop(int(i))
			c.land(x, w)
			return true
		})
		step(func(c *state) bool { c.drop(int(i)); return true })
	}
	for n := range 3 {
		p := m.p[n]
		if p.knows == 0 {
			if m.starts < b.starts {
				for _, knows := range []uint8{1, 2} { // it comes back with either release
					step(func(c *state) bool { c.starts++; c.start(n, knows, silent && knows == 1); return true })
				}
			}
		} else if m.crashes < b.crashes {
			step(func(c *state) bool { c.p[n] = proc{}; c.crashes++; return true }) // its hold lives on
		}
		stands := p.knows > 0 && p.hold == m.k.hold[n] && m.k.leader == uint8(n)+1 && m.freezes < b.freezes
		if m.k.holdVer[n] != 0 && (p.knows == 0 || p.hold != m.k.hold[n] || stands) {
			// The hold of one that is gone, or of one that stands still, runs out. By then it may act no more.
			step(func(c *state) bool {
				k := &c.k
				k.rev++
				k.hold[n], k.holdVer[n] = 0, 0
				if k.leader == uint8(n)+1 {
					k.leader, k.leaderVer = 0, 0
				}
				if stands {
					c.freezes++
					c.p[n].hold, c.p[n].stuck = 0, true
				}
				return true
			})
		}
		if p.knows == 0 {
			continue
		}
		if p.hold == 0 && !p.stuck {
			step(func(c *state) bool { c.register(n); return true })
		}
		if p.view != m.k {
			step(func(c *state) bool { c.sync(n); return true })
		}
		if m.sends >= b.sends {
			continue
		}
		v := p.view
		by := uint8(n)
		fit := IsCompatible(Level(p.knows), Level(v.level)) || w == "staying out"
		if !fit && !p.silent {
			continue
		}
		if v.leaderVer == 0 && p.hold != 0 {
			// A silent release reads the term as long as that is in its format.
			if !p.silent || m.k.level == 1 || w == "the term's format" {
				x := txn{kind: 'c', by: by, knows: p.knows, hold: p.hold}
				x.conds[0] = v.levelVer
				if p.silent {
					x.conds[0] = m.k.levelVer
				}
				step(func(c *state) bool { return c.send(x) })
			}
		}
		writes := min(p.knows, v.level)
		// Anybody makes a record, and brings one to the present format.
		if x := (txn{kind: 'j', by: by, knows: p.knows, lead: m.k.leaderVer, value: writes, conds: [8]uint8{v.jobVer, v.levelVer}}); v.job < writes && !p.silent {
			step(func(c *state) bool { return c.send(x) })
		}
		if p.term == 0 || v.leaderVer != p.term {
			continue
		}
		lead := p.term
		if observed := m.seen(n, w); observed.MayRaise(Level(p.knows), true, true) || (w == "all have announced" && p.knows > uint8(observed.Level) && observed.Mode != AbortedByOperator) {
			x := txn{kind: 'r', by: by, knows: p.knows, lead: lead, value: p.knows}
			for i, c := range observed.Conditions(names) {
				x.conds[i] = uint8(c.Version)
			}
			step(func(c *state) bool { return c.send(x) })
		}
		if m.words < b.words && v.level == 1 {
			x := txn{kind: 'w', by: by, knows: p.knows, lead: lead, conds: [8]uint8{v.wordsVer, v.levelVer}}
			if !v.abort {
				x.value = 1
			}
			step(func(c *state) bool { c.words++; return c.send(x) })
		}
		if v.plan < writes || (v.plan == 1 && writes == 1) || v.plan == 2 && p.knows > 1 && v.level == 1 {
			step(func(c *state) bool {
				return c.send(txn{kind: 'p', by: by, knows: p.knows, lead: lead, value: max(writes, 1), conds: [8]uint8{v.planVer}})
			})
		}
		if v.level == 2 && p.knows == 2 && !v.migrated && (v.plan == 2 && v.job != 1 || w == "nothing left") {
			step(func(c *state) bool {
				return c.send(txn{kind: 'm', by: by, knows: 2, lead: lead, conds: [8]uint8{v.migratedVer}})
			})
		}
	}
	return out
}

func (m *state) drop(i int) {
	m.ways--
	m.way[i], m.way[m.ways] = m.way[m.ways], txn{}
}

// start is a process that begins and follows all keys; it ends the hold of its former one.
func (m *state) start(n int, knows uint8, silent bool) {
	k := &m.k
	k.rev++
	k.hold[n], k.holdVer[n] = 0, 0
	if k.leader == uint8(n)+1 {
		k.leader, k.leaderVer = 0, 0
	}
	m.p[n] = proc{knows: knows, silent: silent, view: *k}
}

// register writes its member key and what it says of itself; much may have changed since it read the keys.
func (m *state) register(n int) {
	k, p := &m.k, &m.p[n]
	m.holds++
	k.rev++
	p.hold = m.holds
	k.hold[n], k.holdVer[n] = m.holds, k.rev
	if !p.silent {
		k.says[n], k.saysHold[n], k.saysVer[n] = p.knows, m.holds, k.rev
	}
}

func (m *state) sync(n int) {
	p := &m.p[n]
	p.view = m.k
	if p.view.leader == uint8(n)+1 && p.hold == m.k.hold[n] && p.hold != 0 {
		p.term = m.k.leaderVer
	} else {
		p.term = 0
	}
}

// returning in place of a release: all have announced the new one, and one has just come back with the former; it
// has read the keys while nobody led.
const returning = 3

// most bounds the states of one exploration; none that is to hold comes near it.
const most = 12_000_000

func explore(w taken, b bounds, former uint8, silent bool) (states int, why string) {
	var s state
	s.k = keys{level: 1, plan: 1}
	for n, knows := range []uint8{2, 2, min(former, 2)} {
		s.start(n, knows, silent && knows == 1)
		s.register(n)
	}
	s.k.leader = 1
	if former == returning {
		s.start(0, 1, silent)
		s.k.leader = 2
	}
	s.k.rev++
	s.k.leaderVer = s.k.rev
	for n := range 3 {
		if s.p[n].hold > 0 {
			s.sync(n)
		}
	}
	s.rename()
	seen := map[state]struct{}{s: {}}
	for queue := []state{s}; len(queue) > 0; {
		m := queue[0]
		queue = queue[1:]
		if why := m.check(); why != "" {
			return len(seen), why
		}
		if len(seen) > most {
			return len(seen), ""
		}
		for _, n := range m.next(w, b, silent) {
			if _, ok := seen[n]; !ok {
				seen[n] = struct{}{}
				queue = append(queue, n)
			}
		}
	}
	return len(seen), ""
}

// Every run within the bounds, from a cluster in which one controller has the former release and from one in which
// none has: nothing breaks, and without any of the guards some run does.
func TestEveryRise(t *testing.T) {
	b := bounds{starts: 1, sends: 2, words: 1, crashes: 1, freezes: 1}
	if os.Getenv("HAREWALK_LONG") != "" {
		b.sends = 3
	}
	for _, c := range []struct {
		former uint8
		silent bool
	}{{1, false}, {1, true}, {2, false}, {2, true}, {returning, false}, {returning, true}} {
		t.Run(fmt.Sprintf("former %d silent %v", c.former, c.silent), func(t *testing.T) {
			t.Parallel()
			n, why := explore("", b, c.former, c.silent)
			t.Logf("%d states: %q", n, why)
			if why != "" || n < 20_000 || n >= most {
				t.Fatalf("%d states: %s", n, why)
			}
		})
	}
	for _, g := range []struct {
		guard  taken
		former uint8
		silent bool
		b      bounds
	}{
		{"the lead", 2, false, bounds{1, 2, 0, 1, 1}},
		{"the members' versions", 2, false, bounds{1, 1, 0, 1, 0}},
		{"the words' version", 2, false, bounds{0, 2, 1, 0, 0}},
		{"the present process", 2, true, bounds{1, 1, 0, 1, 0}},
		{"all have announced", 1, false, bounds{0, 1, 0, 0, 0}},
		{"the level in campaigns", returning, false, bounds{0, 2, 0, 0, 1}},
		{"the level in everybody's writes", 2, false, bounds{0, 4, 0, 0, 0}},
		{"the record's version", 2, false, bounds{0, 4, 0, 0, 0}},
		{"nothing left", 2, false, bounds{0, 2, 0, 0, 0}},
		{"staying out", 2, false, bounds{1, 2, 0, 1, 1}},
		{"the term's format", 2, true, bounds{1, 2, 0, 1, 1}},
	} {
		t.Run("without "+string(g.guard), func(t *testing.T) {
			t.Parallel()
			n, why := explore(g.guard, g.b, g.former, g.silent)
			if t.Logf("after %d states, %s", n, why); why == "" {
				t.Error("nothing breaks: the guard, or the model, is idle")
			}
			if n, why := explore("", g.b, g.former, g.silent); why != "" {
				t.Errorf("with it, after %d states: %s", n, why)
			}
		})
	}
}
