package zones

import "time"

// WorkKind classifies work by the consequences of losing a machine.
type WorkKind uint8

// The kinds of work.
const (
	Array   WorkKind = iota // arrays: lost tasks are restarted one by one
	Gang                    // gangs: when one task is lost, all tasks of the gang are
	Service                 // services: their tasks stay on their machines
)

// AcceptsWork reports whether new work of a kind may be placed on the reachable machines of a zone: arrays always,
// gangs and later services as the zone recovers. A zone with flaps gets no gangs until it is healthy or
// Config.MaxProbation has passed since its return. Without this limit, after four flaps its machines would be idle for
// three minutes while gangs wait that can't run elsewhere.
func (z *Zones) AcceptsWork(now time.Duration, zone int32, kind WorkKind) bool {
	health := z.Zone(zone)
	isRecovering := health.State == Returning || health.State == OnProbation
	if isRecovering && z.cfg.MaxProbation > 0 && now-health.ReturnedAt >= z.cfg.MaxProbation {
		return true
	}
	switch kind {
	case Array:
		return true
	case Gang:
		if health.State == Healthy || health.State == Suspect {
			return true
		}
		return health.State != Lost && health.Flaps == 0
	}
	return health.State == Healthy
}

// AllowsRenting reports whether machines may be rented in a zone. It returns false if the zone is lost or returning, as
// new machines might be unreachable, and if the zone has flaps and is on probation.
func (z *Zones) AllowsRenting(zone int32) bool {
	health := z.Zone(zone)
	switch health.State {
	case Healthy, Suspect:
		return true
	case OnProbation:
		return health.Flaps == 0
	}
	return false
}

// RetainsMachines reports whether unreachable machines of a zone are to be retained. While the zone is lost, they are
// retained for maxRetention, after which replacing them is cheaper than waiting. Once the zone returns, they have
// Config.ReturnGrace to send a heartbeat.
func (z *Zones) RetainsMachines(now time.Duration, zone int32, maxRetention time.Duration) bool {
	health := z.Zone(zone)
	timeInState := now - health.Since
	switch health.State {
	case Lost:
		return timeInState < maxRetention
	case Returning:
		return true
	case OnProbation:
		return timeInState < z.cfg.ReturnGrace
	}
	return false
}
