package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// reply is what a user got.
type reply struct {
	status     int // 0: no answer
	stance     string
	done       int
	retryAfter time.Duration
	body       string
}

// ask sends one request to a controller.
func (c *cluster) ask(i int, method, path string, body []byte, timeout time.Duration) reply {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+c.nodes[i].public+path, bytes.NewReader(body))
	if err != nil {
		return reply{}
	}
	resp, err := client.Do(request)
	if err != nil {
		return reply{}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	var answer struct {
		Stance string `json:"stance"`
		Done   int    `json:"done"`
	}
	_ = json.Unmarshal(raw, &answer)
	after, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return reply{resp.StatusCode, answer.Stance, answer.Done, time.Duration(after) * time.Second, string(raw)}
}

// anyNode selects a controller as the load balancer does: a healthy one, if there is one.
func (c *cluster) anyNode() int {
	first := c.world.rng.intn(len(c.nodes))
	for k := range c.nodes {
		i := (first + k) % len(c.nodes)
		if c.up(i) {
			return i
		}
	}
	return first
}

// submitAt sends a submission once.
func (c *cluster) submitAt(i int, spec *jobSpec) reply {
	raw, _ := json.Marshal(spec)
	r := c.ask(i, http.MethodPost, "/v2/runs", raw, 5*time.Second)
	c.rec.logf("submit %s at %d: %d %s", spec.ID, i, r.status, r.stance)
	if r.status == http.StatusCreated {
		c.rec.logf("job %s", raw)
	}
	c.world.tellUser(spec.ID, "a submission", r.status, r.stance)
	return r
}

// submit sends a submission as a user does, and reports whether it was accepted.
func (c *cluster) submit(spec *jobSpec) bool {
	c.world.addJob(spec)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		r := c.submitAt(c.anyNode(), spec)
		if r.status == http.StatusOK || r.status == http.StatusCreated {
			return true
		}
		if r.status == http.StatusBadRequest || r.status == http.StatusUnprocessableEntity {
			return false
		}
		time.Sleep(max(time.Second, r.retryAfter))
	}
	return false
}

// pollAt asks for a job's state once.
func (c *cluster) pollAt(i int, id string) reply {
	r := c.ask(i, http.MethodGet, "/v2/runs/"+id, nil, 2*time.Second)
	c.rec.logf("poll %s at %d: %d %s %d", id, i, r.status, r.stance, r.done)
	c.world.tellUser(id, "a poll", r.status, r.stance)
	return r
}

// cancelAt asks to cancel a job once.
func (c *cluster) cancelAt(i int, id string) reply {
	r := c.ask(i, http.MethodPost, "/v2/runs/"+id+"/abort", []byte("{}"), 5*time.Second)
	c.rec.logf("cancel %s at %d: %d %s", id, i, r.status, r.stance)
	if r.status == http.StatusOK {
		if r.stance == "cancelled" {
			c.world.tellCancelled(id)
		}
		c.world.tellUser(id, "a cancellation", r.status, r.stance)
	}
	return r
}

// cancel cancels a job as a user does.
func (c *cluster) cancel(id string) {
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		r := c.cancelAt(c.anyNode(), id)
		if r.status == http.StatusOK {
			return
		}
		time.Sleep(max(time.Second, r.retryAfter))
	}
}

// follow polls a job until it has ended or the time is over, and returns its last state.
func (c *cluster) follow(id string, until time.Time) string {
	stance := ""
	for time.Now().Before(until) {
		if r := c.pollAt(c.anyNode(), id); r.status == http.StatusOK {
			stance = r.stance
			if stance == "done" || stance == "cancelled" {
				return stance
			}
		}
		time.Sleep(seconds(4 + 2*c.world.rng.float()))
	}
	return stance
}
