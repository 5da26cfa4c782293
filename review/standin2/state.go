package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateLimits are the limits of the state service, as in the settings.
type stateLimits struct {
	rps, writeRPS float64
	valueKB       float64
	txnOps        int
}

// stateItem is one stored key.
type stateItem struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

type stateEvent struct {
	Put     string          `json:"set,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"stamp"`
	Delete  string          `json:"drop,omitempty"`
}

type stateLease struct {
	ttl     time.Duration
	expires time.Time
}

// txnBody is the body of a transaction.
type txnBody struct {
	If []struct {
		Key     string `json:"k"`
		Version uint64 `json:"stamp"`
	} `json:"if"`
	Then []struct {
		Put    string          `json:"set"`
		Value  json.RawMessage `json:"data"`
		Lease  uint64          `json:"tether"`
		Delete string          `json:"drop"`
	} `json:"apply"`
}

// fate is what happens to one request of a controller.
type fate struct {
	before time.Duration // delay before the request is carried out
	after  time.Duration // delay of the answer
	noWait bool          // the connection is closed without an answer, before the request is carried out
	lose   bool          // the answer is lost
}

// stateService is the state service of the pages. Each controller reaches it through an address of its own.
type stateService struct {
	rec    *recorder
	limits stateLimits

	mu       sync.Mutex
	revision uint64
	keys     map[string]stateItem
	leases   map[uint64]*stateLease
	lastID   uint64
	events   []stateEvent
	compact  uint64
	changed  chan struct{}
	down     bool
	refused  map[int]bool
	requests bucket
	writes   bucket
	// fateOf decides what happens to a request; nil: nothing.
	fateOf func(node int, method, path string, body []byte) fate
	onTxn  func(node int, body *txnBody, status int)

	listeners []net.Listener
}

