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

// Outage lets the state service answer nobody, or everybody again.
func (w *World) Outage(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down = on; !on {
		w.svc.Now = w.now()
		w.svc.Recover()
	}
}

// Refuse lets the state service refuse one controller, or serve it again.
func (w *World) Refuse(controller int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[controller] = on
}

// Shrink lets the state service take less from now on, without notice: 0 leaves a limit as it is. What is stored stays
// readable.
func (w *World) Shrink(valueKB float64, txnOps int, writeRPS float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &w.cfg.State
	s.ValueKB, s.TxnOps = or(valueKB, s.ValueKB), or(txnOps, s.TxnOps)
	s.WriteRPS = or(writeRPS, s.WriteRPS)
	w.writes.rate = s.WriteRPS
}

// Of the state service's limits, those under SmallLimits.
const (
	smallValueKB = 2
	smallTxnOps  = 8
	smallRate    = 0.4 // of the usual rate of writes
)

// SmallLimits lets the state service take much less, or as much as at the start again.
func (w *World) SmallLimits(on bool) {
	if on {
		w.Shrink(smallValueKB, smallTxnOps, smallRate*w.usual.WriteRPS)
		return
	}
	w.Shrink(w.usual.ValueKB, w.usual.TxnOps, w.usual.WriteRPS)
}

