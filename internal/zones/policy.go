package zones

import "time"

// WorkKind is a kind of work, by what is lost with a machine.
type WorkKind uint8

// The kinds of work.
const (
	Array   WorkKind = iota // each task is restarted by itself
	Gang                    // gangs: all tasks are lost with one
	Service                 // services: their tasks stay where they are
)

// AcceptsWork reports whether new work of a kind may go to reachable machines of a zone: restartable work
// always, gangs and then services as the zone recovers. A zone that flaps gets no gangs before it is healthy, but
// not for longer than Config.MaxProbation: after four flaps its machines would be idle for three minutes beside
// gangs that can run nowhere else.
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

// AllowsRenting reports whether machines may be rented in a zone: not where they would be unreachable, nor where it has
// flapped and is still on probation.
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

// RetainsMachines reports whether an unreachable machine of a zone is to be retained. While the zone is lost
// that is so for maxRetention, after which a replacement is cheaper than the wait; once the zone returns the
// machine has Config.ReturnGrace to send a heartbeat.
func (z *Zones) RetainsMachines(now time.Duration, zone int32, maxRetention time.Duration) bool {
	health := z.Zone(zone)
	inState := now - health.Since
	switch health.State {
	case Lost:
		return inState < maxRetention
	case Returning:
		return true
	case OnProbation:
		return inState < z.cfg.ReturnGrace
	}
	return false
}
