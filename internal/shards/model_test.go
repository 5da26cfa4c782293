package shards

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"testing"
)

// A model of all that is around the tenures of one machine in two parts: its durable record, who leads each
// part, durable plans, the machine with its token and what runs on it, and messages that arrive late, once or
// never. All its runs are looked at, within bounds on how many of each kind there are.

// message is one on its way: a launch, an answer that raises the machine's token, a report, or a hand-over.
type message struct {
	kind    byte // 'l', 'a', 'r', 'h'
	part    int
	term    uint64 // it was sent under
	token   uint64
	running [2]bool // 'r'
	seq     int     // 'r'
	version uint64  // 'h'
	to      int     // 'h'
	heard   bool    // 'l', 'h': its sender waits for the answer
}

type model struct {
	counter                             uint64 // of terms and tokens
	lead                                [2]uint64
	loan                                Loan
	version                             uint64
	plan                                [2]bool
	out                                 [2]int  // launches of the present term whose landing isn't known
	fresh                               [2]bool // a report at our token lacked everything of ours
	owner                               [2]Tenure
	token                               uint64
	running                             [2]bool
	seq                                 int             // of what the machine has said
	seen                                [2]int          // by owner: older reports are void
	way                                 [maxWay]message // the first ways of them, in order: two models that differ by nothing else are the same
	ways                                int
	launches, reports, handovers, turns int
	full                                bool // a message more was sent than are looked at: this run isn't followed
}

// without names the guard that is taken out.
type without string

// maxWay bounds the messages on their way at once.
const maxWay = 4

func (m *model) send(x message) {
	if m.ways == maxWay {
		m.full = true
		return
	}
	m.way[m.ways] = x
	m.ways++
	m.sort()
}

func (m *model) drop(i int) {
	m.ways--
	m.way[i], m.way[m.ways] = m.way[m.ways], message{}
	m.sort()
}

func (m *model) sort() {
	slices.SortFunc(m.way[:m.ways], func(a, b message) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.part, b.part), cmp.Compare(a.token, b.token), cmp.Compare(a.term, b.term),
			cmp.Compare(a.version, b.version), cmp.Compare(a.seq, b.seq), cmp.Compare(fmt.Sprint(a.heard, a.running), fmt.Sprint(b.heard, b.running)))
	})
}

// broken says which invariant doesn't hold.
func (m *model) broken() string {
	for p := range 2 {
		if m.running[p] && !m.plan[p] {
			return fmt.Sprintf("something of part %d runs, and its plan knows nothing of it", p)
		}
	}
	switch {
	case m.plan[0] && m.plan[1]:
		return "both parts have something on the machine"
	case m.owner[0].May() && m.owner[1].May():
		return "both parts may start something"
	}
	return ""
}

func (m *model) clear(p int, w without) bool {
	if w == "empty first" {
		return true
	}
	return !m.plan[p] && m.fresh[p]
}

// next lists all states that can follow.
func (m *model) next(w without, reports int) (out []model) {
	step := func(f func(c *model)) {
		c := *m
		if f(&c); !c.full {
			out = append(out, c)
		}
	}
	reporting := slices.ContainsFunc(m.way[:m.ways], func(x message) bool { return x.kind == 'r' })
	if m.reports < reports && !reporting { // the machine reports
		step(func(c *model) {
			c.reports++
			c.seq++
			c.send(message{kind: 'r', token: c.token, running: c.running, seq: c.seq})
		})
	}
	for p := range 2 {
		if m.running[p] { // what runs ends
			step(func(c *model) { c.running[p] = false })
		}
		t := &m.owner[p]
		if m.version > t.version {
			step(func(c *model) { c.owner[p].Learn(c.loan, c.version); c.fresh[p] = false })
		}
		if t.May() && !m.plan[p] && m.launches < 2 { // planned, durably, and then sent
			step(func(c *model) {
				c.launches++
				c.plan[p], c.fresh[p] = true, false
				c.out[p]++
				c.send(message{kind: 'l', part: p, term: c.lead[p], token: c.owner[p].Token(), heard: true})
			})
		}
		if t.May() {
			step(func(c *model) { c.owner[p].Yield() })
		}
		if t.state == Yielding {
			step(func(c *model) { c.owner[p].Keep() })
		}
		send := func(c *model, h Handover) {
			c.handovers++
			c.send(message{kind: 'h', part: p, term: c.lead[p], version: h.Version, to: h.To, heard: true})
		}
		if m.handovers < 3 {
			step(func(c *model) {
				if h, ok := c.owner[p].Handover(1-p, c.clear(p, w)); ok {
					send(c, h)
				} else if h, ok := c.owner[p].Again(); ok {
					send(c, h)
				}
			})
		}
		if m.turns < 1 { // another comes to lead the part
			step(func(c *model) {
				c.turns++
				c.counter++
				c.lead[p], c.out[p], c.fresh[p] = c.counter, 0, false
				c.owner[p] = *NewTenure(p, c.counter, c.loan, c.version)
				for i := range c.ways {
					if c.way[i].part == p {
						c.way[i].heard = false
					}
				}
				c.sort()
			})
		}
	}
	for i, x := range m.way[:m.ways] {
		step(func(c *model) { c.drop(i) }) // lost for good
		step(func(c *model) {
			c.drop(i)
			c.arrive(x, w)
		})
		if x.heard && x.kind == 'h' { // the sender gives up waiting; it may land later
			step(func(c *model) {
				c.way[i].heard = false
				c.sort()
				c.refused(x, w)
			})
		}
	}
	return out
}

