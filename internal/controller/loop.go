package controller

import "time"

// messageClass orders the messages that wait for the event loop.
type messageClass uint8

// The classes, most urgent first: answers to our own requests, on which the authority to
// act depends; reports of workers, whose leases run; and users.
const (
	classOwnAnswer messageClass = iota
	classWorker
	classUser
	classCount
)

// Loop is the one goroutine that owns all state. I/O goroutines only post to it. A controller
// that falls behind works through its own answers first, then reports, then users: once the
// renewals of its hold stood in line with a thousand polls.
type Loop struct {
	msgs [classCount]chan func()
	now  func() time.Duration
}

// maxQueue bounds the messages that wait in each class. After a takeover the heartbeats of a whole fleet arrive within
// one interval: twice those of 4,000 machines fit.
const maxQueue = 8192

// NewLoop makes a loop on a steady clock.
func NewLoop(now func() time.Duration) *Loop {
	l := &Loop{now: now}
	for i := range l.msgs {
		l.msgs[i] = make(chan func(), maxQueue)
	}
	return l
}

// Now is the steady clock.
func (l *Loop) Now() time.Duration { return l.now() }

// Post hands over a message and waits for room: for answers to our own requests, whose
// number is bounded where they are sent.
func (l *Loop) Post(f func()) { l.msgs[classOwnAnswer] <- f }

// OfferWorker hands over a worker's report unless too many wait.
func (l *Loop) OfferWorker(f func()) bool { return l.offer(classWorker, f) }

// Offer hands over any other message from outside unless too many wait.
func (l *Loop) Offer(f func()) bool { return l.offer(classUser, f) }

func (l *Loop) offer(c messageClass, f func()) bool {
	select {
	case l.msgs[c] <- f:
		return true
	default:
		return false
	}
}

// next takes the most urgent message that waits, or nil.
func (l *Loop) next() func() {
	for _, ch := range l.msgs {
		select {
		case f := <-ch:
			return f
		default:
		}
	}
	return nil
}

// Run works through messages and calls tick at every step of the interval. Where a tick takes
// longer than that the next interval begins when it ends: messages still get as much time.
func (l *Loop) Run(every time.Duration, tick func(now time.Duration)) {
	t := time.NewTicker(every)
	defer t.Stop()
	beat := func() {
		began := l.Now()
		tick(began)
		if l.Now()-began >= every {
			t.Reset(every)
		}
	}
	for {
		select {
		case <-t.C:
			beat()
		default:
		}
		if f := l.next(); f != nil {
			f()
			continue
		}
		select {
		case <-t.C:
			beat()
		case f := <-l.msgs[classOwnAnswer]:
			f()
		case f := <-l.msgs[classWorker]:
			f()
		case f := <-l.msgs[classUser]:
			f()
		}
	}
}
