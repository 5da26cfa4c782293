package shards

import (
	"cmp"
	"fmt"
	"slices"
)

// This file models the environment of the leases of one machine in two shards: the machine's durable record, the leader
// of each shard, the durable plans, the machine with its token and tasks, and messages that may be delayed or lost but
// are not duplicated. TestLeaseInvariantsHoldInAllReachableStates visits every state that is reachable within the
// bounds below.

const (
	modelShards = 2
	// Bounds on the number of events of each kind in one run. The bound on heartbeats is an argument of explore.
	maxLaunches  = 2
	maxTransfers = 3
	maxFailovers = 1
	// maxInFlight bounds the number of messages that are in flight at the same time.
	maxInFlight = 4
)

// guard is a rule of the protocol that the model can leave out, to show that a run without it violates an invariant.
type guard string

const (
	noGuard               guard = ""
	guardEmptyMachine     guard = "empty machine"
	guardNoLaunchInFlight guard = "no launch in flight"
	guardHeartbeatToken   guard = "heartbeat token"
	guardIndeterminate    guard = "indeterminate outcome"
	guardLeadership       guard = "leadership"
	guardFencingTokens    guard = "fencing tokens"
	guardHeartbeatOrder   guard = "heartbeat order"
	guardRecordVersion    guard = "record version"
	// guardHigherToken isn't in the test's list: without it no run within the bounds violates an invariant.
	guardHigherToken guard = "higher token"
)

type messageKind uint8

const (
	answerMessage messageKind = iota // answer to a heartbeat; raises the machine's token
	transferMessage
	launchMessage
	heartbeatMessage
)

// message is a message in flight. Fields that its kind doesn't use are zero.
type message struct {
	kind  messageKind
	shard int    // shard of the sender; unused in heartbeats
	term  uint64 // sender's term when it sent the message; unused in heartbeats
	token uint64 // fencing token; unused in transfers
	// running and sequence are used in heartbeats only.
	running  [modelShards]bool
	sequence int
	// transfer is used in transfers only.
	transfer Transfer
	// awaited is set while the sender of a launch or transfer waits for the answer to it.
	awaited bool
}

func compareMessages(a, b message) int {
	return cmp.Or(
		cmp.Compare(a.kind, b.kind),
		cmp.Compare(a.shard, b.shard),
		cmp.Compare(a.token, b.token),
		cmp.Compare(a.term, b.term),
		cmp.Compare(a.transfer.RecordVersion, b.transfer.RecordVersion),
		cmp.Compare(a.sequence, b.sequence),
		cmp.Compare(fmt.Sprint(a.awaited, a.running), fmt.Sprint(b.awaited, b.running)),
	)
}

// shardModel is one shard's leader and its durable plan.
type shardModel struct {
	term  uint64
	lease Lease
	// planned is set while the durable plan has a task on the machine.
	planned bool
	// launchesInFlight is the number of launches of this term that may still arrive.
	launchesInFlight int
	// confirmedEmpty is set once a heartbeat at the lease's token lacked every task of the shard.
	confirmedEmpty bool
	// lastSequence is the sequence number of the last heartbeat received; older heartbeats are ignored.
	lastSequence int
}

// machineModel is the machine. running reports by shard whether a task of the shard runs on it.
type machineModel struct {
	token    uint64
	running  [modelShards]bool
	sequence int // sequence number of the last heartbeat sent
}

// model is one state of the model. It is comparable, so that equal states are visited only once.
type model struct {
	counter       uint64 // the last term or token that was drawn
	assignment    Assignment
	recordVersion uint64
	shards        [modelShards]shardModel
	machine       machineModel
	// The first inFlightCount entries of inFlight are the messages in flight. They are sorted, so that states that differ
	// only in the order of messages are equal.
	inFlight      [maxInFlight]message
	inFlightCount int
	// overflow is set if a message was sent while maxInFlight were in flight. The state is then not explored.
	overflow bool
	// Numbers of events so far, to be compared with the bounds.
	launches, heartbeats, transfers, failovers int
}

func newModel() model {
	m := model{
		counter:       2,
		assignment:    Assignment{Shard: 0, Token: 0},
		recordVersion: 1,
		machine:       machineModel{token: 1},
	}
	for shard := range m.shards {
		term := uint64(shard + 1)
		m.shards[shard].term = term
		m.shards[shard].lease = *NewLease(shard, term, m.assignment, m.recordVersion)
	}
	return m
}

func (m *model) send(msg message) {
	if m.inFlightCount == maxInFlight {
		m.overflow = true
		return
	}
	m.inFlight[m.inFlightCount] = msg
	m.inFlightCount++
	m.sortInFlight()
}

