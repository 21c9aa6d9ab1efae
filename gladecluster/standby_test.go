package gladecluster

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecaller"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladekernel"
	"github.com/eelgrassglade/eelgrassglade/gladestandby"
	"github.com/eelgrassglade/eelgrassglade/gladewire"

	"github.com/eelgrassglade/eelgrassglade/gladedaemon"
)

const standbyTokens = 300

// standbyFixture is a cluster for tests that lose VMs while a generation runs.
type standbyFixture struct {
	*qt.C
	cluster *Cluster
	network *gladewire.Network
	caller  *gladecaller.Caller
}

func runStandbyTest(t *testing.T, change func(*gladeconfig.Settings), f func(*standbyFixture)) {
	synctest.Test(t, func(t *testing.T) {
		c := &standbyFixture{C: qt.New(t), network: &gladewire.Network{}}
		check := &gladecheck.Checker{OnBroken: func(i gladecheck.Invariant, m string) { t.Errorf("%s: %s", i, m) }}
		k, closeCluster, err := New(Config{Network: c.network, Engines: 3, VMs: 4, Check: check, Settings: change})
		c.Assert(err, qt.IsNil)
		defer closeCluster()
		c.cluster = k
		caller, closeCaller := k.Caller()
		defer closeCaller()
		c.caller = caller
		time.Sleep(5 * time.Second)
		f(c)
	})
}

func (c *standbyFixture) generate(change func(*gladecaller.Request)) *gladecaller.Answer {
	q := gladecaller.Request{
		Model: ModelName, Prompt: prompt, MaxTokens: standbyTokens, Seed: 1, Key: "key-1", Stream: true, Entry: c.cluster.VMs[0].Name,
	}
	if change != nil {
		change(&q)
	}
	return c.caller.Generate(c.Context(), q)
}

func (c *standbyFixture) assertComplete(a *gladecaller.Answer) {
	c.Helper()
	c.Assert(a.Complete(), qt.IsTrue, qt.Commentf("refusal %v, error %v, tries %+v", a.Refusal, a.Err, a.Tries))
	c.Assert(a.Text, qt.Equals, expectedText(standbyTokens, 1))
}

func (c *standbyFixture) engineRequests() int {
	n := 0
	for _, e := range c.cluster.Engines {
		n += e.Engine.Counts().Requests
	}
	return n
}

func (c *standbyFixture) busyEngine() *Server {
	for _, e := range c.cluster.Engines {
		if e.Engine.ActiveStreams() > 0 {
			return e
		}
	}
	return nil
}

func standbyOf(v *VM) gladestandby.State {
	s, _ := gladekernel.Lookup[*gladestandby.Service](v.Daemon.Kernel(), gladedaemon.ServiceStandby)
	return s.State()
}

// journalHolder returns the VM that holds the replica of the journal.
func (c *standbyFixture) journalHolder() *VM {
	for _, v := range c.cluster.LiveVMs() {
		if len(standbyOf(v).Held) > 0 {
			return v
		}
	}
	return nil
}

func after(d time.Duration, f func()) {
	time.AfterFunc(d, f)
}

func TestVMDies(t *testing.T) {
	atOnce := func(s *gladeconfig.Settings) { s.Standby.ReleaseAtOnce = true }
	slow := func(s *gladeconfig.Settings) { s.Standby.BatchInterval = gladeconfig.Duration(900 * time.Millisecond) }
	late := func(s *gladeconfig.Settings) { s.Standby.ProtectTokens = 32 }
	for _, test := range []struct {
		name     string
		settings func(*gladeconfig.Settings)
		fault    func(*standbyFixture)
		// requests is the largest allowed number of prompts that engines receive.
		requests int
	}{
		{"owner", nil, func(c *standbyFixture) { c.cluster.VMs[0].Kill() }, 1},
		{"owner, tokens released at once", atOnce, func(c *standbyFixture) { c.cluster.VMs[0].Kill() }, 1},
		{"owner, replicated late", late, func(c *standbyFixture) { c.cluster.VMs[0].Kill() }, 1},
		{"owner, then its engine", nil, func(c *standbyFixture) {
			// The VM dies first: otherwise it could begin an attempt on another engine before its death.
			engine := c.busyEngine()
			c.cluster.VMs[0].Kill()
			engine.Kill()
		}, 2},
		{"engine, then owner", nil, func(c *standbyFixture) {
			// At its death the VM may have begun a second attempt that its standby does not know of.
			c.busyEngine().Kill()
			c.cluster.VMs[0].Kill()
		}, 3},
		{"owner, then its engine during the takeover", nil, func(c *standbyFixture) {
			c.cluster.VMs[0].Kill()
			after(120*time.Millisecond, c.busyEngine().Kill)
		}, 2},
		{"owner, then its successor", nil, func(c *standbyFixture) {
			c.cluster.VMs[0].Kill()
			after(700*time.Millisecond, c.cluster.VMs[1].Kill)
		}, 1},
		{"standby, then owner", nil, func(c *standbyFixture) {
			c.journalHolder().Kill()
			after(300*time.Millisecond, c.cluster.VMs[0].Kill)
		}, 1},
		{"standby drained while the owner dies", nil, func(c *standbyFixture) {
			go c.journalHolder().Stop()
			after(10*time.Millisecond, c.cluster.VMs[0].Kill)
		}, 1},
		{"standby stopped just before the owner dies", slow, func(c *standbyFixture) {
			c.journalHolder().Stop()
			c.cluster.VMs[0].Kill()
		}, 1},
		{"owner cut off from its caller only", nil, func(c *standbyFixture) { c.network.Cut(c.cluster.VMs[0].Name, CallerHost) }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			runStandbyTest(t, test.settings, func(c *standbyFixture) {
				after(time.Second, func() { test.fault(c) })
				c.assertComplete(c.generate(nil))
				c.Assert(c.engineRequests() <= test.requests, qt.IsTrue, qt.Commentf("%d requests", c.engineRequests()))
			})
		})
	}
}

