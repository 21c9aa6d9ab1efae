package gladestream

import (
	"sync/atomic"
	"time"
)

// maxTimerDelay is the delay of a timer beyond which this process counts as having been paused.
const maxTimerDelay = 100 * time.Millisecond

// watchdog calls onExpire if it is not reset within a time. If its timer fires late, this process was paused and
// may have unread events, so that it waits for the grace period first.
type watchdog struct {
	timer    *time.Timer
	deadline atomic.Int64
	grace    time.Duration
	onExpire func()
}

func newWatchdog(grace time.Duration, onExpire func()) *watchdog {
	w := &watchdog{grace: grace, onExpire: onExpire}
	w.timer = time.AfterFunc(time.Hour, w.fire)
	w.timer.Stop()
	return w
}

func (w *watchdog) reset(d time.Duration) {
	w.deadline.Store(time.Now().Add(d).UnixNano())
	w.timer.Reset(d)
}

func (w *watchdog) fire() {
	if time.Now().UnixNano()-w.deadline.Load() > maxTimerDelay.Nanoseconds() {
		w.reset(w.grace)
		return
	}
	w.onExpire()
}

func (w *watchdog) stop() {
	w.timer.Stop()
}
