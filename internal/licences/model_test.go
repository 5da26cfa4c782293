package licences

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// environment is a model of the environment of a ledger: tasks on machines, a licence server with its own count,
// outside holders that use at most the units kept for them, and answers that are outdated when they arrive.
type environment struct {
	now          time.Duration
	pool         *Pool
	catalog      *Catalog
	ledger       *Ledger
	running      map[Holder]int // needed units of each running task
	nextJob      int32          // index of the last job started
	checkedOut   map[Holder]*serverCheckout
	outsideUnits int
	queries      []serverQuery // queries in flight, the oldest first
	maxCount     int           // highest count so far, under which tasks may have started
	maxInUse     int           // highest number of units in use so far
	ended        []endedTask   // tasks whose end isn't proven to the ledger yet
}

// serverCheckout is a checkout in the model of the server.
type serverCheckout struct {
	units     int
	expiresAt time.Duration // time at which a crashed holder's checkout ends; 0: the holder is running
}

type endedTask struct {
	Holder
	end End
}

// serverQuery is a query in flight, with the server's answer as of its send time.
type serverQuery struct {
	sentAt time.Duration
	answer Answer
}

func newEnvironment(pool *Pool) *environment {
	e := &environment{
		now:        time.Second,
		pool:       pool,
		catalog:    NewCatalog([]*Pool{pool}),
		running:    map[Holder]int{},
		checkedOut: map[Holder]*serverCheckout{},
		maxCount:   pool.Count,
	}
	e.ledger = New(e.catalog, singleTeam, e.now)
	return e
}

// actions returns the steps of the model. An action with several names is drawn more often.
func (e *environment) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"": func(t *rapid.T) { requireConsistentTotals(t, e.ledger) },
	}
	for _, action := range []struct {
		step  func(*rapid.T)
		names []string
	}{
		{e.start, []string{"start", "start more", "start still more"}},
		{e.checkOut, []string{"check out", "check out more", "check out still more", "check out again"}},
		{e.finish, []string{"finish"}},
		{e.crash, []string{"crash", "crash more"}},
		{e.proveEnd, []string{"prove end", "prove end more"}},
		{e.query, []string{"query", "query more"}},
		{e.answer, []string{"answer", "answer more"}},
		{e.changeOutsideUnits, []string{"change outside units"}},
		{e.restartServer, []string{"restart server"}},
		{e.advanceTime, []string{"advance time"}},
		{e.failOver, []string{"fail over"}},
		{e.reportAttempt, []string{"report attempt"}},
		{e.changeCount, []string{"change count"}},
	} {
		for _, name := range action.names {
			actions[name] = action.step
		}
	}
	return actions
}

func (e *environment) unitsInUse() int {
	units := e.outsideUnits
	for _, c := range e.checkedOut {
		units += c.units
	}
	return units
}

func needs(units int) []Unit { return []Unit{{0, units}} }

func (e *environment) start(t *rapid.T) {
	units := rapid.IntRange(1, 2).Draw(t, "units")
	if denial, _ := e.ledger.Fits(0, needs(units), 1); denial != Granted {
		t.Skip(denial.String())
	}
	e.nextJob++
	holder := Holder{TaskRef{e.nextJob, 0}, uint64(e.nextJob)}
	e.ledger.Acquire(e.now, holder.TaskRef, holder.Attempt, 0, needs(units), CheckedOut)
	e.running[holder] = units
}

func (e *environment) drawRunning(t *rapid.T) Holder {
	if len(e.running) == 0 {
		t.Skip("no running task")
	}
	holders := slices.SortedFunc(maps.Keys(e.running), func(a, b Holder) int { return int(a.Job - b.Job) })
	return rapid.SampledFrom(holders).Draw(t, "task")
}

// checkOut makes a running task check out its units, which happens some time after its launch.
func (e *environment) checkOut(t *rapid.T) {
	holder := e.drawRunning(t)
	if _, ok := e.checkedOut[holder]; ok {
		t.Skip("already checked out")
	}
	e.checkedOut[holder] = &serverCheckout{units: e.running[holder]}
	inUse := e.unitsInUse()
	if inUse > e.maxCount {
		t.Fatalf("got %d units in use, want at most %d", inUse, e.maxCount)
	}
	e.maxInUse = max(e.maxInUse, inUse)
}

