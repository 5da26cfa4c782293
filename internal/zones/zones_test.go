package zones

import (
	"fmt"
	"testing"
	"time"
)

// What a zone may look like at one moment, of eight machines; others are heard or not.
var looks = []struct {
	name   string
	c      Count
	others bool
}{
	{"all heard", Count{8, 0, 0}, true},
	{"a quarter and one quiet", Count{8, 3, 0}, true},
	{"all quiet, others heard", Count{8, 8, 0}, true},
	{"all quiet, as everywhere", Count{8, 8, 0}, false},
	{"all silent for long", Count{8, 8, 8}, false},
	{"half heard", Count{8, 4, 4}, true},
	{"three machines, all quiet", Count{3, 3, 3}, true},
	{"no machine left", Count{}, true},
}

const unit = time.Second

// plain says what must hold, from what was seen and nothing else; times count steps.
type plain struct {
	out     bool // it fell silent and half of it has not been heard since
	back    int  // steps since half of it was heard again after that, -1: it was not out
	stays   int  // steps since nearly all were heard again, or patience was over
	flaps   int  // falls lately, beyond the first
	ago     int  // steps since it fell silent last, far: never, or long ago
	settled bool // it counts as well again
}

type node struct {
	z     Zone
	since int // steps in the state
	calm  int
	p     plain
}

const (
	patience = 2
	prove    = 1
	calm     = 3
	most     = 4
	far      = 18 // longer than any limit
)

// cfgPatience is what the code at hand is given.
func cfgPatience(without string) int {
	if without == "patience" {
		return 0
	}
	return patience
}

// step lets the real code judge one look and the plain model watch it; without takes a guard out.
func step(n node, look int, without string) (node, string) {
	l := looks[look]
	now := 1000 * unit
	cfg := Config{ReturnGrace: patience * unit, ProbationTime: prove * unit, FlapForgiveness: calm * unit, MaxProbation: most * unit}
	others := l.others
	switch without {
	case "others are heard":
		others = true
	case "patience":
		cfg.ReturnGrace = 0
	case "proving":
		cfg.ProbationTime = 0
	case "flaps":
		n.z.Flaps = 0
	case "calm":
		cfg.FlapForgiveness = 0
	case "most":
		cfg.MaxProbation = 0
	case "enough machines":
		l.c.Machines, l.c.Quiet, l.c.Silent = l.c.Machines*4, l.c.Quiet*4, l.c.Silent*4
	}
	z := New(cfg)
	s := n.z
	s.Since, s.calm = now-time.Duration(n.since)*unit, now-time.Duration(n.calm)*unit
	s.LostAt = now - time.Duration(n.p.ago)*unit
	s.ReturnedAt = now - time.Duration(max(0, n.p.back)+1)*unit
	z.zones[0] = &s
	before := s.State
	z.evaluate(now, 0, l.c, others)
	got := *z.zones[0]
	real := looks[look]
	p := n.p
	lostNow := real.c.Machines >= least && (2*real.c.Silent > real.c.Machines || (real.others && 4*real.c.Quiet > 3*real.c.Machines))
	why := ""
	bad := func(format string, a ...any) {
		if why == "" {
			why = fmt.Sprintf("%s, %s -> %s: ", real.name, before, got.State) + fmt.Sprintf(format, a...)
		}
	}
	switch {
	case lostNow && !p.out:
		if (p.back >= 0 && !p.settled) || p.ago < calm {
			p.flaps = min(mostFlaps, p.flaps+1)
		}
		p.out, p.back, p.stays, p.settled, p.ago = true, -1, 0, false, 0
	case p.out && (real.c.Machines > 0 && 2*real.c.Quiet <= real.c.Machines || real.c.Machines == 0 && n.since >= cfgPatience(without)):
		p.out, p.back = false, 0
	case p.back >= 0 && !p.out && !p.settled:
		p.back = min(far, p.back+1)
	}
	if p.out != (got.State == Lost) {
		bad("it is out: %v", p.out)
	}
	if p.out && z.AllowsRenting(0) {
		bad("machines are rented in it")
	}
	if p.out && z.AcceptsWork(now, 0, Together) {
		bad("gangs are sent there")
	}
	if !lostNow && before == Healthy && got.State == Lost {
		bad("it counts as lost, and silence is everywhere or of too few")
	}
	// No room idle for long beside work: whatever its past, it takes work soon after its return.
	if !p.out && p.back >= most && !(z.AcceptsWork(now, 0, Together) && z.AcceptsWork(now, 0, Lasting)) && got.State != Suspect {
		bad("it takes no work %d steps after its return", p.back)
	}
	// Whoever isn't heard yet has time after the zone's return.
	if !p.out && p.back >= 0 && p.back < patience && !p.settled && !z.RetainsMachines(now, 0, 0) {
		bad("machines that are not heard yet are given back %d steps after its return", p.back)
	}
	// It counts as well only after it has stayed for as long as its past asks for.
	if got.State == OnProbation {
		if p.stays = min(far, p.stays+1); before != OnProbation {
			p.stays = 0
		}
	}
	if got.State == Healthy && before == OnProbation {
		if p.stays < prove<<p.flaps-1 {
			bad("it is well after %d steps and %d flaps", p.stays, p.flaps)
		}
		p.settled = true
	}
	if p.settled && got.State == Healthy && got.Flaps < p.flaps {
		p.flaps = got.Flaps // made up for
		if n.calm < calm {
			bad("a flap is made up for after %d steps", n.calm)
		}
	}
	if got.Flaps != p.flaps && without == "" {
		bad("%d flaps, there were %d", got.Flaps, p.flaps)
	}
	p.ago = min(far, p.ago+1)
	out := node{z: got, p: p}
	out.since = min(far, int((now-got.Since)/unit)+1)
	out.calm = min(far, int((now-got.calm)/unit)+1)
	out.z.Since, out.z.LostAt, out.z.ReturnedAt, out.z.calm = 0, 0, 0, 0
	return out, why
}

