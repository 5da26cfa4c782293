package simulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/jobs"
)

// This file checks that reads are monotonic across all controllers: once a user has received an answer from any
// controller, no request sent afterwards gets an older state. In virtual time, every answer to a user is compared with
// the answers that users had received before the request was sent.

// Paths of the users' interface.
const (
	runsPath    = "/v2/runs"
	abortSuffix = "/abort"
)

// States of a job in answers to users.
const (
	stateDone      = "done"
	stateCancelled = "cancelled"
)

// isFinal reports whether a job's state is final, so that it must not change any more.
func isFinal(state string) bool { return state == stateDone || state == stateCancelled }

// jobView is a job in an answer to a user.
type jobView struct {
	ID    string `json:"name_id"`
	State string `json:"stance"`
}

func jobStateIn(body []byte) string {
	var view jobView
	_ = json.Unmarshal(body, &view)
	return view.State
}

// jobAnswers summarizes the answers that users received about one job.
type jobAnswers struct {
	accepted   bool
	acceptedAt time.Duration // time at which the job's acceptance was first received
	final      string        // final state received; "" for none yet
	finalAt    time.Duration // time at which the final state was first received
}

// userAnswers records the answers that users received, and configures the users' behavior.
type userAnswers struct {
	jobs            map[string]*jobAnswers
	cancelRequested map[string]bool // jobs whose cancellation a user requested
	onCancelled     []func()        // called once, when the next cancellation of a job is confirmed
	behavior        userBehavior
}

// userRequest identifies the job and the kind of a user's request.
type userRequest struct {
	job                       string
	submits, queries, cancels bool
}

// parseUserRequest parses a user's request. It returns false unless the request concerns the state of one job.
func parseUserRequest(method, path string, body []byte) (about userRequest, ok bool) {
	rest, ofRuns := strings.CutPrefix(path, runsPath)
	switch {
	case !ofRuns:
		return about, false
	case method == http.MethodPost && rest == "":
		var view jobView
		_ = json.Unmarshal(body, &view)
		return userRequest{job: view.ID, submits: true}, view.ID != ""
	case method == http.MethodPost && strings.HasSuffix(rest, abortSuffix):
		return userRequest{job: strings.TrimSuffix(rest[1:], abortSuffix), cancels: true}, true
	case method == http.MethodGet && len(rest) > 1 && !strings.Contains(rest[1:], "/"):
		return userRequest{job: rest[1:], queries: true}, true
	}
	return about, false
}

// isJobList reports whether a request asks for a list of jobs.
func isJobList(method, path string) bool {
	resource, _, _ := strings.Cut(path, "?")
	return method == http.MethodGet && resource == runsPath
}

// jobListView is a list of jobs in an answer to a user.
type jobListView struct {
	Jobs []jobView `json:"jobs"`
}

// checkJobList checks the jobs in a list that a user received now.
func (sim *Simulation) checkJobList(status int, body []byte) {
	var list jobListView
	if status != http.StatusOK || json.Unmarshal(body, &list) != nil {
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, job := range list.Jobs {
		sim.checkNotOrphaned(job.ID, job.State)
	}
}

// RecordSubmission records the submission of a job. Workers look up the specification in this record.
func (sim *Simulation) RecordSubmission(spec *jobs.Spec) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.records.specs[spec.ID] == nil {
		sim.addToPipelines(spec)
	}
	sim.records.specs[spec.ID] = spec
	sim.records.submittedAt[spec.ID] = sim.now()
}

// AllDone reports whether every task of a job is done.
func (sim *Simulation) AllDone(job string, tasks int) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.allDone(job, tasks)
}

func (sim *Simulation) allDone(job string, tasks int) bool {
	for index := range tasks {
		if p := sim.records.progress[taskName(job, index)]; p == nil || !p.done {
			return false
		}
	}
	return true
}

// recordCancelRequest records a request for a job's cancellation when it is sent.
func (sim *Simulation) recordCancelRequest(about userRequest) {
	if about.cancels {
		sim.mu.Lock()
		sim.users.cancelRequested[about.job] = true
		sim.mu.Unlock()
	}
}

// OnCancelled calls f once, when the next cancellation of a job is confirmed to a user.
func (sim *Simulation) OnCancelled(f func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.users.onCancelled = append(sim.users.onCancelled, f)
}

// ConfirmCancelled records that a job's cancellation was confirmed to a user.
func (sim *Simulation) ConfirmCancelled(job string) {
	for _, f := range sim.recordCancelled(job) {
		f()
	}
}

// recordCancelled records a confirmation, and returns the callbacks, which must be called without the mutex.
func (sim *Simulation) recordCancelled(job string) (callbacks []func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if _, ok := sim.records.cancelledAt[job]; ok {
		return nil
	}
	sim.records.cancelledAt[job] = sim.now()
	sim.recordSuccessorsCancelled(job, sim.now())
	callbacks = sim.users.onCancelled
	sim.users.onCancelled = nil
	return callbacks
}

