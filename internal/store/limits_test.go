package store

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
)

// A service takes less from one moment on: after a few refusals everything fits, no refusal follows but for rare tries, and
// once it takes as much as before it is used in full again.
func TestLimitsAreLearnt(t *testing.T) {
	given := Limits{MaxOps: 24, MaxValueBytes: 8 << 10}
	for _, small := range []Limits{{8, 2 << 10}, {24, 1 << 10}, {5, 8 << 10}, {4, 1 << 10}} {
		l := newLearner(given)
		now := time.Duration(0)
		play := func(real Limits, duration time.Duration) (refused int) {
			for end := now + duration; now < end; now += time.Second {
				// What is written is as large as allowed, or smaller.
				for _, s := range []Limits{l.now, {l.now.MaxOps / 2, l.now.MaxValueBytes}, {l.now.MaxOps, l.now.MaxValueBytes / 3}, {1, 200}} {
					if s.MaxOps > real.MaxOps || s.MaxValueBytes > real.MaxValueBytes {
						l.refused(now, s)
						refused++
					} else {
						l.took(now, s)
					}
				}
			}
			return refused
		}
		if n := play(given, time.Minute); n != 0 || l.now != given {
			t.Errorf("%d refusals, %v, while all is taken", n, l.now)
		}
		if n := play(small, 5*time.Second); n > 12 || l.now.MaxOps > small.MaxOps || l.now.MaxValueBytes > small.MaxValueBytes {
			t.Errorf("%v: %d refusals at first, then %v", small, n, l.now)
		}
		if n := play(small, 30*time.Minute); n > 60 || l.now.MaxOps < small.MaxOps/2 || l.now.MaxValueBytes < small.MaxValueBytes/2 {
			t.Errorf("%v: %d refusals in half an hour, %v", small, n, l.now)
		}
		if play(given, 12*time.Hour); l.now != given {
			t.Errorf("%v: all is taken again for hours, and %v is used", small, l.now)
		}
	}
}

// A share of writes that the service doesn't let through any more shrinks to about what it does, and grows back.
func TestRateIsLearnt(t *testing.T) {
	h := throttle{factor: 1}
	const share, real = 30.0, 21.0
	now, level := time.Duration(0), 0.0
	play := func(rate float64, duration time.Duration) (carried, refused float64) {
		for end := now + duration; now < end; now += 100 * time.Millisecond {
			level = max(0, level-rate/10)
			want := share * h.recover(now) / 10
			if level+want > rate { // a burst of a second's worth
				h.refused(now)
				refused += want
				continue
			}
			level += want
			carried += want
		}
		return carried, refused
	}
	play(real, 30*time.Second)
	if carried, refused := play(real, time.Minute); carried < 0.8*real*60 || refused > 0.2*carried {
		t.Errorf("%.0f writes carried out in a minute of %.0f, %.0f refused", carried, real*60, refused)
	}
	play(share*2, time.Minute)
	if h.factor != 1 {
		t.Errorf("%.2f of the share is used where all would be taken", h.factor)
	}
}

// refusing is a service that takes no more than some changes and bytes.
type refusing struct {
	limits Limits
	sent   []Txn
}

func (r *refusing) Send(_ string, q httpio.Request, done func(httpio.Response)) {
	var txn Txn
	_ = json.Unmarshal(q.Body, &txn)
	r.sent = append(r.sent, txn)
	if s := shapeOf(txn); s.MaxOps > r.limits.MaxOps || s.MaxValueBytes > r.limits.MaxValueBytes {
		done(httpio.Response{Status: 400, Body: []byte(`{"error":"too large"}`)})
		return
	}
	done(httpio.Response{Status: 200, Body: []byte(`{"epoch":1}`)})
}

// A transaction that is refused for its size wasn't carried out, and the next ones know it; conditions count too.
func TestRefusedForItsSize(t *testing.T) {
	r := &refusing{limits: Limits{MaxOps: 8, MaxValueBytes: 2 << 10}}
	c := New("", r, func() time.Duration { return 0 }, Share{RPS: 1e6, WriteRPS: 1e6, BurstS: 1}, Limits{MaxOps: 24, MaxValueBytes: 8 << 10})
	conds := Txn{}
	for range 90 {
		conds.If = append(conds.If, Condition{Key: "k"})
	}
	for _, txn := range []Txn{conds, {Then: []Op{{Put: "k", Value: make([]byte, 0)}, {Put: "l", Value: json.RawMessage(`"` + string(make([]byte, 6000)) + `"`)}}}} {
		before := c.Limits()
		txn.Then = append([]Op(nil), txn.Then...)
		for i := range txn.Then {
			if len(txn.Then[i].Value) > 0 {
				raw := make([]byte, 6000)
				for k := range raw {
					raw[k] = '7'
				}
				txn.Then[i].Value = raw
			} else {
				txn.Then[i].Value = json.RawMessage("1")
			}
		}
		var got Outcome = 99
		c.Txn(txn, NormalPriority, func(x Result) { got = x.Outcome })
		if got != NotApplied || c.Limits() == before {
			t.Errorf("outcome %s, limits %v", got, c.Limits())
		}
	}
	if size, _ := c.Rejections(); size != 2 {
		t.Errorf("%d refusals", size)
	}
	if l := c.Limits(); l.MaxOps > 12 || l.MaxValueBytes > 3000 {
		t.Errorf("limits %v", l)
	}
}
