package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// tinyJobs and tinyTasks are the numbers of jobs and of tasks of each: 3,000 tasks together.
	tinyJobs  = 12
	tinyTasks = 250
	// smallCPUs is the size of the smallest tasks in the site files, and tinyCPUs that of the case.
	smallCPUs = 0.25
	tinyCPUs  = 0.02
	// linesWatched is how long the machine is watched after it has come up: three leases.
	linesWatched = 57 * time.Second
)

// playLongLines submits many jobs of tiny tasks while their machine boots. The trouble is the size of the tasks: of
// tiny tasks, more fit on the machine than the protocol's messages can name.
func playLongLines(s *scene) bool {
	s.startServices()
	cpus := smallCPUs
	if s.withTrouble {
		cpus = tinyCPUs
	}
	const boot, left = 36 * time.Second, 5 * time.Second
	m := s.addMachine("granitehall", "merrimack", false, boot-left, boot)
	startNodes(s.nodes)
	s.record.quiet = true
	id := func(i int) string { return fmt.Sprintf("req-%06d", 200+i) }
	for i := range tinyJobs {
		s.submit(&job{
			ID: id(i), Class: "receipt-pings", Team: teamName(i), Kind: "sweep", Urgency: "best_effort",
			Tasks: tinyTasks, CPUs: cpus, MemoryGB: 0.05, Image: "img-01", ImageGB: 0.5, Types: []string{m.kind.Name},
			EstimateS: 3, runS: 3,
		})
	}
	if time.Now().After(m.upAt) {
		fatal(errors.New("the machine was up before all jobs were accepted"))
	}
	time.Sleep(time.Until(m.upAt))
	s.record.printf("machine %s is up", m.name)
	for i := 0; time.Since(m.upAt) < linesWatched; i++ {
		time.Sleep(3 * time.Second)
		s.poll(s.nodes[i%len(s.nodes)], id(i%tinyJobs))
		total := 0
		for j := range tinyJobs {
			ran, _ := s.counts(id(j))
			total += ran
		}
		longest, tooLong := s.lines()
		s.record.printf("tasks that ran: %d; longest line to a worker: %d bytes; lines and bodies beyond %d bytes: %d",
			total, longest, maxLine, tooLong)
	}
	_, tooLong := s.lines()
	return tooLong == 0
}

// lines returns the length of the longest line or body that a worker received, and the number beyond the limit.
func (p *platform) lines() (longest, tooLong int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.longest, p.tooLong
}
