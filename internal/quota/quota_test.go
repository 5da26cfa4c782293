package quota

import (
	"math/rand/v2"
	"testing"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/planner"
)

const (
	gpuTeam      int32 = 0 // guarantee 4, limit 6 GPUs
	cpuTeam      int32 = 1 // guarantee 2, limit 8 CPUs
	gpuTeamLimit       = 6
)

func newTestLedger() *Ledger {
	index := map[string]int32{"gpu": gpuTeam, "cpu": cpuTeam}
	teams := []config.Team{
		{Name: "gpu", GPUs: 4, GPUsMax: gpuTeamLimit},
		{Name: "cpu", CPUs: 2, CPUsMax: 8},
	}
	return New(teams, func(name string) int32 { return index[name] })
}

// Whatever is booked and released, Fits agrees with a plain list of the running tasks.
func TestLimitAgreesWithAPlainList(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	ledger := newTestLedger()
	var running []planner.Size
	denied := 0
	for range 5000 {
		if len(running) > 0 && rng.IntN(2) == 0 {
			ended := rng.IntN(len(running))
			ledger.Give(gpuTeam, running[ended])
			running = append(running[:ended], running[ended+1:]...)
			continue
		}
		size := planner.Size{CPUs: float64(rng.IntN(20)), GPUs: 0.5 * float64(rng.IntN(5))}
		gpus := size.GPUs
		for _, task := range running {
			gpus += task.GPUs
		}
		wantFits := gpus <= gpuTeamLimit
		if ledger.Fits(gpuTeam, size, 1) != wantFits {
			t.Fatalf("fits: %v with %v of %d GPUs", !wantFits, gpus, gpuTeamLimit)
		}
		if !wantFits {
			denied++
			continue
		}
		ledger.Take(gpuTeam, size)
		running = append(running, size)
	}
	if denied == 0 {
		t.Fatal("the limit was never reached")
	}
}

func TestUnknownTeamMayRunNothing(t *testing.T) {
	const unknownTeam = 7
	ledger := newTestLedger()
	if ledger.Fits(unknownTeam, planner.Size{}, 1) || ledger.Ever(unknownTeam, planner.Size{}, 1) {
		t.Fatal("an unknown team may run a task")
	}
}

func TestWithinGuarantee(t *testing.T) {
	ledger := newTestLedger()
	gpuJob := planner.Size{CPUs: 10, GPUs: 2}
	cpuJob := planner.Size{CPUs: 1}
	for _, c := range []struct {
		name        string
		team        int32
		job, demand planner.Size
		want        bool
	}{
		{"all GPUs that are guaranteed", gpuTeam, gpuJob, planner.Size{CPUs: 20, GPUs: 4}, true},
		{"one GPU more", gpuTeam, gpuJob, planner.Size{CPUs: 20, GPUs: 5}, false},
		{"a job that needs nothing guaranteed", gpuTeam, cpuJob, cpuJob, false},
		{"all CPUs that are guaranteed", cpuTeam, cpuJob, planner.Size{CPUs: 2}, true},
		{"one CPU more", cpuTeam, cpuJob, planner.Size{CPUs: 3}, false},
		{"an unknown team", 9, cpuJob, cpuJob, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := ledger.Within(c.team, c.job, c.demand); got != c.want {
				t.Errorf("job %v, demand %v: %v", c.job, c.demand, got)
			}
		})
	}
}
