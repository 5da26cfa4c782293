package archive

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// This file explores every run of one job at the state service, within bounds: three submissions, one end, two moves
// to the archive, and one query. Each transaction is applied at any later time or never, and the reads of the query
// happen at any time. The conditions of the submissions and moves are those of the real code.

const (
	modelID        = "req-1"
	modelRecordKey = jobs.RecordPrefix + modelID
	modelEntryKey  = Prefix + modelID
	maxSubmissions = 3
	maxEnds        = 1
	maxMoves       = 2
	maxSent        = maxSubmissions + maxEnds + maxMoves // maximum number of transactions in one run
)

// content is the content of a key.
type content uint8

const (
	absent  content = iota
	pending         // record of a live job
	ended           // record or archive entry of an ended job
)

// cell is the state of one key. An absent key has version 0.
type cell struct {
	content content
	version uint64
}

// change is the change that a transaction makes to one key.
type change uint8

const (
	unchanged change = iota
	deleted
	putPending
	putEnded
)

// apply returns the cell after the change at a revision.
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

// anyVersion stands for no condition on the version of a key.
const anyVersion = ^uint64(0)

// modelTxn is a transaction that was sent.
type modelTxn struct {
	kind                        txnKind
	recordVersion, entryVersion uint64 // versions on which the transaction depends
	record, entry               change // changes to the two keys
}

// modelOf converts a transaction of the real code to one of the model.
func modelOf(kind txnKind, txn store.Txn) modelTxn {
	converted := modelTxn{kind: kind, recordVersion: anyVersion, entryVersion: anyVersion}
	for _, condition := range txn.If {
		switch condition.Key {
		case modelRecordKey:
			converted.recordVersion = condition.Version
		case modelEntryKey:
			converted.entryVersion = condition.Version
		}
	}
	for _, op := range txn.Then {
		switch {
		case op.Delete == modelRecordKey:
			converted.record = deleted
		case op.Put == modelRecordKey:
			converted.record = putPending
		case op.Put == modelEntryKey:
			converted.entry = putEnded
		}
	}
	return converted
}

type queryStep uint8

const (
	notStarted queryStep = iota
	started
	firstReadDone
	finished
)

// query is a user's query for the job's state. Two reads determine the result.
type query struct {
	step           queryStep
	first          content // result of the first read
	acceptedBefore bool    // whether a user may have received a confirmation of acceptance before the query
	endedBefore    bool    // whether a user may have received the final state before the query
}

// modelState is the complete state of the model. It is comparable, so that no state is explored twice.
type modelState struct {
	record, entry            cell
	revision                 uint64
	transactions             [maxSent]modelTxn // transactions sent; an empty one was lost
	sent                     int               // number of transactions sent
	submissions, ends, moves int               // numbers of transactions sent, by kind
	acceptanceReported       bool              // whether a user may have received a confirmation of acceptance
	endReported              bool              // whether a user may have received the final state
	query                    query
}

// guards are the rules that the explorations disable. A field that is true disables its rule.
type guards struct {
	submissionWithoutEntry bool // a submission depends on the absence of the archive entry
	moveWithRecord         bool // a move depends on the version of the record
	moveWithoutEntry       bool // a move depends on the absence of the archive entry
	recordReadFirst        bool // a query reads the record before the archive entry
	moveOnlyEnded          bool // a job is moved only after its end is durable
}

// send returns the state after a transaction was sent. It may be applied at any later time.
func (s modelState) send(txn modelTxn) modelState {
	s.transactions[s.sent] = txn
	s.sent++
	return s
}

// apply returns the state after a transaction was applied, and whether its conditions hold.
func (s modelState) apply(txn modelTxn) (modelState, bool) {
	if txn.recordVersion != anyVersion && txn.recordVersion != s.record.version {
		return s, false
	}
	if txn.entryVersion != anyVersion && txn.entryVersion != s.entry.version {
		return s, false
	}
	s.revision++
	s.record = txn.record.apply(s.record, s.revision)
	s.entry = txn.entry.apply(s.entry, s.revision)
	return s, true
}

// next returns the successor states, or the property that a step violates.
func (s modelState) next(disabled guards) (following []modelState, violation string) {
	following = s.afterSend(disabled)
	for i := range s.sent {
		txn := s.transactions[i]
		if txn.kind == noTxn {
			continue
		}
		lost := s // the transaction is never applied
		lost.transactions[i] = modelTxn{}
		following = append(following, lost)
		after, ok := lost.apply(txn)
		if !ok {
			continue
		}
		if violation := s.violation(txn.kind); violation != "" {
			return nil, violation
		}
		switch txn.kind {
		case submission:
			after.acceptanceReported = true
		case end:
			after.endReported = true
		}
		following = append(following, after)
	}
	after, violation := s.continueQuery(disabled)
	if violation != "" {
		return nil, violation
	}
	if after != s {
		following = append(following, after)
	}
	return following, ""
}

// violation returns the property that is violated if a transaction of the given kind is applied in this state, or "".
func (s modelState) violation(kind txnKind) string {
	switch {
	case kind == submission && s.endReported:
		return "an ended job became live again"
	case kind == move && !s.endReported:
		return "a live job was archived"
	case kind == move && s.entry.content != absent:
		return "an archive entry was overwritten"
	}
	return ""
}

