package controller

import "time"

// messageClass is the priority of a message in the event loop's queues.
type messageClass uint8

// The message classes, highest priority first.
const (
	classResponse messageClass = iota // responses to this controller's requests, on which its authority to act depends
	classWorker                       // heartbeats of workers, which renew the workers' leases
	classUser
	classCount
)

// Loop is the event loop: one goroutine owns all state, and I/O goroutines only post messages to it. A controller
// that falls behind handles responses to its own requests first, then heartbeats, then users' requests. Without the
// classes, lease renewals would wait behind thousands of polls.
type Loop struct {
	messages [classCount]chan func()
	now      func() time.Duration
}

// maxQueuedMessages is the capacity of each class's queue. After a failover the heartbeats of a whole fleet arrive
// within one interval: the queue holds two of each of 4,000 machines.
const maxQueuedMessages = 8192

// NewLoop returns an event loop that runs on a monotonic clock.
func NewLoop(now func() time.Duration) *Loop {
	l := &Loop{now: now}
	for class := range l.messages {
		l.messages[class] = make(chan func(), maxQueuedMessages)
	}
	return l
}

// Now returns the time on the monotonic clock.
func (l *Loop) Now() time.Duration { return l.now() }

// Post queues the response to one of this controller's requests. It blocks while the queue is full; the senders limit
// the number of requests.
func (l *Loop) Post(message func()) { l.messages[classResponse] <- message }

// OfferWorker queues a worker's heartbeat. It returns false if the queue is full.
func (l *Loop) OfferWorker(message func()) bool { return l.offer(classWorker, message) }

// Offer queues any other message from outside the controller. It returns false if the queue is full.
func (l *Loop) Offer(message func()) bool { return l.offer(classUser, message) }

func (l *Loop) offer(class messageClass, message func()) bool {
	select {
	case l.messages[class] <- message:
		return true
	default:
		return false
	}
}

// next removes and returns the queued message with the highest priority, or nil if there is none.
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

// Run handles messages and calls tick at each interval. It never returns. If a tick takes longer than the interval,
// the next interval begins when the tick ends, so that messages still get as much time.
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
		case message := <-l.messages[classResponse]:
			message()
		case message := <-l.messages[classWorker]:
			message()
		case message := <-l.messages[classUser]:
			message()
		}
	}
}
