package controller

import (
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/licences"
)

// This file holds the controller's wire types: the bodies of requests and responses on its HTTP routes, with the
// protocol's field names. A response is built for a single request and not used otherwise. The command line reads the
// exported types.

// Status is the cluster's status for operators.
type Status struct {
	Revision uint64       `json:"revision"` // version of the drain document
	Last     string       `json:"last,omitempty"`
	Term     uint64       `json:"term"`
	Nodes    []NodeStatus `json:"nodes"`
	// Draining is a page of the machines that are being drained, sorted by name. DrainingTotal is the number of all
	// of them.
	Draining      []MachineStatus `json:"draining"`
	DrainingTotal int             `json:"draining_total"`
	Machines      map[string]int  `json:"machines"` // number of machines by condition
	// MaxMachines is the maximum number of rented machines, MachinesBound the setting that determines it. Full
	// reports that the maximum is reached.
	MaxMachines   int    `json:"max_machines"`
	MachinesBound string `json:"machines_bound"`
	Full          bool   `json:"full"`
	Jobs          int    `json:"jobs"`
	// Archive is the progress of archiving ended jobs.
	Archive ArchiveStatus `json:"archive"`
}

// NodeStatus is one controller as the leader sees it.
type NodeStatus struct {
	Node    string `json:"node"`
	Leads   bool   `json:"leads"`
	Alive   bool   `json:"alive"` // the controller's statuses arrive and report that it reaches the state service
	Drained bool   `json:"drained"`
	By      string `json:"by,omitempty"`
}

// MachineStatus is one machine that is being drained.
type MachineStatus struct {
	Machine string `json:"machine"`
	State   string `json:"stance"`
	Tasks   int    `json:"tasks"` // number of tasks that may still be on the machine
	By      string `json:"by,omitempty"`
}

// ArchiveStatus is the status of the job archive for operators.
type ArchiveStatus struct {
	// Moved is the number of jobs that this leader has archived in its term, Waiting the number of ended jobs in
	// memory.
	Moved   uint64  `json:"moved"`
	Waiting int     `json:"waiting"`
	RetainS float64 `json:"retain_s"`
	State   string  `json:"stance"`
	// Problem is the reason why no jobs are archived, "" while archiving works.
	Problem string `json:"problem,omitempty"`
}

// JobPage is a page of jobs, sorted by id. More reports that there is a next page.
type JobPage struct {
	Jobs []JobSummary `json:"jobs"`
	More bool         `json:"has_next"`
}

// JobSummary is one job in a list.
type JobSummary struct {
	ID       string `json:"name_id"`
	State    string `json:"stance"`
	Class    string `json:"breed,omitempty"`
	Team     string `json:"warren,omitempty"`
	Kind     string `json:"gait,omitempty"`
	Priority string `json:"urgency,omitempty"`
	Tasks    int    `json:"tasks"`
	Done     int    `json:"done"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"` // number of tasks that are neither running nor done
	// Predecessors is the number of the job's predecessors that are not done.
	Predecessors int     `json:"predecessors,omitempty"`
	AgeS         float64 `json:"age_s"`
}

// JobPendingView describes why a job is pending.
type JobPendingView struct {
	ID      string                `json:"name_id"`
	State   string                `json:"stance"`
	Tasks   int                   `json:"tasks"`
	Done    int                   `json:"done"`
	Running int                   `json:"running"`
	Waiting []fleet.PendingReason `json:"waiting"`
	// Ahead is the number of waiting jobs before this one in priority order, NearestAhead the ids of the closest of them.
	Ahead        int      `json:"ahead"`
	NearestAhead []string `json:"nearest"`
	// Booting is the number of booting machines that the job may use. BootingS is the number of seconds until the
	// first of them is expected to be ready.
	Booting  int     `json:"booting"`
	BootingS float64 `json:"booting_next_s"`
	// NeededInS is the number of seconds within which the job must be done for its dependent jobs to meet their
	// deadlines, by the longest path of dependent jobs. It is absent if none of them has a deadline.
	NeededInS *float64 `json:"needed_in_s,omitempty"`
}

