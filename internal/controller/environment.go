package controller

import (
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
)

// Environment provides a controller's clocks, random seed and outgoing connections.
type Environment struct {
	// Now returns the time on a monotonic clock. EpochMS is the wall-clock time at which the monotonic clock was 0,
	// in milliseconds since 1970.
	Now     func() time.Duration
	EpochMS int64
	Seed    uint64
	// Sender returns a sender with at most limit requests in flight. If Sender is nil, requests go over sockets.
	Sender func(limit int) httpio.Sender
}