func TestPausedVMResumes(t *testing.T) {
	runStandbyTest(t, nil, func(c *standbyFixture) {
		name := c.cluster.VMs[0].Name
		after(time.Second, func() { c.network.Pause(name) })
		after(2*time.Second, func() { c.network.Cut(name, CallerHost) })
		after(6*time.Second, func() { c.network.Resume(name) })
		c.assertComplete(c.generate(nil))
		time.Sleep(10 * time.Second)
		for _, o := range standbyOf(c.cluster.VMs[0]).Owned {
			c.Errorf("the former owner still owns %s", o.Request)
		}
	})
}

func TestVMCutOffFromTheOthers(t *testing.T) {
	runStandbyTest(t, nil, func(c *standbyFixture) {
		owner := c.cluster.VMs[0].Name
		after(time.Second, func() {
			for _, v := range c.cluster.VMs[1:] {
				c.network.Cut(owner, v.Name)
			}
		})
		var callers sync.WaitGroup
		callers.Go(func() { c.assertComplete(c.generate(nil)) })
		callers.Go(func() { c.assertComplete(c.generate(func(q *gladecaller.Request) { q.Entry = c.cluster.VMs[1].Name })) })
		callers.Wait()
	})
}

func TestConcurrentRepeats(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(*standbyFixture)
	}{
		{"no fault", func(*standbyFixture) {}},
		{"engine dies", func(c *standbyFixture) { c.busyEngine().Kill() }},
		{"owner dies, several successors", func(c *standbyFixture) { c.cluster.VMs[0].Kill() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			runStandbyTest(t, nil, func(c *standbyFixture) {
				after(time.Second, func() { test.fault(c) })
				var callers sync.WaitGroup
				for range 3 {
					callers.Go(func() { c.assertComplete(c.generate(nil)) })
				}
				for _, v := range c.cluster.VMs[1:] {
					callers.Go(func() { c.assertComplete(c.generate(func(q *gladecaller.Request) { q.Entry = v.Name })) })
				}
				callers.Wait()
				c.Assert(c.engineRequests() <= 2, qt.IsTrue, qt.Commentf("%d requests", c.engineRequests()))
			})
		})
	}
}

func TestCallerMovesToAnotherVM(t *testing.T) {
	runStandbyTest(t, nil, func(c *standbyFixture) {
		a := c.generate(func(q *gladecaller.Request) { q.DropAfter = 50 })
		c.assertComplete(a)
		c.Assert(a.Tries, qt.HasLen, 2)
		c.Assert(c.engineRequests(), qt.Equals, 1)
	})
}

func TestVMListedAsLeavingDrains(t *testing.T) {
	runStandbyTest(t, nil, func(c *standbyFixture) {
		v := c.cluster.VMs[0]
		after(time.Second, func() {
			list := gladeapi.VMList{}
			for _, o := range c.cluster.VMs {
				entry := o.Entry
				entry.Leaving = o == v
				list.Entries = append(list.Entries, entry)
			}
			for _, e := range c.cluster.Engines {
				list.Backends = append(list.Backends, e.Backend)
			}
			c.cluster.Platform.SetVMs(list)
		})
		a := c.generate(nil)
		c.assertComplete(a)
		c.Assert(a.Tries, qt.HasLen, 1)
		time.Sleep(10 * time.Second)
		c.Assert(ready(v), qt.IsFalse)
		c.Assert(ready(c.cluster.VMs[1]), qt.IsTrue)
	})
}

func TestLostGenerationIsNotMixed(t *testing.T) {
	runStandbyTest(t, nil, func(c *standbyFixture) {
		after(time.Second, func() {
			c.journalHolder().Kill()
			c.cluster.VMs[0].Kill()
		})
		a := c.generate(nil)
		c.Assert(a.Complete(), qt.IsFalse)
		c.Assert(a.Refusal, qt.IsNotNil)
		c.Assert(a.Refusal.Code, qt.Equals, gladeapi.CodeGenerationLost)
		c.Assert(expectedText(standbyTokens, 1)[:len(a.Text)], qt.Equals, a.Text)
	})
}

func TestDrainInterruptsNothing(t *testing.T) {
	runStandbyTest(t, nil, func(c *standbyFixture) {
		after(time.Second, func() {
			go c.cluster.VMs[0].Stop()
			go c.journalHolder().Stop()
		})
		a := c.generate(nil)
		c.assertComplete(a)
		c.Assert(a.Tries, qt.HasLen, 1)
	})
}
