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

// stateServer is the state service's HTTP side: rate limits, waiting watches, outages and what is injected.
type stateServer struct {
	service       *state.Service
	waiters       []func() // called at the next change of a key
	requestLimit  rateLimit
	writeLimit    rateLimit
	initialLimits config.State
	leaderChanges []time.Duration

	down           bool
	refused        []bool // by controller: all its requests are refused
	watchesStalled []bool // by controller: its watches aren't answered, everything else is
	dropWatches    bool   // a watch that comes in is never answered
	interceptTxn   func(controller int, txn store.Txn) TxnOutcome
}

// stallRetry is how often a watch that can't be answered now is tried again.
const stallRetry = 50 * time.Millisecond

// SetStateOutage makes the state service refuse every request, or serve again.
func (sim *Simulation) SetStateOutage(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.state.down = on
	if !on {
		sim.state.service.Now = sim.now()
		sim.state.service.Recover()
	}
}

// RefuseController makes the state service refuse one controller, or serve it again.
func (sim *Simulation) RefuseController(controller int, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.state.refused[controller] = on
}

// LowerStateLimits changes the state service's limits without notice; 0 leaves a limit as it is. What is stored stays
// readable.
func (sim *Simulation) LowerStateLimits(valueKB float64, txnOps int, writeRPS float64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	limits := &sim.cfg.State
	limits.ValueKB = valueOr(valueKB, limits.ValueKB)
	limits.TxnOps = valueOr(txnOps, limits.TxnOps)
	limits.WriteRPS = valueOr(writeRPS, limits.WriteRPS)
	sim.state.writeLimit.rate = limits.WriteRPS
}

// Limits of the state service under SetSmallLimits.
const (
	smallValueKB        = 2
	smallTxnOps         = 8
	smallWriteRateShare = 0.4 // of the initial rate of writes
)

// SetSmallLimits lowers the state service's limits to a fraction, or restores the initial ones.
func (sim *Simulation) SetSmallLimits(on bool) {
	initial := sim.state.initialLimits
	if on {
		sim.LowerStateLimits(smallValueKB, smallTxnOps, smallWriteRateShare*initial.WriteRPS)
		return
	}
	sim.LowerStateLimits(initial.ValueKB, initial.TxnOps, initial.WriteRPS)
}

// CountKeys counts the stored keys with a prefix.
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

// Leader returns the stored leader's controller, -1 for none, and its term.
func (sim *Simulation) Leader() (controller int, term uint64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var leader membership.Leader
	_ = json.Unmarshal(sim.state.service.Keys[leaderKey].Value, &leader)
	return slices.Index(sim.nodeNames(), leader.Node), leader.Term
}

// expireLeases ends leases that have run out. An outage stops their time.
func (sim *Simulation) expireLeases(now time.Duration) {
	if sim.state.down {
		return
	}
	before := sim.state.service.Revision
	sim.state.service.Now = now
	sim.state.service.Expire()
	sim.wakeWatchers(before)
}

// wakeWatchers schedules all waiting watches if a key has changed since a revision.
func (sim *Simulation) wakeWatchers(before uint64) {
	if sim.state.service.Revision == before {
		return
	}
	for _, wake := range sim.state.waiters {
		sim.env.schedule(0, wake)
	}
	sim.state.waiters = nil
}

// serveState answers one controller's request to the state service, late if answers are delayed.
func (sim *Simulation) serveState(controller int, request httpRequest, reply replyFunc) {
	carryOut := func(reply replyFunc) { sim.carryOutStateRequest(controller, request, reply) }
	sim.withStateDelay(carryOut, reply)
}

func (sim *Simulation) carryOutStateRequest(controller int, request httpRequest, reply replyFunc) {
	if request.path == "/follow" {
		sim.serveWatch(controller, request, reply)
		return
	}
	if sim.intercepted(controller, request) {
		return
	}
	sim.mu.Lock()
	status, body := sim.applyStateRequest(controller, request)
	sim.mu.Unlock()
	reply(status, body)
}

// applyStateRequest carries out a request other than a watch, within the limits. The caller holds the mutex.
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
	if !sim.state.requestLimit.take(now, 1) || !sim.state.writeLimit.take(now, float64(writes)) {
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
	since      uint64
	ends       time.Duration
	reply      replyFunc
	// waits counts the waits so far. A wait is ended by a change or by the watch's end, whichever is first; the other
	// finds another number and does nothing.
	waits uint64
}

// serveWatch answers once a key with the prefix has changed, or the wait is over. An open watch outlasts an outage.
func (sim *Simulation) serveWatch(controller int, request httpRequest, reply replyFunc) {
	since, _ := strconv.ParseUint(request.query.Get("since"), 10, 64)
	waitMS, _ := strconv.Atoi(request.query.Get("wait_ms"))
	sim.mu.Lock()
	now := sim.now()
	if sim.state.down || sim.state.refused[controller] || !sim.state.requestLimit.take(now, 1) {
		sim.mu.Unlock()
		reply(http.StatusServiceUnavailable, nil)
		return
	}
	dropped := sim.state.dropWatches
	sim.mu.Unlock()
	if dropped {
		return
	}
	open := &watch{
		sim:        sim,
		controller: controller,
		prefix:     request.query.Get("starts"),
		since:      since,
		ends:       now + time.Duration(waitMS)*time.Millisecond,
		reply:      reply,
	}
	open.poll()
}

// poll answers the watch if it can be answered, and waits otherwise.
func (w *watch) poll() {
	sim := w.sim
	sim.mu.Lock()
	now := sim.now()
	if sim.state.down || sim.state.refused[w.controller] || sim.state.watchesStalled[w.controller] {
		sim.mu.Unlock()
		sim.env.schedule(stallRetry, w.poll)
		return
	}
	events, ok := sim.state.service.Since(w.prefix, w.since)
	revision := sim.state.service.Revision
	switch {
	case !ok:
		sim.mu.Unlock()
		w.reply(http.StatusGone, nil)
	case len(events) > 0 || now >= w.ends:
		sim.mu.Unlock()
		w.reply(http.StatusOK, state.NewWatchResponse(revision, events))
	default:
		wake := w.newWait()
		sim.state.waiters = append(sim.state.waiters, wake)
		sim.mu.Unlock()
		sim.env.schedule(w.ends-now, wake)
	}
}

// newWait returns a function that polls once more, if it is the first to end this wait. The caller holds the mutex.
func (w *watch) newWait() func() {
	w.waits++
	wait := w.waits
	return func() {
		w.sim.mu.Lock()
		first := w.waits == wait
		if first {
			w.waits++
		}
		w.sim.mu.Unlock()
		if first {
			w.poll()
		}
	}
}
