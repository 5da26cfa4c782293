package sessions

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// An id whose job has ended and was archived isn't given to a session.
func TestIDOfArchivedJobIsTaken(t *testing.T) {
	h := newHarness(t, testPolicies(t))
	h.revision++
	archived := archive.Encode(archive.Answer{State: jobs.Done, Tasks: 1, Done: 1})
	h.store[archive.Key(id)] = store.Item{Key: archive.Key(id), Value: archived, Version: h.revision}
	status := noReply
	h.manager.Open(h.now, testRequest(userToken), func(r Result, err error) { status = outcomeOf(r, err) })
	h.finishCommits(commitApplied)
	version := h.store[jobs.RecordKey(id)].Version
	if status != conflict || version != 0 || h.manager.Exists(id) {
		t.Errorf("%s, the job's record at version %d", status, version)
	}
}

// A repeated request to open a session finds it if the first response was lost and the write was applied late.
func TestOpenIsIdempotentAfterLateWrite(t *testing.T) {
	h := newHarness(t, testPolicies(t))
	open := func(token string) outcome {
		status := noReply
		h.manager.Open(h.now, testRequest(token), func(r Result, err error) { status = outcomeOf(r, err) })
		h.finishCommits(commitLost)
		return status
	}
	if s := open(userToken); s != unavailable {
		t.Fatalf("%s for a write that was lost", s)
	}
	h.applyLateWrites()
	item := h.store[jobs.RecordKey(id)]
	h.applyJobRecord(jobs.RecordKey(id), item) // as the watch delivers it
	if s := open("another"); s != conflict {
		t.Fatalf("%s for another's id", s)
	}
	if s := open(userToken); s != accepted || h.state() != Opening {
		t.Fatalf("%s, %s for the user's retry", s, h.state())
	}
}

// Of two attachments only the newer one's keep-alives are accepted, and those at most once a second.
func TestOnlyTheNewestAttachmentKeepsAlive(t *testing.T) {
	h := newHarnessInUse(t)
	var first, second Result
	errNoReply := errors.New("no reply")
	firstErr, secondErr := errNoReply, errNoReply
	h.manager.Attach(h.now, id, userToken, func(r Result, err error) { first, firstErr = r, err })
	h.manager.Attach(h.now, id, userToken, func(r Result, err error) { second, secondErr = r, err })
	if outcomeOf(first, firstErr) != accepted || outcomeOf(second, secondErr) != accepted {
		t.Fatalf("attached with %v, %v", firstErr, secondErr)
	}
	if got := outcomeOf(h.manager.KeepAlive(h.now, id, userToken, first.View.AttachmentID)); got != conflict {
		t.Fatalf("the earlier of two attaches keeps it alive: %s", got)
	}
	taken := 0
	for range 1000 {
		switch got := outcomeOf(h.manager.KeepAlive(h.now, id, userToken, second.View.AttachmentID)); got {
		case accepted:
			taken++
		case tooFrequent:
		default:
			t.Fatalf("a keep-alive ends with %s", got)
		}
	}
	if taken != 1 {
		t.Fatalf("%d of 1000 keep-alives at one time were accepted", taken)
	}
}

// The user's and the agent's tokens aren't interchangeable, and a guess doesn't reveal whether a session exists.
func TestTokensOpenOnlyTheirOwnSession(t *testing.T) {
	h := newHarnessInUse(t)
	status := noReply
	h.manager.Attach(h.now, id, agentToken, func(r Result, err error) { status = outcomeOf(r, err) })
	if status != forbidden {
		t.Fatalf("%s for an attach with the agent's token", status)
	}
	_, unknownErr := h.manager.KeepAlive(h.now, "req-000002", userToken, 0)
	_, guessErr := h.manager.KeepAlive(h.now, id, "guess", 0)
	if outcomeOf(Result{}, unknownErr) != forbidden || guessErr == nil || unknownErr.Error() != guessErr.Error() {
		t.Fatalf("an unknown session is told from another's: %v, %v", unknownErr, guessErr)
	}
	_, err := h.manager.HandleHeartbeat(h.now, id, userToken, h.nextHeartbeat())
	if outcomeOf(Result{}, err) != forbidden {
		t.Fatalf("a heartbeat with the user's token: %v", err)
	}
}

