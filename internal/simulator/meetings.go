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
	rng     *rand.Rand // of its own: what is late doesn't change what else is drawn
	writes  span       // of transactions without an answer
	share   float64    // of transactions that are late
	lost    float64    // of transactions that are carried out at once, and whose answer is lost
	keeps   float64    // of reports of which a copy is kept for the next leader
	state   span       // of the state service's answers
	orders  span       // of direct commands, and of the answers to them
	answers span       // of the answers to reports
}

// span is a range of times; its zero value is none.
type span struct{ least, most time.Duration }

func (s span) draw(rng *rand.Rand) time.Duration {
	if s.most <= s.least {
		return s.least
	}
	return s.least + time.Duration(rng.Int64N(int64(s.most-s.least)))
}

// LateWrites lets a share of the transactions get no answer and be carried out between least and most later, after newer
// ones of the same controller; share 0 ends it.
func (w *World) LateWrites(share float64, least, most time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delays.share, w.delays.writes = share, span{least, most}
}

// LoseAnswers lets a share of the transactions be carried out at once, and only their answers be lost; 0 ends it.
func (w *World) LoseAnswers(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delays.lost = share
}

// keptCopy is a copy of a report that waits for the next leader.
type keptCopy struct {
	zone string
	body []byte
}

// mostKept bounds the copies that wait: the newest are kept.
const mostKept = 200

// KeepCopies lets copies of a share of the workers' reports wait for the next leader: half of them reach every controller
// just as its term begins, the others once it has acted; 0 ends it.
func (w *World) KeepCopies(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.delays.keeps = share; share == 0 {
		w.kept = nil
	}
}

func (w *World) keepCopy(zone string, body []byte) {
	if w.delays.keeps == 0 || w.delays.rng.Float64() >= w.delays.keeps {
		return
	}
	w.kept = append(w.kept, keptCopy{zone, body})
	w.kept = w.kept[max(0, len(w.kept)-mostKept):]
}

// deliverKept is called as a leader's key is written.
func (w *World) deliverKept() {
	kept := w.kept
	w.kept = nil
	for i, c := range kept {
		w.stats.Kept++
		duration := time.Duration(w.delays.rng.IntN(800)) * time.Millisecond
		if i%2 == 1 {
			duration += 1500*time.Millisecond + time.Duration(w.delays.rng.Int64N(int64(w.lateness(1))))
		}
		for _, s := range w.settings {
			w.ground.after(duration, func() { w.ground.ask("", c.zone, s.PublicAddr, "/checkin", c.body, func(int, []byte) {}) })
		}
	}
}

// FlipLeaders lets whoever leads end n times, evenly over a time, and come back within a second.
func (w *World) FlipLeaders(n int, duration time.Duration) {
	for i := range n {
		w.ground.after(time.Duration(i)*duration/time.Duration(n), func() { toLeader(700*time.Millisecond, (*World).KillController)(w) })
	}
}

// lateWrite tells what becomes of a transaction while writes are late.
func (w *World) lateWrite(txn store.Txn) Fate {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.delays.lost > 0 && len(txn.Then) > 0 && w.delays.rng.Float64() < w.delays.lost {
		w.stats.LostAnswers++
		return Fate{Unanswered: true}
	}
	if w.delays.share == 0 || len(txn.Then) == 0 || w.delays.rng.Float64() >= w.delays.share {
		return Fate{}
	}
	w.stats.LateWrites++
	return Fate{Later: w.delays.writes.draw(w.delays.rng)}
}

// SlowState lets every answer of the state service be held up between least and most, whether the request was carried out
// at once or only then; most 0 ends it.
func (w *World) SlowState(least, most time.Duration) { w.held(&w.delays.state, least, most) }

// HoldOrders lets direct commands, and the answers to them, be held up between least and most; most 0 ends it.
func (w *World) HoldOrders(least, most time.Duration) { w.held(&w.delays.orders, least, most) }

// HoldAnswers lets the answers to reports be held up between least and most; most 0 ends it.
func (w *World) HoldAnswers(least, most time.Duration) { w.held(&w.delays.answers, least, most) }

func (w *World) held(s *span, least, most time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*s = span{least, most}
}

// late draws by how much a message is late.
func (w *World) late(s *span) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.most == 0 {
		return 0
	}
	return s.draw(w.delays.rng)
}

// later calls f after a time, at once if that is 0.
func (w *World) later(duration time.Duration, f func()) {
	if duration == 0 {
		f()
		return
	}
	w.ground.after(duration, f)
}

// slowly puts a request to the state service off, or its answer.
func (w *World) slowly(carry func(answer), reply answer) {
	duration := w.late(&w.delays.state)
	if duration == 0 {
		carry(reply)
		return
	}
	w.mu.Lock()
	first := w.delays.rng.IntN(2) == 0
	w.mu.Unlock()
	if first {
		w.ground.after(duration, func() { carry(reply) })
		return
	}
	carry(func(status int, body any) { w.ground.after(duration, func() { reply(status, body) }) })
}

// stays looks at a task that is on a machine though its user was told that its job is cancelled.
func (w *World) stays(now time.Duration, m *Machine, k *task) {
	at, ok := w.told[k.spec.ID]
	if !ok || !k.counted || k.state == exited {
		return
	}
	w.stats.LongestCancelled = max(w.stats.LongestCancelled, now-at)
	if now > at+seconds(w.cfg.Workers.CancelS) {
		w.fail("ran_cancelled: %s on %s", k.name, m.Name)
	}
}

// RefuseLeader lets the state service refuse whoever leads now, and serve it again after a time.
func (w *World) RefuseLeader(duration time.Duration) {
	if i, _ := w.Leader(); i >= 0 {
		w.Refuse(i, true)
		w.ground.after(duration, func() { w.Refuse(i, false) })
	}
}

// Stick lets a controller's watches of the state service stay open without an answer while its other requests are served,
// or answers them again.
func (w *World) Stick(controller int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stuck[controller] = on
}

// stickLeader does so to whoever leads now, for a time.
func (w *World) stickLeader(duration time.Duration) {
	if i, _ := w.Leader(); i >= 0 {
		w.Stick(i, true)
		w.ground.after(duration, func() { w.Stick(i, false) })
	}
}

// OnCancelled calls f once, as soon as the next user is told that a job is cancelled.
func (w *World) OnCancelled(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onTold = append(w.onTold, f)
}

// tell notes that a user was told of a cancellation; the caller calls what it returns without the lock.
func (w *World) tell(id string) (wait []func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.told[id]; ok {
		return nil
	}
	w.told[id] = w.now()
	wait, w.onTold = w.onTold, nil
	return slices.Clone(wait)
}

// lateness is a part of a worker's lease, for scripts: they are as late in a small world as in a large one.
func (w *World) lateness(part float64) time.Duration { return seconds(part * w.cfg.Workers.LeaseS) }
