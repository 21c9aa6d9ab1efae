package gladesoak

import (
	"errors"
	"net"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against calls that a stopping VM passes on and cannot end: their callers get a closed connection though a server has run them.
// The balancer goes on using the VM, as it does while most of a failure domain stops.
func TestStopCutsNoCall(t *testing.T) {
	f := newStopFleet(t, buildProgram(t))
	f.run(stopCalls, stopGrace)
	counts := f.check()
	// A short call is served until the last second, because others of its route were short.
	f.Check(counts["short"].lastAnswered > stopGrace-1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", counts["short"].lastAnswered))
	for name, n := range counts {
		f.Check(n.answered+n.refused+n.failed > 0, qt.IsTrue, qt.Commentf("%s: no call had an answer", name))
	}
}

// Guards against calls that are cut, or refused though they have run, when servers fail during the stop and callers read slowly.
func TestStopWithFailingServers(t *testing.T) {
	f := newStopFleet(t, buildProgram(t))
	f.run(hardStopCalls, stopGrace)
	counts := f.check()
	f.Check(counts["large answer"].answered > 0, qt.IsTrue)
	f.Check(counts["server dies"].failed > 0, qt.IsTrue)
}

// Guards against connections that a stopping VM accepts and closes before their first request arrives, while the balancer uses it.
func TestStopReadsLateFirstRequest(t *testing.T) {
	f := newStopFleet(t, buildProgram(t))
	f.run([]stopCall{stopCalls[0], stopCalls[2]}, stopGrace)
	// A short call is served late in the grace, because others of its route were short.
	short := f.check()["short"]
	f.Check(short.lastAnswered > stopGrace-1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", short.lastAnswered))
	for _, o := range f.outcomes {
		closed := o.connected && !o.complete && !errors.Is(o.err, syscall.ECONNREFUSED)
		f.Check(closed && o.sentAt < stopGrace-1500*time.Millisecond, qt.IsFalse, qt.Commentf("%s: closed, sent at %v: %v", o.id, o.sentAt, o.err))
	}
}

// Guards against a stop that takes the grace period of an earlier settings file: the platform kills the process before it answers. The
// file may change with or without a signal, before the stop or during it.
func TestStopFollowsGraceOfSettings(t *testing.T) {
	program := buildProgram(t)
	const grace = stopGrace / 2
	tests := map[string]struct {
		changeAt time.Duration // from the stop on
		hangup   bool
	}{
		"without a signal":      {changeAt: -time.Second},
		"with a signal":         {changeAt: -time.Second, hangup: true},
		"signal after the stop": {changeAt: time.Second, hangup: true},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newStopFleet(t, program)
			f.waitReady()
			time.AfterFunc(stopWarmup+x.changeAt, func() {
				f.writeSettings(grace)
				if x.hangup {
					f.vm.signal(syscall.SIGHUP)
				}
			})
			f.run([]stopCall{stopCalls[0], stopCalls[4], stopCalls[8], stopCalls[9]}, grace)
			f.check()
			f.Check(f.endedByItself(), qt.IsTrue)
		})
	}
}

// Guards against calls that are cut while all VMs of a failure domain stop one after another, so that the balancer uses each of them until
// it ends.
func TestStopOfAllVMsCutsNoCall(t *testing.T) {
	program := buildProgram(t)
	first := newStopFleet(t, program)
	fleets := []*stopFleet{first, first.addVM(t, program, 2), first.addVM(t, program, 3)}
	for _, f := range fleets {
		f.waitReady()
	}
	began := time.Now()
	var stops sync.WaitGroup
	for i, f := range fleets {
		stops.Go(func() {
			calls := []stopCall{stopCalls[0], stopCalls[4], stopCalls[6], stopCalls[9]}
			f.runUntil(calls, stopGrace, began.Add(stopWarmup+time.Duration(i)*time.Second))
		})
	}
	stops.Wait()
	for _, f := range fleets {
		for name, n := range f.check() {
			f.Check(n.answered+n.refused+n.failed > 0, qt.IsTrue, qt.Commentf("VM %d: %s: no call had an answer", f.vm.host, name))
		}
		f.Check(f.endedByItself(), qt.IsTrue)
	}
}

// endedByItself reports whether the process has ended without being killed.
func (f *stopFleet) endedByItself() bool {
	<-f.vm.done
	f.vm.mu.Lock()
	defer f.vm.mu.Unlock()
	return f.vm.cmd.ProcessState.ExitCode() == 0
}

// A second signal to stop must not end the process before its requests.
func TestSecondSignalDoesNotEndTheStop(t *testing.T) {
	f := newStopFleet(t, buildProgram(t))
	f.waitReady()
	for _, at := range []time.Duration{time.Millisecond, time.Second, 4 * time.Second} {
		time.AfterFunc(stopWarmup+at, func() { f.vm.signal(syscall.SIGTERM) })
	}
	f.run([]stopCall{stopCalls[0], stopCalls[4], stopCalls[8]}, stopGrace)
	f.check()
	f.Check(f.endedByItself(), qt.IsTrue)
}

// Guards against a signal to stop, or to read the settings, that ends a process which already accepts connections.
func TestSignalAtTheStart(t *testing.T) {
	program := buildProgram(t)
	for n := range 16 {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			t.Parallel()
			f := newStopFleet(t, program)
			for {
				conn, err := net.Dial("tcp", f.address(f.vm.host, 8740))
				if err == nil {
					_ = conn.Close()
					break
				}
				time.Sleep(100 * time.Microsecond)
			}
			if n%2 == 0 {
				f.vm.signal(syscall.SIGHUP)
			}
			f.vm.signal(syscall.SIGTERM)
			f.Assert(f.endedByItself(), qt.IsTrue, qt.Commentf("%v", f.vm.cmd.ProcessState))
		})
	}
}
