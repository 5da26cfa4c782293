package simulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/membership"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// stateServer serves the state service over HTTP, with rate limits, open watches, outages and injected faults.
type stateServer struct {
	service       *state.Service
	waiters       []func() // wake functions of open watches, called at the next change of a key
	requestLimit  rateLimit
	writeLimit    rateLimit
	initialLimits config.State
	leaderChanges []time.Duration // times of the writes of the leader's key

	down           bool
	refused        []bool // by controller: all its requests are refused
	watchesStalled []bool // by controller: its watches aren't answered, but all other requests are
	dropWatches    bool   // new watches are never answered
	interceptTxn   func(controller int, txn store.Txn) TxnOutcome
}

// stalledWatchPoll is the interval at which a stalled watch is polled.
const stalledWatchPoll = 50 * time.Millisecond

// SetStateOutage begins or ends an outage, in which the state service refuses every request.
func (sim *Simulation) SetStateOutage(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.state.down = on
	if !on {
		sim.state.service.Now = sim.now()
		sim.state.service.Recover()
	}
}

// RefuseController makes the state service refuse every request of one controller, or serve the controller again.
func (sim *Simulation) RefuseController(controller int, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.state.refused[controller] = on
}

// SetStateLimits changes the state service's limits without notifying the controllers; 0 leaves a limit unchanged.
// Stored values above a new limit stay readable.
func (sim *Simulation) SetStateLimits(valueKB float64, txnOps int, writeRPS float64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	limits := &sim.cfg.State
	limits.ValueKB = valueOr(valueKB, limits.ValueKB)
	limits.TxnOps = valueOr(txnOps, limits.TxnOps)
	limits.WriteRPS = valueOr(writeRPS, limits.WriteRPS)
	sim.state.writeLimit.rate = limits.WriteRPS
}

// Limits of the state service after SetLowStateLimits(true).
const (
	lowStateValueKB        = 2
	lowStateTxnOps         = 8
	lowStateWriteRateShare = 0.4 // share of the initial rate of writes
)

// SetLowStateLimits lowers the state service's limits on the size of a value, on the operations of a transaction and
// on the rate of writes, or restores the initial limits.
func (sim *Simulation) SetLowStateLimits(on bool) {
	initial := sim.state.initialLimits
	if on {
		sim.SetStateLimits(lowStateValueKB, lowStateTxnOps, lowStateWriteRateShare*initial.WriteRPS)
		return
	}
	sim.SetStateLimits(initial.ValueKB, initial.TxnOps, initial.WriteRPS)
}

