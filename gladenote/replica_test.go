package gladenote_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// maxPropagation is the time within which an accepted note must be in force on all VMs.
const maxPropagation = 4 * time.Second

func (l *fleet) startThreeDomains(n int) {
	for _, domain := range []string{"shubra", "helwan", "giza"} {
		l.start(domain, 1, n)
	}
	l.submit("shubra-1", 1)
	l.Assert(l.waitForNote(maxPropagation, 1), qt.HasLen, 0)
	time.Sleep(3 * time.Second)
}

func TestNotesReachAllDespiteFaults(t *testing.T) {
	type faults = gladestandin.PlatformFaults
	cases := map[string]struct {
		during func(l *fleet)
		// wait is the time within which a note must reach all VMs.
		wait time.Duration
	}{
		"none": {func(*fleet) {}, maxPropagation},
		"watches closed": {func(l *fleet) {
			l.platform.CutWatches()
			time.Sleep(30 * time.Millisecond)
			l.platform.CutWatches()
		}, maxPropagation},
		"compacted":        {func(l *fleet) { l.platform.Compact() }, maxPropagation},
		"event skipped":    {func(l *fleet) { l.platform.SetFaults(faults{SkipEvents: 1}) }, maxPropagation},
		"one answer lost":  {func(l *fleet) { l.platform.SetFaults(faults{LoseAnswers: 1}) }, maxPropagation},
		"two answers lost": {func(l *fleet) { l.platform.SetFaults(faults{LoseAnswers: 2}) }, maxPropagation},
		"one domain without platform": {func(l *fleet) {
			l.platform.SetFaults(faults{CutOff: []string{"giza"}})
			l.freezeMembership()
		}, maxPropagation},
		"two domains without platform, watches closed": {func(l *fleet) {
			l.platform.SetFaults(faults{CutOff: []string{"giza", "helwan"}})
			l.platform.CutWatches()
		}, maxPropagation},
		"stale lists, watches closed": {func(l *fleet) {
			l.platform.SetFaults(faults{StaleLists: true})
			time.AfterFunc(time.Second, l.platform.CutWatches)
		}, maxPropagation},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(l *fleet) {
				l.startThreeDomains(5)
				test.during(l)
				l.submit("shubra-1", 1)
				l.Check(l.waitForNote(test.wait, 2), qt.HasLen, 0)
				l.submit("shubra-2", 1)
				l.Check(l.waitForNote(test.wait, 3), qt.HasLen, 0)
			})
		})
	}
}

func TestPlatformOutage(t *testing.T) {
	runFleet(t, func(l *fleet) {
		l.startThreeDomains(3)
		l.platform.SetFaults(gladestandin.PlatformFaults{Down: true})
		_, err := l.vm("giza-1").replica.Submit(context.Background(), note(1, "x"))
		l.Assert(err, qt.ErrorIs, gladestore.ErrUnavailable)
		l.start("giza", 4, 4)
		time.Sleep(5 * time.Second)
		l.Assert(l.vm("giza-4").replica.Ready(), qt.IsNil)
		l.Assert(l.vm("giza-4").replica.State().Number, qt.Equals, int64(1))
		l.platform.SetFaults(gladestandin.PlatformFaults{})
		time.Sleep(5 * time.Second)
		l.submit("giza-1", 1)
		l.Assert(l.waitForNote(maxPropagation, 2), qt.HasLen, 0)
	})
}

func TestCutOffFailureDomain(t *testing.T) {
	runFleet(t, func(l *fleet) {
		l.startThreeDomains(3)
		l.platform.SetFaults(gladestandin.PlatformFaults{CutOff: []string{"giza"}})
		l.mu.Lock()
		l.isolated["giza"] = true
		l.mu.Unlock()
		l.submit("shubra-1", 2)
		l.start("giza", 4, 5)
		time.Sleep(10 * time.Second)
		for _, name := range []string{"giza-1", "giza-4", "giza-5"} {
			l.Assert(l.vm(name).replica.State().Number, qt.Equals, int64(1), qt.Commentf(name))
			l.Assert(l.vm(name).replica.Ready(), qt.IsNil)
		}
		// After all VMs of the domain are replaced, the new ones have no source of notes but each other.
		for i := range 5 {
			l.stop(fmt.Sprintf("giza-%d", i+1))
		}
		l.start("giza", 6, 7)
		time.Sleep(10 * time.Second)
		l.Assert(l.vm("giza-6").replica.Ready(), qt.ErrorIs, gladenote.ErrNoNote)
		l.mu.Lock()
		l.isolated["giza"] = false
		l.mu.Unlock()
		l.Assert(l.waitForNote(maxPropagation, 3), qt.HasLen, 0)
		time.Sleep(2 * time.Second)
		l.Assert(l.vm("giza-6").replica.Ready(), qt.IsNil)
	})
}

