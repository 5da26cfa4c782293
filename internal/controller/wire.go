package controller

import (
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/licences"
)

// This file holds the wire types of the controller: the bodies of requests and answers on its HTTP routes, as the
// protocol names their fields. Answers are made for one request each and are nothing else; the command line reads the
// exported ones.

// Status is what operators are shown of a cluster.
type Status struct {
	Revision uint64       `json:"revision"` // of the drain document
	Last     string       `json:"last,omitempty"`
	Term     uint64       `json:"term"`
	Nodes    []NodeStatus `json:"nodes"`
	// Draining are machines that are being drained, by name: a page of them, of DrainingTotal in all.
	Draining      []MachineStatus `json:"draining"`
	DrainingTotal int             `json:"draining_total"`
	Machines      map[string]int  `json:"machines"` // by condition
	// MaxMachines bounds how many machines are rented, MachinesBound names the setting it comes from, and Full is set
	// while it is reached.
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
	Alive   bool   `json:"alive"` // its statuses arrive, and it reaches the state service
	Drained bool   `json:"drained"`
	By      string `json:"by,omitempty"`
}

// MachineStatus is one machine that is being drained.
type MachineStatus struct {
	Machine string `json:"machine"`
	State   string `json:"stance"`
	Tasks   int    `json:"tasks"` // that may still be on it
	By      string `json:"by,omitempty"`
}

// ArchiveStatus is what operators are shown of the archive.
type ArchiveStatus struct {
	// Moved counts the jobs that this leader has archived in its term, Waiting the ended ones still in memory.
	Moved   uint64  `json:"moved"`
	Waiting int     `json:"waiting"`
	RetainS float64 `json:"retain_s"`
	State   string  `json:"stance"`
	// Problem is why nothing is archived, "" while jobs are.
	Problem string `json:"problem,omitempty"`
}

// JobPage is a page of jobs, by id. More reports that others follow after the last.
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
	Waiting  int    `json:"waiting"` // neither running nor done
	// Predecessors counts the jobs that must be done before it and aren't.
	Predecessors int     `json:"predecessors,omitempty"`
	AgeS         float64 `json:"age_s"`
}

// JobPendingView is why a job waits.
type JobPendingView struct {
	ID      string                `json:"name_id"`
	State   string                `json:"stance"`
	Tasks   int                   `json:"tasks"`
	Done    int                   `json:"done"`
	Running int                   `json:"running"`
	Waiting []fleet.PendingReason `json:"waiting"`
	// Ahead is how many waiting jobs come before it in priority order, Nearest the ids of the nearest of them.
	Ahead   int      `json:"ahead"`
	Nearest []string `json:"nearest"`
	// Booting is how many machines that it may use are starting up, BootingS in how many seconds the first is expected.
	Booting  int     `json:"booting"`
	BootingS float64 `json:"booting_next_s"`
	// NeededInS is in how many seconds it must be done, by the longest path behind it, for jobs that need it to meet
	// their deadlines; absent if none has one.
	NeededInS *float64 `json:"needed_in_s,omitempty"`
}

// EventPage is a page of events. First is the number of the oldest that is kept, Next where the next page begins: both
// count within the term. More reports that there is a next page.
type EventPage struct {
	Term   uint64      `json:"term"`
	First  uint64      `json:"first"`
	Next   uint64      `json:"next"`
	Events []EventView `json:"events"`
	More   bool        `json:"has_next"`
}

// EventView is one event as users and operators are shown it.
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

// ZoneView is a zone as operators are shown it.
type ZoneView struct {
	Zone        string  `json:"zone"`
	State       string  `json:"stance"`
	ForS        float64 `json:"for_s"` // in this state, as far as it is known
	Flaps       int     `json:"flaps"`
	Machines    int     `json:"machines"`
	Overdue     int     `json:"quiet"` // whose heartbeat is overdue
	Quarantined int     `json:"aside"` // quarantined: nothing is planned there until a heartbeat arrives
	Tasks       int     `json:"tasks"` // that count as being on its machines
	Held        int     `json:"held"`  // of them, on machines that are quarantined: until their leases end
	Rents       bool    `json:"rents"`
	AcceptsWork string  `json:"takes"` // the most that it gets of new work: arrays, gangs or all
	// IfLost is what the zone's loss would mean now, BootS the boot time in seconds of machines rented instead, and
	// LeaseS the seconds after which its tasks may start elsewhere. They are set only in the view of a single zone.
	IfLost []LossView `json:"if_lost,omitempty"`
	BootS  float64    `json:"boot_s,omitempty"`
	LeaseS float64    `json:"lease_s,omitempty"`
}

// LossView is what one class of one team would lose.
type LossView struct {
	Class string `json:"breed"`
	Team  string `json:"warren"`
	Jobs  int    `json:"jobs"`
	Tasks int    `json:"tasks"`
	Fit   int    `json:"fit"`  // that would find room elsewhere at once
	Wait  int    `json:"wait"` // that would wait for machines
}

// sessionExplanation is the body of the answer to why a session is in its state.
type sessionExplanation struct {
	ID  string   `json:"name_id"`
	Why []string `json:"why"`
}

// licenceConflict is the body of the answer to a command that was based on an older count than the present.
type licenceConflict struct {
	Error string        `json:"error"`
	Now   licences.View `json:"now"`
}

// notLeaderBody is the body of the answer to a request that only another controller, the leader, can answer.
type notLeaderBody struct {
	Error     string `json:"error"`
	Leader    string `json:"leader"`
	LeaderTLS string `json:"leader_tls,omitempty"`
}

// notOwnerBody is the body of the answer to a worker whose owner is another controller.
type notOwnerBody struct {
	Owner string `json:"keeper,omitempty"`
}

// licenceCommand is an operator's command: the body of a POST to a pool.
type licenceCommand struct {
	Count   *int                    `json:"count"`
	Lower   licences.LoweringPolicy `json:"on_lower"`
	Version *uint64                 `json:"version"` // the command was based on; nil: any
	By      string                  `json:"by"`
	Reset   bool                    `json:"reset"` // back to what is declared
}

// keepAliveBody is the body of the request that extends an attachment to a session.
type keepAliveBody struct {
	Attachment uint64 `json:"attachment"`
}
