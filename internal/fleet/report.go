package fleet

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
)

// Verdict is what becomes of a report.
type Verdict uint8

// The verdicts.
const (
	Accept  Verdict = iota
	Stale           // older than one already seen: void
	Deposed         // the worker has seen a higher token than ours
)

// Report takes over one report that came as a request and answers it. The caller has
// checked that this controller has authority.
func (f *Fleet) Report(now time.Duration, r *Report) (a Answer, v Verdict) {
	f.reports++
	m, v := f.take(now, r, asReport)
	if v == Stale && f.dares(now, m, r) {
		return Answer{Token: m.Token, Commands: f.cancelled(r)}, Accept
	}
	if v != Accept {
		return Answer{}, v
	}
	m.Answered = now
	defer func() { m.told(now, r, a) }()
	a = Answer{Token: m.Token, Commands: []Command{}}
	if r.Token < m.Token || !f.loaded {
		a.Commands = f.cancelled(r) // for all else the token has to be seen first
		return a, Accept
	}
	m.fence()
	a.Token = m.Token
	if m.Condition == Acting || m.Condition == Noticed {
		a.Commands = f.commands(now, m, r)
	} else {
		a.Commands = f.cancelled(r)
	}
	return a, Accept
}

// cancelled stops what a report lists of cancelled jobs. Every answer extends what its machine lives on, whether it is
// ever heard again or not: none may go out without these, not even the first one of a new owner, whose token the machine
// hasn't seen. A machine that was last heard from at the very end of a cut, and then by nobody, ran cancelled work
// for a lease longer than cancel_s allows. A cancellation is final, so the stop is never wrong.
func (f *Fleet) cancelled(r *Report) []Command {
	out := []Command{}
	for i := range r.Tasks {
		e := &r.Tasks[i]
		if j, _ := f.resolve(e.Task); j != nil && e.State != exited && j.Stance == jobs.Cancelled {
			out = append(out, Command{Op: opStop, Task: e.Task, Attempt: e.Attempt, GraceS: new(float64)})
		}
	}
	return out
}

// origin is how a report came.
type origin uint8

const (
	asReport    origin = iota // as a request of the worker's; it may be a copy of an old one
	asResponse                // the body of a response to a command of ours; it may have been made while an answer of ours was under way
	asRestarted               // as that, and the worker has restarted since it was last heard
)

// take brings the machine's state up to a report.
func (f *Fleet) take(now time.Duration, r *Report, how origin) (*Machine, Verdict) {
	direct := how != asReport
	if r.Token>>tokenBits > f.Term {
		return nil, Deposed
	}
	m := f.Machine(now, r.Machine)
	if m.Condition == Gone {
		// The cloud confirmed its return: this report was under way for long.
		return m, Stale
	}
	if how == asRestarted {
		f.dare(now, m)
		m.hearing.restarted = true
		return m, Accept
	}
	past, dared := m.past(r), m.tookDare(r)
	if !dared && (past || m.hearing.dare != 0 && r.Session == m.Session) {
		if !past {
			return m, Accept // of which life it is nobody knows: the raised token goes out, and nothing follows
		}
		return m, Stale
	}
	if dared && past {
		slog.Info("a machine has restarted", "machine", m.Name, "session", r.Session, "term", f.Term)
		m.hearing, m.images = hearing{}, nil
	}
	m.hearing.dare, m.hearing.restarted = 0, false
	unheard := r.Session > m.Session && m.Session > 0 && now-m.Answered < f.Settings.Lease()
	if r.Session != m.Session {
		// Direct commands name their session: those of the old one are refused now.
		f.settleLate(m)
		f.crashed(now, m)
		// The lease of a session counts from its beginning, even if no report of it was
		// ever answered: a direct launch may run that long.
		m.Answered = now
	}
	f.Describe(m, r.Addr, r.Type, r.Zone, r.Spot)
	if r.Session > m.Session {
		m.hearing.seen, m.hearing.since, m.hearing.witness = 0, 0, Command{}
	}
	m.Session, m.Seq, m.hearing.seen = r.Session, r.Seq, max(m.hearing.seen, r.Token)
	if unheard && !direct {
		// Its lease ran out although its reports were answered.
		f.deafen(now, m, "its lease ran out although it was answered")
	}
	f.deafIfUnseen(now, m, r)
	if r.Token < m.Token || !f.loaded {
		// Not fenced yet: a former owner's command may still arrive. Our token goes
		// out with the answer, and the next report will carry it.
		// One that was lost has to show that it hears first: a zone of machines that don't once counted as back with
		// each of their new sessions, and more were rented there.
		if direct {
			return m, Accept
		}
		if m.Spoke = now; m.Condition != Deaf && m.Condition != Lost {
			f.heard(now, m)
		}
		return m, Accept
	}
	if direct {
		m.hearing.since, m.hearing.witness = 0, Command{}
	} else if !f.showed(now, m, r) {
		return m, Accept
	}
	// What it was asked it answers, and may reach nobody all the same: then it dies with its lease, and no new work belongs
	// there. Only a report tells that it lives.
	if !direct {
		f.heard(now, m)
	}
	if m.fencing {
		m.fencing = false
		f.settleLate(m)
	}
	switch {
	case r.NoticeS != nil && !m.Retiring:
		if m.Condition != Noticed {
			m.NoticeAt = now + config.Seconds(*r.NoticeS)
			f.condition(m, Noticed, "spot notice")
			f.unlane(m)
		}
	case m.Condition != Acting && !m.Retiring && !direct:
		if m.UpSince == 0 {
			m.UpSince = now
		}
		f.condition(m, Acting, "report at our token")
	}
	f.tasks(now, m, r, direct)
	return m, Accept
}

