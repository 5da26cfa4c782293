package allocation

import (
	"fmt"
	"slices"
)

// This file models the surroundings of the shard quotas: the document, the leader of each shard, the durable plans,
// and changes in flight that are written late, once or never. TestEveryRunOfShardQuotas visits every state that the
// model can reach within the bounds below.

const (
	modelLimit = 2
	// maxFailovers bounds the failovers in one run. The bound on changes is the argument maxChanges.
	maxFailovers = 1
)

// guard is a rule of the protocol that the model can leave out, to show that some run then violates an invariant.
type guard string

const (
	allGuards              guard = ""
	guardLargerOnceDurable guard = "a larger share applies only once it is durable"
	guardSmallerAtOnce     guard = "a smaller share applies when it is requested"
	guardIndeterminate     guard = "the smaller share applies while the outcome is indeterminate"
	guardVersion           guard = "a change depends on the version of the document"
	guardLeadership        guard = "a change depends on the leadership of its sender"
)

// changeInFlight is a change that was sent and may be written.
type changeInFlight struct {
	shard   int
	term    int8 // the sender's term
	change  Change
	awaited bool // the sender waits for the response
}

// shardModel is one shard's leader and its durable plan.
type shardModel struct {
	term    int8
	planned int32 // units that may be in use according to the durable plan
	quota   *ShardQuota
}

// model is one state of the model.
type model struct {
	shares   Shares
	version  uint64
	shards   []shardModel
	inFlight []changeInFlight
	// The numbers of events so far, which are bounded.
	changes   int
	failovers int
}

// newModel returns the initial state: shard 0 has the whole limit.
func newModel(shards int) *model {
	m := &model{shares: make(Shares, shards), version: 1}
	m.shares[0] = modelLimit
	for shard := range shards {
		m.shards = append(m.shards, shardModel{quota: NewShardQuota(shard, 0)})
	}
	return m
}

func (m *model) clone() *model {
	c := *m
	c.shares = slices.Clone(m.shares)
	c.shards = slices.Clone(m.shards)
	c.inFlight = slices.Clone(m.inFlight)
	for shard := range c.shards {
		quota := *c.shards[shard].quota
		c.shards[shard].quota = &quota
	}
	return &c
}

// key returns a key that is the same for equal states. The order of the changes in flight is irrelevant.
func (m *model) key() string {
	key := fmt.Appendf(nil, "%v %d %d %d|", m.shares, m.version, m.changes, m.failovers)
	for _, s := range m.shards {
		q := s.quota
		key = fmt.Appendf(key, "%d %d ", s.term, s.planned)
		key = fmt.Appendf(key, "%d %d %v %d %d|", q.state, q.version, q.shares, q.requested, q.reserved)
	}
	var changes []string
	for _, c := range m.inFlight {
		changes = append(changes, fmt.Sprint(c))
	}
	slices.Sort(changes)
	return string(fmt.Append(key, changes))
}

// violation describes the invariant that the state violates, or returns "" if all hold: the shares and the units in
// use are within the limit, and no shard's plan exceeds its share.
func (m *model) violation() string {
	if m.shares.Sum() > modelLimit {
		return "the shares exceed the limit"
	}
	total := int32(0)
	for shard, s := range m.shards {
		total += s.planned
		if s.planned > m.shares[shard] {
			return fmt.Sprintf("shard %d may have %d units in use with a share of %d", shard, s.planned, m.shares[shard])
		}
	}
	if total > modelLimit {
		return "the units in use exceed the limit"
	}
	return ""
}

// explorer collects the states that can follow the state from.
type explorer struct {
	from       *model
	without    guard
	maxChanges int
	next       []*model
}

// step adds the state that results from a change of the state from.
func (e *explorer) step(change func(m *model)) {
	m := e.from.clone()
	change(m)
	e.next = append(e.next, m)
}

// successors returns all states that can follow m.
func (m *model) successors(without guard, maxChanges int) []*model {
	e := &explorer{from: m, without: without, maxChanges: maxChanges}
	for shard := range m.shards {
		e.request(shard)
		e.readShares(shard)
		e.reserveAndRelease(shard)
		e.failOver(shard)
	}
	for index, change := range m.inFlight {
		e.deliver(index, change)
	}
	return e.next
}

