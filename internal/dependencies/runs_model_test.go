package dependencies

import "slices"

// This file models a few jobs that depend on one another, their records at the state service, and two controllers that
// read these one by one, lead in turn, and send transactions. A transaction is carried out at any later moment: once,
// twice or never. The tests in runs_explore_test.go look at every run within bounds.

const (
	maxRunJobs     = 4
	runControllers = 2
	maxOpenTxns    = 2
)

// jobSet is a set of jobs, one bit for each.
type jobSet uint8

func (s jobSet) has(job int) bool    { return s&(1<<job) != 0 }
func (s jobSet) with(job int) jobSet { return s | 1<<job }

// content is what is stored, or known, of a job.
type content uint8

const (
	contentAbsent content = iota // of a view: unknown
	contentPending
	contentDone
	contentCancelled
)

func (c content) final() bool { return c == contentDone || c == contentCancelled }

// runJob is a job at the state service.
type runJob struct {
	record       content
	version      uint8 // of the record, 0: there is none
	writes       uint8 // all that were made of the record
	predecessors jobSet
	answer       content // in the archive
	ended        content // how it ended first
}

// final returns how a job has durably ended, contentAbsent if it hasn't.
func (j *runJob) final() content {
	if j.answer != contentAbsent {
		return j.answer
	}
	if j.record.final() {
		return j.record
	}
	return contentAbsent
}

// runView is what a controller has read of a job.
type runView struct {
	content      content
	version      uint8
	predecessors jobSet
}

// runTxnKind is what a transaction does with its job.
type runTxnKind uint8

const (
	noRunTxn runTxnKind = iota
	txnAccept
	txnStart
	txnDone
	txnCancel
	txnMove
)

// runTxn is a transaction that may be carried out.
type runTxn struct {
	kind         runTxnKind
	job          int8
	version      uint8 // of the record, a condition
	term         uint8 // a condition, 0: none
	accepted     content
	predecessors jobSet
	repeated     bool // it was carried out before
}

// runGuards are the rules without which runs are explored.
type runGuards struct {
	releaseNeedsAll     bool // a job is released when all of its predecessors are done, not just one
	unknownIsUnfinished bool // a predecessor whose record has left the followed keys isn't taken for done
	recordVersion       bool // the end of a job is written on the condition that its record is the pending one
	acceptDropsDoneOnly bool // a submission drops only those predecessors that are done, not all that have ended
	acceptOnAbsence     bool // a submission is stored on the condition that neither record nor answer exists
	doomFromRecords     bool // a leader cancels what follows from all records, not only from what changes in its term
	readsAnswers        bool // answers of unknown predecessors are read
	retriesCancels      bool // a cancellation that wasn't carried out is sent again
}

// runBounds limits the steps of each kind in a run.
type runBounds struct{ userCancels, leaderChanges, moves, accepts, sends uint8 }

// runState is a whole state. It is comparable, so that states that were seen aren't explored again.
type runState struct {
	jobs          [maxRunJobs]runJob
	views         [runControllers][maxRunJobs]runView
	open          [maxOpenTxns]runTxn
	started       jobSet // jobs of which a task was started
	term          uint8  // of the leader, from 1; odd terms are the first controller's
	seenInTerm    jobSet // jobs that the leader learned to be cancelled in its term
	cancelsSent   jobSet // by a canceller
	spent         runBounds
	violatedFinal bool // an ended job changed its end or lives again
}

func (s *runState) leader() int { return int(s.term+1) % runControllers }

// canonicalize gives equal states equal forms: the order of open transactions doesn't matter.
func (s *runState) canonicalize() {
	slices.SortFunc(s.open[:], func(a, b runTxn) int { return a.order() - b.order() })
}

// order is a number that differs between different transactions. Empty ones come last.
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

// carryOut applies a transaction if its conditions hold.
func (s *runState) carryOut(txn runTxn, missing runGuards) bool {
	job := &s.jobs[txn.job]
	if txn.term != 0 && txn.term != s.term {
		return false
	}
	switch txn.kind {
	case txnStart:
		s.started = s.started.with(int(txn.job))
		return true
	case txnAccept:
		if !missing.acceptOnAbsence && (job.version != 0 || job.answer != contentAbsent) {
			return false
		}
		job.predecessors = txn.predecessors
		s.write(job, txn.accepted)
		return true
	case txnMove:
		if txn.version != job.version || job.answer != contentAbsent {
			return false
		}
		job.answer = job.record
		job.record = contentAbsent
		job.version = 0
		return true
	}
	if txn.version != job.version && (!missing.recordVersion || job.version == 0) {
		return false
	}
	s.write(job, map[runTxnKind]content{txnDone: contentDone, txnCancel: contentCancelled}[txn.kind])
	return true
}

