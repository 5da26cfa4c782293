// Package sessions keeps interactive sessions: jobs of one task that a user opens, attaches to
// and leaves, and that are reclaimed after real idleness, with a warning first and the work
// saved. It owns what is known of each session's activity and decides when one is warned,
// saved and reclaimed. It never places or stops a task itself: it asks the fleet to park a job, once
// its work is durable and its agent has frozen it, and to resume it.
//
// A Manager lives for one term of one leader, on its event loop, and does no I/O.
package sessions

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"time"
)

// State is where a session stands.
type State uint8

// The states of a session.
//
//	Opening   -> Active     its agent was heard
//	Active    -> Quiet      the policy calls it idle
//	Quiet     -> Active     it is not idle any more, or its user returned
//	Quiet     -> Warned     its idle limit is over, or somebody waits for what it holds
//	Warned    -> Active     as from Quiet
//	Warned    -> Quiet      nobody waits any more, or its agent fell silent: doubt never reclaims
//	Warned    -> Saving     the time of the warning is over: its agent is told to save and freeze
//	Saving    -> Active     its user returned, or its agent reports that it is not idle
//	Saving    -> Quiet      the save failed, or took too long: tried again later
//	Saving    -> Reclaimed  all work is saved and frozen, and that is durable: its job is parked
//	Reclaimed -> Opening    its user returned: it resumes from what was saved
//	Lost      -> Active     as from Opening
//	Active, Quiet, Warned, Saving -> Lost  its task is surely gone, without our doing; it starts
//	                        again elsewhere from its last save
//	any       -> Closed     its user closed it, or its job ended
const (
	Opening State = iota
	Active
	Idle
	Warned
	Checkpointing
	Reclaimed
	Closed
	Lost
)

var stateNames = [...]string{"opening", "active", "quiet", "warned", "saving", "reclaimed", "closed", "lost"}

func (s State) String() string { return stateNames[s] }

// stateTransitions lists the changes of state that can be meant; anything else is a defect.
var stateTransitions = [...][]State{
	Opening:       {Active, Closed},
	Active:        {Idle, Lost, Closed},
	Idle:          {Active, Warned, Lost, Closed},
	Warned:        {Active, Idle, Checkpointing, Lost, Closed},
	Checkpointing: {Active, Idle, Reclaimed, Lost, Closed},
	Reclaimed:     {Opening, Closed},
	Lost:          {Active, Closed},
	Closed:        {},
}

// Prefix is where records of sessions stand; only a leader reads them.
const Prefix = "s/"

// Key is where a session's record stands.
func Key(id string) string { return Prefix + id }

// Record is what of a session is durable: whose it is, and, where losing it would lose work,
// that it was reclaimed and what was saved.
type Record struct {
	Format           int         `json:"v,omitempty"`
	User             string      `json:"user"`
	Team             string      `json:"team"`
	UserTokenDigest  string      `json:"token"` // SHA-256 of the user's token, in hex
	AgentTokenDigest string      `json:"agent"` // SHA-256 of the agent's token, in hex
	OpenedMS         int64       `json:"opened_ms"`
	Reclaimed        bool        `json:"reclaimed,omitempty"`
	ReclaimedAtMS    int64       `json:"at_ms,omitempty"` // when it was reclaimed
	Checkpoint       *Checkpoint `json:"saved,omitempty"`
}

// Checkpoint names what an agent has saved.
type Checkpoint struct {
	Ref  string  `json:"ref"` // what the agent calls it, to resume from
	MB   float64 `json:"mb,omitempty"`
	AtMS int64   `json:"at_ms"`
}

// TokenDigest is what is stored of a token.
func TokenDigest(token string) string {
	d := sha256.Sum256([]byte(token))
	return hex.EncodeToString(d[:])
}