func (e *environment) finish(t *rapid.T) {
	holder := e.drawRunning(t)
	delete(e.running, holder)
	delete(e.checkedOut, holder)
	e.ended = append(e.ended, endedTask{holder, CleanExit})
}

func (e *environment) crash(t *rapid.T) {
	holder := e.drawRunning(t)
	delete(e.running, holder)
	if c := e.checkedOut[holder]; c != nil {
		c.expiresAt = e.now + e.pool.ReleaseTimeout
	}
	e.ended = append(e.ended, endedTask{holder, Crashed})
}

// proveEnd releases a task whose end is proven: by a fenced heartbeat, the cloud's confirmation or a lease expiry.
func (e *environment) proveEnd(t *rapid.T) {
	if len(e.ended) == 0 {
		t.Skip("no ended task without proof")
	}
	task := e.ended[0]
	e.ended = e.ended[1:]
	e.ledger.Release(e.now, task.TaskRef, needs(1), task.end)
}

func (e *environment) query(*rapid.T) {
	if len(e.ledger.StartDueQueries(e.now)) == 0 {
		return
	}
	answer := Answer{Holders: []AnswerHolder{}}
	for holder, c := range e.checkedOut {
		entry := AnswerHolder{Task: taskName(holder), Attempt: holder.Attempt, Units: c.units}
		answer.Holders = append(answer.Holders, entry)
	}
	if e.outsideUnits > 0 {
		answer.Holders = append(answer.Holders, AnswerHolder{Task: "outside", Units: e.outsideUnits})
	}
	e.queries = append(e.queries, serverQuery{e.now, answer})
}

func (e *environment) answer(t *rapid.T) {
	if len(e.queries) == 0 {
		t.Skip("no query in flight")
	}
	query := e.queries[0]
	e.queries = e.queries[1:]
	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		e.ledger.QueryFailed(e.pool.Name)
		return
	}
	e.ledger.ApplyAnswer(e.now, query.sentAt, e.pool.Name, query.answer, taskByName)
}

// changeOutsideUnits makes an outside holder check out or return one unit, within the units kept for outside holders.
func (e *environment) changeOutsideUnits(t *rapid.T) {
	if rapid.Bool().Draw(t, "check out") && e.outsideUnits < e.pool.OutsideReserve {
		e.outsideUnits++
	} else {
		e.outsideUnits = max(0, e.outsideUnits-1)
	}
}

// restartServer makes the server lose all its checkouts. The tasks check out their units again later.
func (e *environment) restartServer(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
		t.Skip("not now")
	}
	clear(e.checkedOut)
}

func (e *environment) advanceTime(t *rapid.T) {
	ms := rapid.SampledFrom([]int{1, 50, 150, 300, 900, 2500}).Draw(t, "ms")
	e.now += time.Duration(ms) * time.Millisecond
	for holder, c := range e.checkedOut {
		if c.expiresAt > 0 && e.now >= c.expiresAt {
			delete(e.checkedOut, holder)
		}
	}
	e.ledger.Tick(e.now, time.Unix(0, 0))
}

// failOver starts a new leader's term. Its ledger contains the tasks that may be running, but not their attempts.
func (e *environment) failOver(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "rarely") > 0 {
		t.Skip("not now")
	}
	e.ledger = New(e.catalog, singleTeam, e.now)
	e.queries = nil
	for holder, units := range e.running {
		e.ledger.Acquire(e.now, holder.TaskRef, 0, 0, needs(units), CheckedOut)
	}
	for _, task := range e.ended {
		e.ledger.Acquire(e.now, task.TaskRef, 0, 0, needs(3), CheckedOut)
	}
}

func (e *environment) reportAttempt(t *rapid.T) {
	holder := e.drawRunning(t)
	e.ledger.SetAttempt(e.now, holder.TaskRef, holder.Attempt, needs(1))
}

