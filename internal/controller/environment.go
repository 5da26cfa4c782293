package controller

import (
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
)

// Environment is a controller's clocks, randomness and outgoing connections.
type Environment struct {
	// Now is a steady clock, EpochMS the wall clock in milliseconds since 1970 when the steady one stood at 0.
	Now     func() time.Duration
	EpochMS int64
	Seed    uint64
	// Sender makes a sender with at most limit requests in flight; nil: over sockets.
	Sender func(limit int) httpio.Sender
}
