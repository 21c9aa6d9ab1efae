package gladesoak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against streams that run twice, or are answered 503 though they have run, where servers reject them and send late second copies of
// the rejections.
func TestSoakLateRejections(t *testing.T) {
	const callers, minServedShare = 12, 0.5
	runSeeds(t, nil, func(s *soak, _ uint64) {
		for _, v := range s.vms {
			s.Assert(s.waitReady(v), qt.IsTrue)
		}
		for _, f := range s.servers[2:4] { // two servers of the service are left
			f.crash()
		}
		for _, f := range s.servers[:2] {
			f.setFaults(serverFaults{lateShare: 0.6})
		}
		ctx, cancel := context.WithCancel(context.Background())
		var tasks sync.WaitGroup
		for range callers {
			tasks.Go(func() { s.call(ctx, "unsafeStream", http.MethodPost, 6*time.Second) })
		}
		for began := time.Now(); time.Since(began) < *duration/3; time.Sleep(time.Duration(100+s.random.IntN(500)) * time.Millisecond) {
			if v := s.vms[s.random.IntN(len(s.vms))]; s.random.IntN(4) == 0 {
				tasks.Go(func() { s.Check(v.restart(syscall.SIGKILL), qt.IsNil) })
			}
		}
		cancel()
		tasks.Wait()
		s.Check(s.recorder.check(), qt.HasLen, 0)
		served := 0
		for _, a := range s.recorder.answers {
			served += count(a.status == http.StatusOK && a.complete)
		}
		s.Logf("%d of %d streams served", served, len(s.recorder.answers))
		s.Check(float64(served) >= minServedShare*float64(len(s.recorder.answers)), qt.IsTrue)
	})
}