func (m *model) remove(index int) {
	m.inFlightCount--
	m.inFlight[index] = m.inFlight[m.inFlightCount]
	m.inFlight[m.inFlightCount] = message{}
	m.sortInFlight()
}

func (m *model) sortInFlight() { slices.SortFunc(m.messages(), compareMessages) }

// messages returns the messages in flight as a slice of the model's own array.
func (m *model) messages() []message { return m.inFlight[:m.inFlightCount] }

// violation describes an invariant that doesn't hold; it returns "" if all hold.
func (m *model) violation() string {
	for shard := range m.shards {
		if m.machine.running[shard] && !m.shards[shard].planned {
			return fmt.Sprintf("a task of shard %d runs but is not in the shard's plan", shard)
		}
	}
	switch {
	case m.shards[0].planned && m.shards[1].planned:
		return "both shards have a task on the machine"
	case m.shards[0].lease.MayStartTasks() && m.shards[1].lease.MayStartTasks():
		return "both shards may start tasks"
	}
	return ""
}

// explorer collects the successors of one state.
type explorer struct {
	from          *model
	without       guard
	maxHeartbeats int
	next          []model
}

// step adds the state that a change leads to, unless too many messages would be in flight.
func (e *explorer) step(change func(m *model)) {
	m := *e.from
	change(&m)
	if !m.overflow {
		e.next = append(e.next, m)
	}
}

// successors returns all states that one event in state m can lead to.
func (m *model) successors(without guard, maxHeartbeats int) []model {
	e := &explorer{from: m, without: without, maxHeartbeats: maxHeartbeats}
	e.sendHeartbeat()
	for shard := range m.shards {
		e.finishTask(shard)
		e.readRecord(shard)
		e.launchTask(shard)
		e.drain(shard)
		e.transfer(shard)
		e.failOver(shard)
	}
	for index, msg := range m.messages() {
		e.deliver(index, msg)
	}
	return e.next
}

// sendHeartbeat makes the machine send a heartbeat. At most one heartbeat is in flight.
func (e *explorer) sendHeartbeat() {
	isHeartbeat := func(msg message) bool { return msg.kind == heartbeatMessage }
	if e.from.heartbeats == e.maxHeartbeats || slices.ContainsFunc(e.from.messages(), isHeartbeat) {
		return
	}
	e.step(func(m *model) {
		m.heartbeats++
		m.machine.sequence++
		m.send(message{
			kind:     heartbeatMessage,
			token:    m.machine.token,
			running:  m.machine.running,
			sequence: m.machine.sequence,
		})
	})
}

func (e *explorer) finishTask(shard int) {
	if e.from.machine.running[shard] {
		e.step(func(m *model) { m.machine.running[shard] = false })
	}
}

func (e *explorer) readRecord(shard int) {
	if e.from.recordVersion <= e.from.shards[shard].lease.recordVersion {
		return
	}
	e.step(func(m *model) {
		m.shards[shard].lease.RecordRead(m.assignment, m.recordVersion)
		m.shards[shard].confirmedEmpty = false
	})
}

// launchTask adds a task to the durable plan and sends its launch.
func (e *explorer) launchTask(shard int) {
	s := &e.from.shards[shard]
	if !s.lease.MayStartTasks() || s.planned || e.from.launches == maxLaunches {
		return
	}
	e.step(func(m *model) {
		m.launches++
		s := &m.shards[shard]
		s.planned = true
		s.confirmedEmpty = false
		s.launchesInFlight++
		m.send(message{kind: launchMessage, shard: shard, term: s.term, token: s.lease.Token(), awaited: true})
	})
}

// drain begins or cancels a drain.
func (e *explorer) drain(shard int) {
	lease := &e.from.shards[shard].lease
	if lease.MayStartTasks() {
		e.step(func(m *model) { m.shards[shard].lease.Drain() })
	}
	if lease.state == Draining {
		e.step(func(m *model) { m.shards[shard].lease.CancelDrain() })
	}
}

// transfer sends a transfer to the other shard, or sends the transfer with an indeterminate outcome again.
func (e *explorer) transfer(shard int) {
	if e.from.transfers == maxTransfers {
		return
	}
	e.step(func(m *model) {
		s := &m.shards[shard]
		empty := e.without == guardEmptyMachine || (!s.planned && s.confirmedEmpty)
		transfer, ok := s.lease.BeginTransfer(1-shard, empty)
		if !ok {
			transfer, ok = s.lease.RetryTransfer()
		}
		if ok {
			m.transfers++
			m.send(message{kind: transferMessage, shard: shard, term: s.term, transfer: transfer, awaited: true})
		}
	})
}

