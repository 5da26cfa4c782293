package controller

import "time"

// messageClass is the urgency of a message that waits for the event loop.
type messageClass uint8

// The classes, most urgent first.
const (
	classOwnAnswer messageClass = iota // answers to our own requests, on which the authority to act depends
	classWorker                        // heartbeats of workers, whose leases run
	classUser
	classCount
)

// Loop is the event loop: one goroutine owns all state, I/O goroutines only post to it. A controller that falls behind
// handles its own answers first, then heartbeats, then users. Without classes, lease renewals would wait behind
// thousands of polls.
type Loop struct {
	messages [classCount]chan func()
	now      func() time.Duration
}

// maxQueue bounds the messages that wait in each class. After a failover the heartbeats of a whole fleet arrive within
// one interval: twice those of 4,000 machines fit.
const maxQueue = 8192

// NewLoop makes a loop on a steady clock.
func NewLoop(now func() time.Duration) *Loop {
	l := &Loop{now: now}
	for class := range l.messages {
		l.messages[class] = make(chan func(), maxQueue)
	}
	return l
}

// Now returns the time on the steady clock.
func (l *Loop) Now() time.Duration { return l.now() }

// Post queues an answer to one of our own requests. It blocks while the queue is full: the number of requests is
// bounded where they are sent.
func (l *Loop) Post(message func()) { l.messages[classOwnAnswer] <- message }

// OfferWorker queues a worker's heartbeat. It returns false if the queue is full.
func (l *Loop) OfferWorker(message func()) bool { return l.offer(classWorker, message) }

// Offer queues any other message from outside. It returns false if the queue is full.
func (l *Loop) Offer(message func()) bool { return l.offer(classUser, message) }

func (l *Loop) offer(class messageClass, message func()) bool {
	select {
	case l.messages[class] <- message:
		return true
	default:
		return false
	}
}

// next removes and returns the most urgent message that waits, or nil.
func (l *Loop) next() func() {
	for _, queue := range l.messages {
		select {
		case message := <-queue:
			return message
		default:
		}
	}
	return nil
}

// Run handles messages and calls tick at each interval, for ever. Where a tick takes longer than the interval, the next
// interval begins when the tick ends: messages still get as much time.
func (l *Loop) Run(interval time.Duration, tick func(now time.Duration)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	runTick := func() {
		startedAt := l.Now()
		tick(startedAt)
		if l.Now()-startedAt >= interval {
			ticker.Reset(interval)
		}
	}
	for {
		select {
		case <-ticker.C:
			runTick()
		default:
		}
		if message := l.next(); message != nil {
			message()
			continue
		}
		select {
		case <-ticker.C:
			runTick()
		case message := <-l.messages[classOwnAnswer]:
			message()
		case message := <-l.messages[classWorker]:
			message()
		case message := <-l.messages[classUser]:
			message()
		}
	}
}