// CountKeys returns the number of stored keys with a prefix.
func (sim *Simulation) CountKeys(prefix string) (n int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for key := range sim.state.service.Keys {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

const leaderKey = membership.Prefix + "leader"

// Leader returns the number of the controller that the state service stores as the leader, -1 for none, and its term.
func (sim *Simulation) Leader() (controller int, term uint64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var leader membership.Leader
	_ = json.Unmarshal(sim.state.service.Keys[leaderKey].Value, &leader)
	return slices.Index(sim.nodeNames(), leader.Node), leader.Term
}

// expireLeases ends the leases that have expired. No lease expires during an outage.
func (sim *Simulation) expireLeases(now time.Duration) {
	if sim.state.down {
		return
	}
	before := sim.state.service.Revision
	sim.state.service.Now = now
	sim.state.service.Expire()
	sim.wakeWatchers(before)
}

// wakeWatchers wakes all open watches if a key has changed since the given revision.
func (sim *Simulation) wakeWatchers(before uint64) {
	if sim.state.service.Revision == before {
		return
	}
	for _, wake := range sim.state.waiters {
		sim.env.schedule(0, wake)
	}
	sim.state.waiters = nil
}

// serveState answers one controller's request to the state service, with the injected delay.
func (sim *Simulation) serveState(controller int, request httpRequest, reply replyFunc) {
	handle := func(reply replyFunc) { sim.handleStateRequest(controller, request, reply) }
	sim.handleWithStateDelay(handle, reply)
}

func (sim *Simulation) handleStateRequest(controller int, request httpRequest, reply replyFunc) {
	if request.path == "/follow" {
		sim.serveWatch(controller, request, reply)
		return
	}
	if sim.applyTxnFault(controller, request) {
		return
	}
	sim.mu.Lock()
	status, body := sim.applyStateRequest(controller, request)
	sim.repeatStateRequest(controller, request, status)
	sim.mu.Unlock()
	reply(status, body)
}

// applyStateRequest applies a request other than a watch, and refuses it beyond the limits. The caller holds the
// mutex.
func (sim *Simulation) applyStateRequest(controller int, request httpRequest) (status int, body any) {
	if sim.state.down || sim.state.refused[controller] {
		return http.StatusServiceUnavailable, nil
	}
	now := sim.now()
	var txn store.Txn
	if request.path == state.TxnPath {
		var err error
		if txn, err = state.DecodeTxn(request.body); err != nil || !sim.withinTxnLimits(txn) {
			return http.StatusBadRequest, nil
		}
	}
	writes := len(txn.Then)
	sim.stats.StateRequests++
	if !sim.state.requestLimit.allow(now, 1) || !sim.state.writeLimit.allow(now, float64(writes)) {
		sim.stats.StateRefused++
		return http.StatusTooManyRequests, nil
	}
	sim.stats.StateWrites += writes
	before := sim.state.service.Revision
	sim.state.service.Now = now
	response := sim.state.service.Serve(httpio.Request{
		Method: request.method,
		Path:   request.target(),
		Body:   request.body,
	})
	sim.wakeWatchers(before)
	if response.Status == http.StatusOK && putsLeader(txn) {
		sim.state.leaderChanges = append(sim.state.leaderChanges, now)
		sim.replayHeartbeats()
	}
	return response.Status, response.Body
}

func (sim *Simulation) withinTxnLimits(txn store.Txn) bool {
	limits := &sim.cfg.State
	if len(txn.Then) > limits.TxnOps || len(txn.If) > 4*limits.TxnOps {
		return false
	}
	for _, op := range txn.Then {
		if len(op.Value) > int(limits.ValueKB*1024) {
			return false
		}
	}
	return true
}

func putsLeader(txn store.Txn) bool {
	return slices.ContainsFunc(txn.Then, func(op store.Op) bool { return op.Put == leaderKey })
}

// watch is an open watch of a controller.
type watch struct {
	sim        *Simulation
	controller int
	prefix     string
	since      uint64        // revision after which changes are reported
	endsAt     time.Duration // time at which the watch is answered even without a change
	reply      replyFunc
	// waitID identifies the current wait. A change or the watch's end wakes the watch, whichever is first. The later
	// of the two is ignored because waitID has changed.
	waitID uint64
}

// serveWatch answers once a key with the prefix has changed, or after the requested wait time. A watch stays open
// during an outage.
func (sim *Simulation) serveWatch(controller int, request httpRequest, reply replyFunc) {
	since, _ := strconv.ParseUint(request.query.Get("since"), 10, 64)
	waitMS, _ := strconv.Atoi(request.query.Get("wait_ms"))
	sim.mu.Lock()
	now := sim.now()
	if sim.state.down || sim.state.refused[controller] || !sim.state.requestLimit.allow(now, 1) {
		sim.mu.Unlock()
		reply(http.StatusServiceUnavailable, nil)
		return
	}
	dropped := sim.state.dropWatches
	sim.mu.Unlock()
	if dropped {
		return
	}
	opened := &watch{
		sim:        sim,
		controller: controller,
		prefix:     request.query.Get("starts"),
		since:      since,
		endsAt:     now + time.Duration(waitMS)*time.Millisecond,
		reply:      reply,
	}
	opened.poll()
}

// poll answers the watch if there are changes or its time is over, and otherwise waits for the next change.
func (w *watch) poll() {
	sim := w.sim
	sim.mu.Lock()
	now := sim.now()
	if sim.state.down || sim.state.refused[w.controller] || sim.state.watchesStalled[w.controller] {
		sim.mu.Unlock()
		sim.env.schedule(stalledWatchPoll, w.poll)
		return
	}
	events, ok := sim.state.service.ChangesSince(w.prefix, w.since)
	revision := sim.state.service.Revision
	switch {
	case !ok:
		sim.mu.Unlock()
		w.reply(http.StatusGone, nil)
	case len(events) > 0 || now >= w.endsAt:
		sim.mu.Unlock()
		w.reply(http.StatusOK, state.NewWatchResponse(revision, events))
	default:
		wake := w.newWakeFunc()
		sim.state.waiters = append(sim.state.waiters, wake)
		sim.mu.Unlock()
		sim.env.schedule(w.endsAt-now, wake)
	}
}

// newWakeFunc begins a wait for a change of a key or the watch's end. It returns the function that ends the wait and
// polls the watch. Only the first call of that function has an effect. The caller holds the mutex.
func (w *watch) newWakeFunc() func() {
	w.waitID++
	wait := w.waitID
	return func() {
		w.sim.mu.Lock()
		first := w.waitID == wait
		if first {
			w.waitID++
		}
		w.sim.mu.Unlock()
		if first {
			w.poll()
		}
	}
}
