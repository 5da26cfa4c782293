package licences

// Denial is why a task is denied its units. The zero value, Granted, means that it isn't denied.
type Denial uint8

// The denials.
const (
	Granted           Denial = iota
	UnknownPool              // the pool isn't declared on this controller
	NoFreeUnits              // all units are in use
	TeamLimitReached         // the units would exceed the team's limit
	ServerUnavailable        // the licence server's state is unknown
	LowerPriority            // units are free, but are kept for jobs of higher priority
)

// String returns the reason as text for users of the API.
func (d Denial) String() string {
	return [...]string{
		"granted", "no such licence pool", "no seat is free", "the team holds as many seats as it may",
		"the licence server does not answer", "free seats go to others first",
	}[d]
}

// noPool is the pool index that means no pool in a result.
const noPool int32 = -1

// Fits returns Granted and -1 if all of a number of further tasks may get their units now. If not, it returns the
// denial and the index of the pool that causes it.
func (l *Ledger) Fits(team int32, needs []Requirement, tasks int) (Denial, int32) {
	for _, requirement := range needs {
		pool := l.pool(requirement.Pool)
		if pool == nil {
			return UnknownPool, requirement.Pool
		}
		if denial := pool.fits(team, requirement.Units*tasks); denial != Granted {
			return denial, requirement.Pool
		}
	}
	return Granted, noPool
}

// fits returns Granted if a team may get a number of further units now, otherwise the denial.
func (p *poolState) fits(team int32, units int) Denial {
	if !p.server.isUsable() {
		return ServerUnavailable
	}
	if p.freeUnits() < units {
		return NoFreeUnits
	}
	usage := p.teams[team]
	if usage != nil && usage.Limit > 0 && usage.units+units > usage.Limit {
		return TeamLimitReached
	}
	return Granted
}

// Request is a live job that waits for licence units.
type Request struct {
	Job    int32         // dense index
	Team   int32         // dense index
	Needs  []Requirement // units that each task needs
	Tasks  int           // number of waiting tasks
	IsGang bool          // gang scheduling: all tasks must get their units at once
}

// Grant is the result of a Request: how many of its tasks may be planned and started and, if not all, the denial.
type Grant struct {
	Tasks  int
	Denial Denial
	Pool   int32 // index of the pool that causes the denial; -1: none
}

// limit returns how many of a number of tasks can get their units of one pool from the available ones. If that is not
// all tasks, it records the denial.
func (g *Grant) limit(tasks int, requirement Requirement, available int, denial Denial) int {
	fitting := max(0, available) / requirement.Units
	if fitting >= tasks {
		return tasks
	}
	g.Denial = denial
	g.Pool = requirement.Pool
	return fitting
}

// allocation is the remaining units of all pools during one call of Allocate.
type allocation struct {
	ledger    *Ledger
	freeUnits []int           // units neither in use nor granted, by pool
	teamUnits []map[int32]int // units in use or granted, by pool and team
}

// Allocate distributes the free units over the requests, which are in priority order, the highest first. It makes two
// rounds: the first for jobs within their team's guarantee, the second for all jobs. A gang that can't get all its
// units yet withholds free units of all its pools from the jobs after it. A gang never gets only a part of its units,
// so two gangs that need the same two pools can't deadlock.
func (l *Ledger) Allocate(requests []Request) []Grant {
	remaining := l.newAllocation()
	grants := make([]Grant, len(requests))
	for i := range grants {
		grants[i].Pool = noPool
	}
	for _, guaranteed := range []bool{true, false} {
		for i := range requests {
			remaining.grant(&requests[i], &grants[i], guaranteed)
		}
	}
	for i := range grants {
		if grants[i].Tasks >= requests[i].Tasks {
			grants[i].Denial = Granted
			grants[i].Pool = noPool
		} else if pool := l.pool(grants[i].Pool); pool != nil {
			pool.server.isAnswerAwaited = true
		}
	}
	return grants
}

