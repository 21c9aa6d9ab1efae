package gladesoak

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// recoverBound is the time from the return of the VMs within which they must serve again.
const recoverBound = 12 * time.Second

// restartAll kills all VMs at once and starts them again after a pause.
func (s *soak) restartAll(pause time.Duration) {
	var tasks sync.WaitGroup
	for _, v := range s.vms {
		tasks.Go(func() {
			v.signal(syscall.SIGKILL)
			<-v.done
			time.Sleep(pause)
			s.Check(v.start(), qt.IsNil)
		})
	}
	tasks.Wait()
}

// checkServesWithin checks that each VM is ready and serves a request within a time.
func (s *soak) checkServesWithin(d time.Duration) {
	end := time.Now().Add(d)
	var tasks sync.WaitGroup
	for _, v := range s.vms {
		tasks.Go(func() {
			for !s.waitReady(v) && time.Now().Before(end) {
				time.Sleep(100 * time.Millisecond)
			}
			s.Check(s.callOnce(v, "safe"), qt.Equals, http.StatusOK, qt.Commentf("VM %d", v.host))
			s.Check(time.Now().Before(end), qt.IsTrue, qt.Commentf("VM %d is late", v.host))
		})
	}
	tasks.Wait()
	if s.Failed() {
		s.saveLogs()
	}
}

// Guards against VMs that never have a release again after all of them have ended: the list of the release takes longer than they wait for
// it, and each begins it from nothing over and over.
func TestSlowListIsReadAfterAllVMsEnded(t *testing.T) {
	s := newSoak(t, buildProgram(t), 1)
	for _, v := range s.vms {
		s.Assert(s.waitReady(v), qt.IsTrue)
	}
	s.store.mu.Lock()
	s.store.listTimes = map[string]time.Duration{"config": 2 * time.Second, "servers": 900 * time.Millisecond}
	s.store.mu.Unlock()
	s.restartAll(time.Second)
	s.checkServesWithin(recoverBound)
}
