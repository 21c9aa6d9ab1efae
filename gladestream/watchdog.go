package gladestream

import (
	"sync/atomic"
	"time"
)

// lateTimer is how late a timer may fire before this process counts as having been paused.
const lateTimer = 100 * time.Millisecond

// watchdog calls a function when nothing has happened for a time.  If its timer fires late, this process itself was
// paused and what has come meanwhile is still unread, so that the watchdog waits for the grace first.
type watchdog struct {
	timer    *time.Timer
	deadline atomic.Int64
	grace    time.Duration
	call     func()
}

func newWatchdog(grace time.Duration, call func()) *watchdog {
	w := &watchdog{grace: grace, call: call}
	w.timer = time.AfterFunc(time.Hour, w.fire)
	w.timer.Stop()
	return w
}

func (w *watchdog) wait(d time.Duration) {
	w.deadline.Store(time.Now().Add(d).UnixNano())
	w.timer.Reset(d)
}

func (w *watchdog) fire() {
	if time.Now().UnixNano()-w.deadline.Load() > lateTimer.Nanoseconds() {
		w.wait(w.grace)
		return
	}
	w.call()
}

func (w *watchdog) stop() {
	w.timer.Stop()
}