// heard notes that a machine is there. One that doesn't hear is not: nothing can be done with it.
func (f *Fleet) heard(now time.Duration, m *Machine) {
	m.Heard, m.Spoke, m.Aside = now, now, false
	f.LastReport = now
}

// settleLate notes that no direct launch sent so far can be executed any more.
func (f *Fleet) settleLate(m *Machine) {
	clear(m.late)
	for ref := range m.On {
		f.job(ref.Job).Tasks[ref.Task].Late = false
	}
}

// tasks compares the list of a fenced report with what is known.
func (f *Fleet) tasks(now time.Duration, m *Machine, r *Report, direct bool) {
	clear(f.listed)
	// Exits first: a refused attempt may stand beside the one that runs.
	for i := range r.Tasks {
		e := &r.Tasks[i]
		if e.job, e.no = f.resolve(e.Task); e.job != nil && e.State != exited {
			f.listed[Ref{e.job.Index, e.no}] = struct{}{}
		}
	}
	for i := range r.Tasks {
		e := &r.Tasks[i]
		if e.job == nil || e.job.Tasks == nil {
			continue
		}
		if e.State == exited {
			_, again := f.listed[Ref{e.job.Index, e.no}]
			f.exit(now, m, e.job, e.no, e, again)
		} else {
			f.live(now, m, e.job, e.no, e)
		}
	}
	missing := f.refs[:0]
	for ref := range m.On {
		if _, ok := f.listed[ref]; !ok {
			missing = append(missing, ref)
		}
	}
	f.refs = missing
	sortRefs(missing)
	for _, ref := range missing {
		f.missing(now, m, ref, direct)
	}
}

func sortRefs(rs []Ref) {
	slices.SortFunc(rs, func(a, b Ref) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task)) })
}

func (f *Fleet) resolve(name string) (*jobs.Job, int32) {
	id, t, ok := splitTask(name)
	if !ok {
		return nil, 0
	}
	j := f.Book.Get(id)
	if j == nil || int(t) >= j.N {
		return nil, 0
	}
	return j, t
}

func phaseOf(state string) jobs.Phase {
	switch state {
	case fetching:
		return jobs.Fetching
	case waiting:
		return jobs.Waiting
	case running:
		return jobs.Running
	case saving:
		return jobs.Saving
	}
	return jobs.NoPhase
}

