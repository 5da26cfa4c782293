package sessions

import (
	"slices"
	"strings"
	"time"
)

// View is the representation of a session for users and operators.
type View struct {
	ID           string      `json:"name_id"`
	User         string      `json:"user"`
	Team         string      `json:"team"`
	State        string      `json:"stance"`
	InStateS     float64     `json:"for_s"`  // time in the state, in seconds
	IdleS        float64     `json:"idle_s"` // time since the last input, in seconds; 0 unless idle
	CellRunning  bool        `json:"cell,omitempty"`
	UnsavedMB    float64     `json:"unsaved_mb,omitempty"`
	Checkpoint   *Checkpoint `json:"saved,omitempty"`
	AttachmentID uint64      `json:"attachment,omitempty"`
	ReclaimInS   float64     `json:"reclaim_in_s,omitempty"`
	Cause        string      `json:"why,omitempty"` // why the session is being reclaimed
}

// List returns the sessions of a user and a team, sorted by id. "" selects all users or all teams.
func (m *Manager) List(now time.Duration, user, team string) []View {
	views := []View{}
	for _, s := range m.byID {
		if (user == "" || s.record.User == user) && (team == "" || s.record.Team == team) {
			views = append(views, m.view(now, s))
		}
	}
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return views
}

// CountByState returns the number of sessions in each state, by the state's name.
func (m *Manager) CountByState() map[string]int {
	counts := map[string]int{}
	for _, s := range m.byID {
		counts[s.state.String()]++
	}
	return counts
}

// Show returns the view of one session; ok is false if there is no session with that id.
func (m *Manager) Show(now time.Duration, id string) (view View, ok bool) {
	s := m.byID[id]
	if s == nil {
		return View{}, false
	}
	return m.view(now, s), true
}

func (m *Manager) view(now time.Duration, s *session) View {
	view := View{
		ID:           s.id,
		User:         s.record.User,
		Team:         s.record.Team,
		State:        s.state.String(),
		InStateS:     (now - s.stateSince).Seconds(),
		CellRunning:  s.agent.cellRunningSince > 0,
		UnsavedMB:    s.agent.unsavedMB,
		Checkpoint:   s.record.Checkpoint,
		AttachmentID: s.user.attachmentID,
		Cause:        s.reclaim.cause,
	}
	if s.state == Idle || s.state == Warned || s.state == Checkpointing {
		view.IdleS = (now - s.agent.lastInputAt).Seconds()
	}
	if s.state == Warned {
		view.ReclaimInS = max(0, (s.stateSince + m.Policies.WarningTime - now).Seconds())
	}
	return view
}

// closedView returns the view of a session that has ended.
func (s *session) closedView() View {
	return View{ID: s.id, User: s.record.User, Team: s.record.Team, State: Closed.String()}
}
