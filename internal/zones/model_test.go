package zones

import (
	"fmt"
	"testing"
	"time"
)

// This file explores every run of a zone over the observations below. Each step is held against a plain model that
// keeps what was observed and nothing else. Without any one of the guards some run breaks.

const (
	unit    = time.Second // of a step
	testNow = 1000 * unit

	// The configuration, in steps.
	testReturnGrace     = 2
	testProbationTime   = 1
	testFlapForgiveness = 3
	testMaxProbation    = 4

	// manySteps is longer than any limit: ages are counted up to it.
	manySteps = 18
)

// observation is what a zone may look like at one moment.
type observation struct {
	name            string
	count           Count
	othersReachable bool
}

var observations = []observation{
	{"all heard", Count{8, 0, 0}, true},
	{"a quarter and one quiet", Count{8, 3, 0}, true},
	{"all quiet, others heard", Count{8, 8, 0}, true},
	{"all quiet, as everywhere", Count{8, 8, 0}, false},
	{"all silent for long", Count{8, 8, 8}, false},
	{"half heard", Count{8, 4, 4}, true},
	{"three machines, all quiet", Count{3, 3, 3}, true},
	{"no machine left", Count{}, true},
}

// isLoss reports whether the zone is silent, as far as can be told.
func (o observation) isLoss() bool {
	if o.count.Machines < minMachines {
		return false
	}
	return 2*o.count.Silent > o.count.Machines || (o.othersReachable && 4*o.count.Quiet > 3*o.count.Machines)
}

// guard is a condition of the real code that a run is explored without.
type guard string

const (
	noGuard              guard = ""
	guardOthersReachable guard = "others are reachable"
	guardReturnGrace     guard = "return grace"
	guardProbation       guard = "probation"
	guardFlaps           guard = "flaps"
	guardForgiveness     guard = "flap forgiveness"
	guardMaxProbation    guard = "longest probation"
	guardMinimumCounts   guard = "enough machines"
)

// config returns the configuration of the real code without a guard.
func (g guard) config() Config {
	cfg := Config{
		ReturnGrace:     testReturnGrace * unit,
		ProbationTime:   testProbationTime * unit,
		FlapForgiveness: testFlapForgiveness * unit,
		MaxProbation:    testMaxProbation * unit,
	}
	switch g {
	case guardReturnGrace:
		cfg.ReturnGrace = 0
	case guardProbation:
		cfg.ProbationTime = 0
	case guardForgiveness:
		cfg.FlapForgiveness = 0
	case guardMaxProbation:
		cfg.MaxProbation = 0
	}
	return cfg
}

// observed returns what the real code is given of an observation without a guard.
func (g guard) observed(seen observation) (count Count, othersReachable bool) {
	count, othersReachable = seen.count, seen.othersReachable
	switch g {
	case guardOthersReachable:
		othersReachable = true
	case guardMinimumCounts:
		count = Count{Machines: 4 * count.Machines, Quiet: 4 * count.Quiet, Silent: 4 * count.Silent}
	}
	return count, othersReachable
}

// history is the plain model of a zone; its ages count steps.
type history struct {
	isOut       bool // it fell silent, and half of it has not been heard since
	sinceReturn int  // since half of it was heard again after that; -1: it was never out
	onProbation int  // since nearly all were heard again, or the grace was over
	flaps       int  // recent losses, beyond the first
	sinceLoss   int  // since it fell silent last; manySteps: never, or long ago
	isSettled   bool // it counts as healthy again
}

// observe takes over what a zone looks like. inState is the age of its state.
func (h *history) observe(seen observation, inState int, missing guard) {
	returnGrace := testReturnGrace
	if missing == guardReturnGrace {
		returnGrace = 0
	}
	isEmptyForLong := seen.count.Machines == 0 && inState >= returnGrace
	isReachableAgain := seen.count.Machines > 0 && 2*seen.count.Quiet <= seen.count.Machines
	switch {
	case seen.isLoss() && !h.isOut:
		isReturning := h.sinceReturn >= 0 && !h.isSettled
		if isReturning || h.sinceLoss < testFlapForgiveness {
			h.flaps = min(maxFlaps, h.flaps+1)
		}
		h.isOut = true
		h.sinceReturn = -1
		h.onProbation = 0
		h.isSettled = false
		h.sinceLoss = 0
	case h.isOut && (isReachableAgain || isEmptyForLong):
		h.isOut = false
		h.sinceReturn = 0
	case h.sinceReturn >= 0 && !h.isOut && !h.isSettled:
		h.sinceReturn = min(manySteps, h.sinceReturn+1)
	}
}

// checkPolicy compares a zone's state, and what may be done in the zone, with its history.
func (h *history) checkPolicy(z *Zones, seen observation, before, after State) error {
	acceptsGangs := z.AcceptsWork(testNow, 0, Gang)
	acceptsAll := acceptsGangs && z.AcceptsWork(testNow, 0, Service)
	isInGrace := !h.isOut && h.sinceReturn >= 0 && h.sinceReturn < testReturnGrace && !h.isSettled
	switch {
	case h.isOut != (after == Lost):
		return fmt.Errorf("it is out: %v", h.isOut)
	case h.isOut && z.AllowsRenting(0):
		return fmt.Errorf("machines are rented in it")
	case h.isOut && acceptsGangs:
		return fmt.Errorf("gangs are sent there")
	case !seen.isLoss() && before == Healthy && after == Lost:
		return fmt.Errorf("it counts as lost, and silence is everywhere or of too few")
	// Whatever its past, it takes work soon after its return.
	case !h.isOut && h.sinceReturn >= testMaxProbation && !acceptsAll && after != Suspect:
		return fmt.Errorf("it takes no work %d steps after its return", h.sinceReturn)
	// A machine that isn't heard yet has time after the zone's return.
	case isInGrace && !z.RetainsMachines(testNow, 0, 0):
		return fmt.Errorf("machines that are not heard yet are given back %d steps after its return", h.sinceReturn)
	}
	return nil
}

