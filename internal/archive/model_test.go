package archive

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// This file looks at every run of one job's life in the state service, within bounds: three submissions, its end or its
// cancellation, two moves, whose transactions are carried out whenever they like, once, or never, and a question that
// is answered by reads at any moments. The transactions' conditions are those that the real code writes.

const (
	modelID    = "req-1"
	recordKey  = jobs.Prefix + modelID
	answerKey  = Prefix + modelID
	mostInWork = 6 // transactions that were sent in one run
)

// cell is one key of the model: what stands there and its version. "" is nothing.
type cell struct {
	value   string
	version uint64
}

// sentTxn is a transaction that may still be carried out.
type sentTxn struct {
	name string
	ifs  [2]uint64 // versions of record and answer that it depends on, anyVersion for none
	puts [2]string // what becomes of record and answer, "" for no change, "-" for dropped
}

const anyVersion = ^uint64(0)

// modelState is all there is. It is comparable, so that states that were seen are not looked at again.
type modelState struct {
	record, answer cell
	revision       uint64
	open           [mostInWork]sentTxn
	sent           int
	submits, moves int
	ends           int
	accepted       bool // some user may have been told so
	ended          bool // some user may have been told done or cancelled
	// A question: 0 not asked, 1 asked, 2 one read done, 3 answered. seen is what the first read found.
	asked         int
	seen          string
	knownAccepted bool // it was accepted when the question was asked
	knownEnded    bool
}

// guards are what a run is looked at without, one at a time.
type guards struct {
	lateSubmission bool // a submission doesn't depend on the answer's absence
	moveRecord     bool // a move doesn't depend on the record's version
	moveAnswer     bool // a move doesn't depend on the answer's absence
	readOrder      bool // a question reads the answer first
	moveLive       bool // jobs are moved before their end is durable
}

// fromTxn turns a real transaction into the model's.
func fromTxn(name string, txn store.Txn) sentTxn {
	x := sentTxn{name: name, ifs: [2]uint64{anyVersion, anyVersion}}
	for _, c := range txn.If {
		switch c.Key {
		case recordKey:
			x.ifs[0] = c.Version
		case answerKey:
			x.ifs[1] = c.Version
		}
	}
	for _, o := range txn.Then {
		switch {
		case o.Delete == recordKey:
			x.puts[0] = "-"
		case o.Put == recordKey:
			x.puts[0] = "pending"
		case o.Put == answerKey:
			x.puts[1] = "ended"
		}
	}
	return x
}

func (s modelState) send(x sentTxn) (modelState, bool) {
	if s.sent == mostInWork {
		return s, false
	}
	s.open[s.sent] = x
	s.sent++
	return s, true
}

// carryOut does a transaction if its conditions hold.
func (s modelState) carryOut(x sentTxn) (modelState, bool) {
	if x.ifs[0] != anyVersion && x.ifs[0] != s.record.version || x.ifs[1] != anyVersion && x.ifs[1] != s.answer.version {
		return s, false
	}
	s.revision++
	for i, c := range []*cell{&s.record, &s.answer} {
		switch x.puts[i] {
		case "":
		case "-":
			*c = cell{}
		default:
			*c = cell{x.puts[i], s.revision}
		}
	}
	return s, true
}