// Limits count sessions whose write is in flight too.
func TestLimitsOfUsersAndTeams(t *testing.T) {
	h := newHarness(t, testPolicies(t))
	h.openSession()
	open := func(n int, user, team string) outcome {
		request := &Request{
			Spec:             testSpec(fmt.Sprintf("req-%06d", n), team),
			User:             user,
			UserTokenDigest:  TokenDigest("a"),
			AgentTokenDigest: TokenDigest("b"),
		}
		status := noReply
		h.manager.Open(h.now, request, func(r Result, err error) { status = outcomeOf(r, err) })
		return status
	}
	open(2, user, team)
	if s := open(3, user, "u"); s != conflict {
		t.Fatalf("%s for a user's third, with one still being written", s)
	}
	open(4, "ren", team)
	h.finishCommits(commitApplied)
	if s := open(5, "mio", team); s != conflict {
		t.Fatalf("%s for a team's fourth", s)
	}
	if s := open(1, user, team); s != conflict {
		t.Fatalf("%s for another's id", s)
	}
}

// A session whose job was cancelled otherwise can't be attached to.
func TestAttachAfterTheJobEnded(t *testing.T) {
	h := newHarness(t, testPolicies(t))
	h.openSession()
	job := h.jobTable.Get(id)
	h.revision++
	cancelled := jobs.EncodeRecord(jobs.Cancelled, 0, 1, job.Spec)
	if _, _, err := h.jobTable.Apply(id, cancelled, h.revision); err != nil {
		t.Fatal(err)
	}
	status := noReply
	h.manager.Attach(h.now, id, userToken, func(r Result, err error) { status = outcomeOf(r, err) })
	if status != ended {
		t.Fatalf("%s for a session whose job has ended", status)
	}
}

// A closed session leaves no record and no count, nor does one whose job was cancelled otherwise.
func TestCloseLeavesNoRecord(t *testing.T) {
	for _, otherwise := range []bool{false, true} {
		h := newHarnessInUse(t)
		if otherwise {
			h.cancelJob()
			h.advance(time.Minute)
			h.finishCommits(commitApplied)
		} else {
			status := noReply
			h.manager.Close(id, "guess", func(r Result, err error) { status = outcomeOf(r, err) })
			if status != forbidden {
				t.Fatalf("%s for another's token", status)
			}
			h.manager.Close(id, userToken, func(r Result, err error) { status = outcomeOf(r, err) })
			if h.finishCommits(commitApplied); status != accepted || h.jobTable.Get(id).State != jobs.Cancelled {
				t.Fatalf("%s, job %s", status, h.jobTable.Get(id).State)
			}
		}
		if h.state() != Closed || h.store[Key(id)].Version != 0 {
			t.Fatalf("left behind: %s, %+v", h.state(), h.store[Key(id)])
		}
		if byUser, byTeam := h.manager.sessionsByUser, h.manager.sessionsByTeam; byUser[user] != 0 || byTeam[team] != 0 {
			t.Fatalf("still counted: %v, %v", byUser, byTeam)
		}
	}
}

// Requests that arrive while the record of an ended session is being deleted got no reply at all. They get one whether
// or not the deletion is carried out.
func TestRequestsDuringDeletionAreAnswered(t *testing.T) {
	for _, deletion := range []commitOutcome{commitApplied, commitNotApplied} {
		h := newHarnessInUse(t)
		h.cancelJob()
		h.advance(time.Minute)
		if len(h.commits) == 0 {
			t.Fatal("the record isn't being deleted")
		}
		attached, closed := noReply, noReply
		h.manager.Attach(h.now, id, userToken, func(r Result, err error) { attached = outcomeOf(r, err) })
		h.manager.Close(id, userToken, func(r Result, err error) { closed = outcomeOf(r, err) })
		h.finishCommits(deletion)
		if attached == noReply || closed == noReply {
			t.Errorf("deletion outcome %v: attach got %q, close got %q", deletion, attached, closed)
		}
	}
}
