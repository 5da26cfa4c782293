package simulator

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// messageFaults is what is injected at messages and jobs.
type messageFaults struct {
	failingJobs    map[string]bool // jobs whose tasks fail on any machine
	duplication    duplication
	delays         delays
	keptHeartbeats []keptHeartbeat // they wait for the next leader
}

// countLostLaunches counts the launches in commands that are never received.
func (sim *Simulation) countLostLaunches(body []byte) {
	var lost fleet.WireResponse // direct commands have the same field
	_ = json.Unmarshal(body, &lost)
	for _, command := range lost.Commands {
		if command.Op == commandLaunch {
			sim.stats.LaunchesLost++
		}
	}
}

// duplication is how often a message is delivered once more, and how late.
type duplication struct {
	share float64
	delay delayRange
}

// DuplicateMessages makes a share of the workers' heartbeats and of the users' requests arrive once more, at any
// controller, between minDelay and maxDelay later, whatever has become of their senders; share 0 ends it.
func (sim *Simulation) DuplicateMessages(share float64, minDelay, maxDelay time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults.duplication = duplication{share: share, delay: delayRange{minDelay, maxDelay}}
}

// duplicate schedules a copy of a message, if one is drawn. The caller holds the mutex.
func (sim *Simulation) duplicate(zone, path string, body []byte) {
	copies := sim.faults.duplication
	if copies.share == 0 || sim.rng.Float64() >= copies.share {
		return
	}
	sim.stats.DuplicatesSent++
	spread := float64(copies.delay.max - copies.delay.min)
	delay := copies.delay.min + time.Duration(sim.rng.Float64()*spread)
	to := sim.settings[sim.rng.IntN(sim.cfg.Controllers)].PublicAddr
	sim.env.schedule(delay, func() { sim.postCopy(zone, to, path, body) })
}

// postCopy sends a late copy, whose answer is dropped.
func (sim *Simulation) postCopy(zone, to, path string, body []byte) {
	sim.env.post("", zone, to, path, body, func(int, []byte) {})
}

// keptHeartbeat is a copy of a heartbeat that waits for the next leader.
type keptHeartbeat struct {
	zone string
	body []byte
}

// maxKeptHeartbeats bounds the copies that wait: the newest are kept.
const maxKeptHeartbeats = 200

// Delivery of kept heartbeats, after a leader's key was written: every second one comes early, the others late.
const (
	earlyReplayMS  = 800 // at the latest
	lateReplayFrom = 1500 * time.Millisecond
)

// ReplayHeartbeats keeps copies of a share of the workers' heartbeats for the next leader: half of them reach every
// controller just as its term begins, the others once it has acted; 0 ends it.
func (sim *Simulation) ReplayHeartbeats(share float64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults.delays.replayShare = share
	if share == 0 {
		sim.faults.keptHeartbeats = nil
	}
}

// keepHeartbeat keeps a copy of a heartbeat, if it is drawn. The caller holds the mutex.
func (sim *Simulation) keepHeartbeat(zone string, body []byte) {
	delays := &sim.faults.delays
	if delays.replayShare == 0 || delays.rng.Float64() >= delays.replayShare {
		return
	}
	kept := append(sim.faults.keptHeartbeats, keptHeartbeat{zone, body})
	sim.faults.keptHeartbeats = kept[max(0, len(kept)-maxKeptHeartbeats):]
}

// replayHeartbeats schedules the kept heartbeats, as a leader's key is written. The caller holds the mutex.
func (sim *Simulation) replayHeartbeats() {
	kept := sim.faults.keptHeartbeats
	sim.faults.keptHeartbeats = nil
	rng := sim.faults.delays.rng
	for i, heartbeat := range kept {
		sim.stats.HeartbeatsReplayed++
		delay := time.Duration(rng.IntN(earlyReplayMS)) * time.Millisecond
		if i%2 == 1 {
			delay += lateReplayFrom + time.Duration(rng.Int64N(int64(sim.leaseFraction(1))))
		}
		for _, settings := range sim.settings {
			sim.env.schedule(delay, func() {
				sim.postCopy(heartbeat.zone, settings.PublicAddr, heartbeatPath, heartbeat.body)
			})
		}
	}
}

// delays are the times by which messages of each kind are late now.
type delays struct {
	rng                  *rand.Rand // of its own: what is late doesn't change what else is drawn
	txnDelay             delayRange // of transactions without an answer
	txnDelayShare        float64    // of transactions that are carried out late, without an answer
	txnAnswerLossShare   float64    // of transactions that are carried out at once, without an answer
	replayShare          float64    // of heartbeats of which a copy is kept for the next leader
	stateDelay           delayRange // of the state service's answers
	commandDelay         delayRange // of direct commands, and of the answers to them
	heartbeatAnswerDelay delayRange
}