// next lists what may follow, with what went wrong in it.
func (s modelState) next(g guards) (out []modelState, wrong string) {
	add := func(n modelState, ok bool) {
		if ok {
			out = append(out, n)
		}
	}
	if s.submits < 3 {
		n := s
		n.submits++
		txn := store.Txn{If: []store.Condition{{Key: recordKey}, Absent(modelID)}, Then: []store.Op{{Put: recordKey}}}
		if g.lateSubmission {
			txn.If = txn.If[:1]
		}
		add(n.send(fromTxn("submission", txn)))
	}
	if s.record.value == "pending" && s.ends < 1 {
		n := s
		n.ends++
		add(n.send(sentTxn{name: "end", ifs: [2]uint64{s.record.version, anyVersion}, puts: [2]string{"ended", ""}}))
	}
	if (s.record.value == "ended" || g.moveLive && s.record.value == "pending") && s.moves < 2 {
		n := s
		n.moves++
		x := fromTxn("move", transaction([]Candidate{{ID: modelID, Version: s.record.version}}))
		if g.moveRecord {
			x.ifs[0] = anyVersion
		}
		if g.moveAnswer {
			x.ifs[1] = anyVersion
		}
		add(n.send(x))
	}
	for i := range s.sent {
		x := s.open[i]
		if x.name == "" {
			continue
		}
		dropped := s // never carried out
		dropped.open[i] = sentTxn{}
		out = append(out, dropped)
		n, ok := dropped.carryOut(x)
		if !ok {
			continue
		}
		switch x.name {
		case "submission":
			if s.ended {
				return nil, "a job that had ended lives again"
			}
			n.accepted = true
		case "end":
			n.ended = true
		case "move":
			if !s.ended {
				return nil, "a live job was archived"
			}
			if s.answer.value != "" {
				return nil, "an answer was written over"
			}
		}
		out = append(out, n)
	}
	if n, bad := s.question(g); bad != "" {
		return nil, bad
	} else if n != s {
		out = append(out, n)
	}
	return out, ""
}

// question goes on with the question: two reads, and the answer that follows from them.
func (s modelState) question(g guards) (modelState, string) {
	first, second := s.record.value, s.answer.value
	if g.readOrder {
		first, second = second, first
	}
	switch s.asked {
	case 0:
		s.asked, s.knownAccepted, s.knownEnded = 1, s.accepted, s.ended
	case 1:
		s.asked, s.seen = 2, first
	case 2:
		s.asked = 3
		said := s.seen
		if said == "" {
			said = second
		}
		if said == "" && s.knownAccepted {
			return s, "an accepted job was said never to have been submitted"
		}
		if said == "pending" && s.knownEnded {
			return s, "an ended job was said to be live"
		}
	}
	return s, ""
}

// explore looks at every run and returns the first thing that goes wrong, and how many states there are.
func explore(g guards) (wrong string, states int) {
	seen := map[modelState]bool{}
	todo := []modelState{{}}
	for len(todo) > 0 {
		s := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if seen[s] {
			continue
		}
		seen[s] = true
		if s.record.value != "" && s.answer.value != "" {
			return "a job stands in two places", len(seen)
		}
		next, bad := s.next(g)
		if bad != "" {
			return bad, len(seen)
		}
		todo = append(todo, next...)
	}
	return "", len(seen)
}

// Nothing goes wrong in any run, and without any one of the guards something does.
func TestEveryRunOfAMove(t *testing.T) {
	wrong, states := explore(guards{})
	t.Logf("%d states", states)
	if wrong != "" || states < 1000 {
		t.Errorf("%s, after %d states", wrong, states)
	}
	for _, c := range []struct {
		g    guards
		want string
	}{
		{guards{lateSubmission: true}, "lives again"},
		// Of a move's two conditions either is enough to let it be carried out once.
		{guards{moveRecord: true, moveAnswer: true}, "written over"},
		{guards{readOrder: true}, "never to have been submitted"},
		{guards{moveLive: true}, "a live job was archived"},
	} {
		wrong, _ := explore(c.g)
		if wrong == "" || !strings.Contains(wrong, c.want) {
			t.Errorf("without a guard, %+v: %q", c.g, wrong)
		}
	}
}

// The transactions of the real code depend on what the model says they do.
func TestConditionsOfAMove(t *testing.T) {
	x := transaction([]Candidate{{ID: modelID, Version: 7, Answer: Answer{jobs.Done, 2, 2}}})
	if want := []store.Condition{{Key: recordKey, Version: 7}, {Key: answerKey}}; !slices.Equal(x.If, want) {
		t.Errorf("conditions %v", x.If)
	}
	if got := fmt.Sprintf("%s %s", x.Then[0].Put, x.Then[1].Delete); got != answerKey+" "+recordKey {
		t.Errorf("changes %s", got)
	}
}