// write stores a record of a job.
func (s *runState) write(job *runJob, record content) {
	if job.ended != contentAbsent && record != job.ended {
		s.violatedFinal = true
	}
	job.writes++
	job.version = job.writes
	job.record = record
	if record.final() && job.ended == contentAbsent {
		job.ended = record
	}
}

// read has a controller read what the state service has of a job. Of a job whose record is absent it knows nothing, unless
// it knew its end, until it reads the archived answer.
func (s *runState) read(controller, id int, missing runGuards) {
	job := &s.jobs[id]
	seen := &s.views[controller][id]
	before := seen.content
	switch {
	case seen.content.final():
	case job.version != 0:
		*seen = runView{job.record, job.version, job.predecessors}
	case seen.content == contentPending:
		*seen = runView{}
	case job.answer != contentAbsent && !missing.readsAnswers:
		*seen = runView{content: job.answer}
	}
	if before != contentCancelled && seen.content == contentCancelled && controller == s.leader() {
		s.seenInTerm = s.seenInTerm.with(id)
	}
}

// isReleased reports whether a controller lets a job start.
func (s *runState) isReleased(controller, id int, missing runGuards) bool {
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
		known := views[predecessor].content
		isDone := known == contentDone || missing.unknownIsUnfinished && known == contentAbsent
		if !isDone {
			unfinished++
		}
	}
	return unfinished == 0 || missing.releaseNeedsAll && unfinished < predecessors
}

// doomed returns the live jobs of which a controller knows a cancelled predecessor, direct or not. Jobs are numbered
// after their predecessors.
func (s *runState) doomed(controller int, missing runGuards) jobSet {
	var found jobSet
	for id := range maxRunJobs {
		known := s.views[controller][id]
		if known.content != contentPending {
			continue
		}
		for predecessor := range id {
			if !known.predecessors.has(predecessor) {
				continue
			}
			isCancelled := s.views[controller][predecessor].content == contentCancelled
			if missing.doomFromRecords && !s.seenInTerm.has(predecessor) {
				isCancelled = false
			}
			if isCancelled || found.has(predecessor) {
				found = found.with(id)
			}
		}
	}
	return found
}

// violation returns which safety property doesn't hold, "" if all do. needs holds the predecessors that each job's user
// named.
func (s *runState) violation(needs []jobSet) string {
	if s.violatedFinal {
		return "an ended job changed its end"
	}
	for id, predecessors := range needs {
		for predecessor := range maxRunJobs {
			if s.started.has(id) && predecessors.has(predecessor) && s.jobs[predecessor].final() != contentDone {
				return "too early: a task started before a predecessor was done"
			}
		}
	}
	return ""
}

// orphan returns whether a job that was accepted isn't cancelled although one before it is.
func (s *runState) orphan(needs []jobSet) bool {
	var cancelled jobSet
	for id, predecessors := range needs {
		job := &s.jobs[id]
		if job.version == 0 && job.answer == contentAbsent {
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

// settleFairly has the leader stay, read everything, and its cancellations be carried out, until nothing changes.
func (s *runState) settleFairly(missing runGuards) {
	s.open = [maxOpenTxns]runTxn{}
	for before := (runState{}); before != *s; {
		before = *s
		for id := range maxRunJobs {
			s.read(s.leader(), id, missing)
		}
		doomed := s.doomed(s.leader(), missing)
		for id := range maxRunJobs {
			if !doomed.has(id) || missing.retriesCancels && s.cancelsSent.has(id) {
				continue
			}
			s.cancelsSent = s.cancelsSent.with(id)
			s.carryOut(s.cancelTxn(s.leader(), id, s.term), missing)
		}
	}
}

// cancelTxn returns the transaction that cancels a job as a controller knows it.
func (s *runState) cancelTxn(controller, id int, term uint8) runTxn {
	return runTxn{kind: txnCancel, job: int8(id), version: s.views[controller][id].version, term: term}
}
