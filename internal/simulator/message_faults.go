package simulator

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// messageFaults holds the faults injected into messages and jobs.
type messageFaults struct {
	failingJobs     map[string]bool // jobs whose tasks fail on any machine
	duplication     duplication
	delays          delays
	repeated        repeatedCommands
	heartbeatCopies []heartbeatCopy // copies to be delivered to the next leader
}

// countLostLaunches counts the launch commands in the body of a lost message.
func (sim *Simulation) countLostLaunches(body []byte) {
	var lost fleet.WireResponse // a request with direct commands has the same field
	_ = json.Unmarshal(body, &lost)
	for _, command := range lost.Commands {
		if command.Op == commandLaunch {
			sim.stats.LaunchesLost++
		}
	}
}

// duplication is the share of messages that are delivered twice, and the delay of the duplicate.
type duplication struct {
	share float64
	delay delayRange
}

// DuplicateMessages delivers a share of the workers' heartbeats and of the users' requests a second time, to a
// randomly drawn controller, between minDelay and maxDelay later, even if the sender has ended; share 0 ends the
// fault.
func (sim *Simulation) DuplicateMessages(share float64, minDelay, maxDelay time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults.duplication = duplication{share: share, delay: delayRange{minDelay, maxDelay}}
}

// duplicate schedules a duplicate of a message, if the message is drawn. The caller holds the mutex.
func (sim *Simulation) duplicate(zone, path string, body []byte) {
	fault := sim.faults.duplication
	if fault.share == 0 || sim.rng.Float64() >= fault.share {
		return
	}
	sim.stats.DuplicatesSent++
	spread := float64(fault.delay.max - fault.delay.min)
	delay := fault.delay.min + time.Duration(sim.rng.Float64()*spread)
	to := sim.settings[sim.rng.IntN(sim.cfg.Controllers)].PublicAddr
	sim.env.schedule(delay, func() { sim.postDuplicate(zone, to, path, body) })
}

// postDuplicate sends a copy of a message and drops the answer.
func (sim *Simulation) postDuplicate(zone, to, path string, body []byte) {
	sim.env.post("", zone, to, path, body, func(int, []byte) {})
}

// heartbeatCopy is a copy of a heartbeat that is delivered to the next leader.
type heartbeatCopy struct {
	zone string
	body []byte
}

// maxHeartbeatCopies is the maximum number of copies; only the newest are kept.
const maxHeartbeatCopies = 200

// Times of delivery of the copies after a leader's key is written. Every second copy is late.
const (
	maxEarlyReplayMS   = 800                     // latest delivery of an early copy, in milliseconds
	minLateReplayDelay = 1500 * time.Millisecond // earliest delivery of a late copy
)

// ReplayHeartbeats copies a share of the workers' heartbeats and delivers the copies to every controller after the
// next election: half of them just as the new leader's term begins, the others once the leader has acted. Share 0
// ends the fault and drops the copies.
func (sim *Simulation) ReplayHeartbeats(share float64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults.delays.replayShare = share
	if share == 0 {
		sim.faults.heartbeatCopies = nil
	}
}

// copyHeartbeat keeps a copy of a heartbeat, if the heartbeat is drawn. The caller holds the mutex.
func (sim *Simulation) copyHeartbeat(zone string, body []byte) {
	delays := &sim.faults.delays
	if delays.replayShare == 0 || delays.rng.Float64() >= delays.replayShare {
		return
	}
	copies := append(sim.faults.heartbeatCopies, heartbeatCopy{zone, body})
	sim.faults.heartbeatCopies = copies[max(0, len(copies)-maxHeartbeatCopies):]
}

// replayHeartbeats schedules the delivery of the kept heartbeats when a leader's key is written. The caller holds the
// mutex.
func (sim *Simulation) replayHeartbeats() {
	copies := sim.faults.heartbeatCopies
	sim.faults.heartbeatCopies = nil
	rng := sim.faults.delays.rng
	for i, heartbeat := range copies {
		sim.stats.HeartbeatsReplayed++
		delay := time.Duration(rng.IntN(maxEarlyReplayMS)) * time.Millisecond
		if i%2 == 1 {
			delay += minLateReplayDelay + time.Duration(rng.Int64N(int64(sim.leaseFraction(1))))
		}
		for _, settings := range sim.settings {
			sim.env.schedule(delay, func() {
				sim.postDuplicate(heartbeat.zone, settings.PublicAddr, heartbeatPath, heartbeat.body)
			})
		}
	}
}

