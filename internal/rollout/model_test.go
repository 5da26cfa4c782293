package rollout

import (
	"fmt"
	"log/slog"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// The model contains the environment of an upgrade of the level: three controllers of two releases, the keys that an
// upgrade depends on, a record that the leader rewrites in a new format, and a record that any controller writes.
// Transactions are committed at once, later or never, with or without an answer. The controllers decide by the real
// code in observation.go. All runs are explored, within bounds on the number of steps of each kind.

// modelNodes are the names of the controllers.
var modelNodes = []string{"a", "b", "c"}

// modelKeys contains the keys of the state service. A version is the revision of a key's last change; 0 means that the
// key is absent.
type modelKeys struct {
	revision                                       uint8
	level, levelVersion                            uint8
	aborted                                        bool
	directiveVersion                               uint8
	announced, announcedLease, announcementVersion [3]uint8
	lease, memberVersion                           [3]uint8
	leader, leaderVersion                          uint8 // leader: index of the leader plus 1; 0: there is none
	plan, planVersion                              uint8 // plan: format of the record that the leader writes
	job, jobVersion                                uint8 // job: format of the record that any controller writes
	migrated                                       bool
	migratedVersion                                uint8
}

// endLease deletes a controller's member key, and the leader key if it is the leader.
func (k *modelKeys) endLease(node int) {
	k.revision++
	k.lease[node] = 0
	k.memberVersion[node] = 0
	if k.leader == uint8(node)+1 {
		k.leader = 0
		k.leaderVersion = 0
	}
}

// bump gives a key a new version.
func (k *modelKeys) bump(version *uint8) {
	k.revision++
	*version = k.revision
}

// modelProcess is the process of one controller.
type modelProcess struct {
	supported    uint8     // highest level that the process supports; 0: it is down
	lease        uint8     // 0: it has not registered, or its lease has expired
	view         modelKeys // the keys as the process has last read them
	term         uint8     // version of the leader key under which the process leads, by its view; 0: it doesn't lead
	ignoresLevel bool      // the release announces nothing and ignores the level
	frozen       bool      // the process paused for so long that its lease expired
}

// modelTxnKind is the purpose of a transaction.
type modelTxnKind byte

const (
	txnCampaign  modelTxnKind = 'c'
	txnUpgrade   modelTxnKind = 'u'
	txnDirective modelTxnKind = 'w'
	txnPlan      modelTxnKind = 'p' // writes the leader's record
	txnMigrated  modelTxnKind = 'm' // records the end of the migration
	txnJob       modelTxnKind = 'j' // writes the record that any controller writes
)

// modelTxn is a transaction in flight: its conditions and its effect.
type modelTxn struct {
	kind          modelTxnKind
	sender        uint8    // index of the sending controller
	supported     uint8    // highest level that the sender supports
	leaderVersion uint8    // expected version of the leader key
	conditions    [8]uint8 // expected versions of other keys; which keys depends on the kind
	value         uint8    // value to be written
	lease         uint8    // lease of the sender, for a campaign
}

// modelState is one state of the model. It is comparable, and equal states have the same successors.
type modelState struct {
	keys             modelKeys
	processes        [3]modelProcess
	inFlight         [2]modelTxn
	inFlightCount    uint8
	leases           uint8 // the last lease that was granted
	starts           uint8 // this and the next four: number of steps so far, limited by modelBounds
	sends            uint8
	directives       uint8
	crashes, freezes uint8
	violation        string // a property that a transaction violated; "": none
}

// removedGuard names a guard that an exploration leaves out to show that the guard is needed; "" leaves out none.
type removedGuard string

const (
	guardLeader           removedGuard = "the leader's guard"
	guardMemberVersions   removedGuard = "the versions of members and announcements"
	guardDirectiveVersion removedGuard = "the directive version"
	guardPresentProcess   removedGuard = "the check of the present process"
	guardAllAnnounced     removedGuard = "the check of all announcements"
	guardCampaignLevel    removedGuard = "the level condition of campaigns"
	guardWriteLevel       removedGuard = "the level condition of other writes"
	guardRecordVersion    removedGuard = "the record version"
	guardNothingLeft      removedGuard = "the check that no former record is left"
	guardStandDown        removedGuard = "standing down on incompatibility"
	guardTermFormat       removedGuard = "the term format"
)

// observe returns a controller's view as an Observation, the input of the real code.
func (m *modelState) observe(node int, removed removedGuard) Observation {
	view := &m.processes[node].view
	observed := Observation{
		Level:            Level(view.level),
		LevelVersion:     uint64(view.levelVersion),
		DirectiveVersion: uint64(view.directiveVersion),
		Mode:             FinishRequested,
	}
	if view.aborted {
		observed.Mode = AbortedByOperator
	}
	for n := range 3 {
		peer := PeerRecord{
			AnnouncedLevel:      Level(view.announced[n]),
			AnnouncedLease:      uint64(view.announcedLease[n]),
			AnnouncementVersion: uint64(view.announcementVersion[n]),
			Lease:               uint64(view.lease[n]),
			MemberVersion:       uint64(view.memberVersion[n]),
		}
		if removed == guardPresentProcess {
			peer.AnnouncedLease = peer.Lease
		}
		observed.Peers = append(observed.Peers, peer)
	}
	return observed
}

// send adds a transaction to those in flight, in a canonical order. It returns false if there is no room for another.
func (m *modelState) send(txn modelTxn) bool {
	if int(m.inFlightCount) == len(m.inFlight) {
		return false
	}
	m.sends++
	m.inFlight[m.inFlightCount] = txn
	m.inFlightCount++
	if m.inFlightCount == 2 && fmt.Sprint(m.inFlight[1]) < fmt.Sprint(m.inFlight[0]) {
		m.inFlight[0], m.inFlight[1] = m.inFlight[1], m.inFlight[0]
	}
	return true
}

// drop removes a transaction in flight.
func (m *modelState) drop(i int) {
	m.inFlightCount--
	m.inFlight[i] = m.inFlight[m.inFlightCount]
	m.inFlight[m.inFlightCount] = modelTxn{}
}

// commit applies a transaction if its conditions hold.
func (m *modelState) commit(txn modelTxn, removed removedGuard) {
	if txn.leaderVersion != m.keys.leaderVersion && removed != guardLeader {
		return
	}
	switch txn.kind {
	case txnCampaign:
		m.commitCampaign(txn, removed)
	case txnUpgrade:
		m.commitUpgrade(txn, removed)
	case txnDirective:
		m.commitDirective(txn)
	case txnPlan:
		m.commitPlan(txn, removed)
	case txnMigrated:
		m.commitMigrated(txn)
	case txnJob:
		m.commitJob(txn, removed)
	}
}

func (m *modelState) commitCampaign(txn modelTxn, removed removedGuard) {
	keys := &m.keys
	isMember := keys.memberVersion[txn.sender] != 0 && keys.lease[txn.sender] == txn.lease
	if !isMember || keys.leaderVersion != 0 {
		return
	}
	if txn.conditions[0] != keys.levelVersion && removed != guardCampaignLevel {
		return
	}
	keys.leader = txn.sender + 1
	keys.bump(&keys.leaderVersion)
}

func (m *modelState) commitUpgrade(txn modelTxn, removed removedGuard) {
	keys := &m.keys
	if txn.conditions[0] != keys.levelVersion {
		return
	}
	if txn.conditions[1] != keys.directiveVersion && removed != guardDirectiveVersion {
		return
	}
	for n := range 3 {
		announcementChanged := txn.conditions[2+2*n] != keys.announcementVersion[n]
		memberChanged := txn.conditions[3+2*n] != keys.memberVersion[n]
		if (announcementChanged || memberChanged) && removed != guardMemberVersions {
			return
		}
	}
	if keys.leader != txn.sender+1 {
		m.violation = modelNodes[txn.sender] + " upgraded the level without being leader"
	}
	keys.level = txn.value
	keys.bump(&keys.levelVersion)
	if keys.aborted {
		m.violation = "the level was upgraded after operators had aborted the rollout"
	}
	for n, process := range m.processes {
		if process.lease > 0 && process.supported < keys.level {
			m.violation = "the level was upgraded while a release that doesn't support it ran on " + modelNodes[n]
		}
	}
}

func (m *modelState) commitDirective(txn modelTxn) {
	keys := &m.keys
	if txn.conditions[0] != keys.directiveVersion || txn.conditions[1] != keys.levelVersion {
		return
	}
	keys.aborted = txn.value == 1
	keys.bump(&keys.directiveVersion)
}

func (m *modelState) commitPlan(txn modelTxn, removed removedGuard) {
	keys := &m.keys
	if txn.conditions[0] != keys.planVersion && removed != guardRecordVersion {
		return
	}
	if keys.leader != txn.sender+1 {
		m.violation = modelNodes[txn.sender] + " wrote a plan without being leader"
	}
	m.checkOverwrite(txn, keys.plan)
	keys.plan = txn.value
	keys.bump(&keys.planVersion)
}

func (m *modelState) commitMigrated(txn modelTxn) {
	keys := &m.keys
	if txn.conditions[0] != keys.migratedVersion {
		return
	}
	keys.migrated = true
	keys.bump(&keys.migratedVersion)
}

func (m *modelState) commitJob(txn modelTxn, removed removedGuard) {
	keys := &m.keys
	if txn.conditions[0] != keys.jobVersion {
		return
	}
	if txn.conditions[1] != keys.levelVersion && removed != guardWriteLevel {
		return
	}
	m.checkOverwrite(txn, keys.job)
	keys.job = txn.value
	keys.bump(&keys.jobVersion)
}

// checkOverwrite records a violation if the sender of a transaction can't read the format of the record that the
// transaction overwrites.
func (m *modelState) checkOverwrite(txn modelTxn, format uint8) {
	if txn.supported < format {
		m.violation = modelNodes[txn.sender] + " overwrote a record that it can't read"
	}
}

// check returns the violated property, or "" if none is violated.
func (m *modelState) check() string {
	if m.violation != "" {
		return m.violation
	}
	keys := &m.keys
	if keys.leader > 0 {
		leader := &m.processes[keys.leader-1]
		if leader.supported > 0 && leader.supported < keys.level && leader.term == keys.leaderVersion {
			return modelNodes[keys.leader-1] + " leads at a level that it doesn't support"
		}
	}
	formerLeft := keys.plan < keys.level || keys.job > 0 && keys.job < keys.level
	if keys.migrated && formerLeft {
		return "the migration is recorded as done while a record is in the former format"
	}
	return ""
}

// start starts a process that has read all keys, and ends the lease of the controller's former process.
func (m *modelState) start(node int, supported uint8, ignoresLevel bool) {
	m.keys.endLease(node)
	m.processes[node] = modelProcess{supported: supported, ignoresLevel: ignoresLevel, view: m.keys}
}

// register writes a process's member key and announcement. The keys may have changed since the process read them.
func (m *modelState) register(node int) {
	keys := &m.keys
	process := &m.processes[node]
	m.leases++
	keys.revision++
	process.lease = m.leases
	keys.lease[node] = m.leases
	keys.memberVersion[node] = keys.revision
	if !process.ignoresLevel {
		keys.announced[node] = process.supported
		keys.announcedLease[node] = m.leases
		keys.announcementVersion[node] = keys.revision
	}
}

// sync updates the view of a process to the current keys.
func (m *modelState) sync(node int) {
	process := &m.processes[node]
	process.view = m.keys
	process.term = 0
	if process.view.leader == uint8(node)+1 && process.lease == m.keys.lease[node] && process.lease != 0 {
		process.term = m.keys.leaderVersion
	}
}

// renumbering maps numbers to new ones, which are assigned in the order of first use.
type renumbering [128]uint8 // by old number, 0: not assigned yet; element 0 is the last new number

func (r *renumbering) apply(number *uint8) {
	if *number == 0 {
		return
	}
	if r[*number] == 0 {
		r[0]++
		r[*number] = r[0]
	}
	*number = r[*number]
}

// canonicalize renumbers versions and leases. Only their equality matters, so states that differ only in these numbers
// become equal.
func (m *modelState) canonicalize() {
	var versions, leases renumbering
	canonicalizeKeys(&m.keys, &versions, &leases)
	for n := range m.processes {
		process := &m.processes[n]
		if process.supported == 0 {
			continue
		}
		canonicalizeKeys(&process.view, &versions, &leases)
		versions.apply(&process.term)
		leases.apply(&process.lease)
	}
	for i := range m.inFlight[:m.inFlightCount] {
		txn := &m.inFlight[i]
		versions.apply(&txn.leaderVersion)
		leases.apply(&txn.lease)
		for c := range txn.conditions {
			versions.apply(&txn.conditions[c])
		}
	}
	m.keys.revision = versions[0]
	m.leases = leases[0]
}

func canonicalizeKeys(keys *modelKeys, versions, leases *renumbering) {
	keys.revision = 0
	versions.apply(&keys.levelVersion)
	versions.apply(&keys.directiveVersion)
	versions.apply(&keys.leaderVersion)
	versions.apply(&keys.planVersion)
	versions.apply(&keys.jobVersion)
	versions.apply(&keys.migratedVersion)
	for n := range 3 {
		versions.apply(&keys.announcementVersion[n])
		versions.apply(&keys.memberVersion[n])
		leases.apply(&keys.announcedLease[n])
		leases.apply(&keys.lease[n])
	}
}
