package simulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// What is held up or carried out late, so that it meets another trouble: writes of the state service, its answers, direct
// commands and answers to reports.

// delays are the times by which messages of each kind are late now.
type delays struct {
	rng                  *rand.Rand // of its own: what is late doesn't change what else is drawn
	txnDelay             delayRange // of transactions without an answer
	txnDelayShare        float64    // of transactions that are late
	txnAnswerLossShare   float64    // of transactions that are carried out at once, and whose answer is lost
	replayShare          float64    // of reports of which a copy is kept for the next leader
	stateDelay           delayRange // of the state service's answers
	commandDelay         delayRange // of direct commands, and of the answers to them
	heartbeatAnswerDelay delayRange // of the answers to reports
}

// delayRange is a range of times; its zero value is none.
type delayRange struct{ min, max time.Duration }

func (s delayRange) draw(rng *rand.Rand) time.Duration {
	if s.max <= s.min {
		return s.min
	}
	return s.min + time.Duration(rng.Int64N(int64(s.max-s.min)))
}

// DelayWrites lets a share of the transactions get no answer and be carried out between least and most later, after newer
// ones of the same controller; share 0 ends it.
func (w *Simulation) DelayWrites(share float64, least, most time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delays.txnDelayShare, w.delays.txnDelay = share, delayRange{least, most}
}

// LoseTxnAnswers lets a share of the transactions be carried out at once, and only their answers be lost; 0 ends it.
func (w *Simulation) LoseTxnAnswers(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delays.txnAnswerLossShare = share
}

// keptHeartbeat is a copy of a report that waits for the next leader.
type keptHeartbeat struct {
	zone string
	body []byte
}

// maxKeptHeartbeats bounds the copies that wait: the newest are kept.
const maxKeptHeartbeats = 200

// ReplayHeartbeats lets copies of a share of the workers' reports wait for the next leader: half of them reach every controller
// just as its term begins, the others once it has acted; 0 ends it.
func (w *Simulation) ReplayHeartbeats(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.delays.replayShare = share; share == 0 {
		w.keptHeartbeats = nil
	}
}

func (w *Simulation) keepHeartbeat(zone string, body []byte) {
	if w.delays.replayShare == 0 || w.delays.rng.Float64() >= w.delays.replayShare {
		return
	}
	w.keptHeartbeats = append(w.keptHeartbeats, keptHeartbeat{zone, body})
	w.keptHeartbeats = w.keptHeartbeats[max(0, len(w.keptHeartbeats)-maxKeptHeartbeats):]
}

// replayHeartbeats is called as a leader's key is written.
func (w *Simulation) replayHeartbeats() {
	kept := w.keptHeartbeats
	w.keptHeartbeats = nil
	for i, c := range kept {
		w.stats.HeartbeatsReplayed++
		duration := time.Duration(w.delays.rng.IntN(800)) * time.Millisecond
		if i%2 == 1 {
			duration += 1500*time.Millisecond + time.Duration(w.delays.rng.Int64N(int64(w.leaseFraction(1))))
		}
		for _, s := range w.settings {
			w.env.schedule(duration, func() { w.env.post("", c.zone, s.Public, "/checkin", c.body, func(int, []byte) {}) })
		}
	}
}

// KillLeaders lets whoever leads end n times, evenly over a time, and come back within a second.
func (w *Simulation) KillLeaders(n int, duration time.Duration) {
	for i := range n {
		w.env.schedule(time.Duration(i)*duration/time.Duration(n), func() { onLeader(700*time.Millisecond, (*Simulation).KillController)(w) })
	}
}

// txnFault tells what becomes of a transaction while writes are late.
func (w *Simulation) txnFault(txn store.Txn) TxnOutcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.delays.txnAnswerLossShare > 0 && len(txn.Then) > 0 && w.delays.rng.Float64() < w.delays.txnAnswerLossShare {
		w.stats.LostAnswers++
		return TxnOutcome{Unanswered: true}
	}
	if w.delays.txnDelayShare == 0 || len(txn.Then) == 0 || w.delays.rng.Float64() >= w.delays.txnDelayShare {
		return TxnOutcome{}
	}
	w.stats.LateWrites++
	return TxnOutcome{Delay: w.delays.txnDelay.draw(w.delays.rng)}
}