// delays holds the injected delays and losses by kind of message.
type delays struct {
	rng                  *rand.Rand // separate generator: the delays don't change the numbers drawn elsewhere
	txnDelay             delayRange // delay of transactions that are applied late
	txnDelayShare        float64    // share of transactions that are applied late, without an answer
	txnAnswerLossShare   float64    // share of transactions that are applied immediately, without an answer
	replayShare          float64    // share of heartbeats that are copied for the next leader
	stateDelay           delayRange // delay of the state service's requests or answers
	commandDelay         delayRange // delay of direct commands, and of the answers to them
	heartbeatAnswerDelay delayRange
}

// delayRange is a range of delays; the zero value means no delay.
type delayRange struct{ min, max time.Duration }

func (r delayRange) draw(rng *rand.Rand) time.Duration {
	if r.max <= r.min {
		return r.min
	}
	return r.min + time.Duration(rng.Int64N(int64(r.max-r.min)))
}

// DelayWrites applies a share of the transactions between minDelay and maxDelay late, perhaps after newer transactions
// of the same controller, and sends no answer to them; share 0 ends the fault.
func (sim *Simulation) DelayWrites(share float64, minDelay, maxDelay time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults.delays.txnDelayShare = share
	sim.faults.delays.txnDelay = delayRange{minDelay, maxDelay}
}

// LoseTxnAnswers drops the answers to a share of the transactions, which are applied immediately; share 0 ends the
// fault.
func (sim *Simulation) LoseTxnAnswers(share float64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults.delays.txnAnswerLossShare = share
}

// drawTxnOutcome draws whether a transaction is delayed or loses its answer.
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

// DelayStateAnswers delays every answer of the state service by between minDelay and maxDelay. Either the request is
// handled late, or it is handled immediately and its answer is late. maxDelay 0 ends the fault.
func (sim *Simulation) DelayStateAnswers(minDelay, maxDelay time.Duration) {
	sim.setDelay(&sim.faults.delays.stateDelay, minDelay, maxDelay)
}

// DelayCommands delays direct commands, and the answers to them, by between minDelay and maxDelay each; maxDelay 0
// ends the fault.
func (sim *Simulation) DelayCommands(minDelay, maxDelay time.Duration) {
	sim.setDelay(&sim.faults.delays.commandDelay, minDelay, maxDelay)
}

// DelayHeartbeatAnswers delays the answers to heartbeats by between minDelay and maxDelay; maxDelay 0 ends the fault.
func (sim *Simulation) DelayHeartbeatAnswers(minDelay, maxDelay time.Duration) {
	sim.setDelay(&sim.faults.delays.heartbeatAnswerDelay, minDelay, maxDelay)
}

func (sim *Simulation) setDelay(delays *delayRange, minDelay, maxDelay time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	*delays = delayRange{minDelay, maxDelay}
}

// drawDelay draws the delay of a message; 0 if messages of this kind aren't delayed.
func (sim *Simulation) drawDelay(delays *delayRange) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if delays.max == 0 {
		return 0
	}
	return delays.draw(sim.faults.delays.rng)
}

// afterDelay calls f after the delay; a delay of 0 calls f directly.
func (sim *Simulation) afterDelay(delay time.Duration, f func()) {
	if delay == 0 {
		f()
		return
	}
	sim.env.schedule(delay, f)
}

// handleWithStateDelay handles a request to the state service, and delays either the request or its answer.
func (sim *Simulation) handleWithStateDelay(handle func(replyFunc), reply replyFunc) {
	delay := sim.drawDelay(&sim.faults.delays.stateDelay)
	if delay == 0 {
		handle(reply)
		return
	}
	sim.mu.Lock()
	delayRequest := sim.faults.delays.rng.IntN(2) == 0
	sim.mu.Unlock()
	if delayRequest {
		sim.env.schedule(delay, func() { handle(reply) })
		return
	}
	handle(func(status int, body any) { sim.env.schedule(delay, func() { reply(status, body) }) })
}

// leaseFraction returns a fraction of a worker's lease. Delays of script faults are given in this unit, so that they
// have the same effect with short leases as with long ones.
func (sim *Simulation) leaseFraction(fraction float64) time.Duration {
	return jobs.Seconds(fraction * sim.cfg.Workers.LeaseS)
}