// live takes over a task that is on the machine.
func (f *Fleet) live(now time.Duration, m *Machine, j *jobs.Job, t int32, e *TaskReport) {
	k := &j.Tasks[t]
	if k.State == jobs.Finished {
		return // commands will stop it
	}
	if k.State != jobs.Unplanned && k.Machine != m.Index {
		if k.State.Occupies() {
			slog.Error("task seen on a machine that it was not sent to", "task", e.Task, "machine", m.Name,
				"expected", f.machines[k.Machine].Name, "term", f.Term)
			return
		}
		f.dropLane(j, t) // planned elsewhere, but it is here
		f.must(j.Set(t, jobs.Unplanned))
	}
	if k.State == jobs.Planned {
		f.dropLane(j, t)
	}
	if k.State != jobs.OnMachine {
		if k.Machine != m.Index {
			k.Machine = m.Index
			j.Touch(t, true, now)
		}
		if k.Since == 0 || !k.State.Occupies() {
			k.Since = now
		}
		f.place(now, j, t, jobs.OnMachine)
		k.Attempt = e.Attempt
		j.Attempt = max(j.Attempt, e.Attempt)
		j.Started = true
		if j.Stance.Terminal() || j.Parked {
			f.halt(j, t)
		}
	}
	k.Attempt = e.Attempt
	if len(j.Seats) > 0 {
		f.Gate.Seats.Attempt(now, seatRef(j, t), e.Attempt, j.Seats)
	}
	k.Late = false
	p := phaseOf(e.State)
	if p == jobs.Running && k.Phase != jobs.Running {
		k.RunSince = now
		f.happened(now, events.TaskRunning, j, t, "")
	}
	if k.Phase != p {
		j.Enter(t, p)
		m.endsOK = false
	}
}

// exit takes over the end of a task. again tells that another attempt of it is listed as
// alive on the same machine.
func (f *Fleet) exit(now time.Duration, m *Machine, j *jobs.Job, t int32, e *TaskReport, again bool) {
	k := &j.Tasks[t]
	if e.Why == whyDone {
		if j.Stance.Terminal() {
			if k.State.Occupies() && k.Machine == m.Index {
				f.release(now, j, t, jobs.Unplanned, licences.Clean)
			}
			return
		}
		if k.State.Occupies() && (k.Machine != m.Index || again || (k.Late && k.Attempt != e.Attempt)) {
			// It is done, but another attempt may be on a machine: that counts until it
			// is seen to be gone.
			k.Done = true
			f.halt(j, t)
			return
		}
		f.finish(now, m, j, t, true)
		if j.Spec.Kind == jobs.Gang {
			f.gangDone(now, j)
		}
		return
	}
	mine := k.Machine == m.Index && k.State.Occupies() && (k.Attempt == e.Attempt || k.State == jobs.Recovered)
	if !mine || again {
		return
	}
	if e.Why == whyBusy {
		// Another attempt of it is here: the next report lists it, or nothing of it.
		return
	}
	slog.Info("task ended", "task", e.Task, "machine", m.Name, "cause", e.Why, "saved", e.Saved, "term", f.Term)
	f.Events.Add(events.Event{At: now, Kind: events.TaskEnded, Job: j.ID, Task: t, Machine: m.Index, Attempt: k.Attempt, Note: e.Why, Saved: e.Saved})
	f.release(now, j, t, jobs.Unplanned, endOf(e.Why))
	j.Touch(t, false, now)
	switch e.Why {
	case whyError:
		k.Fails = min(k.Fails+1, 6)
		k.Until = now + time.Second<<k.Fails
		f.avoid(now, m, j)
		f.failed(now, m, j, t)
	case whyNoRoom, whyUnknown:
		k.Until = now + 2*time.Second
	}
}

// avoidFor is how long a job stays away from a machine on which it failed.
const avoidFor = 60 * time.Second

// avoid keeps a job off a machine on which one of its tasks failed.
func (f *Fleet) avoid(now time.Duration, m *Machine, j *jobs.Job) {
	if j.Avoid == nil {
		j.Avoid = map[int32]time.Duration{}
	}
	j.Avoid[m.Index] = now + avoidFor
	for _, t := range slices.Clone(m.waiting(j.Index)) {
		f.dropLane(j, t)
		f.must(j.Set(t, jobs.Unplanned))
	}
}

