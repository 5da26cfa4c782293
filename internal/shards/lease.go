package shards

// LeaseState is the state of a Lease.
type LeaseState uint8

// The states of a lease and the transitions between them:
//
//	NotOwned          -> AwaitingHeartbeat  the machine's record assigns it to this shard
//	AwaitingHeartbeat -> Active             the machine sent a heartbeat at the lease's fencing token
//	Active            -> Draining           another shard needs the machine: no task is started on it any more
//	Draining          -> Active             the transfer was cancelled before it was sent
//	Draining          -> Transferring       no task of this shard can be on the machine: the transfer is sent
//	Transferring      -> NotOwned           the transfer is durable
//	Transferring      -> Indeterminate      the transfer was refused or not answered: neither shard uses the machine
//	Indeterminate     -> Transferring       the same transfer is sent again
//	any               -> NotOwned or AwaitingHeartbeat  a newer version of the machine's record was read
const (
	NotOwned LeaseState = iota
	AwaitingHeartbeat
	Active
	Draining
	Transferring
	Indeterminate
)

// String returns the name of the state.
func (s LeaseState) String() string {
	return [...]string{
		NotOwned:          "not owned",
		AwaitingHeartbeat: "awaiting heartbeat",
		Active:            "active",
		Draining:          "draining",
		Transferring:      "transferring",
		Indeterminate:     "indeterminate",
	}[s]
}

// Assignment is a machine's durable record: the shard that it was last transferred to, and the fencing token at which
// it must send a heartbeat before that shard uses it. A machine without a record belongs to its home shard.
type Assignment struct {
	Shard int    `json:"part"`
	Token uint64 `json:"token"`
}

// Transfer is a request to the state service to assign a machine to another shard. Its write is conditional on the
// version of the record that it replaces and on the sender's leadership of the shard that owns the machine. The token
// of the new record is drawn from the counter of terms in the same transaction, so it is higher than any token that
// the machine has accepted.
type Transfer struct {
	RecordVersion uint64
	ToShard       int
}

// Lease determines what a shard's leader may do with one machine. It is a state machine without clock and I/O: the
// caller sends the transfers that the methods return, and passes in the machine's records and heartbeats. A lease
// belongs to one term of the shard; a new term begins with new leases.
type Lease struct {
	shard         int
	term          uint64
	state         LeaseState
	assignment    Assignment
	recordVersion uint64 // version of assignment's record; 0: there is no record
	transferTo    int    // receiving shard of the transfer; valid in Transferring and Indeterminate
}

// NewLease returns the lease of a machine in a term of a shard. The assignment and its version are the machine's
// record as it was read when the term began, or the machine's home shard and version 0 if there is none.
func NewLease(shard int, term uint64, assignment Assignment, version uint64) *Lease {
	l := &Lease{shard: shard, term: term, assignment: assignment, recordVersion: version}
	l.followAssignment()
	return l
}

// setState changes the state. No other function changes it.
func (l *Lease) setState(s LeaseState) { l.state = s }

// followAssignment enters the state that the assignment determines.
func (l *Lease) followAssignment() {
	if l.assignment.Shard == l.shard {
		l.setState(AwaitingHeartbeat)
	} else {
		l.setState(NotOwned)
	}
}

// State returns the state.
func (l *Lease) State() LeaseState { return l.state }

// Token returns the fencing token that the machine's heartbeats must carry and that commands and responses to the
// machine carry: the higher of the shard's term and the record's token.
func (l *Lease) Token() uint64 { return max(l.term, l.assignment.Token) }

// AcceptsHeartbeats reports whether the machine's heartbeats are answered with 200, which renews its worker's lease.
// From the sending of a transfer until its outcome is known it returns false: the other shard may already be answering
// the heartbeats at a higher token.
func (l *Lease) AcceptsHeartbeats() bool {
	return l.state == AwaitingHeartbeat || l.state == Active || l.state == Draining
}

// MayStartTasks reports whether tasks may start on the machine.
func (l *Lease) MayStartTasks() bool { return l.state == Active }

// HeartbeatReceived records a heartbeat that the machine sent at a token.
func (l *Lease) HeartbeatReceived(token uint64) {
	if l.state == AwaitingHeartbeat && token == l.Token() {
		l.setState(Active)
	}
}

// RecordRead applies a machine's record that was read or received from a watch. It ignores versions that aren't newer.
func (l *Lease) RecordRead(assignment Assignment, version uint64) {
	if version <= l.recordVersion {
		return
	}
	l.assignment = assignment
	l.recordVersion = version
	l.followAssignment()
}

// Drain stops the start of tasks on the machine, so that the machine can be transferred once it is empty.
func (l *Lease) Drain() {
	if l.state == Active {
		l.setState(Draining)
	}
}

// CancelDrain allows the start of tasks again.
func (l *Lease) CancelDrain() {
	if l.state == Draining {
		l.setState(Active)
	}
}

// BeginTransfer returns the transfer of the machine to another shard; ok is false if it may not be sent now. empty
// means that no task of this shard can be on the machine: the durable plan has none there, a heartbeat at the lease's
// token confirms that, and no command that may still arrive is in flight.
func (l *Lease) BeginTransfer(toShard int, empty bool) (transfer Transfer, ok bool) {
	if l.state != Draining || !empty || toShard == l.shard {
		return Transfer{}, false
	}
	l.transferTo = toShard
	return l.sendTransfer(), true
}

// RetryTransfer returns a transfer with an indeterminate outcome again; ok is false if there is none. Both copies are
// conditional on the same version of the record, so at most one of them is written.
func (l *Lease) RetryTransfer() (transfer Transfer, ok bool) {
	if l.state != Indeterminate {
		return Transfer{}, false
	}
	return l.sendTransfer(), true
}

func (l *Lease) sendTransfer() Transfer {
	l.setState(Transferring)
	return Transfer{RecordVersion: l.recordVersion, ToShard: l.transferTo}
}

// TransferCommitted records that a transfer is durable: the machine's new record and its version.
func (l *Lease) TransferCommitted(transfer Transfer, assignment Assignment, version uint64) {
	if l.isInFlight(transfer) {
		l.RecordRead(assignment, version)
	}
}

// TransferUnconfirmed records that a transfer was refused or not answered. A copy of it may still be written as long
// as the version of the machine's record is unchanged.
func (l *Lease) TransferUnconfirmed(transfer Transfer) {
	if l.isInFlight(transfer) {
		l.setState(Indeterminate)
	}
}

// isInFlight reports whether a transfer's outcome is awaited. After a newer record was read it returns false.
func (l *Lease) isInFlight(transfer Transfer) bool {
	return l.state == Transferring && transfer.RecordVersion == l.recordVersion
}
