package quota

import (
	"math/rand/v2"
	"testing"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/planner"
)

func ledger() *Ledger {
	ix := map[string]int32{"a": 0, "b": 1}
	return New([]config.Team{{Name: "a", GPUs: 4, GPUsMax: 6}, {Name: "b", CPUs: 2, CPUsMax: 8}}, func(n string) int32 { return ix[n] })
}

// Whatever is taken and given back, what Fits allows never goes over a limit, compared
// with a plain list of what runs.
func TestLimitsAgainstAPlainList(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	l := ledger()
	var running []planner.Size
	refused := 0
	for range 5000 {
		if len(running) > 0 && rng.IntN(2) == 0 {
			i := rng.IntN(len(running))
			l.Release(0, running[i])
			running = append(running[:i], running[i+1:]...)
			continue
		}
		size := planner.Size{CPUs: float64(rng.IntN(20)), GPUs: 0.5 * float64(rng.IntN(5))}
		sum := size.GPUs
		for _, r := range running {
			sum += r.GPUs
		}
		if l.Fits(0, size, 1) != (sum <= 6) {
			t.Fatalf("fits says %v with %v of 6 GPUs", l.Fits(0, size, 1), sum)
		}
		if sum <= 6 {
			l.Acquire(0, size)
			running = append(running, size)
		} else {
			refused++
		}
	}
	if refused == 0 {
		t.Fatal("the limit was never met")
	}
	if l.Fits(7, planner.Size{}, 1) || l.Ever(7, planner.Size{}, 1) {
		t.Fatal("an unknown team has no limit to stay within")
	}
}

func TestGuarantee(t *testing.T) {
	l := ledger()
	gpu := planner.Size{CPUs: 10, GPUs: 2}
	cpu := planner.Size{CPUs: 1}
	for _, c := range []struct {
		team        int32
		job, demand planner.Size
		want        bool
	}{
		{0, gpu, planner.Size{CPUs: 20, GPUs: 4}, true},
		{0, gpu, planner.Size{CPUs: 20, GPUs: 5}, false},
		{0, cpu, cpu, false}, // nothing that it asks for is guaranteed
		{1, cpu, planner.Size{CPUs: 2}, true},
		{1, cpu, planner.Size{CPUs: 3}, false},
		{9, cpu, cpu, false},
	} {
		if got := l.Within(c.team, c.job, c.demand); got != c.want {
			t.Errorf("team %d, job %v, demand %v: %v", c.team, c.job, c.demand, got)
		}
	}
}
