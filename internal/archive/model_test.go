package archive

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// This file explores every run of one job's life in the state service, within bounds: three submissions, its end,
// two moves, whose transactions are carried out at any moment, once, or never, and a query that is answered by
// reads at any moments. The transactions' conditions are those that the real code writes.

const (
	modelID        = "req-1"
	modelRecordKey = jobs.Prefix + modelID
	modelAnswerKey = Prefix + modelID
	maxSubmissions = 3
	maxEnds        = 1
	maxMoves       = 2
	maxSent        = maxSubmissions + maxEnds + maxMoves // transactions in one run
)

// content is what a key of the model holds.
type content uint8

const (
	absent  content = iota
	pending         // a live job's record
	ended           // an ended job's record, or its answer
)

// cell is one key of the model. An absent one has version 0.
type cell struct {
	content content
	version uint64
}

// change is what a transaction makes of one key.
type change uint8

const (
	unchanged change = iota
	deleted
	putPending
	putEnded
)

// apply returns a cell after a change at a revision.
func (c change) apply(before cell, revision uint64) cell {
	switch c {
	case deleted:
		return cell{}
	case putPending:
		return cell{content: pending, version: revision}
	case putEnded:
		return cell{content: ended, version: revision}
	}
	return before
}

type txnKind uint8

const (
	noTxn txnKind = iota
	submission
	end
	move
)

// anyVersion is the condition that always holds.
const anyVersion = ^uint64(0)

// modelTxn is a transaction that may still be carried out.
type modelTxn struct {
	kind                         txnKind
	recordVersion, answerVersion uint64 // conditions
	record, answer               change
}

// modelOf returns the model's form of a real transaction.
func modelOf(kind txnKind, txn store.Txn) modelTxn {
	out := modelTxn{kind: kind, recordVersion: anyVersion, answerVersion: anyVersion}
	for _, condition := range txn.If {
		switch condition.Key {
		case modelRecordKey:
			out.recordVersion = condition.Version
		case modelAnswerKey:
			out.answerVersion = condition.Version
		}
	}
	for _, op := range txn.Then {
		switch {
		case op.Delete == modelRecordKey:
			out.record = deleted
		case op.Put == modelRecordKey:
			out.record = putPending
		case op.Put == modelAnswerKey:
			out.answer = putEnded
		}
	}
	return out
}

type queryStep uint8

const (
	notAsked queryStep = iota
	asked
	readOnce
	answered
)

// query is a user's question about the job, answered by two reads.
type query struct {
	step          queryStep
	first         content // what the first read found
	knownAccepted bool    // acceptance may have been answered before
	knownEnded    bool    // the end may have been answered before
}

// modelState is a whole state. It is comparable, so that states that were seen are not explored again.
type modelState struct {
	record, answer           cell
	revision                 uint64
	open                     [maxSent]modelTxn
	sent                     int
	submissions, ends, moves int
	isAccepted               bool // some user may have received that answer
	isEnded                  bool // some user may have received that answer
	query                    query
}

// missingGuards are the conditions and orders without which a run is explored.
type missingGuards struct {
	submissionOnAnswer bool // a submission depends on the answer's absence
	moveOnRecord       bool // a move depends on the record's version
	moveOnAnswer       bool // a move depends on the answer's absence
	recordReadFirst    bool // a query reads the record before the answer
	moveEndedOnly      bool // jobs are moved after their end is durable
}

// send adds a transaction that may be carried out at any later moment.
func (s modelState) send(txn modelTxn) modelState {
	s.open[s.sent] = txn
	s.sent++
	return s
}

// carryOut applies a transaction if its conditions hold.
func (s modelState) carryOut(txn modelTxn) (modelState, bool) {
	if txn.recordVersion != anyVersion && txn.recordVersion != s.record.version {
		return s, false
	}
	if txn.answerVersion != anyVersion && txn.answerVersion != s.answer.version {
		return s, false
	}
	s.revision++
	s.record = txn.record.apply(s.record, s.revision)
	s.answer = txn.answer.apply(s.answer, s.revision)
	return s, true
}

// next returns the states that may follow, or what went wrong.
func (s modelState) next(missing missingGuards) (following []modelState, wrong string) {
	following = s.sendings(missing)
	for i := range s.sent {
		txn := s.open[i]
		if txn.kind == noTxn {
			continue
		}
		lost := s // never carried out
		lost.open[i] = modelTxn{}
		following = append(following, lost)
		after, ok := lost.carryOut(txn)
		if !ok {
			continue
		}
		if wrong := s.violation(txn.kind); wrong != "" {
			return nil, wrong
		}
		switch txn.kind {
		case submission:
			after.isAccepted = true
		case end:
			after.isEnded = true
		}
		following = append(following, after)
	}
	after, wrong := s.continueQuery(missing)
	if wrong != "" {
		return nil, wrong
	}
	if after != s {
		following = append(following, after)
	}
	return following, ""
}

