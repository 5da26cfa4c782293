package api

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// polled is a controller that knows n jobs and has asked about nothing yet.
func polled(n int) *desk {
	d := newDesk(state.New())
	d.MaxTasks = 1e6
	for i := range n {
		d.Submit(d.svc.Now, job(i), func(Reply) {})
		d.run()
	}
	return d
}

// BenchmarkPolls is a thousand users who ask at the same moment, the stand-in's work included.
func BenchmarkPolls(b *testing.B) {
	d := polled(300)
	b.ReportAllocs()
	for b.Loop() {
		n := 0
		for i := range 1000 {
			d.Query(d.svc.Now, fmt.Sprintf("req-%06d", i%300), func(r Reply) { n += r.Status })
		}
		if d.run(); n != 1000*200 {
			b.Fatalf("answers add up to %d", n)
		}
	}
}

// BenchmarkFollow takes over the records of 300 new jobs, as every controller does.
func BenchmarkFollow(b *testing.B) {
	var items []store.Item
	for _, item := range polled(300).svc.Keys {
		items = append(items, item)
	}
	b.ReportAllocs()
	for b.Loop() {
		book := jobs.NewTable(0)
		for _, item := range items {
			if _, _, err := book.Apply(strings.TrimPrefix(item.Key, jobs.Prefix), item.Value, item.Version); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// However many ask at once, the state service is asked a few times: many jobs are checked in
// one transaction, each of them once.
func TestPollsShareChecks(t *testing.T) {
	d := polled(50)
	got, asked := 0, 0
	for i := range 1000 {
		d.Query(d.svc.Now, fmt.Sprintf("req-%06d", i%50), func(r Reply) {
			if r.Status == 200 {
				got++
			}
		})
	}
	for len(d.queue) > 0 {
		asked++
		f := d.queue[0]
		d.queue = d.queue[1:]
		f()
		d.svc.Now += 50 * time.Millisecond // past the pause between two checks
		d.Tick(d.svc.Now)
	}
	if got != 1000 || asked > 3 {
		t.Fatalf("%d of 1000 answered with %d requests", got, asked)
	}
}