// afterSend returns the states after each transaction that may be sent now.
func (s modelState) afterSend(disabled guards) (following []modelState) {
	if s.submissions < maxSubmissions {
		after := s
		after.submissions++
		following = append(following, after.send(submissionTxn(disabled)))
	}
	if s.record.content == pending && s.ends < maxEnds {
		after := s
		after.ends++
		following = append(following, after.send(modelTxn{
			kind:          end,
			recordVersion: s.record.version,
			entryVersion:  anyVersion,
			record:        putEnded,
		}))
	}
	mayMove := s.record.content == ended || disabled.moveOnlyEnded && s.record.content == pending
	if mayMove && s.moves < maxMoves {
		after := s
		after.moves++
		following = append(following, after.send(moveModelTxn(s.record.version, disabled)))
	}
	return following
}

func submissionTxn(disabled guards) modelTxn {
	txn := store.Txn{
		If:   []store.Condition{{Key: modelRecordKey}, AbsentCondition(modelID)},
		Then: []store.Op{{Put: modelRecordKey}},
	}
	if disabled.submissionWithoutEntry {
		txn.If = txn.If[:1]
	}
	return modelOf(submission, txn)
}

func moveModelTxn(recordVersion uint64, disabled guards) modelTxn {
	txn := modelOf(move, moveTxn([]Candidate{{ID: modelID, Version: recordVersion}}))
	if disabled.moveWithRecord {
		txn.recordVersion = anyVersion
	}
	if disabled.moveWithoutEntry {
		txn.entryVersion = anyVersion
	}
	return txn
}

// continueQuery performs the next step of the query: its start, the first read, or the second read with the result. It
// returns the property that the result violates, or "".
func (s modelState) continueQuery(disabled guards) (after modelState, violation string) {
	first, second := s.record.content, s.entry.content
	if disabled.recordReadFirst {
		first, second = second, first
	}
	switch s.query.step {
	case notStarted:
		s.query = query{step: started, acceptedBefore: s.acceptanceReported, endedBefore: s.endReported}
	case started:
		s.query.step = firstReadDone
		s.query.first = first
	case firstReadDone:
		s.query.step = finished
		result := s.query.first
		if result == absent {
			result = second
		}
		if result == absent && s.query.acceptedBefore {
			return s, "an accepted job was reported as never submitted"
		}
		if result == pending && s.query.endedBefore {
			return s, "an ended job was reported as live"
		}
	}
	return s, ""
}

// explore visits every state until a property is violated. It returns the violation, or "" if there is none, and the
// number of states visited.
func explore(disabled guards) (violation string, states int) {
	visited := map[modelState]bool{}
	queue := []modelState{{}}
	for len(queue) > 0 {
		state := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if visited[state] {
			continue
		}
		visited[state] = true
		if state.record.content != absent && state.entry.content != absent {
			return "a job has both a record and an archive entry", len(visited)
		}
		following, violation := state.next(disabled)
		if violation != "" {
			return violation, len(visited)
		}
		queue = append(queue, following...)
	}
	return "", len(visited)
}

// No run violates a property.
func TestEveryRunOfAMove(t *testing.T) {
	violation, states := explore(guards{})
	t.Logf("%d states visited", states)
	if violation != "" || states < 1000 {
		t.Errorf("violation %q after %d states, want no violation and at least 1000 states", violation, states)
	}
}

// If a guard is disabled, some run violates a property.
func TestEveryGuardOfAMoveIsNeeded(t *testing.T) {
	for _, c := range []struct {
		name     string
		disabled guards
		want     string
	}{
		{"submission only without archive entry", guards{submissionWithoutEntry: true}, "became live again"},
		// Either of the two conditions of a move is enough to apply only one move, so both are disabled.
		{"move on record and archive entry", guards{moveWithRecord: true, moveWithoutEntry: true}, "overwritten"},
		{"record read before archive entry", guards{recordReadFirst: true}, "reported as never submitted"},
		{"move of ended jobs only", guards{moveOnlyEnded: true}, "a live job was archived"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if violation, _ := explore(c.disabled); !strings.Contains(violation, c.want) {
				t.Errorf("violation %q, want one that contains %q", violation, c.want)
			}
		})
	}
}

// The transaction that moves a job has the conditions and changes that the model assumes.
func TestMoveTransactionMatchesModel(t *testing.T) {
	txn := moveTxn([]Candidate{{ID: modelID, Version: 7, Entry: Entry{State: jobs.Done, Tasks: 2, Done: 2}}})
	want := []store.Condition{{Key: modelRecordKey, Version: 7}, {Key: modelEntryKey}}
	if !slices.Equal(txn.If, want) {
		t.Errorf("conditions %v, want the record's version and the absence of the archive entry", txn.If)
	}
	if got := fmt.Sprintf("%s %s", txn.Then[0].Put, txn.Then[1].Delete); got != modelEntryKey+" "+modelRecordKey {
		t.Errorf("changes %s, want a write of the archive entry and a deletion of the record", got)
	}
}
