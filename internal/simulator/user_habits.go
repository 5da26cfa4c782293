package simulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// What users do, through the controllers and in virtual time, that coincides with faults: bursts of status queries,
// odd requests, and cancellations while jobs run or at the moment of their end.

const (
	// cancelRetry is the time until a cancellation that wasn't answered is sent to the next controller.
	cancelRetry = time.Second
	// burstCancelShare is the share of the jobs with a burst of queries that are then cancelled.
	burstCancelShare = 0.15
	// burstSubmitEvery is how many queries of a burst come with one repeated submission.
	burstSubmitEvery = 3
	// maxHungMachines bounds the machines that CancelRunning makes hang.
	maxHungMachines = 8
)

// emptyBody is the body of a request without parameters.
var emptyBody = []byte("{}")

// burstTimes are the times of a burst's queries to each controller, in milliseconds.
var burstTimes = [...]int{0, 1, 3, 8, 20, 60, 150}

// userHabits is what users do now.
type userHabits struct {
	rng                *rand.Rand // of its own: what users do besides doesn't change what else is drawn
	pollBursts         bool
	oddRequests        bool
	cancelAtCompletion float64 // share of the jobs that are cancelled at the moment of their end
	invalidJobs        int     // submitted so far
}

// drawMillis draws a time below n milliseconds.
func (h *userHabits) drawMillis(n int) time.Duration {
	return time.Duration(h.rng.IntN(n)) * time.Millisecond
}

func ignoreAnswer(int, []byte) {}

// SetPollBursts makes users query every controller, again and again within milliseconds, and repeat the submission,
// right after a job was accepted, ended or confirmed as cancelled; some then cancel it.
func (sim *Simulation) SetPollBursts(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.users.habits.pollBursts = on
}

// scheduledQuery is one query of a burst.
type scheduledQuery struct {
	after      time.Duration
	controller int
}

// pollBurst is what users do right after they received something new about a job.
func (sim *Simulation) pollBurst(job string) {
	sim.mu.Lock()
	habits := &sim.users.habits
	spec := sim.work.specs[job]
	if !habits.pollBursts || spec == nil {
		sim.mu.Unlock()
		return
	}
	sim.stats.PollBursts++
	cancels := habits.rng.Float64() < burstCancelShare
	submission, _ := json.Marshal(spec)
	queries := habits.drawBurst(sim.cfg.Controllers)
	cancelAfter := habits.drawMillis(5)
	cancelAt := habits.rng.IntN(sim.cfg.Controllers)
	sim.mu.Unlock()
	for i, query := range queries {
		sim.env.schedule(query.after, func() {
			sim.Request(query.controller, http.MethodGet, runsPath+"/"+job, nil, ignoreAnswer)
			if i%burstSubmitEvery == 0 {
				sim.Request(query.controller, http.MethodPost, runsPath, submission, ignoreAnswer)
			}
		})
	}
	if cancels {
		sim.env.schedule(cancelAfter, func() { sim.CancelJob(job, cancelAt) })
	}
}

func (h *userHabits) drawBurst(controllers int) (queries []scheduledQuery) {
	for controller := range controllers {
		for _, ms := range burstTimes {
			after := time.Duration(ms+h.rng.IntN(2)) * time.Millisecond
			queries = append(queries, scheduledQuery{after, controller})
		}
	}
	return queries
}

// CancelJob lets a user cancel a job through a controller, and through the others until one answers.
func (sim *Simulation) CancelJob(job string, controller int) {
	path := runsPath + "/" + job + abortSuffix
	sim.Request(controller, http.MethodPost, path, emptyBody, func(status int, _ []byte) {
		if status != http.StatusOK && status != http.StatusNotFound {
			next := (controller + 1) % sim.cfg.Controllers
			sim.env.schedule(cancelRetry, func() { sim.CancelJob(job, next) })
		}
	})
}

// runningJob is a job with tasks that run.
type runningJob struct {
	id        string
	remaining time.Duration // of the task that has longest to run
	machines  []*Machine    // one for each running task
}

// runningJobs lists the jobs that run, services left out, those with longest to run first.
func (sim *Simulation) runningJobs(now time.Duration) []*runningJob {
	byID := map[string]*runningJob{}
	var running []*runningJob
	for _, machine := range sim.readyMachines() {
		for _, task := range machine.tasks {
			if task.state != taskRunning || task.spec.Kind == jobs.Service {
				continue
			}
			job := byID[task.spec.ID]
			if job == nil {
				job = &runningJob{id: task.spec.ID}
				byID[job.id] = job
				running = append(running, job)
			}
			job.remaining = max(job.remaining, jobs.Seconds(task.remainingSeconds)-(now-task.runningSince))
			job.machines = append(job.machines, machine)
		}
	}
	slices.SortFunc(running, func(a, b *runningJob) int {
		if a.remaining != b.remaining {
			return int(min(1, max(-1, b.remaining-a.remaining)))
		}
		return strings.Compare(a.id, b.id)
	})
	return running
}

// CancelRunning lets users cancel the n running jobs that have longest to run, within a fifth of a second. With hang,
// some of their machines hang for that time from now on. It returns the jobs.
func (sim *Simulation) CancelRunning(n int, hang time.Duration) (cancelled []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	now := sim.now()
	habits := &sim.users.habits
	running := sim.runningJobs(now)
	hung := 0
	for _, job := range running[:min(n, len(running))] {
		cancelled = append(cancelled, job.id)
		after := habits.drawMillis(200)
		controller := habits.rng.IntN(sim.cfg.Controllers)
		sim.env.schedule(after, func() { sim.CancelJob(job.id, controller) })
		for _, machine := range job.machines {
			if hang > 0 && hung < maxHungMachines && now >= machine.hungUntil {
				machine.hungUntil = now + hang
				hung++
				sim.stats.MachinesHung++
			}
		}
	}
	sim.stats.JobsCancelled += len(cancelled)
	return cancelled
}