// EventPage is a page of events. First is the sequence number of the oldest event that is kept, Next that of the next
// page's first event; both count from the start of the term. More reports that there is a next page.
type EventPage struct {
	Term   uint64      `json:"term"`
	First  uint64      `json:"first"`
	Next   uint64      `json:"next"`
	Events []EventView `json:"events"`
	More   bool        `json:"has_next"`
}

// EventView is one event for users and operators.
type EventView struct {
	Seq     uint64  `json:"seq"`
	AgeS    float64 `json:"age_s"`
	Kind    string  `json:"event"`
	Job     string  `json:"name_id,omitempty"`
	Task    *int32  `json:"task,omitempty"`
	Machine string  `json:"machine,omitempty"`
	Attempt uint64  `json:"attempt,omitempty"`
	Note    string  `json:"note,omitempty"`
	Saved   bool    `json:"saved,omitempty"`
}

// ZoneView is a zone for operators.
type ZoneView struct {
	Zone               string  `json:"zone"`
	State              string  `json:"stance"`
	ForS               float64 `json:"for_s"` // seconds in this state, as far as known
	Flaps              int     `json:"flaps"`
	Machines           int     `json:"machines"`
	Overdue            int     `json:"quiet"` // machines whose heartbeat is overdue
	Quarantined        int     `json:"aside"` // machines without new plans until a heartbeat arrives
	Tasks              int     `json:"tasks"` // tasks that count as being on the zone's machines
	TasksOnQuarantined int     `json:"held"`  // the part of Tasks on quarantined machines, until their leases expire
	Rents              bool    `json:"rents"`
	AcceptsWork        string  `json:"takes"` // the new work that it accepts: arrays, gangs or all
	// IfLost estimates the effect of the zone's loss at this time, BootS is the boot time in seconds of machines
	// rented instead, and LeaseS the number of seconds after which the zone's tasks may start elsewhere. They are set
	// only in the view of a single zone.
	IfLost []ZoneLossView `json:"if_lost,omitempty"`
	BootS  float64        `json:"boot_s,omitempty"`
	LeaseS float64        `json:"lease_s,omitempty"`
}

// ZoneLossView is the estimated effect of a zone's loss on one job class of one team.
type ZoneLossView struct {
	Class string `json:"breed"`
	Team  string `json:"warren"`
	Jobs  int    `json:"jobs"`
	Tasks int    `json:"tasks"`
	Fit   int    `json:"fit"`  // tasks that could be placed elsewhere at once
	Wait  int    `json:"wait"` // tasks that would wait for new machines
}

// sessionExplanation is the body of the response with the reasons for a session's state.
type sessionExplanation struct {
	ID  string   `json:"name_id"`
	Why []string `json:"why"`
}

// licenceConflict is the body of the response to a command that was based on an older count than the current one.
type licenceConflict struct {
	Error string        `json:"error"`
	Now   licences.View `json:"now"`
}

// notLeaderBody is the body of another controller's response to a request that only the leader can answer.
type notLeaderBody struct {
	Error     string `json:"error"`
	Leader    string `json:"leader"`
	LeaderTLS string `json:"leader_tls,omitempty"`
}

// notOwnerBody is the body of the response to a worker whose owner is another controller.
type notOwnerBody struct {
	Owner string `json:"keeper,omitempty"`
}

// licenceCommand is the body of an operator's POST request to a licence pool.
type licenceCommand struct {
	Count   *int                    `json:"count"`
	Lower   licences.LoweringPolicy `json:"on_lower"`
	Version *uint64                 `json:"version"` // version of the count that the command was based on; nil: any
	By      string                  `json:"by"`
	Reset   bool                    `json:"reset"` // back to the declared count
}

// keepAliveBody is the body of the request that extends an attachment to a session.
type keepAliveBody struct {
	Attachment uint64 `json:"attachment"`
}