// checkProbation follows a zone through its probation: it counts as healthy only after it has stayed heard for as
// long as its flaps ask for, and flaps are forgiven only after a time. sinceForgiven is the age of the last
// forgiveness.
func (h *history) checkProbation(before State, after Zone, sinceForgiven int, missing guard) error {
	if after.State == OnProbation {
		h.onProbation = min(manySteps, h.onProbation+1)
		if before != OnProbation {
			h.onProbation = 0
		}
	}
	if after.State == Healthy && before == OnProbation {
		if h.onProbation < testProbationTime<<h.flaps-1 {
			return fmt.Errorf("it is healthy after %d steps and %d flaps", h.onProbation, h.flaps)
		}
		h.isSettled = true
	}
	if h.isSettled && after.State == Healthy && after.Flaps < h.flaps {
		h.flaps = after.Flaps // forgiven
		if sinceForgiven < testFlapForgiveness {
			return fmt.Errorf("a flap is forgiven after %d steps", sinceForgiven)
		}
	}
	if after.Flaps != h.flaps && missing == noGuard {
		return fmt.Errorf("%d flaps, there were %d", after.Flaps, h.flaps)
	}
	return nil
}

// exploredState is a zone with its history. Its times are kept as ages, so that it can be compared.
type exploredState struct {
	zone          Zone
	inState       int
	sinceForgiven int
	history       history
}

// realZones returns the Zones of a state at testNow.
func (s exploredState) realZones(missing guard) *Zones {
	zone := s.zone
	if missing == guardFlaps {
		zone.Flaps = 0
	}
	zone.Since = testNow - time.Duration(s.inState)*unit
	zone.forgivenAt = testNow - time.Duration(s.sinceForgiven)*unit
	zone.LostAt = testNow - time.Duration(s.history.sinceLoss)*unit
	zone.ReturnedAt = testNow - time.Duration(max(0, s.history.sinceReturn)+1)*unit
	z := New(missing.config())
	z.zones[0] = &zone
	return z
}

// step evaluates one observation with the real code and the model.
func (s exploredState) step(seen observation, missing guard) (exploredState, error) {
	z := s.realZones(missing)
	before := s.zone.State
	count, othersReachable := missing.observed(seen)
	z.evaluate(testNow, 0, count, othersReachable)
	after := z.Zone(0)

	past := s.history
	past.observe(seen, s.inState, missing)
	err := past.checkPolicy(z, seen, before, after.State)
	if err == nil {
		err = past.checkProbation(before, after, s.sinceForgiven, missing)
	}
	if err != nil {
		return exploredState{}, fmt.Errorf("%s, %s -> %s: %w", seen.name, before, after.State, err)
	}
	past.sinceLoss = min(manySteps, past.sinceLoss+1)

	next := exploredState{zone: after, history: past}
	next.inState = ageAfterStep(after.Since)
	next.sinceForgiven = ageAfterStep(after.forgivenAt)
	next.zone.Since = 0
	next.zone.LostAt = 0
	next.zone.ReturnedAt = 0
	next.zone.forgivenAt = 0
	return next, nil
}

// ageAfterStep returns how many steps ago a moment is one step after testNow.
func ageAfterStep(at time.Duration) int {
	return min(manySteps, int((testNow-at)/unit)+1)
}

// explore visits every state; it returns how many there are, or how many were visited before one that is wrong.
func explore(missing guard) (states int, err error) {
	start := exploredState{
		history:       history{sinceReturn: -1, sinceLoss: manySteps},
		sinceForgiven: manySteps,
		inState:       manySteps,
	}
	visited := map[exploredState]struct{}{start: {}}
	for queue := []exploredState{start}; len(queue) > 0; {
		state := queue[0]
		queue = queue[1:]
		for _, seen := range observations {
			next, err := state.step(seen, missing)
			if err != nil {
				return len(visited), err
			}
			if _, ok := visited[next]; !ok {
				visited[next] = struct{}{}
				queue = append(queue, next)
			}
		}
	}
	return len(visited), nil
}

// Every run of a zone agrees with the plain model.
func TestEveryRunOfAZone(t *testing.T) {
	states, err := explore(noGuard)
	t.Logf("%d states", states)
	if err != nil || states < 500 {
		t.Fatalf("%d states: %v", states, err)
	}
}

// Without any one of the guards some run breaks.
func TestEveryGuardOfAZoneIsNeeded(t *testing.T) {
	for _, missing := range []guard{
		guardOthersReachable,
		guardReturnGrace,
		guardProbation,
		guardFlaps,
		guardForgiveness,
		guardMaxProbation,
		guardMinimumCounts,
	} {
		t.Run(string(missing), func(t *testing.T) {
			states, err := explore(missing)
			t.Logf("after %d states: %v", states, err)
			if err == nil {
				t.Error("nothing breaks")
			}
		})
	}
}
