package main

import (
	"errors"
	"time"
)

// roomCheckInterval is the time between two looks at the waiting job and the room for it.
const roomCheckInterval = 250 * time.Millisecond

// playReservedRoom lets a small job lose its machine beside a half-empty one. The cloud has no further machines. Three
// other jobs use or want the two large machines: one occupies the first, a gang waits for both, and a sweep of small
// tasks runs on the second in the room that the gang leaves. The small job runs on a third machine. The trouble: the
// third machine stops.
func playReservedRoom(s *scene) bool {
	s.isExhausted = true
	s.startServices()
	s.addRunningMachine("granitehall", "merrimack")
	roomy := s.addRunningMachine("granitehall", "narragansett")
	third := s.addRunningMachine("clapboard", "housatonic")
	third.images["img-04"] = true // fetched for an earlier job
	startNodes(s.nodes)
	large := []string{"granitehall"}
	zone := "merrimack"
	s.submit(&job{
		ID: "req-000301", Class: "model-refresh", Team: teamName(1), Kind: "gang", Urgency: "prod", Tasks: 1,
		CPUs: 30, MemoryGB: 200, Image: "img-01", ImageGB: 0.5, Types: large, Zone: &zone, EstimateS: 300, runS: 300,
	})
	s.awaitRun("req-000301", 1)
	s.submit(&job{
		ID: "req-000302", Class: "ruleset-compile", Team: teamName(2), Kind: "gang", Urgency: "prod", Tasks: 2,
		CPUs: 26, MemoryGB: 60, Image: "img-02", ImageGB: 0.5, Types: large, EstimateS: 20, runS: 20,
	})
	time.Sleep(time.Second) // the scheduler plans with the gang before the small job arrives
	small := &job{
		ID: "req-000304", Class: "edge-publish", Team: teamName(4), Kind: "sweep", Urgency: "best_effort", Tasks: 1,
		CPUs: 7, MemoryGB: 4, Image: "img-04", ImageGB: 7, EstimateS: 200, runS: 200,
	}
	s.submit(small)
	s.awaitRun(small.ID, 1)
	s.submit(&job{
		ID: "req-000303", Class: "receipt-pings", Team: teamName(3), Kind: "sweep", Urgency: "standard", Tasks: 400,
		CPUs: 1, MemoryGB: 1.9, Image: "img-03", ImageGB: 0.5, Types: large, EstimateS: 4, runS: 4,
	})
	s.awaitRun("req-000303", 2)
	if !s.withTrouble {
		return s.staysPlaced(third, small)
	}
	s.kill(third)
	time.Sleep(seconds(s.settings.Workers.LeaseS) + leaseMargin)
	return s.runsBesideRoom(roomy, small)
}

// awaitRun waits until a number of a job's tasks have begun to run.
func (s *scene) awaitRun(id string, tasks int) {
	hasRun := func() bool {
		ran, _ := s.counts(id)
		return ran >= tasks
	}
	if !waitUntil(15*time.Second, hasRun) {
		fatal(errors.New(id + " does not run"))
	}
}

// staysPlaced reports whether a job that runs on a machine stays there.
func (s *scene) staysPlaced(m *machine, small *job) bool {
	for begin := time.Now(); time.Since(begin) < maxWait; time.Sleep(roomCheckInterval) {
		if _, isThere := m.roomBeside(small); !isThere {
			return false
		}
	}
	s.poll(s.nodes[0], small.ID)
	return true
}

// runsBesideRoom reports whether a waiting job of one task begins to run within the rule's bound, or lacks room on the
// machine at any time.
func (s *scene) runsBesideRoom(m *machine, small *job) bool {
	ranBefore, _ := s.counts(small.ID)
	begin := time.Now()
	leastCPUs := m.kind.CPUs
	for i := 0; time.Since(begin) < maxWait; i++ {
		cpus, _ := m.roomBeside(small)
		leastCPUs = min(leastCPUs, cpus)
		if i%20 == 0 {
			s.poll(s.nodes[i/20%len(s.nodes)], small.ID)
			s.record.printf("%s has %.0f CPUs free, %s needs %.0f", m.name, cpus, small.ID, small.CPUs)
		}
		ran, _ := s.counts(small.ID)
		if ran > ranBefore || cpus < small.CPUs {
			s.record.printf("%s after %.0f s: begun to run %d times, room %.0f CPUs",
				small.ID, time.Since(begin).Seconds(), ran, cpus)
			return true
		}
		time.Sleep(roomCheckInterval)
	}
	s.poll(s.nodes[0], small.ID)
	s.record.printf("%s has waited for %.0f s; %s always had at least %.0f CPUs free, and the task needs %.0f",
		small.ID, time.Since(begin).Seconds(), m.name, leastCPUs, small.CPUs)
	return false
}

// roomBeside returns the CPUs that the tasks of other jobs leave free on a machine, and whether a task of the job runs
// there.
func (m *machine) roomBeside(small *job) (cpus float64, isThere bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cpus = m.kind.CPUs
	for _, t := range m.tasks {
		switch {
		case t.State == "exited" || t.spec == nil:
		case t.spec.ID == small.ID:
			isThere = isThere || t.State == "running"
		default:
			cpus -= t.spec.CPUs
		}
	}
	return cpus, isThere
}