// failOver makes another controller the leader of the shard. Messages of the former leader stay in flight, but their
// answers are no longer awaited.
func (e *explorer) failOver(shard int) {
	if e.from.failovers == maxFailovers {
		return
	}
	e.step(func(m *model) {
		m.failovers++
		m.counter++
		s := &m.shards[shard]
		s.term = m.counter
		s.launchesInFlight = 0
		s.confirmedEmpty = false
		s.lease = *NewLease(shard, s.term, m.assignment, m.recordVersion)
		for i := range m.messages() {
			if m.inFlight[i].shard == shard {
				m.inFlight[i].awaited = false
			}
		}
		m.sortInFlight()
	})
}

// deliver adds the states after a message is lost, after it arrives and, for a transfer, after its sender times out
// while the message stays in flight.
func (e *explorer) deliver(index int, msg message) {
	e.step(func(m *model) { m.remove(index) })
	e.step(func(m *model) {
		m.remove(index)
		m.receive(msg, e.without)
	})
	if msg.awaited && msg.kind == transferMessage {
		e.step(func(m *model) {
			m.inFlight[index].awaited = false
			m.sortInFlight()
			m.transferUnconfirmed(msg, e.without)
		})
	}
}

func (m *model) transferUnconfirmed(msg message, without guard) {
	lease := &m.shards[msg.shard].lease
	lease.TransferUnconfirmed(msg.transfer)
	if without == guardIndeterminate && lease.state == Indeterminate {
		lease.setState(Draining) // as if the transfer had certainly failed
	}
}

// receive processes the arrival of a message at the machine, the leaders or the state service.
func (m *model) receive(msg message, without guard) {
	switch msg.kind {
	case answerMessage, launchMessage:
		m.receiveCommand(msg, without)
	case heartbeatMessage:
		for shard := range m.shards {
			m.receiveHeartbeat(shard, msg, without)
		}
	case transferMessage:
		m.receiveTransfer(msg, without)
	}
}

// receiveCommand processes the arrival of a launch, or of the answer to a heartbeat, at the machine.
func (m *model) receiveCommand(msg message, without guard) {
	if msg.token < m.machine.token && without != guardFencingTokens {
		return
	}
	m.machine.token = max(m.machine.token, msg.token)
	if msg.kind != launchMessage {
		return
	}
	m.machine.running[msg.shard] = true
	if msg.awaited { // the answer to a launch counts as a heartbeat
		s := &m.shards[msg.shard]
		s.launchesInFlight--
		m.machine.sequence++
		s.lastSequence = m.machine.sequence
	}
}

// receiveHeartbeat processes the arrival of a heartbeat at a shard's leader.
func (m *model) receiveHeartbeat(shard int, msg message, without guard) {
	s := &m.shards[shard]
	isOutdated := msg.sequence <= s.lastSequence && without != guardHeartbeatOrder
	if !s.lease.AcceptsHeartbeats() || isOutdated {
		return
	}
	s.lastSequence = msg.sequence
	ignoresToken := without == guardHeartbeatToken
	if msg.token < s.lease.Token() && !ignoresToken {
		m.send(message{kind: answerMessage, shard: shard, term: s.term, token: s.lease.Token()})
		return
	}
	s.lease.HeartbeatReceived(msg.token)
	hasToken := msg.token == s.lease.Token() || ignoresToken
	nothingInFlight := s.launchesInFlight == 0 || without == guardNoLaunchInFlight
	if hasToken && !msg.running[shard] && nothingInFlight {
		s.planned = false
		s.confirmedEmpty = true
	}
}

// receiveTransfer processes the arrival of a transfer at the state service.
func (m *model) receiveTransfer(msg message, without guard) {
	s := &m.shards[msg.shard]
	isVersionUnchanged := msg.transfer.RecordVersion == m.recordVersion || without == guardRecordVersion
	senderLeads := msg.term == s.term || without == guardLeadership
	if !isVersionUnchanged || !senderLeads {
		if msg.awaited {
			m.transferUnconfirmed(msg, without)
		}
		return
	}
	m.counter++
	m.assignment = Assignment{Shard: msg.transfer.ToShard, Token: m.counter}
	m.recordVersion++
	if without == guardHigherToken {
		m.assignment.Token = 1
	}
	if msg.awaited {
		s.lease.TransferCommitted(msg.transfer, m.assignment, m.recordVersion)
		s.confirmedEmpty = false
	}
}
