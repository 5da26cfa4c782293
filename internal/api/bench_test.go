package api

import (
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// newServiceWithJobs returns a controller's Service with count jobs in its job table and no status queries served.
func newServiceWithJobs(count int) *testService {
	service := newTestService(state.New())
	service.MaxTasks = 1e6
	for i := range count {
		service.Submit(service.state.Now, newSpec(i), func(Reply) {})
		service.deliverAll()
	}
	return service
}

// BenchmarkStatusQueries measures a thousand simultaneous status queries, including the time of the simulated state
// service.
func BenchmarkStatusQueries(b *testing.B) {
	service := newServiceWithJobs(300)
	b.ReportAllocs()
	for b.Loop() {
		statusSum := 0
		for i := range 1000 {
			service.Query(service.state.Now, jobID(i%300), func(r Reply) { statusSum += r.Status })
		}
		if service.deliverAll(); statusSum != 1000*200 {
			b.Fatalf("got a sum of statuses of %d, want 1000 times 200", statusSum)
		}
	}
}

// BenchmarkApplyRecords measures adding the records of 300 new jobs to a job table, as every controller does.
func BenchmarkApplyRecords(b *testing.B) {
	var items []store.Item
	for _, item := range newServiceWithJobs(300).state.Keys {
		items = append(items, item)
	}
	b.ReportAllocs()
	for b.Loop() {
		table := jobs.NewTable(0)
		for _, item := range items {
			if _, _, err := table.Apply(strings.TrimPrefix(item.Key, jobs.RecordPrefix), item.Value, item.Version); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// Many simultaneous status queries need few requests to the state service: one transaction checks many jobs, and each
// job once.
func TestStatusQueriesShareTransactions(t *testing.T) {
	service := newServiceWithJobs(50)
	replies, requests := 0, 0
	for i := range 1000 {
		service.Query(service.state.Now, jobID(i%50), func(r Reply) {
			if r.Status == 200 {
				replies++
			}
		})
	}
	for len(service.pendingRequests) > 0 {
		requests++
		service.deliverNext()
	}
	if replies != 1000 || requests > 3 {
		t.Fatalf("got %d replies with status 200 and %d requests, want 1000 replies and at most 3 requests",
			replies, requests)
	}
}
