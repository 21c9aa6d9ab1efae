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
			served := false
			for !served && time.Now().Before(end) {
				served = s.waitReady(v) && s.callOnce(v, "safe") == http.StatusOK
				time.Sleep(100 * time.Millisecond)
			}
			s.Check(served, qt.IsTrue, qt.Commentf("VM %d does not serve after %v", v.host, d))
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

// Guards against VMs that start with an old list of servers: a server leaves, and others are registered, while they read the release, which
// takes seconds.
func TestServersAreFollowedWhileReleaseIsRead(t *testing.T) {
	s := newSoak(t, buildProgram(t), 1)
	for _, v := range s.vms {
		s.Assert(s.waitReady(v), qt.IsTrue)
	}
	s.store.mu.Lock()
	s.store.listTimes = map[string]time.Duration{"config": 2 * time.Second}
	s.store.mu.Unlock()
	s.restartAll(500 * time.Millisecond)
	time.Sleep(800 * time.Millisecond)
	leaver := s.servers[4]
	var tasks sync.WaitGroup
	tasks.Go(func() { leaver.leaveAfter(4 * drainBound) })
	for _, v := range s.vms {
		tasks.Go(func() {
			s.Check(s.waitReady(v), qt.IsTrue)
			for range 20 {
				s.Check(s.callOnce(v, "unsafe"), qt.Equals, http.StatusOK, qt.Commentf("VM %d", v.host))
			}
		})
	}
	tasks.Wait()
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	s.Check(s.recorder.lateRequests, qt.HasLen, 0)
	if s.Failed() {
		s.saveLogs()
	}
}
