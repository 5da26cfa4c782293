package licences

import (
	"errors"
	"fmt"
	"time"

	"github.com/go-json-experiment/json"
)

// Answer is what a licence server says of a pool, as docs/licences.md publishes it.
type Answer struct {
	// Count is how many units the server gives out in all; 0 if it doesn't say.
	Count   int     `json:"count"`
	Holders []Entry `json:"holders"`
}

// Entry is one holder as the server knows it. Task is the task's name for our own holders and
// anything else for others.
type Entry struct {
	Task    string `json:"holder"`
	Attempt uint64 `json:"attempt"`
	Units   int    `json:"units"`
}

// maxHolders bounds an answer.
const maxHolders = 100_000

// ParseAnswer reads a server's answer. An answer without the list of holders is none.
func ParseAnswer(raw []byte) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(raw, &a); err != nil {
		return Answer{}, fmt.Errorf("licence server: %w", err)
	}
	if a.Holders == nil {
		return Answer{}, errors.New("licence server: the answer has no list \"holders\"")
	}
	if len(a.Holders) > maxHolders || a.Count < 0 {
		return Answer{}, errors.New("licence server: the answer is out of bounds")
	}
	for _, e := range a.Holders {
		if e.Units < 0 || e.Units > 1e6 {
			return Answer{}, fmt.Errorf("licence server: holder %q has %d units", e.Task, e.Units)
		}
	}
	return a, nil
}

// Due lists the pools whose servers are to be asked now and notes that they are being asked.
// Each is asked one question at a time: every poll interval, and sooner while seats linger or
// somebody waits for one.
func (l *Ledger) Due(now time.Duration) (due []*Pool) {
	for _, a := range l.pools {
		if a.Server == "" || a.asking {
			continue
		}
		every := a.poll()
		if a.line == Unasked || a.byState[Lingering] > 0 || a.wanted {
			every = max(leastPoll, every/16)
		}
		if a.askedAt == 0 || now-a.askedAt >= every {
			a.asking, a.askedAt, a.wanted = true, now, false
			due = append(due, a.Pool)
		}
	}
	return due
}

func (a *account) poll() time.Duration {
	if a.Poll > 0 {
		return a.Poll
	}
	return defaultPoll
}

// window is for how long figures of the server are kept that it takes back.
func (a *account) window() time.Duration { return max(a.Linger, leastWindow) }

// Failed takes over that a server was asked in vain.
func (l *Ledger) Failed(now time.Duration, pool string) {
	if ix, ok := l.cat.Index(pool); ok {
		l.pools[ix].asking = false
	}
}

// Answered takes over a server's answer to a question that was sent at sent. known finds our
// own task by its name; any other holder is somebody else.
func (l *Ledger) Answered(now, sent time.Duration, pool string, ans Answer, known func(task string) (Ref, bool)) {
	ix, ok := l.cat.Index(pool)
	if !ok {
		return
	}
	a := l.pools[ix]
	a.asking = false
	a.answered = max(a.answered, sent)
	if a.line == Unasked || a.line == Silent {
		a.to(now, Open, "it answers")
	}
	a.serverN = ans.Count
	shown := make(map[Holder]int, len(ans.Holders))
	foreign := 0
	for _, e := range ans.Holders {
		ref, ours := known(e.Task)
		if !ours {
			foreign += e.Units
			continue
		}
		shown[a.holder(ref, e.Attempt)] += e.Units
	}
	l.show(now, sent, a, shown)
	a.foreign = foreign
	a.recent = append(a.recent, past{now, foreign})
	for len(a.recent) > 1 && now-a.recent[0].at > a.window() {
		a.recent = a.recent[1:]
	}
	l.doubt(now, a)
}

// holder finds whom an entry means. A server that can't tell attempts means the one that
// holds the seat now.
func (a *account) holder(ref Ref, attempt uint64) Holder {
	if attempt == 0 {
		if h, ok := a.current[ref]; ok && h.Attempt != 0 {
			return h
		}
	}
	return Holder{ref, attempt}
}

// show takes over what the server has for each of our holders. What lingers is free once an
// answer lacks it that was asked for after the task was gone; but one that forgets those who
// surely run proves nothing, and then the linger has to run out.
func (l *Ledger) show(now, sent time.Duration, a *account, shown map[Holder]int) {
	for h, s := range a.seats {
		n := shown[h]
		before := s.weight()
		had := s.shown
		s.shown = n
		a.weight += s.weight() - before
		switch {
		case s.state == Held && n > 0 && s.late:
			s.late = false
			a.missing--
		case s.state == Held && n == 0 && had > 0 && !s.late:
			s.late = true
			a.missing++
		}
		a.keep(h, s)
	}
	for h, n := range shown {
		if _, ok := a.seats[h]; !ok {
			a.seats[h] = &seat{shown: n}
			a.weight += n
		}
	}
	for h, s := range a.seats {
		if s.state == Lingering && s.shown == 0 && sent > s.since && (!a.forgetful() || now >= s.until) {
			l.set(now, a, h, s, Free)
		}
	}
}

// forgetful tells whether the server lacks many of those who surely hold seats: more than a
// task or two that are just ending.
func (a *account) forgetful() bool { return a.missing > 2 && a.missing*4 > len(a.current) }

// doubt judges whether a server can be believed, from what it has forgotten.
func (l *Ledger) doubt(now time.Duration, a *account) {
	switch {
	case a.line == Open && a.forgetful():
		a.to(now, Doubted, "it lacks holders that still run")
	case a.line == Doubted && !a.forgetful() && now-a.lineAt > a.window():
		a.to(now, Open, "it has the holders that run")
	}
}

// Tick lets time pass: servers fall silent, lingers end, reserves change with the time of day.
func (l *Ledger) Tick(now time.Duration, wall time.Time) {
	for _, a := range l.pools {
		a.reserve = a.ReserveAt(wall)
		if a.Server == "" {
			l.unserved(now, a)
			continue
		}
		if limit := max(silentPolls*a.poll(), leastSilent); a.line != Unasked && now-a.answered > limit {
			a.to(now, Silent, "no answer")
		}
	}
}

// unserved lets time pass for a pool that nobody can be asked about: only the linger says when
// a crashed holder's seat is free, also for seats of an earlier term that nobody remembers.
func (l *Ledger) unserved(now time.Duration, a *account) {
	if a.line == Unasked && now-l.since >= a.Linger {
		a.to(now, Open, "nothing of an earlier term can linger any more")
	}
	if a.byState[Lingering] == 0 {
		return
	}
	for h, s := range a.seats {
		if s.state == Lingering && now >= s.until {
			l.set(now, a, h, s, Free)
		}
	}
}
