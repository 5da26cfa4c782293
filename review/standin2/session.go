package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	sessionID  = "req-000001"
	userToken  = "token-of-the-user-kana"
	agentToken = "token-of-the-agent-kana"
	firstSave  = "s3://nb/1"
	secondSave = "s3://nb/2"
)

var (
	errNoSession = errors.New("the session did not get as far as needed")
	errLateCopy  = errors.New("the late copy was not accepted before the agent's next report")
)

// agentReport is the report of a session's agent.
type agentReport struct {
	Attempt uint64     `json:"attempt"`
	Seq     uint64     `json:"seq"`
	Input   float64    `json:"input_s"`
	Cell    bool       `json:"cell"`
	CellS   float64    `json:"cell_s"`
	CPU     float64    `json:"cpu"`
	GPU     float64    `json:"gpu"`
	Unsaved float64    `json:"unsaved_mb"`
	Frozen  bool       `json:"frozen"`
	Fresh   bool       `json:"fresh"`
	Resumed string     `json:"resumed"`
	Save    *agentSave `json:"save,omitempty"`
}

type agentSave struct {
	Order uint64  `json:"order"`
	OK    bool    `json:"ok"`
	Ref   string  `json:"ref"`
	MB    float64 `json:"mb"`
}

// agentAnswer is a controller's answer to it.
type agentAnswer struct {
	State  string  `json:"state"`
	Next   float64 `json:"report_s"`
	Resume string  `json:"resume"`
	Thaw   bool    `json:"thaw"`
	Kept   string  `json:"kept"`
	Leader string  `json:"leader"`
}

// agent is the agent of a session in one attempt of its task.
type agent struct {
	c       *cluster
	try     uint64
	w       *worker
	mu      sync.Mutex
	seq     uint64
	frozen  bool
	fresh   bool
	resumed string
	save    string            // the checkpoint to be reported until it is kept
	kept    string            // the last checkpoint of its own that an answer named
	sent    map[string][]byte // by checkpoint: the report that named it
	thawed  chan struct{}
}

func newAgent(c *cluster, try uint64, w *worker) *agent {
	a := &agent{
		c: c, try: try, w: w, frozen: true, fresh: true, sent: map[string][]byte{}, thawed: make(chan struct{}),
	}
	go a.run()
	return a
}

// isHere reports whether the agent's attempt is on its machine.
func (a *agent) isHere() bool {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	attempt := a.w.find(sessionID+"/0", a.try)
	return attempt != nil && attempt.onSite
}

func (a *agent) run() {
	at := a.c.world.rng.intn(len(a.c.nodes))
	addr := a.c.nodes[at].public
	for a.isHere() {
		body := a.report()
		status, answer := a.c.postAs(addr, "/v2/sessions/"+sessionID+"/report", agentToken, body)
		a.c.rec.logf("agent %d to %s: %s -> %d %+v", a.try, addr, body, status, answer)
		wait := time.Second
		switch {
		case status == http.StatusMisdirectedRequest && answer.Leader != "":
			addr = answer.Leader
			wait = 0
		case status == http.StatusOK:
			a.apply(answer)
			wait = seconds(min(answer.Next, 1))
		case status != http.StatusConflict:
			at = (at + 1) % len(a.c.nodes)
			addr = a.c.nodes[at].public
		}
		time.Sleep(wait)
	}
}

func (a *agent) report() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	r := agentReport{Attempt: a.try, Seq: a.seq, Input: 1, CPU: 0.5, Frozen: a.frozen, Fresh: a.fresh, Resumed: a.resumed}
	if a.save != "" {
		r.Save = &agentSave{OK: true, Ref: a.save, MB: 1}
	}
	body, _ := json.Marshal(r)
	if a.save != "" {
		a.sent[a.save] = body
	}
	return body
}

func (a *agent) apply(answer agentAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer.Resume != "" && a.fresh {
		a.resumed = answer.Resume
	}
	if answer.Thaw && a.frozen {
		a.frozen = false
		if a.fresh {
			close(a.thawed)
		}
		a.fresh = false
	}
	if answer.Kept != "" && answer.Kept == a.save {
		a.kept = a.save
		a.save = ""
	}
}

// saveAs makes a checkpoint and waits until it is kept.
func (a *agent) saveAs(ref string, limit time.Duration) bool {
	a.mu.Lock()
	a.save = ref
	a.mu.Unlock()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		a.mu.Lock()
		kept := a.kept
		a.mu.Unlock()
		if kept == ref {
			a.c.rec.logf("the checkpoint %s is kept", ref)
			return true
		}
	}
	return false
}

