package gladelimit

import (
	"container/heap"
	"context"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// waiter is a queued request.
type waiter struct {
	organisation *organisation
	// finish is the virtual finish time, by which the queue is ordered.
	finish float64
	// index is the position in the heap, or -1 once the request has started.
	index int
	// ready is closed when the request starts.
	ready chan struct{}
}

// queue is a weighted fair queue: a heap of waiters by virtual finish time.
type queue struct {
	waiters []*waiter
	// virtual is the virtual finish time of the request that started last.
	virtual float64
}

func (q *queue) Len() int           { return len(q.waiters) }
func (q *queue) Less(i, j int) bool { return q.waiters[i].finish < q.waiters[j].finish }
func (q *queue) Swap(i, j int) {
	q.waiters[i], q.waiters[j] = q.waiters[j], q.waiters[i]
	q.waiters[i].index, q.waiters[j].index = i, j
}

// Push adds a waiter; it is part of heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(q.waiters)
	q.waiters = append(q.waiters, w)
}

// Pop removes the last waiter; it is part of heap.Interface.
func (q *queue) Pop() any {
	last := len(q.waiters) - 1
	w := q.waiters[last]
	q.waiters[last] = nil
	q.waiters = q.waiters[:last]
	w.index = -1
	return w
}

// enqueue adds a waiter unless the queue or the organisation's part of it is full, or the deadline would pass before the
// request ends.
func (l *Limiter) enqueue(ctx context.Context, o *organisation, m *Limits) (*waiter, error) {
	if l.queue.Len() >= l.config.MaxQueued || float64(o.queued) >= l.config.QueueShare*float64(l.config.MaxQueued) {
		l.counts.Overloaded++
		return nil, newRefusal(gladeapi.CodeOverloaded, l.expectedWait(l.queue.Len()), "%d requests are waiting", l.queue.Len())
	}
	weight := m.Weight
	if weight <= 0 {
		weight = 1
	}
	w := &waiter{organisation: o, finish: max(l.queue.virtual, o.finish) + 1/weight, ready: make(chan struct{})}
	expected := l.expectedWait(l.countAhead(w))
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < expected+l.serviceTime {
		l.counts.TooLate++
		return nil, newRefusal(gladeapi.CodeDeadline, expected, "the expected wait of %s leaves too little time", expected.Round(time.Millisecond))
	}
	o.finish = w.finish
	o.queued++
	l.counts.Queued++
	heap.Push(&l.queue, w)
	return w, nil
}

// countAhead returns the number of waiters that start before w.
func (l *Limiter) countAhead(w *waiter) int {
	n := 0
	for _, other := range l.queue.waiters {
		if other.finish <= w.finish {
			n++
		}
	}
	return n
}

// expectedWait returns the expected time until a request with the given number of others ahead of it starts.
func (l *Limiter) expectedWait(ahead int) time.Duration {
	return l.serviceTime * time.Duration(ahead+1) / time.Duration(l.config.MaxRunning)
}

// dispatch starts waiters until MaxRunning requests run.
func (l *Limiter) dispatch() {
	for l.running < l.config.MaxRunning && l.queue.Len() > 0 {
		w := heap.Pop(&l.queue).(*waiter)
		l.queue.virtual = max(l.queue.virtual, w.finish)
		w.organisation.queued--
		l.start(w.organisation)
		close(w.ready)
	}
}

// wait blocks until the waiter is started, or removes it from the queue when ctx is done.
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
	return newRefusal(gladeapi.CodeDeadline, l.expectedWait(l.queue.Len()), "the deadline passed in the queue")
}