// violation returns what is wrong with a transaction that is carried out in a state.
func (s modelState) violation(kind txnKind) string {
	switch {
	case kind == submission && s.isEnded:
		return "a job that had ended lives again"
	case kind == move && !s.isEnded:
		return "a live job was archived"
	case kind == move && s.answer.content != absent:
		return "an answer was written over"
	}
	return ""
}

// sendings returns the states after each transaction that may be sent.
func (s modelState) sendings(missing missingGuards) (following []modelState) {
	if s.submissions < maxSubmissions {
		after := s
		after.submissions++
		following = append(following, after.send(submissionTxn(missing)))
	}
	if s.record.content == pending && s.ends < maxEnds {
		after := s
		after.ends++
		following = append(following, after.send(modelTxn{
			kind:          end,
			recordVersion: s.record.version,
			answerVersion: anyVersion,
			record:        putEnded,
		}))
	}
	mayMove := s.record.content == ended || missing.moveEndedOnly && s.record.content == pending
	if mayMove && s.moves < maxMoves {
		after := s
		after.moves++
		following = append(following, after.send(moveModelTxn(s.record.version, missing)))
	}
	return following
}

func submissionTxn(missing missingGuards) modelTxn {
	txn := store.Txn{
		If:   []store.Condition{{Key: modelRecordKey}, Absent(modelID)},
		Then: []store.Op{{Put: modelRecordKey}},
	}
	if missing.submissionOnAnswer {
		txn.If = txn.If[:1]
	}
	return modelOf(submission, txn)
}

func moveModelTxn(recordVersion uint64, missing missingGuards) modelTxn {
	txn := modelOf(move, moveTxn([]Candidate{{ID: modelID, Version: recordVersion}}))
	if missing.moveOnRecord {
		txn.recordVersion = anyVersion
	}
	if missing.moveOnAnswer {
		txn.answerVersion = anyVersion
	}
	return txn
}

// continueQuery takes the next step of the query: two reads, and the answer that follows from them.
func (s modelState) continueQuery(missing missingGuards) (after modelState, wrong string) {
	first, second := s.record.content, s.answer.content
	if missing.recordReadFirst {
		first, second = second, first
	}
	switch s.query.step {
	case notAsked:
		s.query = query{step: asked, knownAccepted: s.isAccepted, knownEnded: s.isEnded}
	case asked:
		s.query.step = readOnce
		s.query.first = first
	case readOnce:
		s.query.step = answered
		answer := s.query.first
		if answer == absent {
			answer = second
		}
		if answer == absent && s.query.knownAccepted {
			return s, "an accepted job was answered as never submitted"
		}
		if answer == pending && s.query.knownEnded {
			return s, "an ended job was answered as live"
		}
	}
	return s, ""
}

// explore visits every state and returns the first thing that goes wrong, and how many states there are.
func explore(missing missingGuards) (wrong string, states int) {
	seen := map[modelState]bool{}
	open := []modelState{{}}
	for len(open) > 0 {
		state := open[len(open)-1]
		open = open[:len(open)-1]
		if seen[state] {
			continue
		}
		seen[state] = true
		if state.record.content != absent && state.answer.content != absent {
			return "a job is stored in two places", len(seen)
		}
		following, wrong := state.next(missing)
		if wrong != "" {
			return wrong, len(seen)
		}
		open = append(open, following...)
	}
	return "", len(seen)
}

// Nothing goes wrong in any run.
func TestEveryRunOfAMove(t *testing.T) {
	wrong, states := explore(missingGuards{})
	t.Logf("%d states", states)
	if wrong != "" || states < 1000 {
		t.Errorf("%s, after %d states", wrong, states)
	}
}

// Without any one of the guards something goes wrong.
func TestEveryGuardOfAMoveIsNeeded(t *testing.T) {
	for _, c := range []struct {
		name    string
		missing missingGuards
		want    string
	}{
		{"submission on answer", missingGuards{submissionOnAnswer: true}, "lives again"},
		// Of a move's two conditions either is enough to let it be carried out once.
		{"move on record and answer", missingGuards{moveOnRecord: true, moveOnAnswer: true}, "written over"},
		{"record read first", missingGuards{recordReadFirst: true}, "as never submitted"},
		{"move of ended jobs only", missingGuards{moveEndedOnly: true}, "a live job was archived"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if wrong, _ := explore(c.missing); !strings.Contains(wrong, c.want) {
				t.Errorf("went wrong: %q, not %q", wrong, c.want)
			}
		})
	}
}

// The transactions of the real code have the conditions and changes of the model's.
func TestConditionsOfAMove(t *testing.T) {
	txn := moveTxn([]Candidate{{ID: modelID, Version: 7, Answer: Answer{State: jobs.Done, Tasks: 2, Done: 2}}})
	want := []store.Condition{{Key: modelRecordKey, Version: 7}, {Key: modelAnswerKey}}
	if !slices.Equal(txn.If, want) {
		t.Errorf("conditions %v", txn.If)
	}
	if got := fmt.Sprintf("%s %s", txn.Then[0].Put, txn.Then[1].Delete); got != modelAnswerKey+" "+modelRecordKey {
		t.Errorf("changes %s", got)
	}
}
