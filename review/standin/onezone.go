package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// maxWait is the rule's bound: no job is left waiting for longer while a machine that fits has room.
	maxWait = 90 * time.Second
	// leaseMargin is added to the workers' lease: then every controller can know that a stopped machine's tasks are gone.
	leaseMargin = 1500 * time.Millisecond
)

// playOneZoneGang submits a gang of two tasks that have to be in the same zone. Each task takes a whole lobsterpot.
// The deployment has two free lobsterpots in one zone and one in each other zone. The trouble, which is over before
// the submission: one of the two stops. The cloud has machines of every type in every zone.
func playOneZoneGang(s *scene) bool {
	s.startServices()
	for i := range busyJobs * busyTasks {
		s.addRunningMachine("granitehall", zoneNames[i%len(zoneNames)])
	}
	s.addRunningMachine("lobsterpot", "narragansett")
	second := s.addRunningMachine("lobsterpot", "narragansett")
	s.addRunningMachine("lobsterpot", "merrimack")
	s.addRunningMachine("lobsterpot", "housatonic")
	startNodes(s.nodes)
	s.keepOthersBusy()
	if s.withTrouble {
		s.kill(second)
	}
	time.Sleep(seconds(s.settings.Workers.LeaseS) + leaseMargin)
	gang := &job{
		ID: "req-000412", Class: "rollout-model-train", Team: teamName(0), Kind: "gang", Urgency: "standard", Tasks: 2,
		CPUs: 10, GPUs: 2, MemoryGB: 77, Image: "img-07", ImageGB: 7, OneZone: true, EstimateS: 10,
		CheckpointS: 15, SaveS: 2, runS: 10,
	}
	s.submit(gang)
	submittedAt := time.Now()
	for i := 0; time.Since(submittedAt) < maxWait; i++ {
		s.poll(s.nodes[i%len(s.nodes)], gang.ID)
		s.record.printf("free machines that fit: %v", s.freeMachines("lobsterpot"))
		if ran, _ := s.counts(gang.ID); ran >= gang.Tasks {
			s.record.printf("%s runs %.0f s after its submission", gang.ID, time.Since(submittedAt).Seconds())
			return true
		}
		time.Sleep(min(5*time.Second, time.Until(submittedAt.Add(maxWait))))
	}
	s.poll(s.nodes[0], gang.ID)
	s.record.printf("%s has waited for %.0f s, its team uses 0 of 12 GPUs, free machines that fit: %v",
		gang.ID, time.Since(submittedAt).Seconds(), s.freeMachines("lobsterpot"))
	return false
}

// The work of other teams: gangs that occupy every granitehall.
const (
	busyJobs  = 5
	busyTasks = 3
)

// keepOthersBusy submits the work of other teams and waits until it runs and all lobsterpots are free.
func (s *scene) keepOthersBusy() {
	id := func(i int) string { return fmt.Sprintf("req-%06d", 100+i) }
	for i := range busyJobs {
		s.submit(&job{
			ID: id(i), Class: "model-refresh", Team: teamName(1 + i), Kind: "gang", Urgency: "standard", Tasks: busyTasks,
			CPUs: 30, GPUs: 4, MemoryGB: 200, Image: "img-01", ImageGB: 0.5, Types: []string{"granitehall"},
			EstimateS: 300, runS: 300,
		})
	}
	isBusy := func() bool {
		total := 0
		for i := range busyJobs {
			ran, _ := s.counts(id(i))
			total += ran
		}
		return total == busyJobs*busyTasks && len(s.freeMachines("lobsterpot")) == 4
	}
	if !waitUntil(12*time.Second, isBusy) {
		fatal(errors.New("the other teams' work does not run"))
	}
}
