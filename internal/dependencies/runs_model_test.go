package dependencies

import "slices"

// This file models a few jobs that depend on one another, their records at the state service, and two controllers. The
// controllers read the records one by one, lead alternately, and send transactions. A transaction is applied at any
// later time: once, twice or never. The tests in runs_explore_test.go explore every run within bounds.

const (
	maxRunJobs      = 4
	runControllers  = 2
	maxTxnsInFlight = 2
)

// jobSet is a set of jobs, with one bit per job.
type jobSet uint8

func (s jobSet) has(job int) bool    { return s&(1<<job) != 0 }
func (s jobSet) with(job int) jobSet { return s | 1<<job }

// content is the content of a job's record or archive entry, as stored or as read by a controller.
type content uint8

const (
	contentAbsent content = iota // in a view: the job's state is unknown
	contentPending
	contentDone
	contentCancelled
)

func (c content) final() bool { return c == contentDone || c == contentCancelled }

// runJob is a job's data at the state service.
type runJob struct {
	record       content
	version      uint8 // version of the record, 0 if there is none
	writes       uint8 // number of writes of the record
	predecessors jobSet
	archived     content // archive entry
	firstFinal   content // first final content, contentAbsent if the job has not ended
}

// final returns the final content that is stored for a job, or contentAbsent if there is none.
func (j *runJob) final() content {
	if j.archived != contentAbsent {
		return j.archived
	}
	if j.record.final() {
		return j.record
	}
	return contentAbsent
}

// runView is a controller's view of a job: what it has read last.
type runView struct {
	content      content
	version      uint8
	predecessors jobSet
}

// runTxnKind is the kind of change that a transaction makes to its job.
type runTxnKind uint8

const (
	noRunTxn runTxnKind = iota
	txnAccept
	txnStart
	txnDone
	txnCancel
	txnMove
)

// runTxn is a transaction that was sent.
type runTxn struct {
	kind         runTxnKind
	job          int8
	version      uint8   // record version on which the transaction depends
	term         uint8   // term on which the transaction depends, 0 for none
	accepted     content // content of the record that txnAccept writes
	predecessors jobSet
	repeated     bool // whether the transaction was applied before
}

// runGuards are the rules that the explorations disable one by one. A field that is true disables its rule.
type runGuards struct {
	releaseAfterAll      bool // a job is released when all of its predecessors are done, not just one of them
	unknownIsUnfinished  bool // a predecessor whose record was removed from the watched keys isn't considered done
	recordVersion        bool // the end of a job is written only over the pending record that was read
	dropOnlyDone         bool // a submission drops only done predecessors, not cancelled ones
	acceptIfAbsent       bool // a submission is stored on the condition that neither record nor archive entry exists
	cancelFromAllRecords bool // a leader cancels successors of all cancelled jobs, not only of those it read in its term
	readArchive          bool // archive entries of unknown predecessors are read
	retryCancels         bool // a cancellation that wasn't applied is sent again
}

// runBounds counts the steps of each kind in a run, or limits their number.
type runBounds struct{ userCancels, leaderChanges, moves, accepts, sends uint8 }

// runState is the complete state of the model. It is comparable, so that no state is visited twice.
type runState struct {
	jobs            [maxRunJobs]runJob
	views           [runControllers][maxRunJobs]runView
	inFlight        [maxTxnsInFlight]runTxn // transactions in flight
	started         jobSet                  // jobs whose tasks have been started
	term            uint8                   // current leader's term, from 1; the first controller leads in odd terms
	cancelledInTerm jobSet                  // jobs that the leader has first read as cancelled in its term
	cancelsSent     jobSet                  // jobs for which a leader has sent a cancellation
	steps           runBounds               // number of steps so far
	violatedFinal   bool                    // whether an ended job got another final state or became pending again
}

func (s *runState) leader() int { return int(s.term+1) % runControllers }

// canonicalize sorts the transactions in flight, because states that differ only in their order are equal.
func (s *runState) canonicalize() {
	slices.SortFunc(s.inFlight[:], func(a, b runTxn) int { return a.order() - b.order() })
}

// order returns a sort key that differs between different transactions. Empty slots come last.
func (t runTxn) order() int {
	if t.kind == noRunTxn {
		return 1 << 30
	}
	order := int(t.kind)<<24 | int(t.job)<<20 | int(t.version)<<16 | int(t.term)<<12 | int(t.accepted)<<8
	order |= int(t.predecessors) << 1
	if t.repeated {
		order |= 1
	}
	return order
}

// apply applies a transaction if its conditions hold, and reports whether they do.
func (s *runState) apply(txn runTxn, disabled runGuards) bool {
	job := &s.jobs[txn.job]
	if txn.term != 0 && txn.term != s.term {
		return false
	}
	switch txn.kind {
	case txnStart:
		s.started = s.started.with(int(txn.job))
		return true
	case txnAccept:
		if !disabled.acceptIfAbsent && (job.version != 0 || job.archived != contentAbsent) {
			return false
		}
		job.predecessors = txn.predecessors
		s.write(job, txn.accepted)
		return true
	case txnMove:
		if txn.version != job.version || job.archived != contentAbsent {
			return false
		}
		job.archived = job.record
		job.record = contentAbsent
		job.version = 0
		return true
	}
	if txn.version != job.version && (!disabled.recordVersion || job.version == 0) {
		return false
	}
	s.write(job, map[runTxnKind]content{txnDone: contentDone, txnCancel: contentCancelled}[txn.kind])
	return true
}