// DelayStateAnswers lets every answer of the state service be held up between least and most, whether the request was carried out
// at once or only then; most 0 ends it.
func (w *Simulation) DelayStateAnswers(least, most time.Duration) {
	w.setDelay(&w.delays.stateDelay, least, most)
}

// DelayCommands lets direct commands, and the answers to them, be held up between least and most; most 0 ends it.
func (w *Simulation) DelayCommands(least, most time.Duration) {
	w.setDelay(&w.delays.commandDelay, least, most)
}

// DelayHeartbeatAnswers lets the answers to reports be held up between least and most; most 0 ends it.
func (w *Simulation) DelayHeartbeatAnswers(least, most time.Duration) {
	w.setDelay(&w.delays.heartbeatAnswerDelay, least, most)
}

func (w *Simulation) setDelay(s *delayRange, least, most time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*s = delayRange{least, most}
}

// drawDelay draws by how much a message is late.
func (w *Simulation) drawDelay(s *delayRange) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.max == 0 {
		return 0
	}
	return s.draw(w.delays.rng)
}

// afterDelay calls f after a time, at once if that is 0.
func (w *Simulation) afterDelay(duration time.Duration, f func()) {
	if duration == 0 {
		f()
		return
	}
	w.env.schedule(duration, f)
}

// withStateDelay puts a request to the state service off, or its answer.
func (w *Simulation) withStateDelay(carry func(replyFunc), reply replyFunc) {
	duration := w.drawDelay(&w.delays.stateDelay)
	if duration == 0 {
		carry(reply)
		return
	}
	w.mu.Lock()
	first := w.delays.rng.IntN(2) == 0
	w.mu.Unlock()
	if first {
		w.env.schedule(duration, func() { carry(reply) })
		return
	}
	carry(func(status int, body any) { w.env.schedule(duration, func() { reply(status, body) }) })
}

// checkCancelledTask looks at a task that is on a machine though its user was told that its job is cancelled.
func (w *Simulation) checkCancelledTask(now time.Duration, machine *Machine, task *workerTask) {
	at, ok := w.cancelledAt[task.spec.ID]
	if !ok || !task.counted || task.state == taskExited {
		return
	}
	w.stats.LongestRunAfterCancel = max(w.stats.LongestRunAfterCancel, now-at)
	if now > at+seconds(w.cfg.Workers.CancelS) {
		w.violate("ran_cancelled: %s on %s", task.name, machine.Name)
	}
}

// RefuseLeader lets the state service refuse whoever leads now, and serve it again after a time.
func (w *Simulation) RefuseLeader(duration time.Duration) {
	if i, _ := w.Leader(); i >= 0 {
		w.RefuseController(i, true)
		w.env.schedule(duration, func() { w.RefuseController(i, false) })
	}
}

// StallWatches lets a controller's watches of the state service stay open without an answer while its other requests are served,
// or answers them again.
func (w *Simulation) StallWatches(controller int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watchesStalled[controller] = on
}

// stallLeaderWatches does so to whoever leads now, for a time.
func (w *Simulation) stallLeaderWatches(duration time.Duration) {
	if i, _ := w.Leader(); i >= 0 {
		w.StallWatches(i, true)
		w.env.schedule(duration, func() { w.StallWatches(i, false) })
	}
}

// OnCancelled calls f once, as soon as the next user is told that a job is cancelled.
func (w *Simulation) OnCancelled(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCancelled = append(w.onCancelled, f)
}

// recordCancelled notes that a user was told of a cancellation; the caller calls what it returns without the lock.
func (w *Simulation) recordCancelled(id string) (wait []func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.cancelledAt[id]; ok {
		return nil
	}
	w.cancelledAt[id] = w.now()
	wait, w.onCancelled = w.onCancelled, nil
	return slices.Clone(wait)
}

// leaseFraction is a part of a worker's lease, for scripts: they are as late in a small world as in a large one.
func (w *Simulation) leaseFraction(part float64) time.Duration {
	return seconds(part * w.cfg.Workers.LeaseS)
}
