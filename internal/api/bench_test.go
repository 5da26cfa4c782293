package api

import (
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// newServiceWithJobs is a controller whose job table holds n jobs and that has served no status queries.
func newServiceWithJobs(n int) *testService {
	service := newTestService(state.New())
	service.MaxTasks = 1e6
	for i := range n {
		service.Submit(service.state.Now, job(i), func(Reply) {})
		service.deliverAll()
	}
	return service
}

// BenchmarkStatusQueries serves a thousand simultaneous status queries, the simulated state service's work
// included.
func BenchmarkStatusQueries(b *testing.B) {
	service := newServiceWithJobs(300)
	b.ReportAllocs()
	for b.Loop() {
		statusSum := 0
		for i := range 1000 {
			service.Query(service.state.Now, jobID(i%300), func(r Reply) { statusSum += r.Status })
		}
		if service.deliverAll(); statusSum != 1000*200 {
			b.Fatalf("statuses add up to %d", statusSum)
		}
	}
}

// BenchmarkApplyRecords adds the records of 300 new jobs to a job table, as every controller does.
func BenchmarkApplyRecords(b *testing.B) {
	var items []store.Item
	for _, item := range newServiceWithJobs(300).state.Keys {
		items = append(items, item)
	}
	b.ReportAllocs()
	for b.Loop() {
		table := jobs.NewTable(0)
		for _, item := range items {
			if _, _, err := table.Apply(strings.TrimPrefix(item.Key, jobs.Prefix), item.Value, item.Version); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// However many status queries arrive at once, few requests go to the state service: one transaction checks many
// jobs, each of them once.
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
	for len(service.queue) > 0 {
		requests++
		service.deliverNext()
	}
	if replies != 1000 || requests > 3 {
		t.Fatalf("%d of 1000 queries served with %d requests", replies, requests)
	}
}
