package capacity

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

const (
	// maxBootSamples is how many boots of a type in a zone are remembered.
	maxBootSamples = 16
	// minBootSamples is how many it takes to expect anything but the default.
	minBootSamples = 4
)

// How bootTimes.expected follows from the cloud's usual boot time, in seconds, and from recent boots. Boots take 0.6 to
// 1.5 times the usual time, and some several times.
const (
	// Without enough samples: a multiple of the usual time, and a constant.
	defaultBootFactor = 2.2
	defaultBootExtraS = 10
	// With them: a multiple of what nine of ten took, between two bounds.
	ninthDecileFactor = 1.25
	minExpectedFactor = 1.5 // of the usual time, plus minExpectedExtraS
	minExpectedExtraS = 5
	maxExpectedFactor = 4 // of the time without samples
)

// pendingBoot is a machine that was rented and has sent no heartbeat yet.
type pendingBoot struct {
	offer
	startedAt time.Duration
}

// bootKind is what boot times depend on.
type bootKind struct{ typeIndex, zone int32 }

// bootKind returns what the boot time of a machine of an offer depends on.
func (o offer) bootKind() bootKind { return bootKind{typeIndex: o.typeIndex, zone: o.zone} }

// bootTimes are the durations of recent boots, in seconds, the newest last.
type bootTimes map[bootKind][]float64

// record adds a boot that has completed.
func (b bootTimes) record(o offer, duration time.Duration) {
	kind := o.bootKind()
	samples := append(b[kind], duration.Seconds())
	b[kind] = samples[max(0, len(samples)-maxBootSamples):]
}

// expected is the time within which a boot usually completes: a quarter more than nine of ten recent boots of its
// kind took. With too few samples it follows from bootS, the cloud's usual time.
func (b bootTimes) expected(o offer, bootS float64) time.Duration {
	defaultS := defaultBootFactor*bootS + defaultBootExtraS
	samples := b[o.bootKind()]
	if len(samples) < minBootSamples {
		return jobs.Seconds(defaultS)
	}
	sorted := slices.Clone(samples)
	sort.Float64s(sorted)
	ninthDecile := sorted[len(sorted)*9/10]
	atLeastS := minExpectedFactor*bootS + minExpectedExtraS
	return jobs.Seconds(min(max(ninthDecileFactor*ninthDecile, atLeastS), maxExpectedFactor*defaultS))
}

// timeout is when a boot is abandoned and its machine returned: after waiting as long beyond the expected time as
// another boot takes, so that neither waiting for one that never completes nor abandoning one that would complete
// late costs more than twice the best choice.
func (b bootTimes) timeout(o offer, bootS float64) time.Duration { return 2 * b.expected(o, bootS) }

// evaluateBoots records the boots that have completed, and returns the machines of those that have timed out.
func (m *Manager) evaluateBoots(now time.Duration) {
	for name, boot := range m.boots {
		elapsed := now - boot.startedAt
		if machine := m.Fleet.FindMachine(name); machine != nil && machine.Session > 0 {
			m.bootTimes.record(boot.offer, elapsed)
			delete(m.boots, name)
			continue
		}
		machineType := m.machineType(boot.typeIndex)
		if machineType != nil && elapsed > m.bootTimes.timeout(boot.offer, machineType.BootS) {
			m.toReturn[name] = causeBootTimeout
		}
	}
}

// overdueGroup is the boots of one offer that are overdue.
type overdueGroup struct {
	names      []string
	maxOverdue time.Duration
}

// overdueBoots returns the boots that don't count as capacity any more. Those of one offer are replaced one after
// the other, over as long again as the expected time: where a whole batch is late together, replacing all at once
// would pay for both.
func (m *Manager) overdueBoots(now time.Duration) map[string]bool {
	replaced := map[string]bool{}
	for o, group := range m.groupOverdue(now) {
		expected := m.bootTimes.expected(o, m.machineType(o.typeIndex).BootS)
		share := float64(group.maxOverdue) / float64(expected)
		count := int(math.Ceil(share * float64(len(group.names))))
		sort.Strings(group.names)
		for _, name := range group.names[:min(len(group.names), count)] {
			replaced[name] = true
		}
	}
	return replaced
}

// groupOverdue returns the boots that take longer than expected, by offer.
func (m *Manager) groupOverdue(now time.Duration) map[offer]*overdueGroup {
	groups := map[offer]*overdueGroup{}
	for name, boot := range m.boots {
		machineType := m.machineType(boot.typeIndex)
		if machineType == nil {
			continue
		}
		overdue := now - boot.startedAt - m.bootTimes.expected(boot.offer, machineType.BootS)
		if overdue <= 0 {
			continue
		}
		group := groups[boot.offer]
		if group == nil {
			group = &overdueGroup{}
			groups[boot.offer] = group
		}
		group.names = append(group.names, name)
		group.maxOverdue = max(group.maxOverdue, overdue)
	}
	return groups
}

// Booting returns how many machines that a job may use are booting, and in how many seconds the first is expected,
// 0 if it is overdue.
func (m *Manager) Booting(now time.Duration, job *jobs.Job) (count int, nextS float64) {
	nextS = math.Inf(1)
	for _, boot := range m.boots {
		machineType := m.machineType(boot.typeIndex)
		if machineType == nil || !boot.allowedFor(job) || !job.Spec.Size().Fits(machineType.Size()) {
			continue
		}
		count++
		remaining := machineType.BootS - (now - boot.startedAt).Seconds()
		nextS = min(nextS, max(0, remaining))
	}
	if count == 0 {
		return 0, 0
	}
	return count, nextS
}