// gangDone follows from one task of a gang being done: every one is. Those that may still
// be on a machine count there until they are seen to be gone, since a task that is started
// again after its gang was done is on its machine for a moment before it exits.
func (f *Fleet) gangDone(now time.Duration, j *jobs.Job) {
	j.GangDone = true
	for t := range j.Tasks {
		if !j.Tasks[t].State.Occupies() {
			f.finish(now, nil, j, int32(t), false)
		}
	}
}

// finish records a task's completion.
func (f *Fleet) finish(now time.Duration, m *Machine, j *jobs.Job, t int32, seen bool) {
	k := &j.Tasks[t]
	if k.State == jobs.Finished {
		return
	}
	if seen && k.Machine == m.Index && k.Phase == jobs.Running {
		f.learn(j, m, (now - k.RunSince).Seconds(), k.Fails == 0)
		f.proves(j, m)
	}
	if k.State == jobs.Planned {
		f.dropLane(j, t)
	}
	f.happened(now, events.TaskDone, j, t, "")
	f.release(now, j, t, jobs.Finished, licences.Clean)
	j.Touch(t, false, now)
	if j.DoneN == j.N {
		slog.Info("all tasks done", "job", j.ID, "term", f.Term)
	}
}

// learn compares a run time with its estimate.
func (f *Fleet) learn(j *jobs.Job, m *Machine, ran float64, clean bool) {
	if j.Spec.EstimateS <= 0 || ran < 2 || !clean || j.Spec.CheckpointS > 0 && j.Attempt != 0 && ran < j.Spec.EstimateS/4 {
		return
	}
	s := f.stats(j.Class)
	r := math.Min(8, math.Max(0.1, ran/j.Spec.EstimateS))
	// One job's tasks share its owner's error: a job counts once, not once a task.
	w := 1 / math.Sqrt(float64(j.N))
	rate := math.Max(w/(s.n+w), w*0.1)
	m.slow += 0.2 * (math.Min(6, math.Max(0.5, r/s.ratio)) - m.slow)
	s.ratio = math.Exp((1-rate)*math.Log(s.ratio) + rate*math.Log(r))
	s.n += w
}

// missing handles a task that should be on the machine but is not listed by a fenced
// report.
func (f *Fleet) missing(now time.Duration, m *Machine, ref Ref, direct bool) {
	j := f.job(ref.Job)
	k := &j.Tasks[ref.Task]
	switch k.State {
	case jobs.Launched:
		// Its launch went out directly, in an answer that is still under way (a direct
		// report says nothing of that), or in one that the worker dropped. Only in the
		// last case it surely won't start any more: it is sent again or given up.
		if (j.Stance.Terminal() || m.Condition != Acting) && !k.Late && !direct {
			f.release(now, j, ref.Task, jobs.Unplanned, licences.Unstarted)
		}
	case jobs.Recovered:
		to := jobs.Planned
		if j.Stance.Terminal() || j.Spec.Kind != jobs.Array || m.Condition != Acting {
			to = jobs.Unplanned
		}
		// It may have run and crashed under the owner before.
		f.release(now, j, ref.Task, to, licences.Crashed)
	case jobs.OnMachine:
		slog.Info("task vanished", "job", j.ID, "task", ref.Task, "machine", m.Name, "term", f.Term)
		f.happened(now, events.TaskVanished, j, ref.Task, "")
		f.release(now, j, ref.Task, jobs.Unplanned, licences.Crashed)
		if !j.Stance.Terminal() {
			j.Touch(ref.Task, false, now)
		}
	}
}

// dropLane takes a task out of its machine's lanes.
func (f *Fleet) dropLane(j *jobs.Job, t int32) {
	k := &j.Tasks[t]
	if k.Machine == jobs.None {
		return
	}
	m := f.machines[k.Machine]
	ts := m.waiting(j.Index)
	if i := slices.Index(ts, t); i >= 0 {
		m.wait(j.Index, slices.Delete(ts, i, i+1))
		f.unqueue(m, j, 1)
	}
}