// request adds the states in which a shard sends a change, for each number of units, or sends an indeterminate change
// again.
func (e *explorer) request(shard int) {
	if e.from.changes == e.maxChanges {
		return
	}
	for wanted := range int32(modelLimit + 1) {
		m := e.from.clone()
		quota := m.shards[shard].quota
		if change, ok := quota.Request(wanted, modelLimit); ok {
			isSmaller := change.Shares[shard] < quota.shares[shard]
			if e.without == guardSmallerAtOnce && isSmaller {
				quota.requested = quota.shares[shard]
			}
			e.send(m, shard, change)
		}
	}
	m := e.from.clone()
	if change, ok := m.shards[shard].quota.RetryRequest(); ok {
		e.send(m, shard, change)
	}
}

// send adds the state m, in which a change has been sent.
func (e *explorer) send(m *model, shard int, change Change) {
	m.changes++
	m.inFlight = append(m.inFlight, changeInFlight{
		shard:   shard,
		term:    m.shards[shard].term,
		change:  change,
		awaited: true,
	})
	e.next = append(e.next, m)
}

func (e *explorer) readShares(shard int) {
	quota := e.from.shards[shard].quota
	if e.from.version != quota.version || quota.state == Unread {
		e.step(func(m *model) { m.shards[shard].quota.SharesRead(m.shares, m.version) })
	}
}

// reserveAndRelease adds the states in which a shard plans the use of one more unit, or releases one.
func (e *explorer) reserveAndRelease(shard int) {
	quota := e.from.shards[shard].quota
	usesRequested := e.without == guardLargerOnceDurable && quota.state == Requesting &&
		quota.reserved+1 <= quota.requested
	if quota.CanReserve(1) || usesRequested {
		e.step(func(m *model) {
			m.shards[shard].quota.Reserve(1)
			m.shards[shard].planned++
		})
	}
	if quota.reserved > 0 {
		e.step(func(m *model) {
			_ = m.shards[shard].quota.Release(1)
			m.shards[shard].planned--
		})
	}
}

// failOver adds the state in which another controller leads the shard. Changes that the former leader sent are still
// in flight, and their responses are not awaited.
func (e *explorer) failOver(shard int) {
	if e.from.failovers == maxFailovers {
		return
	}
	e.step(func(m *model) {
		m.failovers++
		s := &m.shards[shard]
		s.term++
		s.quota = NewShardQuota(shard, s.planned)
		for i := range m.inFlight {
			if m.inFlight[i].shard == shard {
				m.inFlight[i].awaited = false
			}
		}
	})
}

// deliver adds the states in which a change is written, refused or lost, or its sender stops waiting for the response.
func (e *explorer) deliver(index int, c changeInFlight) {
	if c.awaited {
		e.step(func(m *model) {
			m.changeUnconfirmed(c, e.without)
			m.inFlight[index].awaited = false
		})
	}
	e.step(func(m *model) { m.remove(index) })
	versionStands := c.change.Version == e.from.version || e.without == guardVersion
	senderLeads := c.term == e.from.shards[c.shard].term || e.without == guardLeadership
	if !versionStands || !senderLeads {
		e.step(func(m *model) {
			m.changeUnconfirmed(c, e.without)
			m.remove(index)
		})
		return
	}
	e.step(func(m *model) {
		m.shares = slices.Clone(c.change.Shares)
		m.version++
		if c.awaited {
			m.shards[c.shard].quota.ChangeCommitted(c.change, m.version)
		}
		m.remove(index)
	})
}

func (m *model) remove(index int) { m.inFlight = slices.Delete(m.inFlight, index, index+1) }

// changeUnconfirmed reports to the sender, if it still waits, that a change was refused or got no response.
func (m *model) changeUnconfirmed(c changeInFlight, without guard) {
	if !c.awaited {
		return
	}
	quota := m.shards[c.shard].quota
	quota.ChangeUnconfirmed(c.change)
	if without == guardIndeterminate && quota.state == Indeterminate {
		quota.setState(Settled) // as if the change had failed for certain
	}
}
