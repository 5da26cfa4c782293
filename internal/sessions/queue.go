package sessions

import (
	"container/heap"
	"time"
)

// queue is a heap of sessions by dueAt, so that a tick costs nothing for sessions that aren't due.
type queue []*session

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(a, b int) bool { return q[a].dueAt < q[b].dueAt }

// Swap implements heap.Interface.
func (q queue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].queueIndex = a
	q[b].queueIndex = b
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	s := x.(*session)
	s.queueIndex = len(*q)
	*q = append(*q, s)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := len(old) - 1
	s := old[last]
	old[last] = nil
	*q = old[:last]
	s.queueIndex = -1
	return s
}

// schedule sets the time at which a session is due, in place of its former time.
func (q *queue) schedule(s *session, dueAt time.Duration) {
	s.dueAt = dueAt
	if s.queueIndex < 0 {
		heap.Push(q, s)
	} else {
		heap.Fix(q, s.queueIndex)
	}
}

// remove removes a session if it is queued.
func (q *queue) remove(s *session) {
	if s.queueIndex >= 0 {
		heap.Remove(q, s.queueIndex)
	}
}