// Keys counts the keys with a prefix.
func (w *World) Keys(prefix string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.svc.Keys {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

// Leader is the controller that leads by what the state service holds, -1 for none, and its term.
func (w *World) Leader() (controller int, term uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l membership.Leader
	_ = json.Unmarshal(w.svc.Keys[membership.Prefix+"leader"].Value, &l)
	return slices.Index(w.nodes(), l.Node), l.Term
}

func (w *World) expireHolds(now time.Duration) {
	if w.down {
		return
	}
	rev := w.svc.Rev
	w.svc.Now = now
	w.svc.Expire()
	w.woken(rev)
}

// woken tells those who follow that a key has changed.
func (w *World) woken(before uint64) {
	if w.svc.Rev != before {
		for _, f := range w.changed {
			w.ground.after(0, f)
		}
		w.changed = nil
	}
}

// state answers one controller's request to the state service.
func (w *World) state(controller int, q request, reply answer) {
	w.slowly(func(reply answer) { w.stateAt(controller, q, reply) }, reply)
}

func (w *World) stateAt(controller int, q request, reply answer) {
	if q.path == "/follow" {
		w.follow(controller, q, reply)
		return
	}
	if w.fated(controller, q) {
		return
	}
	w.mu.Lock()
	status, body := w.stateNow(controller, q)
	w.mu.Unlock()
	reply(status, body)
}

func (w *World) stateNow(controller int, q request) (int, any) {
	if w.down || w.cut[controller] {
		return 503, nil
	}
	now := w.now()
	writes := 0.0
	var txn store.Txn
	if q.path == "/txn" {
		if json.Unmarshal(q.body, &txn) != nil || len(txn.Then) > w.cfg.State.TxnOps || len(txn.If) > 4*w.cfg.State.TxnOps {
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
	if !w.reqs.take(now, 1) || !w.writes.take(now, writes) {
		w.stats.StateRefused++
		return 429, nil
	}
	w.stats.StateWrites += int(writes)
	rev := w.svc.Rev
	w.svc.Now = now
	path := q.path
	if len(q.query) > 0 {
		path += "?" + q.query.Encode()
	}
	response := w.svc.Serve(httpio.Request{Method: q.method, Path: path, Body: q.body})
	w.woken(rev)
	if response.Status == 200 && slices.ContainsFunc(txn.Then, func(o store.Op) bool { return o.Put == membership.Prefix+"leader" }) {
		w.led = append(w.led, now)
		w.deliverKept()
	}
	return response.Status, response.Body
}

// follow answers once something with the prefix has changed, or the wait is over. An open watch
// waits through an outage.
func (w *World) follow(controller int, q request, reply answer) {
	since, _ := strconv.ParseUint(q.query.Get("since"), 10, 64)
	ms, _ := strconv.Atoi(q.query.Get("wait_ms"))
	prefix := q.query.Get("starts")
	w.mu.Lock()
	ends := w.now() + time.Duration(ms)*time.Millisecond
	if w.down || w.cut[controller] || !w.reqs.take(w.now(), 1) {
		w.mu.Unlock()
		reply(503, nil)
		return
	}
	lost := w.loseWatches
	w.mu.Unlock()
	if lost {
		return
	}
	var look func()
	var mine uint64 // which of the two that may wake it is the newest: the other is void
	look = func() {
		w.mu.Lock()
		now := w.now()
		if w.down || w.cut[controller] || w.stuck[controller] {
			w.mu.Unlock()
			w.ground.after(50*time.Millisecond, look)
			return
		}
		evs, ok := w.svc.Since(prefix, since)
		rev := w.svc.Rev
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
			w.changed = append(w.changed, once)
			w.mu.Unlock()
			w.ground.after(ends-now, once)
		}
	}
	look()
}

// listed is a machine as the cloud lists it.
type listed struct {
	Name  string  `json:"name_id"`
	Addr  string  `json:"address"`
	Type  string  `json:"build"`
	Zone  string  `json:"meadow"`
	Spot  bool    `json:"stray"`
	State string  `json:"stance"`
	AgeS  float64 `json:"age_s"`
}

// CloudOutage lets the cloud answer nobody, or everybody again.
func (w *World) CloudOutage(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cloudOut = on
}

// cloud answers a request to the cloud.
func (w *World) cloud(q request) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cloudOut {
		return 503, map[string]string{"error": "trouble"}
	}
	now := w.now()
	switch {
	case q.path == "/machine_types":
		return 200, map[string]any{"builds": w.cfg.Types}
	case q.path == "/machines" && q.method == "GET":
		return w.list(now, q)
	case q.path == "/machines":
		return w.rent(now, q)
	case q.path == "/machines/return":
		var b struct {
			Names []string `json:"dens"`
		}
		if json.Unmarshal(q.body, &b) != nil || len(b.Names) > 100 {
			return 400, nil
		}
		for _, n := range b.Names {
			if m := w.byName[n]; m != nil && !m.returned {
				w.end(now, m)
				m.returned = true
			}
		}
		return 200, map[string]any{}
	}
	return 404, nil
}

func (w *World) list(now time.Duration, q request) (int, any) {
	lag := time.Duration(w.cfg.Cloud.ListLagS * float64(time.Second))
	limit, _ := strconv.Atoi(q.query.Get("limit"))
	after := q.query.Get("since")
	var out []listed
	for _, m := range w.machines {
		if m.Name <= after || now-m.rented < lag || m.returned {
			continue
		}
		l := listed{m.Name, m.addr, m.typ.Name, m.zone, m.spot, "running", (now - m.rented).Seconds()}
		switch {
		case now < m.boots:
			l.State = "starting"
		case m.dead && now-m.diedAt > 3*time.Second:
			l.State = "failed"
		}
		out = append(out, l)
	}
	more := limit > 0 && len(out) > limit
	if more {
		out = out[:limit]
	}
	if out == nil {
		out = []listed{}
	}
	return 200, map[string]any{"dens": out, "has_next": more}
}

func (w *World) rent(now time.Duration, q request) (int, any) {
	var b struct {
		Claim string `json:"claim"`
		Type  string `json:"build"`
		Zone  string `json:"meadow"`
		Spot  bool   `json:"stray"`
		Count int    `json:"how_many"`
	}
	if json.Unmarshal(q.body, &b) != nil || b.Count < 1 || b.Count > 50 {
		return 400, nil
	}
	if got, ok := w.claims[b.Claim]; ok {
		return 200, map[string]any{"dens": got}
	}
	i := slices.IndexFunc(w.cfg.Types, func(t typ) bool { return t.Name == b.Type && slices.Contains(t.Zones, b.Zone) })
	if i < 0 {
		return 400, nil
	}
	up := 0
	for _, m := range w.machines {
		if !m.returned && !m.dead {
			up++
		}
	}
	var names []string
	for ; b.Count > 0 && up < w.cfg.Machines; b.Count, up = b.Count-1, up+1 {
		m, err := w.boot(now, w.cfg.Types[i], b.Zone, b.Spot)
		if err != nil {
			break
		}
		names = append(names, m.Name)
	}
	if names == nil {
		return 503, map[string]string{"error": "no capacity"}
	}
	w.claims[b.Claim] = names
	return 200, map[string]any{"dens": names}
}

func machineName(n int) string { return fmt.Sprintf("i-%06d", n) }
