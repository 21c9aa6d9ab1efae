package gladefront

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// latenessInterval is the interval of the timer whose lateness is measured.
	latenessInterval = 10 * time.Millisecond
	// minLateness is the shortest lateness that counts; below it the resolution of timers would add up.
	minLateness = 20 * time.Millisecond
)

// lateness measures for how long this process got no processor, by a timer that fires late. With it, a delay beside load can be told
// from one that the VMs cause. Its values are lower limits for one goroutine, and include the time in which the other goroutines of
// this process occupied all processors.
type lateness struct {
	mu    sync.Mutex
	total time.Duration
	// due is when the timer should fire next.
	due time.Time
}

// startLateness measures until the test ends.
func (f *testFleet) startLateness() *lateness {
	l := &lateness{due: time.Now().Add(latenessInterval)}
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(latenessInterval):
				l.advance(time.Now())
			}
		}
	}()
	f.Cleanup(func() { close(done) })
	return l
}

func (l *lateness) advance(now time.Time) {
	total := l.at(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total, l.due = total, now.Add(latenessInterval)
}

// at returns the time without a processor until now.
func (l *lateness) at(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if late := now.Sub(l.due); late >= minLateness {
		return l.total + late
	}
	return l.total
}

// Guards against a lateness that counts the resolution of timers, or leaves out the one that is still late.
func TestLatenessCountsLateTimers(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l := &lateness{due: now.Add(latenessInterval)}
	for range 100 {
		now = now.Add(latenessInterval + minLateness/2)
		l.advance(now)
	}
	c.Check(l.at(now), qt.Equals, time.Duration(0))
	now = now.Add(latenessInterval + time.Second)
	c.Check(l.at(now), qt.Equals, time.Second)
	l.advance(now)
	c.Check(l.at(now), qt.Equals, time.Second)
	l.advance(now.Add(latenessInterval + 2*time.Second))
	c.Check(l.at(now), qt.Equals, 3*time.Second)
}
