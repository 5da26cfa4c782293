package sessions

import (
	"container/heap"
	"time"
)

// queue holds sessions by when they are to be looked at next, so that a tick costs nothing for
// those that are not due.
type queue []*session

func (q queue) Len() int           { return len(q) }
func (q queue) Less(a, b int) bool { return q[a].due < q[b].due }
func (q queue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].place, q[b].place = a, b
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	s := x.(*session)
	s.place = len(*q)
	*q = append(*q, s)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	s.place = -1
	return s
}

// at has a session looked at, at the latest, at a time.
func (q *queue) at(s *session, due time.Duration) {
	s.due = due
	if s.place < 0 {
		heap.Push(q, s)
	} else {
		heap.Fix(q, s.place)
	}
}

func (q *queue) remove(s *session) {
	if s.place >= 0 {
		heap.Remove(q, s.place)
	}
}
