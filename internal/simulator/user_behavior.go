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

// Users' behavior in virtual time that coincides with faults: bursts of status queries, odd requests, and
// cancellations while jobs run or as they end.

const (
	// cancelRetry is the delay after which a failed cancellation is sent to the next controller.
	cancelRetry = time.Second
	// burstCancelShare is the share of the bursts of queries after which the job is cancelled.
	burstCancelShare = 0.15
	// burstSubmitEvery is the number of queries in a burst for each repeated submission.
	burstSubmitEvery = 3
	// maxHungMachines is the maximum number of machines that CancelRunning makes hang.
	maxHungMachines = 8
)

// emptyBody is the body of a request without parameters.
var emptyBody = []byte("{}")

// burstTimes are the times of a burst's queries to each controller, in milliseconds from the burst's start.
var burstTimes = [...]int{0, 1, 3, 8, 20, 60, 150}

// userBehavior configures the users' behavior.
type userBehavior struct {
	rng                *rand.Rand // separate generator: the users' behavior doesn't change the numbers drawn elsewhere
	pollBursts         bool
	oddRequests        bool
	cancelAtCompletion float64 // share of the jobs that are cancelled as they complete
	invalidJobs        int     // number of invalid jobs submitted so far
}

// drawMillis draws a duration below n milliseconds.
func (b *userBehavior) drawMillis(n int) time.Duration {
	return time.Duration(b.rng.IntN(n)) * time.Millisecond
}

func ignoreAnswer(int, []byte) {}

// SetPollBursts enables or disables bursts of requests. After a job is accepted or reaches a final state, users query
// every controller repeatedly within milliseconds, repeat the submission, and cancel some of the jobs.
func (sim *Simulation) SetPollBursts(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.users.behavior.pollBursts = on
}

// scheduledQuery is one query of a burst.
type scheduledQuery struct {
	after      time.Duration
	controller int
}

// pollBurst schedules a burst of requests about a job, if bursts are enabled.
func (sim *Simulation) pollBurst(job string) {
	sim.mu.Lock()
	behavior := &sim.users.behavior
	spec := sim.records.specs[job]
	if !behavior.pollBursts || spec == nil {
		sim.mu.Unlock()
		return
	}
	sim.stats.PollBursts++
	cancels := behavior.rng.Float64() < burstCancelShare
	submission, _ := json.Marshal(spec)
	queries := behavior.drawBurst(sim.cfg.Controllers)
	cancelAfter := behavior.drawMillis(5)
	cancelController := behavior.rng.IntN(sim.cfg.Controllers)
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
		sim.env.schedule(cancelAfter, func() { sim.CancelJob(job, cancelController) })
	}
}

func (b *userBehavior) drawBurst(controllers int) (queries []scheduledQuery) {
	for controller := range controllers {
		for _, ms := range burstTimes {
			after := time.Duration(ms+b.rng.IntN(2)) * time.Millisecond
			queries = append(queries, scheduledQuery{after, controller})
		}
	}
	return queries
}

// CancelJob cancels a job as a user, through the given controller. It retries with the next controller until one
// answers 200 or 404.
func (sim *Simulation) CancelJob(job string, controller int) {
	path := runsPath + "/" + job + abortSuffix
	sim.Request(controller, http.MethodPost, path, emptyBody, func(status int, _ []byte) {
		if status != http.StatusOK && status != http.StatusNotFound {
			next := (controller + 1) % sim.cfg.Controllers
			sim.env.schedule(cancelRetry, func() { sim.CancelJob(job, next) })
		}
	})
}

// runningJob is a job with running tasks.
type runningJob struct {
	id        string
	remaining time.Duration // longest remaining run time of the job's tasks
	machines  []*Machine    // machine of each running task
}

// runningJobs lists the running jobs except services, in descending order of their remaining run time.
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

