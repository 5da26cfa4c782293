package simulator

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
)

const (
	// maxAnsweredCommands is the maximum number of answered requests that are kept for each machine.
	maxAnsweredCommands = 64
	// minRepeatDelay is the shortest time from the answer to a request to its repetition.
	minRepeatDelay = 2 * time.Second
	// repeatMemoryLeases is the time for which answered requests are kept, in worker leases.
	repeatMemoryLeases = 6
	// maxRepeats is how often RepeatCommandsAtWorstTime delivers one request again.
	maxRepeats = 3
	// electionWindow is the time after an election in which RepeatCommandsAtWorstTime repeats requests of former terms.
	electionWindow = 2 * time.Second
)

// repeatedCommands is the fault that delivers direct requests to machines again after they were executed and answered.
type repeatedCommands struct {
	rng   *rand.Rand
	share float64 // share of requests that are repeated at drawn times
	delay delayRange
	// serviceShare and serviceDelay are those of RepeatServiceRequests.
	serviceShare float64
	serviceDelay delayRange
	keep         bool // answered requests are kept for RepeatOldestCommands
	atWorstTime  bool
}

// answeredCommands is a direct request that a worker has executed and answered.
type answeredCommands struct {
	body       []byte
	commands   directCommands
	answeredAt time.Duration
	repeats    int // how often the request was delivered again
}

// RepeatCommands delivers a share of the executed and answered direct requests once more to the same address, between
// minDelay and maxDelay after the answer, even if the worker has restarted or the sender has ended; share 0 ends the
// fault.
func (sim *Simulation) RepeatCommands(share float64, minDelay, maxDelay time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults.repeated.share = share
	sim.faults.repeated.delay = delayRange{minDelay, maxDelay}
}

// RepeatCommandsAtWorstTime delivers executed and answered direct requests again when a rule breaks if the worker
// executes them: when a launched task is on another machine, when its job's cancellation limit has passed, or when its
// team has no room left. It also repeats them when the worker has just restarted and when a leader was just elected.
func (sim *Simulation) RepeatCommandsAtWorstTime(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults.repeated.keep = on
	sim.faults.repeated.atWorstTime = on
}

// KeepCommands keeps the direct requests that workers execute and answer from now on, for RepeatOldestCommands.
func (sim *Simulation) KeepCommands() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults.repeated.keep = true
}

// RepeatOldestCommands delivers the oldest kept request of a machine again now, if there is one.
func (sim *Simulation) RepeatOldestCommands(name string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	machine := sim.cloud.machineByName[name]
	if len(machine.answeredCommands) > 0 {
		sim.deliverRepeat(sim.now(), machine, machine.answeredCommands[0].body)
	}
}

// keepAnsweredCommands records a request that a worker has executed and answered, and schedules its repetition if it
// is drawn. The caller holds the mutex.
func (sim *Simulation) keepAnsweredCommands(now time.Duration, machine *Machine, body []byte) {
	fault := &sim.faults.repeated
	if fault.share > 0 && fault.rng.Float64() < fault.share {
		sim.env.schedule(fault.delay.draw(fault.rng), func() { sim.repeatCommands(machine, body) })
	}
	if !fault.keep {
		return
	}
	kept := &answeredCommands{body: body, answeredAt: now}
	if json.Unmarshal(body, &kept.commands) != nil {
		return
	}
	machine.answeredCommands = append(machine.answeredCommands, kept)
	if excess := len(machine.answeredCommands) - maxAnsweredCommands; excess > 0 {
		machine.answeredCommands = slices.Delete(machine.answeredCommands, 0, excess)
	}
}

// repeatCommands delivers a request to a machine's address again. Nobody receives the answer.
func (sim *Simulation) repeatCommands(machine *Machine, body []byte) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.deliverRepeat(sim.now(), machine, body)
}

// deliverRepeat executes a request once more if the machine can receive it. The caller holds the mutex.
func (sim *Simulation) deliverRepeat(now time.Duration, machine *Machine, body []byte) {
	if machine.dead || now < machine.upAt || now < machine.hungUntil || now < machine.inboundLostUntil {
		return
	}
	sim.stats.CommandsRepeated++
	before := len(machine.tasks)
	status, _ := sim.applyDirectCommands(now, machine, httpRequest{path: directCommandsPath, body: body})
	if status != http.StatusOK {
		return
	}
	sim.stats.RepeatsExecuted++
	for _, task := range machine.tasks[min(before, len(machine.tasks)):] {
		if task.state != taskExited {
			sim.stats.RepeatedLaunches++
		}
	}
}

// repeatAtWorstTime delivers the kept requests of a machine for which the present is the worst time. The caller holds
// the mutex.
func (sim *Simulation) repeatAtWorstTime(now time.Duration, machine *Machine) {
	if !sim.faults.repeated.atWorstTime || len(machine.answeredCommands) == 0 {
		return
	}
	oldest := now - repeatMemoryLeases*jobs.Seconds(sim.cfg.Workers.LeaseS)
	machine.answeredCommands = slices.DeleteFunc(machine.answeredCommands, func(kept *answeredCommands) bool {
		return kept.answeredAt < oldest || kept.repeats >= maxRepeats
	})
	restarted := machine.incarnation != machine.repeatedIncarnation
	machine.repeatedIncarnation = machine.incarnation
	elections := len(sim.state.leaderChanges)
	elected := elections != machine.repeatedElections && now-sim.state.leaderChanges[elections-1] < electionWindow
	machine.repeatedElections = elections
	for _, kept := range machine.answeredCommands {
		isValid := *kept.commands.Token >= machine.token && *kept.commands.Session == machine.session
		if !isValid || now-kept.answeredAt < minRepeatDelay {
			continue
		}
		if restarted || elected || sim.launchBreaksRule(now, machine, kept.commands.Commands) {
			kept.repeats++
			sim.deliverRepeat(now, machine, kept.body)
		}
	}
}

// launchBreaksRule reports whether some of the commands launch a task that must not start on the machine now.
func (sim *Simulation) launchBreaksRule(now time.Duration, machine *Machine, commands []fleet.WireCommand) bool {
	return slices.ContainsFunc(commands, func(wire fleet.WireCommand) bool {
		command := wire.Command()
		if command.Op != commandLaunch || machine.lists(command.Task, command.Attempt) {
			return false
		}
		job, _, _ := strings.Cut(command.Task, "/")
		if cancelledAt, ok := sim.firstCancellation(job); ok {
			return now > cancelledAt+jobs.Seconds(sim.cfg.Workers.CancelS)
		}
		return sim.isActiveElsewhere(machine, command.Task) || sim.exceedsTeamLimit(job)
	})
}

// lists reports whether the worker lists an attempt at a task, in any state.
func (m *Machine) lists(task string, attempt uint64) bool {
	return slices.ContainsFunc(m.tasks, func(t *workerTask) bool { return t.name == task && t.attempt == attempt })
}

// exceedsTeamLimit reports whether one more task of a job would exceed its team's limit.
func (sim *Simulation) exceedsTeamLimit(job string) bool {
	spec := sim.spec(job)
	return spec != nil && sim.isAboveTeamLimit(spec.Team, sim.teamUse(spec.Team).Add(spec.Size()))
}

// isActiveElsewhere reports whether a task is on another machine.
func (sim *Simulation) isActiveElsewhere(machine *Machine, task string) bool {
	isElsewhere := false
	sim.forEachActiveTask(func(other *Machine, active *workerTask) {
		isElsewhere = isElsewhere || (other != machine && active.name == task)
	})
	return isElsewhere
}
