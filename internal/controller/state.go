package controller

import (
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/sessions"
)

// machineTypes are the cloud's machine types and prices, as last learnt from the cloud or read from the store.
type machineTypes struct {
	list       []capacity.MachineType
	byIndex    map[int32]*fleet.MachineType
	raw        string // as stored
	fetchedAt  time.Duration
	requesting bool
	version    uint64 // of the stored key
}

// leaderTerm is what exists only while this controller leads. It is made by lead and dropped by lose.
type leaderTerm struct {
	fleet          *fleet.Fleet
	capacity       *capacity.Manager
	sessions       *sessions.Manager // nil where sessions are off
	mover          *archive.Mover
	loading        bool
	loadNotBefore  time.Duration
	authoritySince time.Duration // since when authority has not been interrupted
	hadAuthority   bool
}

// lifecycle is where this controller stands between its start and a planned end. Only turn changes state.
type lifecycle struct {
	state            LifecycleState
	since            time.Duration
	quiescentSince   time.Duration // since when nothing has been in flight while handing over
	staysWhenDrained bool          // operators want it drained: it stays instead of ending
	ended            chan struct{}
}

// jobArchive is this controller's side of the archive of ended jobs.
type jobArchive struct {
	settings  config.Archive
	reader    *archive.Reader
	checkedAt time.Duration // when ended jobs were last looked at
}

// drainState is what operators want drained, as far as it was followed, and what a leader does about it.
type drainState struct {
	document        drain.Document
	documentVersion uint64
	machines        *drain.MachineRequests
	upkeep          drainUpkeep
}

// peerSet is the connections to the other controllers and what each last said of itself.
type peerSet struct {
	links        []link
	status       map[string]peerStatus
	statusSentAt time.Duration
}