// CancelAtCompletion makes users cancel a share of the jobs that end at the moment of their end; 0 ends it.
func (sim *Simulation) CancelAtCompletion(share float64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.users.habits.cancelAtCompletion = share
}

// jobCompleted lets users cancel a job as its last task completes, if it is drawn. The caller holds the mutex.
func (sim *Simulation) jobCompleted(spec *jobs.Spec) {
	habits := &sim.users.habits
	if habits.cancelAtCompletion == 0 || sim.virtual == nil || !sim.allDone(spec.ID, spec.Tasks) {
		return
	}
	if habits.rng.Float64() >= habits.cancelAtCompletion {
		return
	}
	sim.stats.JobsCancelled++
	after := habits.drawMillis(700)
	controller := habits.rng.IntN(sim.cfg.Controllers)
	if habits.rng.IntN(2) == 0 {
		after = habits.drawMillis(5)
	}
	sim.env.schedule(after, func() { sim.CancelJob(spec.ID, controller) })
}

// SetOddRequests makes users repeat submissions of unfinished jobs, cancel jobs that are done, and submit invalid
// jobs.
func (sim *Simulation) SetOddRequests(on bool) {
	sim.mu.Lock()
	was := sim.users.habits.oddRequests
	sim.users.habits.oddRequests = on
	sim.mu.Unlock()
	if on && !was {
		sim.sendOddRequest()
	}
}

// oddRequestKind is a kind of odd request.
type oddRequestKind int

const (
	repeatSubmission oddRequestKind = iota
	cancelDoneJob
	submitInvalidJob
	oddRequestKinds int = iota
)

// sendOddRequest sends one odd request, and schedules the next.
func (sim *Simulation) sendOddRequest() {
	sim.mu.Lock()
	habits := &sim.users.habits
	if !habits.oddRequests {
		sim.mu.Unlock()
		return
	}
	sim.stats.OddRequests++
	controller := habits.rng.IntN(sim.cfg.Controllers)
	kind := oddRequestKind(habits.rng.IntN(oddRequestKinds))
	done, unfinished := sim.answeredJobs()
	path := runsPath
	var body []byte
	answered := ignoreAnswer
	switch {
	case kind == repeatSubmission && len(unfinished) > 0:
		job := unfinished[habits.rng.IntN(len(unfinished))]
		body, _ = json.Marshal(sim.work.specs[job])
	case kind == cancelDoneJob && len(done) > 0:
		job := done[habits.rng.IntN(len(done))]
		path = runsPath + "/" + job + abortSuffix
		body = emptyBody
	default:
		habits.invalidJobs++
		job := fmt.Sprintf("req-77%04d", habits.invalidJobs)
		body = sim.invalidSubmission(job, invalidity(habits.rng.IntN(invalidities)))
		answered = func(status int, _ []byte) { sim.invalidJobAnswered(job, body, status) }
	}
	next := time.Duration(100+habits.rng.IntN(400)) * time.Millisecond
	sim.mu.Unlock()
	sim.Request(controller, http.MethodPost, path, body, answered)
	sim.env.schedule(next, sim.sendOddRequest)
}

// answeredJobs lists the jobs whose users received that they are done, and those that were accepted and aren't final.
func (sim *Simulation) answeredJobs() (done, unfinished []string) {
	for job, answers := range sim.users.jobs {
		switch {
		case answers.final == stateDone:
			done = append(done, job)
		case answers.accepted && answers.final == "" && sim.work.specs[job] != nil:
			unfinished = append(unfinished, job)
		}
	}
	slices.Sort(done)
	slices.Sort(unfinished)
	return done, unfinished
}

func (sim *Simulation) invalidJobAnswered(job string, body []byte, status int) {
	switch status {
	case http.StatusOK, http.StatusCreated:
		sim.ReportViolation("accepted: %s can't run: %s", job, body)
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		sim.mu.Lock()
		sim.stats.OddRequestsRefused++
		sim.mu.Unlock()
	}
}

// invalidity is what is wrong with an invalid submission.
type invalidity int

const (
	fitsNoMachine invalidity = iota
	unknownTeam
	unknownType
	exceedsLimit
	unknownZone
	lacksField
	invalidities int = iota
)

// invalidSubmission returns a submission that no controller may accept.
func (sim *Simulation) invalidSubmission(job string, wrong invalidity) []byte {
	spec := &jobs.Spec{
		ID:        job,
		Class:     "odd",
		Team:      sim.cfg.Teams[0].Name,
		Kind:      jobs.Array,
		Priority:  "standard",
		Tasks:     2,
		CPUs:      1,
		MemoryGB:  1,
		Image:     "i",
		ImageGB:   1,
		EstimateS: 5,
		Spot:      true,
	}
	const noTeam = "nobody"
	switch wrong {
	case fitsNoMachine:
		spec.CPUs = 1e6
	case unknownTeam:
		spec.Team = noTeam
	case unknownType:
		spec.Types = []string{"no-such-type"}
	case exceedsLimit:
		spec.Kind = jobs.Gang
		spec.Tasks = 90_000
		if sim.cfg.Teams[0].CPUsMax == 0 {
			spec.Team = noTeam
		}
	case unknownZone:
		zone := "nowhere"
		spec.Zone = &zone
	}
	raw, _ := json.Marshal(spec)
	if wrong == lacksField {
		raw = []byte(strings.Replace(string(raw), `"hops":2,`, "", 1))
	}
	return raw
}