// changeCount sets another count. Tasks that started under a higher count keep running.
func (e *environment) changeCount(t *rapid.T) {
	e.pool.Count = rapid.IntRange(3, 6).Draw(t, "count")
	e.maxCount = max(e.maxCount, e.pool.Count)
}

// endAll ends all tasks with proof, returns the outside holders' units, and queries the server for another 40 s.
func (e *environment) endAll(t *rapid.T) {
	for holder := range e.running {
		e.ended = append(e.ended, endedTask{holder, CleanExit})
	}
	clear(e.running)
	clear(e.checkedOut)
	e.outsideUnits = 0
	for _, task := range e.ended {
		e.ledger.Release(e.now, task.TaskRef, needs(1), task.end)
	}
	e.queries = nil
	e.ledger.QueryFailed(e.pool.Name)
	for range 20 {
		e.now += 2 * time.Second
		e.ledger.Tick(e.now, time.Unix(0, 0))
		e.query(t)
		for _, query := range e.queries {
			e.ledger.ApplyAnswer(e.now+time.Millisecond, query.sentAt, e.pool.Name, query.answer, taskByName)
		}
		e.queries = nil
	}
}

// In any order of starts, ends, crashes, answers and failovers, the units in use never exceed the highest count so
// far. After all tasks have ended, every unit that isn't kept for outside holders is free again.
func TestUnitsInUseNeverExceedCount(t *testing.T) {
	maxInUse := 0
	rapid.Check(t, func(t *rapid.T) {
		pool := &Pool{
			Name:           "p",
			Count:          4,
			Server:         "s",
			Poll:           100 * time.Millisecond,
			ReleaseTimeout: 5 * time.Second,
			OutsideReserve: rapid.IntRange(0, 2).Draw(t, "reserve"),
			OnCountLowered: WaitForRelease,
		}
		e := newEnvironment(pool)
		e.query(t)
		e.answer(t)
		t.Repeat(e.actions())
		maxInUse = max(maxInUse, e.maxInUse)
		e.endAll(t)
		if free := e.ledger.pools[0].freeUnits(); free != pool.Count-pool.OutsideReserve {
			view := e.ledger.View(e.now, 0, func(int32) string { return "" })
			t.Fatalf("after all tasks ended: got %d free units, want %d: %+v", free, pool.Count-pool.OutsideReserve, view)
		}
	})
	if maxInUse < 6 {
		t.Fatalf("got at most %d units in use, want 6 at least: the pool was never full", maxInUse)
	}
}

// requireConsistentTotals fails the test if a pool's totals differ from a recount of its checkouts.
func requireConsistentTotals(t *rapid.T, l *Ledger) {
	t.Helper()
	for _, pool := range l.pools {
		var unitsByState [stateCount]int
		counted, unconfirmed, missing := 0, 0, 0
		teams := map[int32]int{}
		for holder, c := range pool.checkouts {
			unitsByState[c.state] += c.units
			counted += max(c.units, c.reportedUnits)
			if c.state != Free {
				teams[c.team] += c.units
			}
			if c.state == CheckedOut && holder.Attempt == 0 {
				unconfirmed += c.units
			}
			if c.isMissing {
				missing++
			}
			if (c.state == CheckedOut || c.state == Reserved) != (pool.active[holder.TaskRef] == holder) {
				t.Fatalf("checkout of %v: got state %s, active attempt %v, want it active only if Reserved or CheckedOut",
					holder, c.state, pool.active[holder.TaskRef])
			}
		}
		if unitsByState != pool.unitsByState || counted != pool.countedUnits ||
			unconfirmed != pool.unconfirmedUnits || missing != pool.server.missingCheckouts {
			t.Fatalf("got units by state %v, counted %d, unconfirmed %d, missing checkouts %d, want %v, %d, %d, %d",
				pool.unitsByState, pool.countedUnits, pool.unconfirmedUnits, pool.server.missingCheckouts,
				unitsByState, counted, unconfirmed, missing)
		}
		for team, usage := range pool.teams {
			if usage.units != teams[team] {
				t.Fatalf("team %d: got %d units, want %d", team, usage.units, teams[team])
			}
		}
	}
}
