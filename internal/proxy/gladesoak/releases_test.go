package gladesoak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// releaseBound is the time within which a release must be in force at each VM that is well.
	releaseBound = 2 * time.Second
	// releaseContact is how long a VM must have been well for that, and the store must have taken its calls.
	releaseContact = 3 * time.Second
	// stormEvery is the mean number of other faults for each storm of releases.
	stormEvery = 4
	// checkInterval is how often each VM is asked for the route that releases add and remove.
	checkInterval = 50 * time.Millisecond
)

// ackedRelease is a release that the store has accepted, with or without the route that releases add and remove.
type ackedRelease struct {
	at   time.Time
	more bool
}

// injectStorm publishes releases in quick succession for a while, sometimes.
func (s *soak) injectStorm(tasks *sync.WaitGroup) {
	interval := time.Duration(30+s.stormRandom.IntN(320)) * time.Millisecond
	count := 4 + s.stormRandom.IntN(int(2*time.Second/interval))
	period := 1 + s.stormRandom.IntN(8)
	if s.stormRandom.IntN(stormEvery) > 0 {
		return
	}
	tasks.Go(func() {
		for n := range count {
			s.publishRelease(1, n/period%2 == 0)
			time.Sleep(interval)
		}
	})
}

// allowsStatus reports whether the releases that may be in force, for a request that was sent and answered at the given times, allow an
// answer with the route and one without.
func allowsStatus(releases []ackedRelease, sent, answered time.Time) (withRoute, withoutRoute bool) {
	for i, r := range releases {
		replaced := i+1 < len(releases) && releases[i+1].at.Before(sent.Add(-releaseBound))
		if !replaced && r.at.Before(answered) {
			withRoute, withoutRoute = withRoute || r.more, withoutRoute || !r.more
		}
	}
	return withRoute, withoutRoute
}

// startReleaseCheckers asks each VM for the route that releases add and remove until the context ends, and records each answer by a
// release that is too old.
func (s *soak) startReleaseCheckers(ctx context.Context, tasks *sync.WaitGroup) {
	for _, v := range s.vms {
		tasks.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
			for ; ctx.Err() == nil; time.Sleep(checkInterval) {
				s.checkRelease(client, v)
			}
		})
	}
}

func (s *soak) checkRelease(client *http.Client, v *vm) {
	r, err := http.NewRequest(http.MethodGet, "http://"+s.address(v.host, 8740)+"/more/x", nil)
	if err != nil {
		s.Error(err)
		return
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", fmt.Sprintf("check-%d", s.attempt.Add(1)))
	sent := time.Now()
	response, err := client.Do(r)
	if err != nil {
		return // the VM is down
	}
	_ = response.Body.Close()
	answered := time.Now()
	undisturbed, _ := v.faultsSince(sent.Add(-releaseContact))
	if !undisturbed || s.store.rejectsSince(v.host, sent.Add(-releaseContact)) {
		return
	}
	// The acknowledgement of a release is recorded after it can be read.
	s.releaseMu.Lock()
	withRoute, withoutRoute := allowsStatus(s.releases, sent, answered)
	s.releaseMu.Unlock()
	s.recorder.countCheck()
	if response.StatusCode == http.StatusNotFound && !withoutRoute || response.StatusCode == http.StatusOK && !withRoute {
		s.recorder.recordOldRelease(fmt.Sprintf("VM %d: status %d by an old release, %v after the request", v.host, response.StatusCode, answered.Sub(sent)))
	}
}

// A request may be answered by any release of the last two seconds, and by the one that was in force before.
func TestAllowsStatus(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	at := start.Add
	releases := []ackedRelease{{at(0), true}, {at(10 * time.Second), false}, {at(12 * time.Second), true}}
	for _, x := range []struct {
		sent                    time.Duration
		withRoute, withoutRoute bool
	}{
		{time.Second, true, false}, {11 * time.Second, true, true}, {12*time.Second + time.Millisecond, true, true},
		{13 * time.Second, true, true}, {15 * time.Second, true, false},
	} {
		withRoute, withoutRoute := allowsStatus(releases, at(x.sent), at(x.sent+time.Millisecond))
		c.Check([]bool{withRoute, withoutRoute}, qt.DeepEquals, []bool{x.withRoute, x.withoutRoute}, qt.Commentf("%v", x.sent))
	}
	withRoute, withoutRoute := allowsStatus(releases[:2], at(12500*time.Millisecond), at(12510*time.Millisecond))
	c.Check(withRoute, qt.IsFalse)
	c.Check(withoutRoute, qt.IsTrue)
}