func taskName(j *jobs.Job, t int32) string { return j.ID + "/" + strconv.Itoa(int(t)) }

// commands answers a fenced report: forget what is recorded, stop what must stop, repeat
// launches that did not arrive, and start what the machine's lanes hold. The report has
// just been taken over: f.listed holds what it says is alive.
func (f *Fleet) commands(now time.Duration, m *Machine, r *Report) []Command {
	out := []Command{}
	for i := range r.Tasks {
		e := &r.Tasks[i]
		j, t := e.job, e.no
		if e.State == exited {
			if f.forgettable(m, j, t, e) {
				out = append(out, Command{Op: opForget, Task: e.Task, Attempt: e.Attempt})
			}
			continue
		}
		if grace, stop := f.mustStop(now, m, j, t, e); stop {
			out = append(out, Command{Op: opStop, Task: e.Task, Attempt: e.Attempt, GraceS: &grace})
		}
	}
	if m.Condition != Acting {
		return out
	}
	again := f.refs[:0]
	for ref := range m.On {
		j := f.job(ref.Job)
		if j.Tasks[ref.Task].State != jobs.Launched || j.Stance.Terminal() {
			continue
		}
		if _, alive := f.listed[ref]; !alive {
			again = append(again, ref)
		}
	}
	f.refs = again
	sortRefs(again)
	for _, ref := range again {
		j := f.job(ref.Job)
		out = append(out, Command{Op: opStart, Task: taskName(j, ref.Task), Attempt: j.Tasks[ref.Task].Attempt})
	}
	return append(out, f.starts(now, m)...)
}

// forgettable tells whether an exited task may vanish from the reports: its outcome must
// be durable, and no direct launch of the same attempt may still be under way, since a
// worker that has forgotten an attempt would start it anew.
func (f *Fleet) forgettable(m *Machine, j *jobs.Job, t int32, e *TaskReport) bool {
	if m.ordering {
		return false
	}
	if j == nil {
		return true
	}
	if _, late := m.late[attempt{Ref{j.Index, t}, e.Attempt}]; late {
		return false
	}
	if e.Why != whyDone || j.Stance.Terminal() {
		return true
	}
	return j.Tasks != nil && j.IsDurablyDone(t)
}

// mustStop tells whether a task that is alive on a machine has to go, and with what grace.
func (f *Fleet) mustStop(now time.Duration, m *Machine, j *jobs.Job, t int32, e *TaskReport) (float64, bool) {
	if j == nil || j.Stance.Terminal() || j.Tasks == nil {
		return 0, true
	}
	k := &j.Tasks[t]
	if k.State == jobs.Finished || k.Machine != m.Index {
		return 0, true
	}
	if k.Halting && e.State != saving {
		return j.Spec.SaveS + 1, true
	}
	if m.Condition == Noticed && !m.Retiring && e.State != saving {
		return f.drain(now, m, j, t)
	}
	return 0, false
}

// drain decides whether a task on a machine that is being taken should stop now: one that
// will be done in time goes on, one that can save does so while there is time, and one
// that cannot is started elsewhere at once.
func (f *Fleet) drain(now time.Duration, m *Machine, j *jobs.Job, t int32) (float64, bool) {
	rest := (m.NoticeAt - now).Seconds()
	k := &j.Tasks[t]
	if j.Spec.Kind == jobs.Gang && j.N > 1 {
		if rest > j.Spec.SaveS+f.Settings.Params.Workers.GangPeerS+1 && f.left(now, j, t) < rest*0.7 {
			return 0, false
		}
		for o := range j.Tasks {
			if j.Tasks[o].State.Occupies() {
				f.halt(j, int32(o))
			}
		}
		return j.Spec.SaveS + 1, true
	}
	if k.Phase == jobs.Running && f.left(now, j, t) < rest*0.7 {
		return 0, false
	}
	return j.Spec.SaveS + 1, true
}
