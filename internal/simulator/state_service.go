package simulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/membership"
	"github.com/harewalk/harewalk/internal/store"
)

// SetStateOutage lets the state service answer nobody, or everybody again.
func (w *Simulation) SetStateOutage(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stateDown = on; !on {
		w.stateService.Now = w.now()
		w.stateService.Recover()
	}
}

// RefuseController lets the state service refuse one controller, or serve it again.
func (w *Simulation) RefuseController(controller int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refused[controller] = on
}

// LowerStateLimits lets the state service take less from now on, without notice: 0 leaves a limit as it is. What is stored stays
// readable.
func (w *Simulation) LowerStateLimits(valueKB float64, txnOps int, writeRPS float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &w.cfg.State
	s.ValueKB, s.TxnOps = valueOr(valueKB, s.ValueKB), valueOr(txnOps, s.TxnOps)
	s.WriteRPS = valueOr(writeRPS, s.WriteRPS)
	w.writeLimit.rate = s.WriteRPS
}

// Of the state service's limits, those under SetSmallLimits.
const (
	smallValueKB        = 2
	smallTxnOps         = 8
	smallWriteRateShare = 0.4 // of the usual rate of writes
)

// SetSmallLimits lets the state service take much less, or as much as at the start again.
func (w *Simulation) SetSmallLimits(on bool) {
	if on {
		w.LowerStateLimits(smallValueKB, smallTxnOps, smallWriteRateShare*w.initialLimits.WriteRPS)
		return
	}
	w.LowerStateLimits(w.initialLimits.ValueKB, w.initialLimits.TxnOps, w.initialLimits.WriteRPS)
}