// tokenMatches tells whether a token belongs to a digest, in the same time whatever is given.
func tokenMatches(token, digest string) bool {
	return subtle.ConstantTimeCompare([]byte(TokenDigest(token)), []byte(digest)) == 1
}

// isTokenDigest tells whether a digest has the form of one.
func isTokenDigest(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == sha256.Size
}

// session is one session as its leader knows it.
type session struct {
	id         string
	record     Record
	version    uint64
	state      State
	stateSince time.Duration // of state
	queueIndex int           // in the queue of what is due, -1: not in it
	dueAt      time.Duration

	// What its agent last said. Ages were turned into moments on our clock when they came, so
	// that no clock but ours counts.
	attempt          uint64 // of the task the agent belongs to; 0: none was heard
	heartbeatSeq     uint64
	lastHeardAt      time.Duration
	lastInputAt      time.Duration // last input
	cellRunningSince time.Duration // a cell has been running since then; 0: none runs
	cpu, gpu         float64
	unsavedMB        float64

	lastAttachedAt  time.Duration // last attach or keep-alive; 0: never in this term
	lastKeepAliveAt time.Duration // last keep-alive taken
	attachmentID    uint64        // the newest attach
	userReturnedAt  time.Duration // when that was

	reclaimCause      string        // why it is being reclaimed
	contended         bool          // because somebody waits, not because its limit is over
	checkpointOrder   uint64        // of the save under way
	agentCheckpointAt time.Duration // when a save of the agent's own was written last
	failedCheckpoints int           // saves that failed in a row
	noWarningBefore   time.Duration // no warning before, after a failed save
	writePending      bool          // a write of its record is under way
	afterWrite        []func()      // to go on once it is over
}

// setState is the only place where a session's state changes.
func (s *session) setState(now time.Duration, to State, cause string) {
	if s.state == to {
		return
	}
	if !slices.Contains(stateTransitions[s.state], to) {
		slog.Error("state machine", "session", s.id, "from", s.state.String(), "to", to.String(), "cause", cause)
	}
	level := slog.LevelDebug
	if to == Warned || to == Checkpointing || to == Reclaimed || to == Lost {
		level = slog.LevelInfo
	}
	slog.Log(context.Background(), level, "session", "id", s.id, "from", s.state.String(), "to", to.String(), "cause", cause)
	s.state, s.stateSince = to, now
	if to != Checkpointing {
		s.checkpointOrder = 0
	}
	if to != Warned && to != Checkpointing {
		s.reclaimCause, s.contended = "", false
	}
}

// checkpointRef is what a next start would resume from, "" for nothing.
func (s *session) checkpointRef() string {
	if s.record.Checkpoint == nil {
		return ""
	}
	return s.record.Checkpoint.Ref
}

// activity is what the policy sees at a moment.
func (s *session) activity(now time.Duration, wall time.Time) Activity {
	a := Activity{
		SinceInputS: (now - s.lastInputAt).Seconds(), CPU: s.cpu, GPU: s.gpu, UnsavedMB: s.unsavedMB, Team: s.record.Team, User: s.record.User,
		SinceOpenS: max(0, wall.Sub(time.UnixMilli(s.record.OpenedMS)).Seconds()),
	}
	a.SinceAttachS = a.SinceInputS
	if s.lastAttachedAt > 0 {
		a.SinceAttachS = min(a.SinceInputS, (now - s.lastAttachedAt).Seconds())
	}
	if s.cellRunningSince > 0 {
		a.CellRunning, a.CellRunningS = true, (now - s.cellRunningSince).Seconds()
	}
	return a
}