// write stores a job's record.
func (s *runState) write(job *runJob, record content) {
	if job.firstFinal != contentAbsent && record != job.firstFinal {
		s.violatedFinal = true
	}
	job.writes++
	job.version = job.writes
	job.record = record
	if record.final() && job.firstFinal == contentAbsent {
		job.firstFinal = record
	}
}

// read has a controller read a job's data at the state service. A view with a final state never changes. Otherwise, if
// the record is absent, a pending view is first cleared, and the next read reads the archive entry.
func (s *runState) read(controller, id int, disabled runGuards) {
	job := &s.jobs[id]
	view := &s.views[controller][id]
	before := view.content
	switch {
	case view.content.final():
	case job.version != 0:
		*view = runView{job.record, job.version, job.predecessors}
	case view.content == contentPending:
		*view = runView{}
	case job.archived != contentAbsent && !disabled.readArchive:
		*view = runView{content: job.archived}
	}
	if before != contentCancelled && view.content == contentCancelled && controller == s.leader() {
		s.cancelledInTerm = s.cancelledInTerm.with(id)
	}
}

// isReleased reports whether a controller's views allow a job to start.
func (s *runState) isReleased(controller, id int, disabled runGuards) bool {
	views := &s.views[controller]
	if views[id].content != contentPending {
		return false
	}
	unfinished := 0
	predecessors := 0
	for predecessor := range maxRunJobs {
		if !views[id].predecessors.has(predecessor) {
			continue
		}
		predecessors++
		readContent := views[predecessor].content
		isDone := readContent == contentDone || disabled.unknownIsUnfinished && readContent == contentAbsent
		if !isDone {
			unfinished++
		}
	}
	return unfinished == 0 || disabled.releaseAfterAll && unfinished < predecessors
}

// cancelPending returns the live jobs that have a direct or transitive predecessor that is cancelled in a controller's
// views. A job has a higher number than its predecessors.
func (s *runState) cancelPending(controller int, disabled runGuards) jobSet {
	var found jobSet
	for id := range maxRunJobs {
		view := s.views[controller][id]
		if view.content != contentPending {
			continue
		}
		for predecessor := range id {
			if !view.predecessors.has(predecessor) {
				continue
			}
			isCancelled := s.views[controller][predecessor].content == contentCancelled
			if disabled.cancelFromAllRecords && !s.cancelledInTerm.has(predecessor) {
				isCancelled = false
			}
			if isCancelled || found.has(predecessor) {
				found = found.with(id)
			}
		}
	}
	return found
}

// violation returns the safety property that the state violates, or "" if there is none. namedPredecessors holds the
// predecessors that each job's user named.
func (s *runState) violation(namedPredecessors []jobSet) string {
	if s.violatedFinal {
		return "an ended job changed its final state"
	}
	for id, predecessors := range namedPredecessors {
		for predecessor := range maxRunJobs {
			if s.started.has(id) && predecessors.has(predecessor) && s.jobs[predecessor].final() != contentDone {
				return "started too early: a predecessor was not done"
			}
		}
	}
	return ""
}

// hasOrphan reports whether an accepted job isn't cancelled although one of its predecessors is.
func (s *runState) hasOrphan(namedPredecessors []jobSet) bool {
	var cancelled jobSet
	for id, predecessors := range namedPredecessors {
		job := &s.jobs[id]
		if job.version == 0 && job.archived == contentAbsent {
			continue
		}
		if job.final() == contentCancelled {
			cancelled = cancelled.with(id)
		}
		if predecessors&cancelled != 0 && !cancelled.has(id) {
			return true
		}
	}
	return false
}

// runFairly drops the transactions in flight and lets the leader read all jobs and apply its cancellations, without a
// leader change, until the state no longer changes.
func (s *runState) runFairly(disabled runGuards) {
	s.inFlight = [maxTxnsInFlight]runTxn{}
	for before := (runState{}); before != *s; {
		before = *s
		for id := range maxRunJobs {
			s.read(s.leader(), id, disabled)
		}
		cancelPending := s.cancelPending(s.leader(), disabled)
		for id := range maxRunJobs {
			if !cancelPending.has(id) || disabled.retryCancels && s.cancelsSent.has(id) {
				continue
			}
			s.cancelsSent = s.cancelsSent.with(id)
			s.apply(s.cancelTxn(s.leader(), id, s.term), disabled)
		}
	}
}

// cancelTxn returns the transaction that cancels a job on the condition of the record version in a controller's view.
func (s *runState) cancelTxn(controller, id int, term uint8) runTxn {
	return runTxn{kind: txnCancel, job: int8(id), version: s.views[controller][id].version, term: term}
}