// bucket is a token bucket that holds some seconds' worth.
type bucket struct {
	rate, burstS, tokens float64
	at                   time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.tokens = b.rate * b.burstS
	} else {
		b.tokens = min(b.rate*b.burstS, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}

func newStateService(rec *recorder, limits stateLimits) *stateService {
	s := &stateService{
		rec: rec, limits: limits,
		keys: map[string]stateItem{}, leases: map[uint64]*stateLease{}, refused: map[int]bool{},
		changed: make(chan struct{}), lastID: 100, revision: 1000,
		requests: bucket{rate: limits.rps, burstS: 1}, writes: bucket{rate: limits.writeRPS, burstS: 1},
	}
	go s.expire()
	return s
}

// listen opens the address of one controller.
func (s *stateService) listen(node int) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.listeners = append(s.listeners, listener)
	server := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(node, w, r) }),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *stateService) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		if !s.down {
			now := time.Now()
			for id, lease := range s.leases {
				if now.After(lease.expires) {
					s.endLease(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var bound []string
	for key, item := range s.keys {
		if item.lease == id {
			bound = append(bound, key)
		}
	}
	sort.Strings(bound)
	for _, key := range bound {
		delete(s.keys, key)
		s.revision++
		s.addEvent(stateEvent{Delete: key, Version: s.revision})
	}
	if len(bound) > 0 {
		s.rec.logf("state: lease %d ended, removed %s", id, strings.Join(bound, " "))
		s.wake()
	}
}

func (s *stateService) addEvent(event stateEvent) {
	s.events = append(s.events, event)
	if len(s.events) > 20000 {
		s.compact = s.events[9999].Version
		s.events = append([]stateEvent(nil), s.events[10000:]...)
	}
}

func (s *stateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown begins or ends an outage. After it every lease has its full time once more.
func (s *stateService) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.rec.logf("state: outage %v", down)
	if !down {
		for _, lease := range s.leases {
			lease.expires = time.Now().Add(lease.ttl)
		}
	}
	s.wake()
}

// refuse makes the service answer one controller with 503, or serve it again.
func (s *stateService) refuse(node int, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = on
	s.rec.logf("state: refuses controller %d: %v", node, on)
	s.wake()
}

// get returns the value of a key.
func (s *stateService) get(key string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.keys[key]
	return item.value, ok
}

// leader returns the name of the controller that leads by the stored key, "" if none does.
func (s *stateService) leader() string {
	raw, ok := s.get("h/c/leader")
	if !ok {
		return ""
	}
	var leader struct {
		Node string `json:"node"`
	}
	_ = json.Unmarshal(raw, &leader)
	return leader.Node
}

func sendJSON(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func hangUp(w http.ResponseWriter) {
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func (s *stateService) serve(node int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/follow" {
		s.follow(node, w, r)
		return
	}
	s.mu.Lock()
	fateOf := s.fateOf
	s.mu.Unlock()
	var f fate
	if fateOf != nil {
		f = fateOf(node, r.Method, r.URL.Path, body)
	}
	if f.noWait {
		hangUp(w)
	}
	time.Sleep(f.before)
	status, answer := s.apply(node, r, body)
	time.Sleep(f.after)
	switch {
	case f.noWait:
	case f.lose:
		hangUp(w)
	default:
		sendJSON(w, status, answer)
	}
}

// apply carries out a request.
func (s *stateService) apply(node int, r *http.Request, body []byte) (int, any) {
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.refused[node] {
		return http.StatusServiceUnavailable, map[string]string{"error": "unavailable"}
	}
	if !s.requests.take(1) {
		return http.StatusTooManyRequests, map[string]string{"error": "too many requests"}
	}
	path := r.URL.Path
	switch {
	case path == "/holds" && r.Method == http.MethodPost:
		var grant struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &grant) != nil || grant.TTL < 100 || grant.TTL > 600_000 {
			return http.StatusBadRequest, map[string]string{"error": "bad ttl"}
		}
		s.lastID++
		ttl := time.Duration(grant.TTL) * time.Millisecond
		s.leases[s.lastID] = &stateLease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]uint64{"tether": s.lastID}
	case strings.HasPrefix(path, "/holds/"):
		return s.applyLease(r)
	case path == "/txn":
		return s.applyTxn(node, body)
	case strings.HasPrefix(path, "/keys/"):
		key := strings.TrimPrefix(path, "/keys/")
		item, ok := s.keys[key]
		if !ok {
			return http.StatusNotFound, map[string]uint64{"epoch": s.revision}
		}
		answer := map[string]any{"k": key, "data": item.value, "stamp": item.version}
		if item.lease != 0 {
			answer["tether"] = item.lease
		}
		return http.StatusOK, answer
	case path == "/keys":
		return s.list(r)
	}
	return http.StatusBadRequest, map[string]string{"error": "unknown path"}
}

func (s *stateService) applyLease(r *http.Request) (int, any) {
	parts := strings.Split(r.URL.Path, "/")
	id, _ := strconv.ParseUint(parts[2], 10, 64)
	lease, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, map[string]string{"error": "no such lease"}
	}
	if r.Method == http.MethodDelete {
		s.endLease(id)
	} else {
		lease.expires = time.Now().Add(lease.ttl)
	}
	return http.StatusOK, map[string]uint64{"tether": id}
}

func (s *stateService) list(r *http.Request) (int, any) {
	query := r.URL.Query()
	prefix, since := query.Get("starts"), query.Get("since")
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 1000 || limit < 1 {
		limit = 1000
	}
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > since {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	pairs := []any{}
	size, more := 0, false
	for _, key := range names {
		item := s.keys[key]
		size += len(item.value) + len(key) + 60
		if len(pairs) == limit || size > 512<<10 {
			more = true
			break
		}
		pairs = append(pairs, map[string]any{"k": key, "data": item.value, "stamp": item.version})
	}
	return http.StatusOK, map[string]any{"pairs": pairs, "has_next": more, "epoch": s.revision}
}

func (s *stateService) applyTxn(node int, body []byte) (status int, answer any) {
	var txn txnBody
	if json.Unmarshal(body, &txn) != nil || len(body) > 64<<10 {
		return http.StatusBadRequest, map[string]string{"error": "malformed"}
	}
	defer func() {
		if s.onTxn != nil {
			s.onTxn(node, &txn, status)
		}
	}()
	if len(txn.Then) > s.limits.txnOps || len(txn.If) > 4*s.limits.txnOps {
		return http.StatusBadRequest, map[string]string{"error": "too many changes"}
	}
	for _, op := range txn.Then {
		if float64(len(op.Value)) > s.limits.valueKB*1024 {
			return http.StatusBadRequest, map[string]string{"error": "value too large"}
		}
	}
	if len(txn.Then) > 0 && !s.writes.take(float64(len(txn.Then))) {
		return http.StatusTooManyRequests, map[string]string{"error": "too many changes"}
	}
	for _, op := range txn.Then {
		if op.Put != "" && op.Lease != 0 && s.leases[op.Lease] == nil {
			return http.StatusBadRequest, map[string]string{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, condition := range txn.If {
		if s.keys[condition.Key].version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, map[string]any{"failed": failed, "epoch": s.revision}
	}
	if len(txn.Then) == 0 {
		return http.StatusOK, map[string]uint64{"epoch": s.revision}
	}
	s.revision++
	for _, op := range txn.Then {
		if op.Delete != "" {
			if _, ok := s.keys[op.Delete]; ok {
				delete(s.keys, op.Delete)
				s.addEvent(stateEvent{Delete: op.Delete, Version: s.revision})
			}
			continue
		}
		s.keys[op.Put] = stateItem{op.Value, s.revision, op.Lease}
		s.addEvent(stateEvent{Put: op.Put, Value: op.Value, Version: s.revision})
		if op.Put == "h/c/leader" {
			s.rec.logf("state: leader key %s", op.Value)
		}
	}
	s.wake()
	return http.StatusOK, map[string]uint64{"epoch": s.revision}
}

// follow serves a watch. It stays open through an outage.
func (s *stateService) follow(node int, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("starts")
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	s.mu.Lock()
	fateOf := s.fateOf
	if s.down || s.refused[node] {
		s.mu.Unlock()
		sendJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "unavailable"})
		return
	}
	if !s.requests.take(1) {
		s.mu.Unlock()
		sendJSON(w, http.StatusTooManyRequests, map[string]string{"error": "too many requests"})
		return
	}
	s.mu.Unlock()
	var f fate
	if fateOf != nil {
		f = fateOf(node, r.Method, r.URL.Path, nil)
	}
	time.Sleep(f.before)
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		served := !s.down && !s.refused[node]
		if served && since < s.compact {
			s.mu.Unlock()
			sendJSON(w, http.StatusGone, map[string]string{"error": "too old"})
			return
		}
		events := []stateEvent{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > since })
		for _, event := range s.events[first:] {
			if strings.HasPrefix(event.Put+event.Delete, prefix) {
				events = append(events, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if served && (len(events) > 0 || !time.Now().Before(deadline)) {
			time.Sleep(f.after)
			if f.lose {
				hangUp(w)
				return
			}
			sendJSON(w, http.StatusOK, map[string]any{"epoch": revision, "events": events})
			return
		}
		pause := max(20*time.Millisecond, time.Until(deadline))
		if !served {
			pause = 50 * time.Millisecond
		}
		timer := time.NewTimer(pause)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}
