package zones

import (
	"fmt"
	"testing"
	"time"
)

// This file explores every sequence of the observations below for one zone. Each step of the real code is compared
// with history, a simple model that depends only on the observations so far. If any one of the guards is left out of
// the real code, some step differs from the model.

const (
	stepLength = time.Second // time between two observations
	testNow    = 1000 * stepLength

	// The configuration of Zones, in steps.
	testReturnGrace   = 2
	testProbationTime = 1
	testFlapDecayTime = 3
	testMaxProbation  = 4

	// maxAge is greater than every limit on an age. Ages in steps are capped at maxAge, so that the number of states is
	// finite.
	maxAge = 18
)

// observation is the input of one step: the counts of a zone and whether other zones are reachable.
type observation struct {
	name            string
	count           Count
	othersReachable bool
}

var observations = []observation{
	{"8 machines, all reachable", Count{8, 0, 0}, true},
	{"8 machines, 3 unreachable", Count{8, 3, 0}, true},
	{"8 machines, all unreachable, others reachable", Count{8, 8, 0}, true},
	{"8 machines, all unreachable, others not reachable", Count{8, 8, 0}, false},
	{"8 machines, all long unreachable, others not reachable", Count{8, 8, 8}, false},
	{"8 machines, 4 long unreachable", Count{8, 4, 4}, true},
	{"3 machines, all long unreachable", Count{3, 3, 3}, true},
	{"no machines", Count{}, true},
}

// isLoss reports whether a zone with this observation must count as lost.
func (o observation) isLoss() bool {
	if o.count.Machines < minMachines {
		return false
	}
	return 2*o.count.LongUnreachable > o.count.Machines || (o.othersReachable && 4*o.count.Unreachable > 3*o.count.Machines)
}

// guard is a rule of the real code that an exploration can leave out, to show that the model detects its absence.
type guard string

const (
	noGuard              guard = ""
	guardOthersReachable guard = "other zones reachable"
	guardReturnGrace     guard = "return grace"
	guardProbation       guard = "probation"
	guardFlaps           guard = "flaps"
	guardFlapDecay       guard = "flap decay"
	guardMaxProbation    guard = "maximum probation"
	guardMinMachines     guard = "minimum number of machines"
)

// config returns a configuration with which the real code lacks the guard.
func (g guard) config() Config {
	cfg := Config{
		ReturnGrace:   testReturnGrace * stepLength,
		ProbationTime: testProbationTime * stepLength,
		FlapDecayTime: testFlapDecayTime * stepLength,
		MaxProbation:  testMaxProbation * stepLength,
	}
	switch g {
	case guardReturnGrace:
		cfg.ReturnGrace = 0
	case guardProbation:
		cfg.ProbationTime = 0
	case guardFlapDecay:
		cfg.FlapDecayTime = 0
	case guardMaxProbation:
		cfg.MaxProbation = 0
	}
	return cfg
}

// inputs returns the arguments of evaluate for an observation. They are changed so that the real code lacks the guard.
func (g guard) inputs(observed observation) (count Count, othersReachable bool) {
	count, othersReachable = observed.count, observed.othersReachable
	switch g {
	case guardOthersReachable:
		othersReachable = true
	case guardMinMachines:
		count = Count{
			Machines:        4 * count.Machines,
			Unreachable:     4 * count.Unreachable,
			LongUnreachable: 4 * count.LongUnreachable,
		}
	}
	return count, othersReachable
}

// history is the model of a zone. Its ages are in steps.
type history struct {
	isLost       bool // the zone was lost, and half of its machines have not been reachable since
	sinceReturn  int  // age of the last return from a loss; -1: not returned since the last loss, or never lost
	onProbation  int  // steps on probation since it began
	flaps        int  // recent losses, not counting the first
	sinceLoss    int  // age of the last loss; maxAge: never, or long ago
	hasRecovered bool // the zone has become healthy after its last loss
}