// CancelRunning cancels, as users do, the n running jobs with the longest remaining run time, within 200 ms. If hang
// isn't 0, some of their machines hang for that duration from now on. It returns the jobs.
func (sim *Simulation) CancelRunning(n int, hang time.Duration) (cancelled []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	now := sim.now()
	behavior := &sim.users.behavior
	running := sim.runningJobs(now)
	hung := 0
	for _, job := range running[:min(n, len(running))] {
		cancelled = append(cancelled, job.id)
		after := behavior.drawMillis(200)
		controller := behavior.rng.IntN(sim.cfg.Controllers)
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

// CancelAtCompletion makes users cancel a share of the jobs as they complete; 0 disables this.
func (sim *Simulation) CancelAtCompletion(share float64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.users.behavior.cancelAtCompletion = share
}

// maybeCancelAtCompletion schedules the cancellation of a job by a user if the job's last task has completed. It selects
// the job with the probability cancelAtCompletion. The caller holds the mutex.
func (sim *Simulation) maybeCancelAtCompletion(spec *jobs.Spec) {
	behavior := &sim.users.behavior
	if behavior.cancelAtCompletion == 0 || sim.virtual == nil || !sim.allDone(spec.ID, spec.Tasks) {
		return
	}
	if behavior.rng.Float64() >= behavior.cancelAtCompletion {
		return
	}
	sim.stats.JobsCancelled++
	after := behavior.drawMillis(700)
	controller := behavior.rng.IntN(sim.cfg.Controllers)
	if behavior.rng.IntN(2) == 0 {
		after = behavior.drawMillis(5)
	}
	sim.env.schedule(after, func() { sim.CancelJob(spec.ID, controller) })
}

// SetOddRequests enables or disables odd requests: repeated submissions of unfinished jobs, cancellations of jobs that
// are done, and submissions of invalid jobs.
func (sim *Simulation) SetOddRequests(on bool) {
	sim.mu.Lock()
	wasOn := sim.users.behavior.oddRequests
	sim.users.behavior.oddRequests = on
	sim.mu.Unlock()
	if on && !wasOn {
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
	behavior := &sim.users.behavior
	if !behavior.oddRequests {
		sim.mu.Unlock()
		return
	}
	sim.stats.OddRequests++
	controller := behavior.rng.IntN(sim.cfg.Controllers)
	kind := oddRequestKind(behavior.rng.IntN(oddRequestKinds))
	done, unfinished := sim.answeredJobs()
	path := runsPath
	var body []byte
	answered := ignoreAnswer
	switch {
	case kind == repeatSubmission && len(unfinished) > 0:
		job := unfinished[behavior.rng.IntN(len(unfinished))]
		body, _ = json.Marshal(sim.records.specs[job])
	case kind == cancelDoneJob && len(done) > 0:
		job := done[behavior.rng.IntN(len(done))]
		path = runsPath + "/" + job + abortSuffix
		body = emptyBody
	default:
		behavior.invalidJobs++
		job := fmt.Sprintf("req-77%04d", behavior.invalidJobs)
		body = sim.invalidSubmission(job, invalidity(behavior.rng.IntN(invalidities)))
		answered = func(status int, _ []byte) { sim.invalidJobAnswered(job, body, status) }
	}
	next := time.Duration(100+behavior.rng.IntN(400)) * time.Millisecond
	sim.mu.Unlock()
	sim.Request(controller, http.MethodPost, path, body, answered)
	sim.env.schedule(next, sim.sendOddRequest)
}

// answeredJobs lists the jobs that were answered as done, and the accepted jobs without a final answer.
func (sim *Simulation) answeredJobs() (done, unfinished []string) {
	for job, answers := range sim.users.jobs {
		switch {
		case answers.final == stateDone:
			done = append(done, job)
		case answers.accepted && answers.final == "" && sim.records.specs[job] != nil:
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
		sim.ReportViolation("accepted: %s is accepted with an invalid submission: %s", job, body)
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		sim.mu.Lock()
		sim.stats.OddRequestsRefused++
		sim.mu.Unlock()
	}
}

// invalidity is the defect of an invalid submission.
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

// invalidSubmission returns a submission with a defect, which no controller may accept.
func (sim *Simulation) invalidSubmission(job string, defect invalidity) []byte {
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
	switch defect {
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
	if defect == lacksField {
		raw = []byte(strings.Replace(string(raw), `"hops":2,`, "", 1))
	}
	return raw
}