// checkUserAnswer compares an answer with the answers that users had received when its request was sent, and records
// the answer.
func (sim *Simulation) checkUserAnswer(about userRequest, sentAt time.Duration, status int, body []byte) {
	sim.mu.Lock()
	answers := sim.users.jobs[about.job]
	if answers == nil {
		answers = &jobAnswers{}
		sim.users.jobs[about.job] = answers
	}
	sim.checkNotForgotten(about, answers, sentAt, status)
	sim.checkPredecessorsAccepted(about, sentAt, status)
	if status != http.StatusOK && status != http.StatusCreated {
		sim.mu.Unlock()
		return
	}
	state := jobStateIn(body)
	sim.checkNotReverted(about.job, answers, sentAt, state)
	sim.checkNotOrphaned(about.job, state)
	if about.submits && !answers.accepted {
		if spec := sim.records.specs[about.job]; spec != nil && !sim.canRun(spec) {
			sim.recordViolation("accepted: %s is accepted and can't run", about.job)
		}
	}
	isNew := answers.record(sim.now(), state)
	if isNew && state == stateDone {
		sim.checkSuccessorsNotCancelled(about.job)
	}
	sim.mu.Unlock()
	if state == stateCancelled {
		sim.ConfirmCancelled(about.job)
	}
	if isNew {
		sim.pollBurst(about.job)
	}
}

// checkNotForgotten checks that a job accepted before the request was sent is neither answered 404 nor rejected.
func (sim *Simulation) checkNotForgotten(about userRequest, answers *jobAnswers, sentAt time.Duration, status int) {
	if !answers.accepted || answers.acceptedAt >= sentAt {
		return
	}
	rejected := status == http.StatusBadRequest || status == http.StatusUnprocessableEntity
	switch {
	case status == http.StatusNotFound && !about.submits:
		sim.recordViolation("forgotten: %s is answered 404 after it was accepted", about.job)
	case about.submits && rejected:
		sim.recordViolation("forgotten: a repeated submission of %s is answered %d", about.job, status)
	}
}

// checkNotReverted checks that no other state follows a final state that a user has received.
func (sim *Simulation) checkNotReverted(job string, answers *jobAnswers, sentAt time.Duration, state string) {
	if answers.final == "" || state == answers.final {
		return
	}
	if isFinal(state) || answers.finalAt < sentAt {
		sim.recordViolation("went_back: the final state of %s changed from %s to %s", job, answers.final, state)
	}
}

// record records an answer with status 200 or 201. It returns whether the answer is the first one or the first with a
// final state.
func (a *jobAnswers) record(now time.Duration, state string) (isNew bool) {
	if !a.accepted {
		a.accepted = true
		a.acceptedAt = now
		isNew = true
	}
	if isFinal(state) && a.final == "" {
		a.final = state
		a.finalAt = now
		isNew = true
	}
	return isNew
}

// canRun reports whether a job is valid by the protocol: its team exists, a task fits a machine type that the job
// allows, and the tasks that must run together need no more than the team's limit.
func (sim *Simulation) canRun(spec *jobs.Spec) bool {
	tasks := 1
	if spec.Kind != jobs.Array {
		tasks = spec.Tasks
	}
	withinLimit := false
	for _, team := range sim.cfg.Teams {
		if team.Name == spec.Team {
			cpusFit := team.CPUsMax == 0 || spec.CPUs*float64(tasks) <= team.CPUsMax+sizeTolerance
			gpusFit := team.GPUsMax == 0 || spec.GPUs*float64(tasks) <= team.GPUsMax+sizeTolerance
			withinLimit = cpusFit && gpusFit
		}
	}
	return withinLimit && slices.ContainsFunc(sim.cfg.Types, func(machineType capacity.MachineType) bool {
		return allows(spec, machineType, "", false) && spec.Size().Fits(machineType.Size())
	})
}

// sizeTolerance is the rounding error that is tolerated when a job's size is compared with its team's limit.
const sizeTolerance = 1e-9

// allows reports whether a job's tasks may run on a machine of the type, in the zone, on spot capacity or not; zone ""
// stands for any zone of the type.
func allows(spec *jobs.Spec, machineType capacity.MachineType, zone string, spot bool) bool {
	switch {
	case spot && !spec.Spot:
		return false
	case spec.Types != nil && !slices.Contains(spec.Types, machineType.Name):
		return false
	case spec.Zone == nil:
		return true
	case zone == "":
		return slices.Contains(machineType.Zones, *spec.Zone)
	}
	return *spec.Zone == zone
}
