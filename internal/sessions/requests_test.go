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

// A session can't be opened with the id of a job that has ended and was archived.
func TestOpenRefusesIDOfArchivedJob(t *testing.T) {
	h := newHarness(t, testPolicies(t))
	h.revision++
	archived := archive.Encode(archive.Entry{State: jobs.Done, Tasks: 1, Done: 1})
	h.store[archive.Key(id)] = store.Item{Key: archive.Key(id), Value: archived, Version: h.revision}
	status := noReply
	h.manager.Open(h.now, testRequest(userToken), func(r Result, err error) { status = outcomeOf(r, err) })
	h.finishCommits(commitApplied)
	version := h.store[jobs.RecordKey(id)].Version
	if status != conflict || version != 0 || h.manager.Exists(id) {
		t.Errorf("got %s, job record at version %d, want conflict, version 0 and no session", status, version)
	}
}

// If the response to an open request is lost and its write is applied late, the user's retry gets the session, and a
// request with another token is refused.
func TestOpenIsIdempotentAfterLateWrite(t *testing.T) {
	h := newHarness(t, testPolicies(t))
	open := func(token string) outcome {
		status := noReply
		h.manager.Open(h.now, testRequest(token), func(r Result, err error) { status = outcomeOf(r, err) })
		h.finishCommits(commitLost)
		return status
	}
	if s := open(userToken); s != unavailable {
		t.Fatalf("open whose write got no response: got %s, want unavailable", s)
	}
	h.applyLateWrites()
	item := h.store[jobs.RecordKey(id)]
	h.applyJobRecord(jobs.RecordKey(id), item) // as the watch of the job records would deliver it
	if s := open("another"); s != conflict {
		t.Fatalf("open with another token: got %s, want conflict", s)
	}
	if s := open(userToken); s != accepted || h.state() != Opening {
		t.Fatalf("the user's retry: got %s, state %s, want accepted, opening", s, h.state())
	}
}

// Of two attachments only the newer one's keep-alives are accepted, at most one a second.
func TestOnlyTheNewestAttachmentKeepsAlive(t *testing.T) {
	h := newHarnessInUse(t)
	var first, second Result
	errNoReply := errors.New("no reply")
	firstErr, secondErr := errNoReply, errNoReply
	h.manager.Attach(h.now, id, userToken, func(r Result, err error) { first, firstErr = r, err })
	h.manager.Attach(h.now, id, userToken, func(r Result, err error) { second, secondErr = r, err })
	if outcomeOf(first, firstErr) != accepted || outcomeOf(second, secondErr) != accepted {
		t.Fatalf("got attach errors %v and %v, want none", firstErr, secondErr)
	}
	if got := outcomeOf(h.manager.KeepAlive(h.now, id, userToken, first.View.AttachmentID)); got != conflict {
		t.Fatalf("keep-alive of the earlier attachment: got %s, want conflict", got)
	}
	acceptedCount := 0
	for range 1000 {
		switch got := outcomeOf(h.manager.KeepAlive(h.now, id, userToken, second.View.AttachmentID)); got {
		case accepted:
			acceptedCount++
		case tooFrequent:
		default:
			t.Fatalf("keep-alive of the newer attachment: got %s, want accepted or too frequent", got)
		}
	}
	if acceptedCount != 1 {
		t.Fatalf("got %d of 1000 simultaneous keep-alives accepted, want 1", acceptedCount)
	}
}

// The user's and the agent's tokens aren't interchangeable, and a request with a wrong token doesn't reveal whether a
// session exists.
func TestTokensAuthorizeOnlyTheirOwnSession(t *testing.T) {
	h := newHarnessInUse(t)
	status := noReply
	h.manager.Attach(h.now, id, agentToken, func(r Result, err error) { status = outcomeOf(r, err) })
	if status != forbidden {
		t.Fatalf("attach with the agent's token: got %s, want not authorized", status)
	}
	_, unknownErr := h.manager.KeepAlive(h.now, "req-000002", userToken, 0)
	_, guessErr := h.manager.KeepAlive(h.now, id, "guess", 0)
	if outcomeOf(Result{}, unknownErr) != forbidden || guessErr == nil || unknownErr.Error() != guessErr.Error() {
		t.Fatalf("got errors %v for an unknown session and %v for a wrong token, want the same refusal", unknownErr, guessErr)
	}
	_, err := h.manager.HandleHeartbeat(h.now, id, userToken, h.nextHeartbeat())
	if outcomeOf(Result{}, err) != forbidden {
		t.Fatalf("heartbeat with the user's token: got error %v, want not authorized", err)
	}
}

// The limits of users and teams also count sessions whose first write is in flight.
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
		t.Fatalf("a user's third session, while the second is being written: got %s, want conflict", s)
	}
	open(4, "ren", team)
	h.finishCommits(commitApplied)
	if s := open(5, "mio", team); s != conflict {
		t.Fatalf("a team's fourth session: got %s, want conflict", s)
	}
	if s := open(1, user, team); s != conflict {
		t.Fatalf("id of an existing session, with another token: got %s, want conflict", s)
	}
}

// Attach is refused if the session's job was cancelled directly, not by closing the session.
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
		t.Fatalf("got %s, want ended", status)
	}
}

// After a session is closed, or its job is cancelled directly, its record is deleted and it counts for no limit.
func TestCloseLeavesNoRecord(t *testing.T) {
	for _, isJobCancelled := range []bool{false, true} {
		h := newHarnessInUse(t)
		if isJobCancelled {
			h.cancelJob()
			h.advance(time.Minute)
			h.finishCommits(commitApplied)
		} else {
			status := noReply
			h.manager.Close(id, "guess", func(r Result, err error) { status = outcomeOf(r, err) })
			if status != forbidden {
				t.Fatalf("close with a wrong token: got %s, want not authorized", status)
			}
			h.manager.Close(id, userToken, func(r Result, err error) { status = outcomeOf(r, err) })
			if h.finishCommits(commitApplied); status != accepted || h.jobTable.Get(id).State != jobs.Cancelled {
				t.Fatalf("close: got %s, job %s, want accepted, cancelled", status, h.jobTable.Get(id).State)
			}
		}
		if h.state() != Closed || h.store[Key(id)].Version != 0 {
			t.Fatalf("got state %s, record %+v, want closed and no record", h.state(), h.store[Key(id)])
		}
		if byUser, byTeam := h.manager.sessionsByUser, h.manager.sessionsByTeam; byUser[user] != 0 || byTeam[team] != 0 {
			t.Fatalf("got sessions by user %v, by team %v, want none", byUser, byTeam)
		}
	}
}

// Requests that arrived while the record of an ended session was being deleted never got a reply. They must get one
// whether or not the deletion is applied.
func TestRequestsDuringDeletionAreAnswered(t *testing.T) {
	for _, deletion := range []commitOutcome{commitApplied, commitNotApplied} {
		h := newHarnessInUse(t)
		h.cancelJob()
		h.advance(time.Minute)
		if len(h.commits) == 0 {
			t.Fatal("got no transaction in flight, want the deletion of the record")
		}
		attached, closed := noReply, noReply
		h.manager.Attach(h.now, id, userToken, func(r Result, err error) { attached = outcomeOf(r, err) })
		h.manager.Close(id, userToken, func(r Result, err error) { closed = outcomeOf(r, err) })
		h.finishCommits(deletion)
		if attached == noReply || closed == noReply {
			t.Errorf("deletion outcome %v: got %q for attach, %q for close, want replies", deletion, attached, closed)
		}
	}
}
