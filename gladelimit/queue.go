package gladelimit

import (
	"container/heap"
	"context"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// waiter is one queued request.
type waiter struct {
	organisation *organisation
	// finish orders the queue; it is the virtual time at which fair service would end the request.
	finish float64
	index  int
	ready  chan struct{}
}

// queue is a heap of waiters by virtual finishing time.
type queue struct {
	waiters []*waiter
	// virtual is the finishing time of the request served last.
	virtual float64
}

func (q *queue) Len() int           { return len(q.waiters) }
func (q *queue) Less(i, j int) bool { return q.waiters[i].finish < q.waiters[j].finish }
func (q *queue) Swap(i, j int) {
	q.waiters[i], q.waiters[j] = q.waiters[j], q.waiters[i]
	q.waiters[i].index, q.waiters[j].index = i, j
}

// Push adds a waiter, for container/heap.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(q.waiters)
	q.waiters = append(q.waiters, w)
}

// Pop removes the last waiter, for container/heap.
func (q *queue) Pop() any {
	last := len(q.waiters) - 1
	w := q.waiters[last]
	q.waiters[last] = nil
	q.waiters = q.waiters[:last]
	w.index = -1
	return w
}

// enqueue adds a waiter unless the queue is full or the wait would be too long.
func (l *Limiter) enqueue(ctx context.Context, o *organisation, m *Limits) (*waiter, error) {
	if l.queue.Len() >= l.config.MaxQueued || float64(o.queued) >= l.config.QueueShare*float64(l.config.MaxQueued) {
		l.counts.Overloaded++
		return nil, limited(gladeapi.CodeOverloaded, l.expected(l.queue.Len()), "%d requests are waiting", l.queue.Len())
	}
	weight := m.Weight
	if weight <= 0 {
		weight = 1
	}
	w := &waiter{organisation: o, finish: max(l.queue.virtual, o.finish) + 1/weight, ready: make(chan struct{})}
	expected := l.expected(l.ahead(w))
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < expected+l.service {
		l.counts.TooLate++
		return nil, limited(gladeapi.CodeDeadline, expected, "the expected wait of %s leaves too little time", expected.Round(time.Millisecond))
	}
	o.finish = w.finish
	o.queued++
	l.counts.Queued++
	heap.Push(&l.queue, w)
	return w, nil
}

// ahead returns how many waiters are served before w.
func (l *Limiter) ahead(w *waiter) int {
	n := 0
	for _, other := range l.queue.waiters {
		if other.finish <= w.finish {
			n++
		}
	}
	return n
}

// expected returns the time until a request with some others ahead of it starts.
func (l *Limiter) expected(ahead int) time.Duration {
	return l.service * time.Duration(ahead+1) / time.Duration(l.config.MaxRunning)
}

// dispatch starts waiters while there is room.
func (l *Limiter) dispatch() {
	for l.running < l.config.MaxRunning && l.queue.Len() > 0 {
		w := heap.Pop(&l.queue).(*waiter)
		l.queue.virtual = max(l.queue.virtual, w.finish)
		w.organisation.queued--
		l.start(w.organisation)
		close(w.ready)
	}
}

// wait returns when the waiter was started, or gives its place up when ctx is done.
func (l *Limiter) wait(ctx context.Context, w *waiter) error {
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.index < 0 {
		l.running--
		w.organisation.running--
		l.counts.Admitted--
		l.dispatch()
	} else {
		heap.Remove(&l.queue, w.index)
		w.organisation.queued--
	}
	l.counts.TooLate++
	return limited(gladeapi.CodeDeadline, l.expected(l.queue.Len()), "the deadline passed in the queue")
}
