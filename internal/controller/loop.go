package controller

import "time"

// Loop is the one goroutine that owns all state. I/O goroutines only post to it.
type Loop struct {
	msgs  chan func()
	start time.Time
}

// maxQueue bounds the messages that wait.
const maxQueue = 4096

// NewLoop makes a loop; its steady clock starts now.
func NewLoop(start time.Time) *Loop {
	return &Loop{msgs: make(chan func(), maxQueue), start: start}
}

// Now is the steady clock.
func (l *Loop) Now() time.Duration { return time.Since(l.start) }

// Post hands over a message and waits for room: for answers to our own requests, whose
// number is bounded where they are sent.
func (l *Loop) Post(f func()) { l.msgs <- f }

// Offer hands over a message unless the queue is nearly full: for requests from outside.
func (l *Loop) Offer(f func()) bool {
	if len(l.msgs) > maxQueue/2 {
		return false
	}
	l.msgs <- f
	return true
}

// Run works through messages and calls tick at every step of the interval.
func (l *Loop) Run(every time.Duration, tick func(now time.Duration)) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case f := <-l.msgs:
			f()
		case <-t.C:
			tick(l.Now())
		}
	}
}