// CountKeys counts the keys with a prefix.
func (w *Simulation) CountKeys(prefix string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.stateService.Keys {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

// Leader is the controller that leads by what the state service holds, -1 for none, and its term.
func (w *Simulation) Leader() (controller int, term uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l membership.Leader
	_ = json.Unmarshal(w.stateService.Keys[membership.Prefix+"leader"].Value, &l)
	return slices.Index(w.nodeNames(), l.Node), l.Term
}

func (w *Simulation) expireLeases(now time.Duration) {
	if w.stateDown {
		return
	}
	rev := w.stateService.Rev
	w.stateService.Now = now
	w.stateService.Expire()
	w.wakeWatchers(rev)
}

// wakeWatchers tells those who follow that a key has changed.
func (w *Simulation) wakeWatchers(before uint64) {
	if w.stateService.Rev != before {
		for _, f := range w.keyWaiters {
			w.env.schedule(0, f)
		}
		w.keyWaiters = nil
	}
}

// serveState answers one controller's request to the state service.
func (w *Simulation) serveState(controller int, request httpRequest, reply replyFunc) {
	w.withStateDelay(func(reply replyFunc) { w.carryOutStateRequest(controller, request, reply) }, reply)
}

func (w *Simulation) carryOutStateRequest(controller int, request httpRequest, reply replyFunc) {
	if request.path == "/follow" {
		w.serveWatch(controller, request, reply)
		return
	}
	if w.intercepted(controller, request) {
		return
	}
	w.mu.Lock()
	status, body := w.applyStateRequest(controller, request)
	w.mu.Unlock()
	reply(status, body)
}

func (w *Simulation) applyStateRequest(controller int, request httpRequest) (int, any) {
	if w.stateDown || w.refused[controller] {
		return 503, nil
	}
	now := w.now()
	writes := 0.0
	var txn store.Txn
	if request.path == "/txn" {
		if json.Unmarshal(request.body, &txn) != nil || len(txn.Then) > w.cfg.State.TxnOps || len(txn.If) > 4*w.cfg.State.TxnOps {
			return 400, nil
		}
		for _, o := range txn.Then {
			if len(o.Value) > int(w.cfg.State.ValueKB*1024) {
				return 400, nil
			}
		}
		writes = float64(len(txn.Then))
	}
	w.stats.StateRequests++
	if !w.requestLimit.take(now, 1) || !w.writeLimit.take(now, writes) {
		w.stats.StateRefused++
		return 429, nil
	}
	w.stats.StateWrites += int(writes)
	rev := w.stateService.Rev
	w.stateService.Now = now
	path := request.path
	if len(request.query) > 0 {
		path += "?" + request.query.Encode()
	}
	response := w.stateService.Serve(httpio.Request{Method: request.method, Path: path, Body: request.body})
	w.wakeWatchers(rev)
	if response.Status == 200 && slices.ContainsFunc(txn.Then, func(o store.Op) bool { return o.Put == membership.Prefix+"leader" }) {
		w.leaderChanges = append(w.leaderChanges, now)
		w.replayHeartbeats()
	}
	return response.Status, response.Body
}

// serveWatch answers once something with the prefix has changed, or the wait is over. An open watch
// waits through an outage.
func (w *Simulation) serveWatch(controller int, request httpRequest, reply replyFunc) {
	since, _ := strconv.ParseUint(request.query.Get("since"), 10, 64)
	ms, _ := strconv.Atoi(request.query.Get("wait_ms"))
	prefix := request.query.Get("starts")
	w.mu.Lock()
	ends := w.now() + time.Duration(ms)*time.Millisecond
	if w.stateDown || w.refused[controller] || !w.requestLimit.take(w.now(), 1) {
		w.mu.Unlock()
		reply(503, nil)
		return
	}
	lost := w.dropWatches
	w.mu.Unlock()
	if lost {
		return
	}
	var look func()
	var mine uint64 // which of the two that may wake it is the newest: the other is void
	look = func() {
		w.mu.Lock()
		now := w.now()
		if w.stateDown || w.refused[controller] || w.watchesStalled[controller] {
			w.mu.Unlock()
			w.env.schedule(50*time.Millisecond, look)
			return
		}
		evs, ok := w.stateService.Since(prefix, since)
		rev := w.stateService.Rev
		switch {
		case !ok:
			w.mu.Unlock()
			reply(410, nil)
		case len(evs) > 0 || now >= ends:
			w.mu.Unlock()
			if evs == nil {
				evs = []store.Event{}
			}
			reply(200, map[string]any{"epoch": rev, "events": evs})
		default:
			mine++
			turn := mine
			once := func() {
				w.mu.Lock()
				void := mine != turn
				if !void {
					mine++
				}
				w.mu.Unlock()
				if !void {
					look()
				}
			}
			w.keyWaiters = append(w.keyWaiters, once)
			w.mu.Unlock()
			w.env.schedule(ends-now, once)
		}
	}
	look()
}

// cloudMachine is a machine as the cloud lists it.
type cloudMachine struct {
	Name  string  `json:"name_id"`
	Addr  string  `json:"address"`
	Type  string  `json:"build"`
	Zone  string  `json:"meadow"`
	Spot  bool    `json:"stray"`
	State string  `json:"stance"`
	AgeS  float64 `json:"age_s"`
}

// SetCloudOutage lets the cloud answer nobody, or everybody again.
func (w *Simulation) SetCloudOutage(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cloudDown = on
}

// serveCloud answers a request to the cloud.
func (w *Simulation) serveCloud(request httpRequest) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cloudDown {
		return 503, map[string]string{"error": "trouble"}
	}
	now := w.now()
	switch {
	case request.path == "/machine_types":
		return 200, map[string]any{"builds": w.cfg.Types}
	case request.path == "/machines" && request.method == "GET":
		return w.listMachines(now, request)
	case request.path == "/machines":
		return w.rentMachines(now, request)
	case request.path == "/machines/return":
		var b struct {
			Names []string `json:"dens"`
		}
		if json.Unmarshal(request.body, &b) != nil || len(b.Names) > 100 {
			return 400, nil
		}
		for _, n := range b.Names {
			if machine := w.machineByName[n]; machine != nil && !machine.returned {
				w.terminate(now, machine)
				machine.returned = true
			}
		}
		return 200, map[string]any{}
	}
	return 404, nil
}

func (w *Simulation) listMachines(now time.Duration, request httpRequest) (int, any) {
	lag := time.Duration(w.cfg.Cloud.ListLagS * float64(time.Second))
	limit, _ := strconv.Atoi(request.query.Get("limit"))
	after := request.query.Get("since")
	var out []cloudMachine
	for _, machine := range w.machines {
		if machine.Name <= after || now-machine.rentedAt < lag || machine.returned {
			continue
		}
		l := cloudMachine{machine.Name, machine.addr, machine.machineType.Name, machine.zone, machine.spot, "running", (now - machine.rentedAt).Seconds()}
		switch {
		case now < machine.upAt:
			l.State = "starting"
		case machine.dead && now-machine.diedAt > 3*time.Second:
			l.State = "failed"
		}
		out = append(out, l)
	}
	more := limit > 0 && len(out) > limit
	if more {
		out = out[:limit]
	}
	if out == nil {
		out = []cloudMachine{}
	}
	return 200, map[string]any{"dens": out, "has_next": more}
}

func (w *Simulation) rentMachines(now time.Duration, request httpRequest) (int, any) {
	var b struct {
		Claim string `json:"claim"`
		Type  string `json:"build"`
		Zone  string `json:"meadow"`
		Spot  bool   `json:"stray"`
		Count int    `json:"how_many"`
	}
	if json.Unmarshal(request.body, &b) != nil || b.Count < 1 || b.Count > 50 {
		return 400, nil
	}
	if got, ok := w.claims[b.Claim]; ok {
		return 200, map[string]any{"dens": got}
	}
	i := slices.IndexFunc(w.cfg.Types, func(t MachineType) bool { return t.Name == b.Type && slices.Contains(t.Zones, b.Zone) })
	if i < 0 {
		return 400, nil
	}
	up := 0
	for _, machine := range w.machines {
		if !machine.returned && !machine.dead {
			up++
		}
	}
	var names []string
	for ; b.Count > 0 && up < w.cfg.MaxMachines; b.Count, up = b.Count-1, up+1 {
		machine, err := w.startMachine(now, w.cfg.Types[i], b.Zone, b.Spot)
		if err != nil {
			break
		}
		names = append(names, machine.Name)
	}
	if names == nil {
		return 503, map[string]string{"error": "no capacity"}
	}
	w.claims[b.Claim] = names
	return 200, map[string]any{"dens": names}
}

func machineName(n int) string { return fmt.Sprintf("i-%06d", n) }