// postAs sends a request with a bearer token.
func (c *cluster) postAs(addr, path, token string, body []byte) (int, agentAnswer) {
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, agentAnswer{}
	}
	request.Header.Set("Authorization", "Bearer "+token)
	resp, err := client.Do(request)
	if err != nil {
		return 0, agentAnswer{}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, agentAnswer{}
	}
	var answer agentAnswer
	_ = json.Unmarshal(raw, &answer)
	return resp.StatusCode, answer
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// openSession opens the session of the case.
func (c *cluster) openSession() bool {
	spec := &jobSpec{
		ID: sessionID, Class: "notebook", Team: c.site.teams[0].Name, Kind: "daemon", Priority: "standard", Tasks: 1,
		CPUs: 1, MemoryGB: 2, Image: "img-1", ImageGB: 0.2, Spot: true,
	}
	c.world.addJob(spec)
	raw, _ := json.Marshal(struct {
		*jobSpec
		User  string `json:"user"`
		Token string `json:"token_sha256"`
		Agent string `json:"agent_sha256"`
	}{spec, "kana", digest(userToken), digest(agentToken)})
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if l := c.leader(); l >= 0 {
			r := c.ask(l, http.MethodPost, "/v2/sessions", raw, 5*time.Second)
			c.rec.logf("open: %d %s", r.status, r.body)
			if r.status == http.StatusOK || r.status == http.StatusCreated {
				return true
			}
		}
	}
	return false
}

// sendLateCopy waits until another controller leads and then delivers a copy of an old report there.
func (c *cluster) sendLateCopy(former int, old []byte) bool {
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, n := range c.nodes {
			if i == former || c.ask(i, http.MethodGet, "/v2/sessions/"+sessionID, nil, time.Second).status != http.StatusOK {
				continue
			}
			status, answer := c.postAs(n.public, "/v2/sessions/"+sessionID+"/report", agentToken, old)
			c.rec.logf("late copy to %s: %s -> %d %+v", n.name, old, status, answer)
			return status == http.StatusOK
		}
	}
	return false
}

// sessionCase: a late copy of an agent's report reaches a new leader, and the machine stops later.
func sessionCase(rec *recorder, trouble bool) error {
	s := brightfork()
	s.operator = "sessions {\n}\n"
	c, err := newCluster(s, rec, 1)
	if err != nil {
		return err
	}
	defer c.close()
	for _, zone := range s.zones {
		for range 2 {
			c.cloud.add("clapboard", zone)
		}
	}
	agents := make(chan *agent, 4)
	c.world.onStart = func(_ string, try uint64, w *worker) {
		go func() {
			time.Sleep(200 * time.Millisecond)
			agents <- newAgent(c, try, w)
		}()
	}
	if err := c.startAll(); err != nil {
		return err
	}
	if !c.openSession() {
		return errNotAccepted
	}
	first, ok := awaitThawed(agents, 25*time.Second)
	if !ok || !first.saveAs(firstSave, 10*time.Second) {
		return errNoSession
	}
	time.Sleep(11 * time.Second)
	if !first.saveAs(secondSave, 20*time.Second) {
		return errNoSession
	}
	if trouble {
		leader := c.leader()
		if leader < 0 {
			return errNoSession
		}
		c.kill(leader)
		time.AfterFunc(8*time.Second, func() { _ = c.start(leader) })
		if !c.sendLateCopy(leader, first.sent[firstSave]) {
			return errLateCopy
		}
	}
	time.Sleep(3 * time.Second)
	c.cloud.take(first.w, "stopped")
	second, ok := awaitThawed(agents, 50*time.Second)
	if !ok {
		return errNoSession
	}
	rec.logf("the session runs again, from %s", second.resumed)
	if second.resumed != secondSave {
		rec.breakRule("no running work is lost: the checkpoint %s was kept, the session resumes from %q", secondSave, second.resumed)
	}
	return nil
}

// awaitThawed waits for the next agent and until it is thawed.
func awaitThawed(agents <-chan *agent, limit time.Duration) (*agent, bool) {
	timeout := time.After(limit)
	select {
	case a := <-agents:
		select {
		case <-a.thawed:
			return a, true
		case <-timeout:
		}
	case <-timeout:
	}
	return nil, false
}