func (m *model) refused(x message, w without) {
	t := &m.owner[x.part]
	t.Ended(Handover{x.version, x.to}, Loan{}, 0)
	if w == "the doubt" && t.state == Doubtful {
		t.enter(Yielding) // as if it were known to have failed
	}
}

// arrive is a message's arrival.
func (m *model) arrive(x message, w without) {
	switch x.kind {
	case 'l', 'a':
		if x.token < m.token && w != "tokens" {
			return
		}
		m.token = max(m.token, x.token)
		if x.kind == 'l' {
			m.running[x.part] = true
			if x.heard { // the answer is a report, too
				m.out[x.part]--
				m.seq++
				m.seen[x.part] = m.seq
			}
		}
	case 'r':
		for p := range 2 {
			t := &m.owner[p]
			if !t.Ours() || (x.seq <= m.seen[p] && w != "old reports void") {
				continue
			}
			m.seen[p] = x.seq
			if x.token < t.Token() && w != "a fresh report" {
				m.send(message{kind: 'a', part: p, term: m.lead[p], token: t.Token()})
				continue
			}
			t.Report(x.token)
			if (x.token == t.Token() || w == "a fresh report") && !x.running[p] && (m.out[p] == 0 || w == "late commands") {
				m.plan[p], m.fresh[p] = false, true
			}
		}
	case 'h':
		lands := (x.version == m.version || w == "the version") && (x.term == m.lead[x.part] || w == "the lead")
		if !lands {
			if x.heard {
				m.refused(x, w)
			}
			return
		}
		m.counter++
		m.loan, m.version = Loan{x.to, m.counter}, m.version+1
		if w == "a higher token" {
			m.loan.Token = 1
		}
		if x.heard {
			m.owner[x.part].Ended(Handover{x.version, x.to}, m.loan, m.version)
			m.fresh[x.part] = false
		}
	}
}

func explore(w without, reports int) (states int, why string) {
	start := &model{counter: 2, lead: [2]uint64{1, 2}, token: 1, version: 1, loan: Loan{0, 0}}
	for p := range 2 {
		start.owner[p] = *NewTenure(p, start.lead[p], start.loan, start.version)
	}
	seen := map[model]struct{}{*start: {}}
	for queue := []model{*start}; len(queue) > 0; {
		m := queue[0]
		queue = queue[1:]
		if why := m.broken(); why != "" {
			return len(seen), why
		}
		for _, n := range m.next(w, reports) {
			if _, ok := seen[n]; !ok {
				seen[n] = struct{}{}
				queue = append(queue, n)
			}
		}
	}
	return len(seen), ""
}

// Every run, within the bounds, of one machine in two parts: two launches, three hand-overs, another leader once,
// reports in any number up to the bound. Nothing breaks, and without any of the guards some run does.
func TestEveryHandover(t *testing.T) {
	reports, guards := 5, []without{"empty first", "late commands", "a fresh report", "the doubt", "the lead", "tokens", "old reports void"}
	if os.Getenv("HAREWALK_LONG") != "" {
		// The shortest run that a late hand-over breaks takes seven reports and a million states.
		reports, guards = 7, append(guards, "the version")
	}
	n, why := explore("", reports)
	if t.Logf("%d states: %q", n, why); why != "" || n < 50_000 {
		t.Fatalf("%d states: %s", n, why)
	}
	for _, w := range guards {
		n, why := explore(w, reports)
		if t.Logf("without %q: after %d states, %s", w, n, why); why == "" {
			t.Errorf("without %q nothing breaks: the guard, or the model, is idle", w)
		}
	}
}
