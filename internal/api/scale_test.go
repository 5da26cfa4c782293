package api

import (
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// fleetSize is the number of machines whose load no fixed bound may limit.
const fleetSize = 4000

// A burst of one job for each machine is accepted, as far as the bytes of waiting records allow it.
func TestBurstOfALargeFleetIsAccepted(t *testing.T) {
	svc := state.New()
	service := newTestService(svc)
	service.MaxBytes = 16 << 20
	replies := map[int]int{}
	for i := range fleetSize {
		service.Submit(svc.Now, job(i), func(r Reply) { replies[r.Status]++ })
	}
	service.deliverAll()
	if replies[201] != fleetSize {
		t.Fatalf("replies %v", replies)
	}
}

// Whatever the count allows, the bytes of waiting records stay bounded, and submissions beyond get a Retry-After at
// once.
func TestBurstIsBoundedByItsBytes(t *testing.T) {
	svc := state.New()
	service := newTestService(svc)
	service.MaxBytes = 64 << 10
	refused := 0
	for i := range fleetSize {
		service.Submit(svc.Now, job(i), func(r Reply) {
			if r.Status == 429 && r.RetryAfter > 0 {
				refused++
			}
		})
	}
	if service.submissionBytes > service.MaxBytes || refused < fleetSize/2 {
		t.Fatalf("%d bytes waiting, %d refused at once", service.submissionBytes, refused)
	}
	service.deliverAll()
}

// Status queries about as many jobs as a large fleet runs are served, and each transaction holds as many as fit its
// bytes and the state service's limit of conditions, whatever the length of the ids.
func TestStatusQueriesFillATransaction(t *testing.T) {
	for _, length := range []int{10, 22} {
		svc := state.New()
		service := newTestService(svc)
		service.TxnOps = 1 << 20
		service.Limits = func() store.Limits { return store.Limits{MaxOps: 1 << 20, MaxValueBytes: 1 << 20} }
		maxConditions, replies := 0, 0
		service.onRequest = func(request httpio.Request) {
			txn, err := state.DecodeTxn(request.Body)
			if err != nil || len(request.Body) > 64<<10 {
				t.Fatalf("a transaction of %d bytes: %v", len(request.Body), err)
			}
			maxConditions = max(maxConditions, len(txn.If))
		}
		for i := range fleetSize {
			id := fmt.Sprintf("req-%0*d", length-len("req-"), i)
			service.Query(svc.Now, id, func(r Reply) {
				if r.Status != 404 {
					t.Errorf("%s: %+v", id, r)
				}
				replies++
			})
		}
		for replies < fleetSize {
			service.deliverAll()
			svc.Now += 50 * time.Millisecond
			service.Tick(svc.Now)
		}
		minQueries := 50 << 10 / (2 * (length + 2 + conditionOverhead))
		maxQueries := maxConditions / conditionsPerQuery
		if maxQueries < minQueries {
			t.Errorf("ids of %d characters: %d jobs in a transaction, %d fit", length, maxQueries, minQueries)
		}
	}
}