func explore(without string) (states int, why string) {
	start := node{p: plain{back: -1, ago: far}, calm: far, since: far}
	seen := map[node]struct{}{start: {}}
	for queue := []node{start}; len(queue) > 0; {
		n := queue[0]
		queue = queue[1:]
		for look := range looks {
			m, why := step(n, look, without)
			if why != "" {
				return len(seen), why
			}
			if _, ok := seen[m]; !ok {
				seen[m] = struct{}{}
				queue = append(queue, m)
			}
		}
	}
	return len(seen), ""
}

// Every run of a zone, over all that it may look like, held against what was seen; and without any of the guards some
// run breaks.
func TestEveryZone(t *testing.T) {
	n, why := explore("")
	if t.Logf("%d states: %q", n, why); why != "" || n < 500 {
		t.Fatalf("%d states: %s", n, why)
	}
	for _, w := range []string{"others are heard", "patience", "proving", "flaps", "calm", "most", "enough machines"} {
		n, why := explore(w)
		if t.Logf("without %q: after %d states, %s", w, n, why); why == "" {
			t.Errorf("without %q nothing breaks", w)
		}
	}
}

// A next leader knows what an earlier one found, by the wall's clock; what is well takes no room; what can't be read or
// is of a format to come is an error.
func TestStoredZones(t *testing.T) {
	names := []string{"a", "b", "c"}
	name := func(i int32) string { return names[i] }
	index := func(s string) int32 {
		for i, n := range names {
			if n == s {
				return int32(i)
			}
		}
		return -1
	}
	z := New(Config{ProbationTime: time.Second})
	quiet, heard := map[int32]Count{0: {8, 8, 8}, 1: {8, 0, 0}, 2: {8, 3, 0}}, map[int32]Count{0: {8, 0, 0}, 1: {8, 0, 0}, 2: {8, 0, 0}}
	z.Evaluate(10*unit, quiet)
	z.Evaluate(20*unit, heard)
	z.Evaluate(21*unit, heard)
	z.Evaluate(21*unit+unit/2, quiet)
	if !z.Dirty() {
		t.Fatal("nothing to be stored")
	}
	raw := z.Encode(name, func(duration time.Duration) int64 { return 1_000_000 + duration.Milliseconds() })
	next := New(Config{ProbationTime: time.Second})
	if err := next.Restore(raw, index, func(ms int64) time.Duration { return time.Duration(ms-1_020_000) * time.Millisecond }); err != nil {
		t.Fatal(err)
	}
	if got := next.Zone(0); got.State != Lost || got.Flaps != 1 || got.Since != 1500*time.Millisecond {
		t.Errorf("%s: %+v", raw, got)
	}
	if next.Zone(1) != (Zone{}) || next.Zone(2).State != Healthy || next.Dirty() {
		t.Errorf("%s", raw)
	}
	for _, bad := range []string{`[]`, `{"v":2}`, `{"zones":7}`} {
		if New(Config{}).Restore([]byte(bad), index, func(int64) time.Duration { return 0 }) == nil {
			t.Errorf("%s is taken", bad)
		}
	}
}