// observe updates the history after an observation. stepsInState is the age of the zone's state.
func (h *history) observe(observed observation, stepsInState int, missing guard) {
	returnGrace := testReturnGrace
	if missing == guardReturnGrace {
		returnGrace = 0
	}
	isEmptyForLong := observed.count.Machines == 0 && stepsInState >= returnGrace
	isReachableAgain := observed.count.Machines > 0 && 2*observed.count.Unreachable <= observed.count.Machines
	switch {
	case observed.isLoss() && !h.isLost:
		isReturning := h.sinceReturn >= 0 && !h.hasRecovered
		if isReturning || h.sinceLoss < testFlapDecayTime {
			h.flaps = min(maxFlaps, h.flaps+1)
		}
		h.isLost = true
		h.sinceReturn = -1
		h.onProbation = 0
		h.hasRecovered = false
		h.sinceLoss = 0
	case h.isLost && (isReachableAgain || isEmptyForLong):
		h.isLost = false
		h.sinceReturn = 0
	case h.sinceReturn >= 0 && !h.isLost && !h.hasRecovered:
		h.sinceReturn = min(maxAge, h.sinceReturn+1)
	}
}

// checkPolicy compares a zone's state, and the decisions of Zones for this zone, with the history.
func (h *history) checkPolicy(z *Zones, observed observation, before, after State) error {
	acceptsGangs := z.AcceptsWork(testNow, 0, Gang)
	acceptsAll := acceptsGangs && z.AcceptsWork(testNow, 0, Service)
	isInGrace := !h.isLost && h.sinceReturn >= 0 && h.sinceReturn < testReturnGrace && !h.hasRecovered
	switch {
	case h.isLost != (after == Lost):
		return fmt.Errorf("state differs from the model, where lost is %v", h.isLost)
	case h.isLost && z.AllowsRenting(0):
		return fmt.Errorf("AllowsRenting is true for a lost zone, want false")
	case h.isLost && acceptsGangs:
		return fmt.Errorf("AcceptsWork is true for gangs in a lost zone, want false")
	case !observed.isLoss() && before == Healthy && after == Lost:
		return fmt.Errorf("a healthy zone became lost, want no loss from this observation")
	// Regardless of its flaps, a zone accepts all work once testMaxProbation steps have passed since its return.
	case !h.isLost && h.sinceReturn >= testMaxProbation && !acceptsAll && after != Suspect:
		return fmt.Errorf("AcceptsWork is false for some kind %d steps after the return, want true", h.sinceReturn)
	// After the zone's return, its machines have a grace period to send a heartbeat.
	case isInGrace && !z.RetainsMachines(testNow, 0, 0):
		return fmt.Errorf("RetainsMachines is false %d steps after the return, want true", h.sinceReturn)
	}
	return nil
}

// checkProbation checks the end of a zone's probation and the count of its flaps: a zone becomes healthy only after the
// probation that its flaps require, and the count is reduced only after testFlapDecayTime steps. sinceReduction is
// the number of steps since the last reduction.
func (h *history) checkProbation(before State, after Zone, sinceReduction int, missing guard) error {
	if after.State == OnProbation {
		h.onProbation = min(maxAge, h.onProbation+1)
		if before != OnProbation {
			h.onProbation = 0
		}
	}
	if after.State == Healthy && before == OnProbation {
		if h.onProbation < testProbationTime<<h.flaps-1 {
			return fmt.Errorf("healthy after %d steps on probation with %d flaps, want more steps", h.onProbation, h.flaps)
		}
		h.hasRecovered = true
	}
	if h.hasRecovered && after.State == Healthy && after.Flaps < h.flaps {
		h.flaps = after.Flaps // reduced after a healthy time
		if sinceReduction < testFlapDecayTime {
			return fmt.Errorf("flaps reduced %d steps after the last reduction, want more steps", sinceReduction)
		}
	}
	if after.Flaps != h.flaps && missing == noGuard {
		return fmt.Errorf("got %d flaps, want %d", after.Flaps, h.flaps)
	}
	return nil
}