func TestNewVMIsNotReadyBehindOthers(t *testing.T) {
	runFleet(t, func(l *fleet) {
		l.startThreeDomains(2)
		l.platform.SetFaults(gladestandin.PlatformFaults{StaleLists: true})
		l.submit("shubra-1", 3)
		time.Sleep(2 * time.Second)
		l.slowFetchesAndDropPushes(500 * time.Millisecond)
		l.start("giza", 3, 8)
		for range 400 {
			for _, v := range l.all() {
				if v.replica.Ready() == nil {
					l.Assert(v.replica.State().Number, qt.Equals, int64(4))
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		for _, v := range l.all() {
			l.Assert(v.replica.Ready(), qt.IsNil)
		}
	})
}

func TestReplacedWatchersAndCompaction(t *testing.T) {
	runFleet(t, func(l *fleet) {
		l.snapshotEvery = 8
		l.startThreeDomains(3)
		for i := range 6 {
			l.submit("shubra-1", 7)
			for _, domain := range []string{"helwan", "giza"} {
				l.stop(fmt.Sprintf("%s-%d", domain, i+1))
				l.start(domain, i+4, i+4)
			}
		}
		l.Assert(l.waitForNote(maxPropagation, 43), qt.HasLen, 0)
		time.Sleep(3 * time.Second)
		list, err := l.vm("shubra-1").store.List(context.Background(), gladenote.KindNotes, "")
		l.Assert(err, qt.IsNil)
		l.Assert(len(list.Objects) < 30, qt.IsTrue, qt.Commentf("%d notes remain", len(list.Objects)))
		list, err = l.vm("shubra-1").store.List(context.Background(), gladenote.KindSnapshots, "")
		l.Assert(err, qt.IsNil)
		l.Assert(len(list.Objects) <= 3, qt.IsTrue, qt.Commentf("%d snapshot objects", len(list.Objects)))
		// A submission whose base was compacted gets a conflict and changes nothing.
		_, err = l.vm("shubra-1").replica.Submit(context.Background(), note(2, "late"))
		l.Assert(err, qt.ErrorIs, gladenote.ErrConflict)
	})
}

// TestSubmitOfCompactedNumber submits against a state so old that the object of its next note was compacted, so that the
// platform allows to create that number again. The log must report the conflict.
func TestSubmitOfCompactedNumber(t *testing.T) {
	runFleet(t, func(l *fleet) {
		l.snapshotEvery = 4
		l.startThreeDomains(1)
		v := l.vm("shubra-1")
		old := v.replica.State()
		for range 8 {
			l.submit("shubra-1", 4)
			time.Sleep(2 * time.Second)
		}
		_, err := v.store.Get(context.Background(), gladenote.KindNotes, "2")
		l.Assert(err, qt.ErrorIs, gladestore.ErrNotFound)
		log := &gladenote.Log{Store: v.store}
		_, err = log.Submit(context.Background(), old, note(1, "paused"))
		var conflict *gladenote.Conflict
		l.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
		l.Assert(conflict.Other.Title, qt.Equals, "t2")
		time.Sleep(3 * time.Second)
		l.start("shubra", 2, 2)
		l.Assert(l.waitForNote(maxPropagation, 33), qt.HasLen, 0)
		_, ok := l.vm("shubra-2").replica.State().Organisation("org-paused")
		l.Assert(ok, qt.IsFalse)
	})
}

// TestConcurrentSubmissions checks that of concurrent submissions exactly one is accepted for each number, that all VMs
// hold that note, and that each operator gets the correct result, also when answers are lost.
func TestConcurrentSubmissions(t *testing.T) {
	runFleet(t, func(l *fleet) {
		l.startThreeDomains(2)
		random := rand.New(rand.NewPCG(4, 2))
		var mu sync.Mutex
		accepted := map[int64]string{}
		vms := l.all()
		for round := range 20 {
			l.platform.SetFaults(gladestandin.PlatformFaults{LoseAnswers: random.IntN(4), Delay: time.Duration(random.IntN(50)) * time.Millisecond})
			base := int64(round + 1)
			conflicts := 0
			var operators sync.WaitGroup
			for i, v := range vms {
				operators.Go(func() {
					n, err := v.replica.Submit(context.Background(), note(base, fmt.Sprintf("r%d-%d", round, i)))
					mu.Lock()
					defer mu.Unlock()
					if err == nil {
						l.Check(accepted[n.Number], qt.Equals, "", qt.Commentf("note %d accepted twice", n.Number))
						accepted[n.Number] = n.Title
						return
					}
					l.Check(err, qt.ErrorIs, gladenote.ErrConflict)
					conflicts++
				})
			}
			operators.Wait()
			l.Assert(conflicts, qt.Equals, len(vms)-1)
			l.Assert(l.waitForNote(maxPropagation, base+1), qt.HasLen, 0)
		}
		for number, title := range accepted {
			for _, v := range l.all() {
				s, _ := v.replica.State().FindSummary(number)
				l.Assert(s.Title, qt.Equals, title)
			}
		}
		// Submitting an accepted note again returns the number that it already has.
		s, _ := vms[0].replica.State().FindSummary(2)
		again, err := vms[0].replica.Submit(context.Background(), note(1, s.Title))
		l.Assert(err, qt.IsNil)
		l.Assert(again.Number, qt.Equals, int64(2))
	})
}

func TestPlatformCallsDoNotGrowWithVMs(t *testing.T) {
	perNote := map[int]int{}
	watches := map[int]int{}
	for _, n := range []int{2, 20} {
		runFleet(t, func(l *fleet) {
			l.startThreeDomains(n)
			before := l.platform.Counts()
			l.submit("shubra-1", 5)
			l.Assert(l.waitForNote(maxPropagation, 6), qt.HasLen, 0)
			synctest.Wait()
			after := l.platform.Counts()
			perNote[n] = (after.Calls() - before.Calls()) / 5
			watches[n] = after.Watches
		})
	}
	c := qt.New(t)
	c.Assert(watches[20], qt.Equals, 6)
	c.Assert(perNote[20], qt.Equals, perNote[2])
}