// Heartbeat is what a session's agent says, as docs/sessions.md publishes it. Times are ages in
// seconds: no clock of the agent's counts.
type Heartbeat struct {
	Attempt      uint64            `json:"attempt"` // of the task, as its worker was told
	Seq          uint64            `json:"seq"`     // increases with every report of an attempt
	SinceInputS  float64           `json:"input_s"`
	CellRunning  bool              `json:"cell"`
	CellRunningS float64           `json:"cell_s"`
	CPU          float64           `json:"cpu"`
	GPU          float64           `json:"gpu"`
	UnsavedMB    float64           `json:"unsaved_mb"`
	Frozen       bool              `json:"frozen"`  // it takes no input until it is told to go on
	Fresh        bool              `json:"fresh"`   // it was not thawed yet since it started
	ResumedFrom  string            `json:"resumed"` // what it has resumed from, while fresh
	Checkpoint   *CheckpointResult `json:"save"`    // the outcome of an ordered save, or a save of its own
}

// CheckpointResult is the outcome of a save. One that was ordered is repeated while the agent is frozen, one
// of the agent's own (Order 0) until an answer keeps it.
type CheckpointResult struct {
	Order uint64  `json:"order"`
	OK    bool    `json:"ok"`
	Cause string  `json:"why,omitempty"`
	Ref   string  `json:"ref,omitempty"`
	MB    float64 `json:"mb,omitempty"`
}

// HeartbeatResponse is the answer to an agent's report.
type HeartbeatResponse struct {
	State string `json:"state"`
	// ReclaimInS is in how many seconds a warned session is saved and reclaimed; Why says why.
	ReclaimInS *float64 `json:"reclaim_in_s,omitempty"`
	Cause      string   `json:"why,omitempty"`
	// CheckpointOrder tells the agent to save all work and freeze, and to say so with this number.
	CheckpointOrder uint64 `json:"save,omitempty"`
	// Thaw tells a frozen agent to go on.
	Thaw bool `json:"thaw,omitempty"`
	// ResumeFrom names what to resume from; it is told until the agent says that it has, and until
	// then the agent is not thawed.
	ResumeFrom string `json:"resume,omitempty"`
	// CheckpointRef is the save that a next start would resume from.
	CheckpointRef string `json:"kept,omitempty"`
	// NextHeartbeatS is when to report next, at the latest.
	NextHeartbeatS float64 `json:"report_s"`
}

// maxHeartbeatValue bounds the ages in a report, in seconds.
const maxHeartbeatValue = 1e8

// ParseHeartbeat reads an agent's report and refuses what no agent would send.
func ParseHeartbeat(raw []byte) (Heartbeat, error) {
	var r Heartbeat
	if err := json.Unmarshal(raw, &r); err != nil {
		return r, fmt.Errorf("not a report: %w", err)
	}
	for name, v := range map[string]float64{"input_s": r.SinceInputS, "cell_s": r.CellRunningS, "cpu": r.CPU, "gpu": r.GPU, "unsaved_mb": r.UnsavedMB} {
		if !(v >= 0 && v <= maxHeartbeatValue) {
			return r, fmt.Errorf("%s is out of range", name)
		}
	}
	if r.Attempt == 0 || r.Seq == 0 {
		return r, fmt.Errorf("attempt and seq must be there")
	}
	if len(r.ResumedFrom) > 1000 || (r.Checkpoint != nil && len(r.Checkpoint.Ref)+len(r.Checkpoint.Cause) > 1000) {
		return r, fmt.Errorf("save or resumed is too long")
	}
	return r, nil
}

// View is what users and operators are shown of a session.
type View struct {
	ID           string      `json:"name_id"`
	User         string      `json:"user"`
	Team         string      `json:"team"`
	State        string      `json:"stance"`
	InStateS     float64     `json:"for_s"` // in this state
	IdleS        float64     `json:"idle_s"`
	CellRunning  bool        `json:"cell,omitempty"`
	UnsavedMB    float64     `json:"unsaved_mb,omitempty"`
	Checkpoint   *Checkpoint `json:"saved,omitempty"`
	AttachmentID uint64      `json:"attachment,omitempty"`
	ReclaimInS   float64     `json:"reclaim_in_s,omitempty"`
	Cause        string      `json:"why,omitempty"`
}