func (l *Ledger) newAllocation() *allocation {
	a := &allocation{ledger: l}
	for _, pool := range l.pools {
		teamUnits := make(map[int32]int, len(pool.teams))
		for team, usage := range pool.teams {
			teamUnits[team] = usage.units
		}
		a.freeUnits = append(a.freeUnits, pool.freeUnits())
		a.teamUnits = append(a.teamUnits, teamUnits)
	}
	return a
}

// grant grants a job the tasks that fit in one round, in addition to those granted in an earlier round.
func (a *allocation) grant(request *Request, grant *Grant, guaranteed bool) {
	waiting := request.Tasks - grant.Tasks
	if waiting <= 0 || !a.areDeclared(request, grant) {
		return
	}
	tasks := a.grantable(request, waiting, guaranteed, grant)
	if request.IsGang && tasks < waiting {
		if !guaranteed {
			a.withhold(request)
		}
		return
	}
	a.allocate(request, tasks)
	grant.Tasks += tasks
}

// areDeclared reports whether all pools of a job are declared on this controller. If not, it records the denial.
func (a *allocation) areDeclared(request *Request, grant *Grant) bool {
	for _, requirement := range request.Needs {
		if a.ledger.pool(requirement.Pool) == nil {
			grant.Denial = UnknownPool
			grant.Pool = requirement.Pool
			return false
		}
	}
	return true
}

// grantable returns how many of a number of tasks can get their units in one round. If that is not all tasks, it
// records the denial. In the guaranteed round it returns 0 for a team without a guarantee for any of the pools.
func (a *allocation) grantable(request *Request, tasks int, guaranteed bool, grant *Grant) int {
	hasGuarantee := false
	for _, requirement := range request.Needs {
		pool := a.ledger.pools[requirement.Pool]
		quota := pool.quota(request.Team)
		used := a.teamUnits[requirement.Pool][request.Team]
		if guaranteed && quota.Guarantee > 0 {
			hasGuarantee = true
			tasks = grant.limit(tasks, requirement, quota.Guarantee-used, LowerPriority)
		}
		if quota.Limit > 0 {
			tasks = grant.limit(tasks, requirement, quota.Limit-used, TeamLimitReached)
		}
		tasks = grant.limit(tasks, requirement, a.freeUnits[requirement.Pool], pool.shortageReason(requirement.Units))
	}
	if guaranteed && !hasGuarantee {
		return 0
	}
	return tasks
}

// shortageReason returns the denial for a task that needs a number of units when too few remain.
func (p *poolState) shortageReason(units int) Denial {
	switch {
	case !p.server.isUsable():
		return ServerUnavailable
	case p.freeUnits() >= units:
		return LowerPriority
	}
	return NoFreeUnits
}

func (a *allocation) allocate(request *Request, tasks int) {
	if tasks == 0 {
		return
	}
	for _, requirement := range request.Needs {
		a.freeUnits[requirement.Pool] -= tasks * requirement.Units
		a.teamUnits[requirement.Pool][request.Team] += tasks * requirement.Units
	}
}

// withhold reserves free units for a waiting gang during the rest of the call. A gang that couldn't get its units
// even if there were no other holders withholds nothing.
func (a *allocation) withhold(request *Request) {
	for _, requirement := range request.Needs {
		if !a.canEverFit(request, requirement) {
			return
		}
	}
	for _, requirement := range request.Needs {
		a.freeUnits[requirement.Pool] = max(0, a.freeUnits[requirement.Pool]-requirement.Units*request.Tasks)
	}
}

// canEverFit reports whether all tasks of a gang could get their units of one pool: within the pool's units that
// aren't kept for outside holders and, together with the units the team has already, within the team's limit.
func (a *allocation) canEverFit(request *Request, requirement Requirement) bool {
	pool := a.ledger.pools[requirement.Pool]
	needed := requirement.Units * request.Tasks
	if needed > pool.totalUnits()-pool.outsideReserve {
		return false
	}
	limit := pool.quota(request.Team).Limit
	return limit <= 0 || a.teamUnits[requirement.Pool][request.Team]+needed <= limit
}
