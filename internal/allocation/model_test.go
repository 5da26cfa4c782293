package allocation

import (
	"fmt"
	"slices"
	"testing"
)

// A model of everything around the holders: the document, who leads each part, durable plans, and
// changes on their way that land once, late, twice or never. All its runs are looked at, up to a bound on
// how many changes and takeovers there are.

const limit = 2

// sent is a change on its way: what it asks, and the lead it was sent under.
type sent struct {
	part   int
	term   int8
	change Change
	heard  bool // its sender waits for an answer
}

// model is one state of the model.
type model struct {
	doc     Doc
	version uint64
	lead    []int8  // the term of each part's lead
	plan    []int32 // by part: what may be in use by the durable plan
	owners  []*Holder
	way     []sent
	changes int // asked so far
	turns   int // takeovers so far
}

// without names the guard that is taken out.
type without string

func (m *model) clone() *model {
	c := &model{
		doc: slices.Clone(m.doc), version: m.version, lead: slices.Clone(m.lead), plan: slices.Clone(m.plan),
		way: slices.Clone(m.way), changes: m.changes, turns: m.turns,
	}
	for _, h := range m.owners {
		k := *h
		c.owners = append(c.owners, &k)
	}
	return c
}

func (m *model) key() string {
	b := fmt.Appendf(nil, "%v %d %v %v %d %d|", m.doc, m.version, m.lead, m.plan, m.changes, m.turns)
	for _, h := range m.owners {
		b = fmt.Appendf(b, "%d %d %v %d %d|", h.state, h.version, h.doc, h.ask, h.use)
	}
	var ways []string
	for _, s := range m.way {
		ways = append(ways, fmt.Sprint(s))
	}
	slices.Sort(ways)
	return string(fmt.Append(b, ways))
}

// broken says which invariant doesn't hold: the parts are within the limit, and no part's plan is
// beyond what it may use.
func (m *model) broken() string {
	if m.doc.Sum() > limit {
		return "the document gives more than there is"
	}
	total := int32(0)
	for p, n := range m.plan {
		total += n
		if n > m.doc[p] {
			return fmt.Sprintf("part %d may have %d in use and has %d", p, n, m.doc[p])
		}
	}
	if total > limit {
		return "more is in use than there is"
	}
	return ""
}

// next lists all states that can follow.
func (m *model) next(bound int, w without) (out []*model) {
	step := func(f func(c *model)) {
		c := m.clone()
		f(c)
		out = append(out, c)
	}
	for p, h := range m.owners {
		send := func(c *model, ch Change) {
			c.changes++
			c.way = append(c.way, sent{p, c.lead[p], ch, true})
		}
		if m.changes < bound {
			for want := range int32(limit + 1) {
				if c := m.clone(); true {
					if ch, ok := c.owners[p].Ask(want, limit); ok {
						if w == "less at once" && ch.Doc[p] < c.owners[p].doc[p] {
							c.owners[p].ask = c.owners[p].doc[p]
						}
						send(c, ch)
						out = append(out, c)
					}
				}
			}
			if c := m.clone(); true {
				if ch, ok := c.owners[p].Again(); ok {
					send(c, ch)
					out = append(out, c)
				}
			}
		}
		if m.version != h.version || h.state == Unread {
			step(func(c *model) { c.owners[p].Learn(c.doc, c.version) })
		}
		if h.Fits(1) || (w == "more once durable" && h.state == Asking && h.use+1 <= h.ask) {
			step(func(c *model) { c.owners[p].Take(1); c.plan[p]++ })
		}
		if h.use > 0 {
			step(func(c *model) { _ = c.owners[p].Give(1); c.plan[p]-- })
		}
		if m.turns < 1 { // another comes to lead the part; what the first has sent is still on its way
			step(func(c *model) {
				c.turns++
				c.lead[p]++
				c.owners[p] = New(p, c.plan[p])
				for i := range c.way {
					if c.way[i].part == p {
						c.way[i].heard = false
					}
				}
			})
		}
	}
	for i, s := range m.way {
		gone := func(c *model) { c.way = slices.Delete(c.way, i, i+1) }
		answer := func(c *model, version uint64) {
			if s.heard {
				c.owners[s.part].Ended(s.change, version)
				if w == "the lesser while open" && version == 0 && c.owners[s.part].state == Doubtful {
					c.owners[s.part].to(Settled) // as if it were known to have failed
				}
			}
		}
		if s.heard { // no answer comes; it may land later
			step(func(c *model) { answer(c, 0); c.way[i].heard = false })
		}
		step(gone) // lost for good
		lands := s.change.Version == m.version || w == "the version"
		if s.term != m.lead[s.part] && w != "the lead" {
			lands = false
		}
		if !lands {
			step(func(c *model) { answer(c, 0); gone(c) })
			continue
		}
		step(func(c *model) {
			c.doc, c.version = slices.Clone(s.change.Doc), c.version+1
			answer(c, c.version)
			gone(c)
		})
	}
	return out
}

// explore looks at every state that can be reached and returns how many there are, and how the first
// broken one came about.
func explore(parts, bound int, w without) (states int, why string) {
	start := &model{doc: make(Doc, parts), version: 1, lead: make([]int8, parts), plan: make([]int32, parts)}
	start.doc[0] = limit
	for p := range parts {
		start.owners = append(start.owners, New(p, 0))
	}
	seen := map[string]struct{}{start.key(): {}}
	for queue := []*model{start}; len(queue) > 0; {
		m := queue[0]
		queue = queue[1:]
		if why := m.broken(); why != "" {
			return len(seen), why
		}
		for _, n := range m.next(bound, w) {
			k := n.key()
			if _, ok := seen[k]; !ok {
				seen[k] = struct{}{}
				queue = append(queue, n)
			}
		}
	}
	return len(seen), ""
}

// Every run of two parts with three changes and a takeover, in which each change lands at any time, once or not at
// all, and its answer comes or not: the limit holds. Each guard is needed: without it some run breaks it.
func TestEveryRun(t *testing.T) {
	n, why := explore(2, 3, "")
	if why != "" || n < 10_000 {
		t.Fatalf("%d states: %s", n, why)
	}
	t.Logf("%d states, none broken", n)
	for _, w := range []without{"more once durable", "less at once", "the lesser while open", "the version", "the lead"} {
		n, why := explore(2, 4, w)
		if why == "" {
			t.Errorf("without %q nothing breaks in %d states: the guard, or the model, is idle", w, n)
		}
		t.Logf("without %q: after %d states, %s", w, n, why)
	}
}
