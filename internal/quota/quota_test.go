package quota

import (
	"math/rand/v2"
	"testing"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/planner"
)

const (
	teamA       = 0 // 4 GPUs guaranteed, limit 6
	teamB       = 1 // 2 CPUs guaranteed, limit 8
	unknownTeam = 7
)

func newLedger() *Ledger {
	teams := []config.Team{
		{Name: "a", GPUs: 4, GPUsMax: 6},
		{Name: "b", CPUs: 2, CPUsMax: 8},
	}
	indices := map[string]int32{"a": teamA, "b": teamB}
	return New(teams, func(name string) int32 { return indices[name] })
}

// After any sequence of acquisitions and releases Fits agrees with the limit applied to a plain list of the running
// tasks.
func TestFitsAgainstPlainList(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	ledger := newLedger()
	var running []planner.Size
	refused := 0
	for range 5000 {
		if len(running) > 0 && rng.IntN(2) == 0 {
			i := rng.IntN(len(running))
			ledger.Release(teamA, running[i])
			running = append(running[:i], running[i+1:]...)
			continue
		}
		size := planner.Size{CPUs: float64(rng.IntN(20)), GPUs: 0.5 * float64(rng.IntN(5))}
		gpus := size.GPUs
		for _, other := range running {
			gpus += other.GPUs
		}
		if fits := ledger.Fits(teamA, size, 1); fits != (gpus <= 6) {
			t.Fatalf("Fits is %v for a total of %v of 6 GPUs", fits, gpus)
		}
		if gpus <= 6 {
			ledger.Acquire(teamA, size)
			running = append(running, size)
		} else {
			refused++
		}
	}
	if refused == 0 {
		t.Fatal("no task was refused, want some beyond the limit")
	}
}

func TestUnknownTeamFitsNothing(t *testing.T) {
	ledger := newLedger()
	if ledger.Fits(unknownTeam, planner.Size{}, 1) || ledger.CouldEverFit(unknownTeam, planner.Size{}, 1) {
		t.Fatal("Fits or CouldEverFit is true for an unknown team, want false")
	}
}

func TestWithinGuarantee(t *testing.T) {
	ledger := newLedger()
	gpuJob := planner.Size{CPUs: 10, GPUs: 2}
	cpuJob := planner.Size{CPUs: 1}
	for _, test := range []struct {
		name        string
		team        int32
		job, demand planner.Size
		want        bool
	}{
		{"GPUs within the guarantee", teamA, gpuJob, planner.Size{CPUs: 20, GPUs: 4}, true},
		{"GPUs beyond the guarantee", teamA, gpuJob, planner.Size{CPUs: 20, GPUs: 5}, false},
		{"no guarantee for the resources that the job uses", teamA, cpuJob, cpuJob, false},
		{"CPUs within the guarantee", teamB, cpuJob, planner.Size{CPUs: 2}, true},
		{"CPUs beyond the guarantee", teamB, cpuJob, planner.Size{CPUs: 3}, false},
		{"unknown team", unknownTeam, cpuJob, cpuJob, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ledger.WithinGuarantee(test.team, test.job, test.demand); got != test.want {
				t.Errorf("WithinGuarantee of demand %v is %v, want %v", test.demand, got, test.want)
			}
		})
	}
}
