package api

import (
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// fleetSize is the number of machines in a large fleet. No fixed bound may refuse a burst of one request per machine.
const fleetSize = 4000

// A burst of one job per machine is accepted if MaxQueuedBytes allows the size of the waiting records.
func TestBurstOfLargeFleetIsAccepted(t *testing.T) {
	stateService := state.New()
	service := newTestService(stateService)
	service.MaxQueuedBytes = 16 << 20
	replies := map[int]int{}
	for i := range fleetSize {
		service.Submit(stateService.Now, newSpec(i), func(r Reply) { replies[r.Status]++ })
	}
	service.deliverAll()
	if replies[201] != fleetSize {
		t.Fatalf("got counts of replies by status %v, want 201 for every job", replies)
	}
}

// Even if the count of waiting submissions allows more, MaxQueuedBytes bounds the size of their records, and the
// submissions beyond it get a Retry-After at once.
func TestBurstIsBoundedByMaxQueuedBytes(t *testing.T) {
	stateService := state.New()
	service := newTestService(stateService)
	service.MaxQueuedBytes = 64 << 10
	refused := 0
	for i := range fleetSize {
		service.Submit(stateService.Now, newSpec(i), func(r Reply) {
			if r.Status == 429 && r.RetryAfter > 0 {
				refused++
			}
		})
	}
	if service.submissionBytes > service.MaxQueuedBytes || refused < fleetSize/2 {
		t.Fatalf("got %d bytes waiting and %d jobs refused at once, want at most MaxQueuedBytes and at least half the jobs",
			service.submissionBytes, refused)
	}
	service.deliverAll()
}

// A burst of one status query per machine of a large fleet is served. Each transaction holds as many queries as fit
// in its size and in the state service's limit of conditions, whatever the length of the ids.
func TestStatusQueriesFillTransactions(t *testing.T) {
	for _, idLength := range []int{10, 22} {
		stateService := state.New()
		service := newTestService(stateService)
		service.MaxTxnOps = 1 << 20
		service.Limits = func() store.TxnLimits { return store.TxnLimits{MaxOps: 1 << 20, MaxValueBytes: 1 << 20} }
		maxConditions, replies := 0, 0
		service.onRequest = func(request httpio.Request) {
			txn, err := state.DecodeTxn(request.Body)
			if err != nil || len(request.Body) > 64<<10 {
				t.Fatalf("got a transaction of %d bytes and error %v, want at most 64 KiB and no error",
					len(request.Body), err)
			}
			maxConditions = max(maxConditions, len(txn.If))
		}
		for i := range fleetSize {
			id := fmt.Sprintf("req-%0*d", idLength-len("req-"), i)
			service.Query(stateService.Now, id, func(r Reply) {
				if r.Status != 404 {
					t.Errorf("%s: got %+v, want 404", id, r)
				}
				replies++
			})
		}
		for replies < fleetSize {
			service.deliverAll()
			stateService.Now += 50 * time.Millisecond
			service.Tick(stateService.Now)
		}
		minQueries := 50 << 10 / (2 * (idLength + 2 + conditionOverheadBytes))
		maxQueries := maxConditions / conditionsPerQuery
		if maxQueries < minQueries {
			t.Errorf("ids of %d characters: got at most %d jobs in a transaction, want at least %d",
				idLength, maxQueries, minQueries)
		}
	}
}
