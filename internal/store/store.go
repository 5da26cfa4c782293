// Package store is the client of the state service: transactions with a rate budget,
// reads, holds and a follow that survives a lost position.
package store

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
)

// Condition asks that a key has a version; 0 means that it does not exist.
type Condition struct {
	Key     string `json:"k"`
	Version uint64 `json:"stamp"`
}

// Op sets or drops one key.
type Op struct {
	Put    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"tether,omitempty"`
	Delete string          `json:"drop,omitempty"`
}

// Txn is an atomic change.
type Txn struct {
	If   []Condition `json:"if"`
	Then []Op        `json:"apply,omitempty"`
}

// Item is one stored key.
type Item struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"tether"`
}

// Event is one followed change.
type Event struct {
	Put     string          `json:"set"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Delete  string          `json:"drop"`
}

// Outcome is how a request ended.
type Outcome uint8

// The outcomes. Indeterminate must be resolved by a read before anything depends on it.
const (
	Committed Outcome = iota
	Conflict
	NotApplied    // surely not carried out: outage, limit, or our own budget
	LeaseExpired  // the hold named is gone
	Indeterminate // may have been carried out, or may be yet
)

func (o Outcome) String() string {
	return [...]string{"committed", "conflict", "not done", "no hold", "indeterminate"}[o]
}

// Result is the answer to a transaction.
type Result struct {
	Outcome    Outcome
	Revision   uint64
	FailedKeys []string
}

// Priority orders requests when the budget runs low.
type Priority uint8

// Safety requests may use the whole budget. Ordinary ones, for which users wait, leave a
// little of it; Query ones, which are asked again soon, leave enough for submissions and cancellations; and Bulk
// ones, which come in floods, leave enough for all of those.
const (
	SafetyPriority Priority = iota
	NormalPriority
	QueryPriority
	BulkPriority
)

// reserves is the part of a bucket that each class leaves.
var reserves = [...]float64{SafetyPriority: 0, NormalPriority: 0.1, QueryPriority: 0.3, BulkPriority: 0.35}

// Budget is a token bucket that leaves a reserve for safety.
type Budget struct {
	rate, burst, tokens float64
	at                  time.Duration
}

// NewBudget makes a full bucket for rate per second that holds what comes in burstS.
func NewBudget(rate, burstS float64) *Budget {
	burst := max(1, rate*burstS)
	return &Budget{rate: rate, burst: burst, tokens: burst}
}

// SetRate changes the rate and the bucket from now on.
func (b *Budget) SetRate(now time.Duration, rate, burstS float64) {
	b.fill(now)
	b.rate, b.burst = rate, max(1, rate*burstS)
	b.tokens = min(b.tokens, b.burst)
}

func (b *Budget) fill(now time.Duration) {
	if now > b.at {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// Allows tells whether n may be taken by a class.
func (b *Budget) Allows(now time.Duration, n float64, c Priority) bool {
	b.fill(now)
	if n > b.burst {
		// One transaction may be larger than the bucket: it waits for a full one.
		return b.tokens >= b.burst
	}
	return b.tokens >= min(b.burst, n+b.burst*reserves[c])
}

// Take takes n; the bucket may go into debt after an oversized transaction.
func (b *Budget) Take(n float64) { b.tokens -= n }

// Client talks to the state service. It belongs to the event loop.
type Client struct {
	addr          string
	send          httpio.Sender
	now           func() time.Duration
	requestBudget *Budget
	writeBudget   *Budget
	limits        learner
	throttle      throttle
	share         Share
	lastSuccess   time.Duration
	lastHeard     time.Duration

	requestsSent, writesSent uint64
}

// Sent is how many requests were sent since the start, and how many writes were in them.
func (c *Client) Sent() (requests, writes uint64) { return c.requestsSent, c.writesSent }

// Share is the part of the service's limits that a controller may use: rates, and how
// many seconds' worth may be used at once.
type Share struct{ RPS, WriteRPS, BurstS float64 }

// New makes a client with a share of the service's limits, whose transactions stay within limits.
func New(addr string, send httpio.Sender, now func() time.Duration, s Share, limits Limits) *Client {
	return &Client{
		addr: addr, send: send, now: now, limits: newLearner(limits), throttle: throttle{factor: 1}, share: s,
		requestBudget: NewBudget(s.RPS, s.BurstS), writeBudget: NewBudget(s.WriteRPS, s.BurstS),
	}
}

// SetShare changes the budget, for example on becoming leader.
func (c *Client) SetShare(s Share) {
	now := c.now()
	c.share = s
	c.requestBudget.SetRate(now, s.RPS, s.BurstS)
	c.adjustWriteRate(now)
}

// adjustWriteRate sets the rate of writes to what the service lets through.
func (c *Client) adjustWriteRate(now time.Duration) {
	if rate := c.share.WriteRPS * c.throttle.recover(now); rate != c.writeBudget.rate {
		c.writeBudget.SetRate(now, rate, c.share.BurstS)
	}
}

// LastHeard is when the service last answered anything, a refusal too.
func (c *Client) LastHeard() time.Duration { return c.lastHeard }

// LastSuccess is when the service last carried out a request of ours.
func (c *Client) LastSuccess() time.Duration { return c.lastSuccess }

// CanWrite tells whether a transaction with n writes would be within the budget now.
func (c *Client) CanWrite(n int, class Priority) bool {
	now := c.now()
	return c.requestBudget.Allows(now, 1, class) && (n == 0 || c.writeBudget.Allows(now, float64(n), class))
}

// HasSpareWrites tells whether half of the budget for writes is unused.
func (c *Client) HasSpareWrites() bool {
	return c.writeBudget.Allows(c.now(), c.writeBudget.burst/2, SafetyPriority)
}

// WriteRate is how many writes a second the budget allows.
func (c *Client) WriteRate() float64 { return c.writeBudget.rate }

// HasSpareWritesFor tells whether half of the budget for writes would be unused after n more.
func (c *Client) HasSpareWritesFor(n int) bool {
	return c.requestBudget.Allows(c.now(), 1, BulkPriority) && c.writeBudget.Allows(c.now(), c.writeBudget.burst/2+float64(n), SafetyPriority)
}

func (c *Client) call(req httpio.Request, writes int, class Priority, done func(httpio.Response)) {
	c.adjustWriteRate(c.now())
	if !c.CanWrite(writes, class) {
		done(httpio.Response{Status: 429})
		return
	}
	c.requestBudget.Take(1)
	c.writeBudget.Take(float64(writes))
	c.requestsSent++
	c.writesSent += uint64(writes)
	c.send.Send(c.addr, req, func(response httpio.Response) {
		if response.Err == nil {
			c.lastHeard = c.now()
		}
		if response.Err == nil && response.Status != 503 && response.Status != 429 {
			c.lastSuccess = c.now()
		}
		if response.Err == nil && response.Status == 429 && writes > 0 {
			c.throttle.refused(c.now())
			c.adjustWriteRate(c.now())
		}
		done(response)
	})
}

// Txn sends one transaction.
func (c *Client) Txn(txn Txn, class Priority, done func(Result)) {
	if txn.If == nil {
		txn.If = []Condition{}
	}
	body, err := json.Marshal(txn)
	if err != nil || len(body) > 64<<10 {
		done(Result{Outcome: NotApplied})
		return
	}
	c.call(httpio.Request{Method: "POST", Path: "/txn", Body: body, Timeout: 2 * time.Second}, len(txn.Then), class,
		func(response httpio.Response) {
			result := parseTxn(response)
			c.learn(shapeOf(txn), response, result.Outcome)
			done(result)
		})
}

// learn takes over what an answer says of the service's limits.
func (c *Client) learn(s Limits, response httpio.Response, o Outcome) {
	switch {
	case o == Committed || o == Conflict:
		c.limits.took(c.now(), s)
	case response.Err == nil && response.Status == 400 && o != LeaseExpired:
		c.limits.refused(c.now(), s)
	}
}

func parseTxn(response httpio.Response) Result {
	var b struct {
		Revision uint64   `json:"epoch"`
		Failed   []string `json:"failed"`
		Error    string   `json:"error"`
	}
	switch {
	case response.Refused || response.Status == 429 || response.Status == 503:
		return Result{Outcome: NotApplied}
	case response.Err != nil:
		return Result{Outcome: Indeterminate}
	}
	_ = json.Unmarshal(response.Body, &b)
	switch response.Status {
	case 200:
		return Result{Outcome: Committed, Revision: b.Revision}
	case 409:
		return Result{Outcome: Conflict, Revision: b.Revision, FailedKeys: b.Failed}
	case 400:
		if b.Error == "no such lease" {
			return Result{Outcome: LeaseExpired}
		}
		return Result{Outcome: NotApplied}
	}
	return Result{Outcome: Indeterminate}
}

// Get reads one key; a missing key has version 0.
func (c *Client) Get(key string, class Priority, done func(Item, error)) {
	c.call(httpio.Request{Method: "GET", Path: "/keys/" + key, Timeout: 1500 * time.Millisecond}, 0, class,
		func(response httpio.Response) {
			var item Item
			switch {
			case response.Err == nil && response.Status == 404:
				done(Item{Key: key}, nil)
			case response.Err == nil && response.Status == 200 && json.Unmarshal(response.Body, &item) == nil:
				done(item, nil)
			default:
				done(Item{}, failure(response))
			}
		})
}

func failure(response httpio.Response) error {
	if response.Err != nil {
		return response.Err
	}
	return fmt.Errorf("state service answered %d", response.Status)
}

// List reads all keys with a prefix, page by page, and the revision of the first page: a
// follow from there sees every change the pages may have missed.
func (c *Client) List(prefix string, done func([]Item, uint64, error)) {
	c.list(prefix, "", nil, 0, done)
}

func (c *Client) list(prefix, after string, got []Item, rev uint64, done func([]Item, uint64, error)) {
	p := "/keys?starts=" + url.QueryEscape(prefix) + "&limit=1000"
	if after != "" {
		p += "&since=" + url.QueryEscape(after)
	}
	c.call(httpio.Request{Method: "GET", Path: p, Timeout: 4 * time.Second}, 0, SafetyPriority, func(response httpio.Response) {
		var b struct {
			Items    []Item `json:"pairs"`
			More     bool   `json:"has_next"`
			Revision uint64 `json:"epoch"`
		}
		if response.Err != nil || response.Status != 200 || json.Unmarshal(response.Body, &b) != nil {
			done(nil, 0, failure(response))
			return
		}
		if after == "" {
			rev = b.Revision
		}
		got = append(got, b.Items...)
		if b.More && len(b.Items) > 0 {
			c.list(prefix, b.Items[len(b.Items)-1].Key, got, rev, done)
			return
		}
		done(got, rev, nil)
	})
}

// Watch waits for changes after a revision. gone tells that the revision is too old and
// the keys must be read again.
func (c *Client) Watch(prefix string, after uint64, wait time.Duration, done func(rev uint64, ev []Event, gone bool, err error)) {
	p := "/follow?starts=" + url.QueryEscape(prefix) + "&since=" + strconv.FormatUint(after, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	// An open follow may outlast an outage, so its time limit is far above its wait.
	c.call(httpio.Request{Method: "GET", Path: p, Timeout: wait + 20*time.Second}, 0, SafetyPriority, func(response httpio.Response) {
		var b struct {
			Revision uint64  `json:"epoch"`
			Events   []Event `json:"events"`
		}
		switch {
		case response.Err == nil && response.Status == 410:
			done(0, nil, true, nil)
		case response.Err == nil && response.Status == 200 && json.Unmarshal(response.Body, &b) == nil:
			done(b.Revision, b.Events, false, nil)
		default:
			done(0, nil, false, failure(response))
		}
	})
}

// GrantLease creates a hold.
func (c *Client) GrantLease(ttl time.Duration, done func(id uint64, err error)) {
	body, _ := json.Marshal(map[string]int64{"ttl_ms": ttl.Milliseconds()})
	c.call(httpio.Request{Method: "POST", Path: "/holds", Body: body, Timeout: 1500 * time.Millisecond}, 0, SafetyPriority,
		func(response httpio.Response) {
			var b struct {
				ID uint64 `json:"tether"`
			}
			if response.Err != nil || response.Status != 200 || json.Unmarshal(response.Body, &b) != nil || b.ID == 0 {
				done(0, failure(response))
				return
			}
			done(b.ID, nil)
		})
}

// RenewLease renews a hold; gone tells that it has ended.
func (c *Client) RenewLease(id uint64, done func(ok, gone bool)) {
	c.call(httpio.Request{Method: "POST", Path: fmt.Sprintf("/holds/%d/touch", id), Body: []byte("{}"), Timeout: 1500 * time.Millisecond},
		0, SafetyPriority, func(response httpio.Response) {
			done(response.Err == nil && response.Status == 200, response.Err == nil && response.Status == 404)
		})
}

// RevokeLease ends a hold at once.
func (c *Client) RevokeLease(id uint64, done func(ok bool)) {
	c.call(httpio.Request{Method: "DELETE", Path: fmt.Sprintf("/holds/%d", id), Timeout: 1500 * time.Millisecond},
		0, SafetyPriority, func(response httpio.Response) {
			done(response.Err == nil && (response.Status/100 == 2 || response.Status == 404))
		})
}

// Now is the steady clock.
func (c *Client) Now() time.Duration { return c.now() }
