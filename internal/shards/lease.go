package shards

// State is where an owner stands with one machine.
type State uint8

// The states of a tenure.
//
//	Foreign  -> Awaited   the hand-over to this part was read
//	Awaited  -> Acting    the machine has reported at the tenure's token
//	Acting   -> Yielding  another part wants it: nothing new starts
//	Yielding -> Acting    it is wanted no more
//	Yielding -> Writing   nothing of ours can be on it: the hand-over is sent
//	Writing  -> Foreign   the hand-over is durable
//	Writing  -> Doubtful  refused, or no answer: neither side acts
//	Doubtful -> Writing   the same is sent again
//	any      -> Foreign, Awaited   the machine's record is seen at a newer version
const (
	Foreign State = iota
	Awaited
	Acting
	Yielding
	Writing
	Doubtful
)

func (s State) String() string {
	return [...]string{"foreign", "awaited", "acting", "yielding", "writing", "doubtful"}[s]
}

// Loan is a machine's durable record: whom it was handed to last, and the token it must have seen
// before that part acts. Without a record it is at home.
type Loan struct {
	Part  int    `json:"part"`
	Token uint64 `json:"token"`
}

// Handover is a new record, guarded by the version of the one it replaces and by the lead of the part
// that gives. Its token is drawn from the counter of terms in the same transaction, so it is
// higher than any that the machine has seen.
type Handover struct {
	Version uint64
	To      int
}

// Tenure is one owner's side of one machine: a state machine without clock and I/O. It belongs to one
// term of one part; a new term begins with new ones.
type Tenure struct {
	part    int
	term    uint64
	state   State
	version uint64 // of the record; 0: there is none
	loan    Loan
	to      int // whom a hand-over under way goes to
}

// NewTenure makes the tenure of a machine in a term of a part; loan and version are the machine's record as
// it was read when the term began, or its home with version 0.
func NewTenure(part int, term uint64, loan Loan, version uint64) *Tenure {
	t := &Tenure{part: part, term: term, loan: loan, version: version}
	t.settle()
	return t
}

// enter is the only place where the state changes.
func (t *Tenure) enter(s State) { t.state = s }

// settle takes the state that follows from the record.
func (t *Tenure) settle() {
	if t.loan.Part == t.part {
		t.enter(Awaited)
		return
	}
	t.enter(Foreign)
}

// State tells where it stands.
func (t *Tenure) State() State { return t.state }

// Token is what reports of the machine must carry, and what answers and commands do: the higher of
// the term's and the hand-over's.
func (t *Tenure) Token() uint64 { return max(t.term, t.loan.Token) }

// Ours tells whether the machine's reports are answered with 200, so that its lease goes on. While a
// hand-over is under way or open they are not: the other side might answer at a higher token.
func (t *Tenure) Ours() bool {
	return t.state == Awaited || t.state == Acting || t.state == Yielding
}

// May tells whether something may start on the machine.
func (t *Tenure) May() bool { return t.state == Acting }

// Report takes that the machine has reported at a token.
func (t *Tenure) Report(token uint64) {
	if t.state == Awaited && token == t.Token() {
		t.enter(Acting)
	}
}

// Learn takes the machine's record as it was read or followed; an older one tells nothing.
func (t *Tenure) Learn(loan Loan, version uint64) {
	if version <= t.version {
		return
	}
	t.loan, t.version = loan, version
	t.settle()
}

// Yield stops new starts, for the machine to be handed over once it is empty; Keep takes it back.
func (t *Tenure) Yield() {
	if t.state == Acting {
		t.enter(Yielding)
	}
}

// Keep ends a yield that is wanted no more.
func (t *Tenure) Keep() {
	if t.state == Yielding {
		t.enter(Acting)
	}
}

// Handover makes the hand-over to another part. clear tells that nothing of this part can be on the
// machine: the durable plan has nothing there, a report at our token says so, and no command is on
// its way that might land yet.
func (t *Tenure) Handover(to int, clear bool) (Handover, bool) {
	if t.state != Yielding || !clear || to == t.part {
		return Handover{}, false
	}
	t.to = to
	t.enter(Writing)
	return Handover{t.version, to}, true
}

// Again sends a hand-over in doubt once more: whichever lands first makes the other void.
func (t *Tenure) Again() (Handover, bool) {
	if t.state != Doubtful {
		return Handover{}, false
	}
	t.enter(Writing)
	return Handover{t.version, t.to}, true
}

// Ended takes what came back of a hand-over: its record and version if it was surely carried out,
// version 0 if not. Then it may be yet, as long as the record's version stands.
func (t *Tenure) Ended(h Handover, loan Loan, version uint64) {
	switch {
	case t.state != Writing || h.Version != t.version: // decided meanwhile
	case version > 0:
		t.Learn(loan, version)
	default:
		t.enter(Doubtful)
	}
}
