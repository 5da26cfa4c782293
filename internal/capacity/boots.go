package capacity

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

const (
	// maxBootSamples is the number of recent boot times that are kept for each type in each zone.
	maxBootSamples = 16
	// minBootSamples is the number of boot times below which the default is expected.
	minBootSamples = 4
)

// Parameters of bootTimes.expected, which follows from the cloud's usual boot time in seconds and from recent boots.
// Most boots take 0.6 to 1.5 times the usual time; some take several times as long.
const (
	// With fewer than minBootSamples, the expected time is a multiple of the usual time plus a constant.
	defaultBootFactor = 2.2
	defaultBootExtraS = 10
	// With enough samples, the expected time is a multiple of the ninth decile, between a minimum and a maximum.
	ninthDecileFactor = 1.25
	minExpectedFactor = 1.5 // multiple of the usual time, to which minExpectedExtraS is added
	minExpectedExtraS = 5
	maxExpectedFactor = 4 // multiple of the expected time without samples
)

// pendingBoot is a machine that was rented and has sent no heartbeat yet.
type pendingBoot struct {
	offer
	startedAt time.Duration
}

// bootKind is the machine type and zone that boot times are grouped by.
type bootKind struct{ typeIndex, zone int32 }

// bootKind returns the group of the offer's boot times.
func (o offer) bootKind() bootKind { return bootKind{typeIndex: o.typeIndex, zone: o.zone} }

// bootTimes are the durations of recent boots, in seconds, the newest last.
type bootTimes map[bootKind][]float64

// record adds the duration of a completed boot and drops the oldest beyond maxBootSamples.
func (b bootTimes) record(o offer, duration time.Duration) {
	kind := o.bootKind()
	samples := append(b[kind], duration.Seconds())
	b[kind] = samples[max(0, len(samples)-maxBootSamples):]
}

// expected returns the time within which a boot of an offer usually completes: a quarter more than the ninth decile
// of recent boots of its kind. With too few samples the time follows from bootS, the cloud's usual time in seconds.
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

// timeout returns how long a boot may take before its machine is returned. The wait beyond the expected time is as long
// as another boot takes. So waiting for a boot that never completes, and abandoning a boot that would complete late,
// each cost at most twice the best choice.
func (b bootTimes) timeout(o offer, bootS float64) time.Duration { return 2 * b.expected(o, bootS) }

// evaluateBoots records the boots that have completed, and marks the machines whose boots have timed out for return.
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

// overdueGroup holds the overdue boots of one offer.
type overdueGroup struct {
	names      []string      // names of the machines
	maxOverdue time.Duration // longest time that one of the boots has taken beyond the expected time
}

// overdueBoots returns the names of the booting machines that no longer count as capacity, so that they are replaced.
// The overdue boots of an offer are replaced gradually, over the expected time once more: if a whole batch is late,
// replacing all machines at once would pay for both batches.
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

// groupOverdue returns the boots that have taken longer than expected, by offer.
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

// BootingMachines returns the number of booting machines that a job may use, and the seconds until the first of them is
// expected to be up. nextS is 0 if that boot is overdue or no such machine is booting.
func (m *Manager) BootingMachines(now time.Duration, job *jobs.Job) (count int, nextS float64) {
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