// delayRange is a range of delays; its zero value is none.
type delayRange struct{ min, max time.Duration }

func (r delayRange) draw(rng *rand.Rand) time.Duration {
	if r.max <= r.min {
		return r.min
	}
	return r.min + time.Duration(rng.Int64N(int64(r.max-r.min)))
}

// DelayWrites makes a share of the transactions get no answer and be carried out between minDelay and maxDelay later,
// after newer ones of the same controller; share 0 ends it.
func (sim *Simulation) DelayWrites(share float64, minDelay, maxDelay time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults.delays.txnDelayShare = share
	sim.faults.delays.txnDelay = delayRange{minDelay, maxDelay}
}

// LoseTxnAnswers makes a share of the transactions be carried out at once without an answer; 0 ends it.
func (sim *Simulation) LoseTxnAnswers(share float64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults.delays.txnAnswerLossShare = share
}

// drawTxnOutcome draws what becomes of a transaction while writes are delayed or answers lost.
func (sim *Simulation) drawTxnOutcome(txn store.Txn) TxnOutcome {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	delays := &sim.faults.delays
	if len(txn.Then) == 0 {
		return TxnOutcome{}
	}
	if delays.txnAnswerLossShare > 0 && delays.rng.Float64() < delays.txnAnswerLossShare {
		sim.stats.LostAnswers++
		return TxnOutcome{Unanswered: true}
	}
	if delays.txnDelayShare == 0 || delays.rng.Float64() >= delays.txnDelayShare {
		return TxnOutcome{}
	}
	sim.stats.LateWrites++
	return TxnOutcome{Delay: delays.txnDelay.draw(delays.rng)}
}

// DelayStateAnswers delays every answer of the state service between minDelay and maxDelay, whether the request is
// carried out at once or only then; maxDelay 0 ends it.
func (sim *Simulation) DelayStateAnswers(minDelay, maxDelay time.Duration) {
	sim.setDelay(&sim.faults.delays.stateDelay, minDelay, maxDelay)
}

// DelayCommands delays direct commands, and the answers to them, between minDelay and maxDelay; maxDelay 0 ends it.
func (sim *Simulation) DelayCommands(minDelay, maxDelay time.Duration) {
	sim.setDelay(&sim.faults.delays.commandDelay, minDelay, maxDelay)
}

// DelayHeartbeatAnswers delays the answers to heartbeats between minDelay and maxDelay; maxDelay 0 ends it.
func (sim *Simulation) DelayHeartbeatAnswers(minDelay, maxDelay time.Duration) {
	sim.setDelay(&sim.faults.delays.heartbeatAnswerDelay, minDelay, maxDelay)
}

func (sim *Simulation) setDelay(delays *delayRange, minDelay, maxDelay time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	*delays = delayRange{minDelay, maxDelay}
}

// drawDelay draws a message's delay, 0 if messages of its kind aren't delayed.
func (sim *Simulation) drawDelay(delays *delayRange) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if delays.max == 0 {
		return 0
	}
	return delays.draw(sim.faults.delays.rng)
}

// afterDelay calls f after a delay, at once if that is 0.
func (sim *Simulation) afterDelay(delay time.Duration, f func()) {
	if delay == 0 {
		f()
		return
	}
	sim.env.schedule(delay, f)
}

// withStateDelay carries out a request to the state service, and delays either the request or its answer.
func (sim *Simulation) withStateDelay(carryOut func(replyFunc), reply replyFunc) {
	delay := sim.drawDelay(&sim.faults.delays.stateDelay)
	if delay == 0 {
		carryOut(reply)
		return
	}
	sim.mu.Lock()
	delayRequest := sim.faults.delays.rng.IntN(2) == 0
	sim.mu.Unlock()
	if delayRequest {
		sim.env.schedule(delay, func() { carryOut(reply) })
		return
	}
	carryOut(func(status int, body any) { sim.env.schedule(delay, func() { reply(status, body) }) })
}

// leaseFraction returns a part of a worker's lease, the unit of delays in scripts: they then mean the same with short
// leases as with long ones.
func (sim *Simulation) leaseFraction(part float64) time.Duration {
	return jobs.Seconds(part * sim.cfg.Workers.LeaseS)
}
