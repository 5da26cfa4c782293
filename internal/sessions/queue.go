package sessions

import (
	"container/heap"
	"time"
)

// queue holds sessions by when they are to be looked at next, so that a tick costs nothing for
// those that are not due.
type queue []*session

func (q queue) Len() int           { return len(q) }
func (q queue) Less(a, b int) bool { return q[a].dueAt < q[b].dueAt }
func (q queue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].queueIndex, q[b].queueIndex = a, b
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
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	s.queueIndex = -1
	return s
}

// schedule has a session looked at, at the latest, at a time.
func (q *queue) schedule(s *session, due time.Duration) {
	s.dueAt = due
	if s.queueIndex < 0 {
		heap.Push(q, s)
	} else {
		heap.Fix(q, s.queueIndex)
	}
}

func (q *queue) remove(s *session) {
	if s.queueIndex >= 0 {
		heap.Remove(q, s.queueIndex)
	}
}