// exploredState is a zone with its history. Times are replaced by ages, so that equal states compare as equal.
type exploredState struct {
	zone           Zone
	stepsInState   int
	sinceReduction int
	history        history
}

// realZones returns Zones in which zone 0 is in this state at testNow.
func (s exploredState) realZones(missing guard) *Zones {
	zone := s.zone
	if missing == guardFlaps {
		zone.Flaps = 0
	}
	zone.Since = testNow - time.Duration(s.stepsInState)*stepLength
	zone.flapDecayStart = testNow - time.Duration(s.sinceReduction)*stepLength
	zone.LostAt = testNow - time.Duration(s.history.sinceLoss)*stepLength
	zone.ReturnedAt = testNow - time.Duration(max(0, s.history.sinceReturn)+1)*stepLength
	z := New(missing.config())
	z.zones[0] = &zone
	return z
}

// step applies one observation to the real code and to the model, and compares both.
func (s exploredState) step(observed observation, missing guard) (exploredState, error) {
	z := s.realZones(missing)
	before := s.zone.State
	count, othersReachable := missing.inputs(observed)
	z.evaluate(testNow, 0, count, othersReachable)
	after := z.Zone(0)

	nextHistory := s.history
	nextHistory.observe(observed, s.stepsInState, missing)
	err := nextHistory.checkPolicy(z, observed, before, after.State)
	if err == nil {
		err = nextHistory.checkProbation(before, after, s.sinceReduction, missing)
	}
	if err != nil {
		return exploredState{}, fmt.Errorf("%s, %s -> %s: %w", observed.name, before, after.State, err)
	}
	nextHistory.sinceLoss = min(maxAge, nextHistory.sinceLoss+1)

	next := exploredState{zone: after, history: nextHistory}
	next.stepsInState = ageAfterStep(after.Since)
	next.sinceReduction = ageAfterStep(after.flapDecayStart)
	next.zone.Since = 0
	next.zone.LostAt = 0
	next.zone.ReturnedAt = 0
	next.zone.flapDecayStart = 0
	return next, nil
}

// ageAfterStep returns the age in steps that a time will have one step after testNow.
func ageAfterStep(at time.Duration) int {
	return min(maxAge, int((testNow-at)/stepLength)+1)
}

// explore visits every reachable state, up to the first step in which the real code differs from the model. It returns
// the number of states found and the difference.
func explore(missing guard) (states int, err error) {
	start := exploredState{
		history:        history{sinceReturn: -1, sinceLoss: maxAge},
		sinceReduction: maxAge,
		stepsInState:   maxAge,
	}
	visited := map[exploredState]struct{}{start: {}}
	for queue := []exploredState{start}; len(queue) > 0; {
		state := queue[0]
		queue = queue[1:]
		for _, observed := range observations {
			next, err := state.step(observed, missing)
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

// In every reachable state of a zone the real code agrees with the model.
func TestZoneAgreesWithModelInAllReachableStates(t *testing.T) {
	states, err := explore(noGuard)
	t.Logf("%d states", states)
	if err != nil || states < 500 {
		t.Fatalf("got %d states, error %v; want at least 500 states and no error", states, err)
	}
}

// If any one of the guards is left out, the real code differs from the model in some reachable state.
func TestZoneModelDetectsEveryMissingGuard(t *testing.T) {
	for _, missing := range []guard{
		guardOthersReachable,
		guardReturnGrace,
		guardProbation,
		guardFlaps,
		guardFlapDecay,
		guardMaxProbation,
		guardMinMachines,
	} {
		t.Run(string(missing), func(t *testing.T) {
			states, err := explore(missing)
			t.Logf("error after %d states: %v", states, err)
			if err == nil {
				t.Error("got no difference from the model, want one")
			}
		})
	}
}
