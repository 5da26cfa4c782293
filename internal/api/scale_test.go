package api

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// fleetSize is a fleet below whose needs no fixed bound may stand.
const fleetSize = 4000

// A burst of one job for each machine is taken whole, as long as the bytes that wait allow it.
func TestBurstOfALargeFleetIsTaken(t *testing.T) {
	svc := state.New()
	d := newDesk(svc)
	d.MaxBytes = 16 << 20
	answers := map[int]int{}
	for i := range fleetSize {
		d.Submit(svc.Now, job(i), func(r Reply) { answers[r.Status]++ })
	}
	d.run()
	if answers[201] != fleetSize {
		t.Fatalf("answers %v", answers)
	}
}

// Whatever the count allows, the bytes that wait stay bounded, and what is beyond is told at once to come back.
func TestBurstIsBoundedByItsBytes(t *testing.T) {
	svc := state.New()
	d := newDesk(svc)
	d.MaxBytes = 64 << 10
	refused := 0
	for i := range fleetSize {
		d.Submit(svc.Now, job(i), func(r Reply) {
			if r.Status == 429 && r.RetryAfter > 0 {
				refused++
			}
		})
	}
	if d.bytes > d.MaxBytes || refused < fleetSize/2 {
		t.Fatalf("%d bytes wait, %d refused at once", d.bytes, refused)
	}
	d.run()
}

// Questions about as many jobs as a large fleet runs are taken, and each transaction holds as many as fit its bytes and
// the state service's conditions, whatever the length of the ids.
func TestQuestionsFillATransaction(t *testing.T) {
	for _, length := range []int{10, 22} {
		svc := state.New()
		d := newDesk(svc)
		d.TxnOps, d.Limits = 1<<20, func() store.Limits { return store.Limits{MaxOps: 1 << 20, MaxValueBytes: 1 << 20} }
		most, asked := 0, 0
		d.look = func(request httpio.Request) {
			var txn store.Txn
			if err := json.Unmarshal(request.Body, &txn); err != nil || len(request.Body) > 64<<10 {
				t.Fatalf("a transaction of %d bytes: %v", len(request.Body), err)
			}
			most = max(most, len(txn.If))
		}
		for i := range fleetSize {
			id := fmt.Sprintf("req-%0*d", length-len("req-"), i)
			d.Query(svc.Now, id, func(r Reply) {
				if r.Status != 404 {
					t.Errorf("%s: %+v", id, r)
				}
				asked++
			})
		}
		for asked < fleetSize {
			d.run()
			svc.Now += 50 * time.Millisecond
			d.Tick(svc.Now)
		}
		if least := 50 << 10 / (2 * (length + 2 + condBytes)); most/condsPerCheck < least {
			t.Errorf("ids of %d characters: %d jobs in a transaction, %d fit", length, most/condsPerCheck, least)
		}
	}
}
