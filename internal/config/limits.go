package config

// ControllerLimits holds the limits of the machine that the controller itself runs on; nil means not given. Below the
// validated bounds a controller can't serve at all: it needs baseMemoryMB before any machine or job exists, and a
// connection for each outside system and controller.
type ControllerLimits struct {
	Cores   *float64 `json:"cores" validate:"omitnil,gt=0"`
	MemMB   *float64 `json:"mem_mb" validate:"omitnil,gte=24"`
	Sockets *int     `json:"sockets" validate:"omitnil,gte=32"`
}

// Limits that are assumed if the settings don't give them.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 512.0
	defaultSockets  = 1024
)

// MaxBody is the protocol's bound on a request's body, in bytes.
const MaxBody = 64 << 10

const (
	bytesPerMB = 1 << 20
	// bodiesMemoryShare is the share of memory that the request bodies of all connections may take together.
	bodiesMemoryShare = 0.6
	// queueMemoryShare is the share of memory that submissions waiting to be stored may take.
	queueMemoryShare = 0.03
	// tasksPerMB is how many unfinished tasks are admitted for each MB: a task takes about 80 bytes, and twice that
	// while plans are read after a failover.
	tasksPerMB = 2000
	// incomingSocketPercent of the sockets are for incoming connections, and keepAlivePercent of the incoming
	// connections may be kept open. outgoingSocketPercent of the sockets are for requests to one kind of outside system.
	incomingSocketPercent = 70
	keepAlivePercent      = 75
	outgoingSocketPercent = 10
	// minOutgoing is the number of requests to one kind of outside system that may always be in flight.
	minOutgoing = 4
)

// UsableCores returns the number of cores that may be used.
func (l ControllerLimits) UsableCores() float64 { return valueOr(l.Cores, defaultCores) }

// MemoryLimitMB returns the memory that may be used, in MB.
func (l ControllerLimits) MemoryLimitMB() float64 { return valueOr(l.MemMB, defaultMemoryMB) }

func (l ControllerLimits) maxSockets() int { return valueOr(l.Sockets, defaultSockets) }

// MaxConns returns the maximum number of incoming connections. Even if all hold a request body of the largest size at
// the same time, these take at most bodiesMemoryShare of the memory.
func (l ControllerLimits) MaxConns() int {
	bySockets := l.maxSockets() * incomingSocketPercent / 100
	byMemory := int(l.MemoryLimitMB() * bodiesMemoryShare * bytesPerMB / MaxBody)
	return max(1, min(bySockets, byMemory))
}

// KeepAliveConns returns the number of open connections up to which workers' connections are kept open after a
// response. The rest is left for new connections: of users, whom the load balancer spreads over all controllers, and of
// health checks.
func (l ControllerLimits) KeepAliveConns() int { return max(1, l.MaxConns()*keepAlivePercent/100) }

// MaxOutgoing returns how many requests to one kind of outside system may be in flight: limit, or fewer if sockets are
// scarce, but at least minOutgoing.
func (l ControllerLimits) MaxOutgoing(limit int) int {
	return max(minOutgoing, min(limit, l.maxSockets()*outgoingSocketPercent/100))
}

// MaxTasks returns the number of unfinished tasks up to which jobs are admitted.
func (l ControllerLimits) MaxTasks() int { return int(l.MemoryLimitMB() * tasksPerMB) }

// MaxQueueBytes returns the maximum total size of the submissions that wait to be stored, in bytes.
func (l ControllerLimits) MaxQueueBytes() int {
	return int(l.MemoryLimitMB() * queueMemoryShare * bytesPerMB)
}

func valueOr[T any](value *T, fallback T) T {
	if value != nil {
		return *value
	}
	return fallback
}
