package dependencies

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// benchSizes are the numbers of live jobs. Each job except the first two has two predecessors.
var benchSizes = []int{25_000, 50_000, 100_000}

// storedRecord is a job record as a listing returns it.
type storedRecord struct {
	id  string
	raw json.RawMessage
}

// benchRecords returns the records of count live jobs. Each job except the first two has two predecessors among the
// hundred jobs before it.
func benchRecords(count int) []storedRecord {
	random := rand.New(rand.NewPCG(1, 1))
	records := make([]storedRecord, count)
	for i := range records {
		spec := newSpec(i + 1)
		if i >= 2 {
			window := min(i, 100)
			distance := random.IntN(window - 1)
			spec.Follows = []string{jobID(i - distance), jobID(i - distance - 1)}
		}
		spec.Priority = priorityNames[random.IntN(len(priorityNames))]
		records[i] = storedRecord{spec.ID, jobs.EncodeRecord(jobs.Pending, 0, 1, spec)}
	}
	return records
}

// loadTable returns a table that contains all jobs, and an empty graph of that table.
func loadTable(records []storedRecord) (*jobs.Table, *Graph) {
	table := jobs.NewTable(0)
	graph := New(table, func(time.Duration, *jobs.Job) {})
	for i, record := range records {
		if _, _, err := table.Apply(record.id, record.raw, uint64(i+1)); err != nil {
			panic(err)
		}
	}
	return table, graph
}

// build adds all jobs of a table to the graph.
func build(table *jobs.Table, graph *Graph) {
	table.ForEach(func(job *jobs.Job) { graph.HandleJobChange(time.Second, job) })
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// forEachSize runs a benchmark for each number of jobs. One iteration processes all jobs, so ns/job shows whether the
// cost is linear.
func forEachSize(b *testing.B, run func(b *testing.B, records []storedRecord)) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("jobs=%d", size), func(b *testing.B) {
			run(b, benchRecords(size))
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/job")
		})
	}
}

// BenchmarkBuild measures the time to build the graph from a job table, as a controller does after it has listed all
// watched keys, and the memory that the graph uses per job.
func BenchmarkBuild(b *testing.B) {
	forEachSize(b, func(b *testing.B, records []storedRecord) {
		var used uint64
		for b.Loop() {
			b.StopTimer()
			table, graph := loadTable(records)
			before := heapBytes()
			b.StartTimer()
			build(table, graph)
			b.StopTimer()
			used = heapBytes() - before
			runtime.KeepAlive(graph)
			b.StartTimer()
		}
		b.ReportMetric(float64(used)/float64(len(records)), "bytes/job")
	})
}

// BenchmarkAccept measures adding one job with two predecessors to a graph of many live jobs.
func BenchmarkAccept(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("jobs=%d", size), func(b *testing.B) {
			table, graph := loadTable(benchRecords(size))
			build(table, graph)
			spec := newSpec(size+1, size, size-1)
			spec.Priority = "prod"
			record := jobs.EncodeRecord(jobs.Pending, 0, 1, spec)
			version := uint64(size)
			for b.Loop() {
				b.StopTimer()
				version++
				job, _, err := table.Apply(spec.ID, record, version)
				if err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				graph.HandleJobChange(time.Second, job)
				b.StopTimer()
				version++
				table.Archive(spec.ID, version)
				graph.HandleRemoved(spec.ID)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkRelease measures ending all jobs as done, one after the other, including the releases of their successors.
func BenchmarkRelease(b *testing.B) { benchmarkEnds(b, jobs.Done) }

// BenchmarkCancel measures cancelling the first job, which marks all others for cancellation, and then cancelling the
// others one after the other.
func BenchmarkCancel(b *testing.B) { benchmarkEnds(b, jobs.Cancelled) }

// benchmarkEnds measures ending all jobs in the given state, one after the other.
func benchmarkEnds(b *testing.B, final jobs.State) {
	forEachSize(b, func(b *testing.B, records []storedRecord) {
		for b.Loop() {
			b.StopTimer()
			table, graph := loadTable(records)
			build(table, graph)
			ended := markEnded(table, records, final)
			b.StartTimer()
			for _, job := range ended {
				graph.HandleJobChange(2*time.Second, job)
			}
		}
	})
}

// markEnded applies a terminal record of every job to the table and returns the jobs.
func markEnded(table *jobs.Table, records []storedRecord, final jobs.State) []*jobs.Job {
	ended := make([]*jobs.Job, len(records))
	for i, record := range records {
		job := table.Get(record.id)
		raw := jobs.EncodeRecord(final, 0, 1, job.Spec)
		if _, _, err := table.Apply(record.id, raw, uint64(len(records)+i+1)); err != nil {
			panic(err)
		}
		ended[i] = job
	}
	return ended
}

// BenchmarkLatestEnds measures computing the latest ends of all jobs, which each ranking of the jobs does.
func BenchmarkLatestEnds(b *testing.B) {
	forEachSize(b, func(b *testing.B, records []storedRecord) {
		table, graph := loadTable(records)
		build(table, graph)
		for b.Loop() {
			latestEndOf := graph.LatestEnds(func(*jobs.Job) time.Duration { return time.Second })
			table.ForEach(func(job *jobs.Job) { latestEndOf(job) })
		}
	})
}
