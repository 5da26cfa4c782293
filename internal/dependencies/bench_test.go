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

// benchSizes are numbers of live jobs. Each job but the first two follows two others.
var benchSizes = []int{25_000, 50_000, 100_000}

// storedRecord is a job's record as a listing has it.
type storedRecord struct {
	id  string
	raw json.RawMessage
}

// benchRecords returns the records of live jobs, each of which follows two of the hundred before it.
func benchRecords(count int) []storedRecord {
	random := rand.New(rand.NewPCG(1, 1))
	records := make([]storedRecord, count)
	for i := range records {
		spec := newSpec(i + 1)
		if i >= 2 {
			reach := min(i, 100)
			near := random.IntN(reach - 1)
			spec.Follows = []string{jobID(i - near), jobID(i - near - 1)}
		}
		spec.Priority = priorityNames[random.IntN(len(priorityNames))]
		records[i] = storedRecord{spec.ID, jobs.EncodeRecord(jobs.Pending, 0, 1, spec)}
	}
	return records
}

// loadTable returns a table with all jobs, and the graph without them.
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

// forEachSize runs a benchmark for each number of jobs. One iteration takes all jobs, so that ns/job shows whether the cost
// is linear.
func forEachSize(b *testing.B, run func(b *testing.B, records []storedRecord)) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("jobs=%d", size), func(b *testing.B) {
			run(b, benchRecords(size))
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/job")
		})
	}
}

// BenchmarkBuild measures the building of the graph from the records of a job table, as a controller that reads all
// followed keys does, and what the graph takes of memory.
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

// BenchmarkAccept measures the acceptance of one more job that follows two others, beside many live jobs.
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

// BenchmarkRelease measures the ends of all jobs, one after the other, with the releases that follow from them.
func BenchmarkRelease(b *testing.B) { benchmarkEnds(b, jobs.Done) }

// BenchmarkCancel measures the cancellation of the first job, which dooms all others, and their own cancellations.
func BenchmarkCancel(b *testing.B) { benchmarkEnds(b, jobs.Cancelled) }

// benchmarkEnds measures the ends of all jobs, one after the other.
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

// markEnded has a table apply that all jobs have ended, and returns them.
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

// BenchmarkLatestEnds measures the latest ends of all jobs, as each ranking computes them.
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
