package gladecluster

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladeentry"
	"github.com/eelgrassglade/eelgrassglade/gladeroute"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

type serviceAnswer struct {
	status int
	body   string
	ran    gladeapi.Ran
}

// postCall calls a route of a VM. The status is 0 if the connection ended before the answer was complete.
func postCall(c *qt.C, v *VM, path, key, body string) serviceAnswer {
	client := v.Client()
	defer client.CloseIdleConnections()
	r, err := http.NewRequest(http.MethodPost, v.URL()+"/services/"+path, bytes.NewReader([]byte(body)))
	c.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+APIKey)
	if key != "" {
		r.Header["Idempotency-Key"] = []string{key}
	}
	response, err := client.Do(r)
	if err != nil {
		return serviceAnswer{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return serviceAnswer{}
	}
	var e gladeentry.ErrorBody
	_ = json.Unmarshal(text, &e)
	return serviceAnswer{status: response.StatusCode, body: string(text), ran: e.Error.Ran}
}

func issueKey(c *qt.C, v *VM) string {
	var k struct{ Key string }
	c.Assert(json.Unmarshal([]byte(postCall(c, v, CreditsRoute+"/keys", "", "").body), &k), qt.IsNil)
	return k.Key
}

func runServicesTest(t *testing.T, f func(c *qt.C, n *gladewire.Network, k *Cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		check := &gladecheck.Checker{OnBroken: func(i gladecheck.Invariant, m string) { t.Errorf("%s: %s", i, m) }}
		n := &gladewire.Network{}
		k, closeCluster, err := New(Config{
			Network: n, FailureDomains: []string{"shubra", "helwan"}, VMs: 2, Engines: 1, Services: 2, Check: check,
			Settings: func(s *gladeconfig.Settings) { s.Peers.Seeds = []string{"shubra-vm-1:8082", "helwan-vm-1:8082"} },
		})
		c.Assert(err, qt.IsNil)
		defer closeCluster()
		time.Sleep(5 * time.Second) // time for the VMs to discover each other
		f(c, n, k)
		time.Sleep(10 * time.Second)
		for key, runs := range k.RunCounter.Runs() {
			c.Check(runs, qt.Equals, 1, qt.Commentf("key %s", key))
		}
	})
}

func TestCallsAcrossVMs(t *testing.T) {
	t.Run("repeats on other VMs", func(t *testing.T) {
		runServicesTest(t, func(c *qt.C, _ *gladewire.Network, k *Cluster) {
			c.Assert(postCall(c, k.VMs[0], CreditsRoute, "", "x").status, qt.Equals, http.StatusBadRequest)
			for _, key := range []string{"caller-1", issueKey(c, k.VMs[0])} {
				for _, v := range []*VM{k.VMs[1], k.VMs[0], k.VMs[3], k.VMs[1]} {
					a := postCall(c, v, CreditsRoute+"/post?lab=7", key, "12 pounds")
					c.Assert(a, qt.Equals, serviceAnswer{status: 200, body: "12 pounds"})
				}
				c.Assert(postCall(c, k.VMs[0], CreditsRoute+"/post?lab=7", key, "13 pounds").status, qt.Equals, http.StatusUnprocessableEntity)
			}
			c.Assert(k.RunCounter.Total(), qt.Equals, 2)
		})
	})
	t.Run("concurrent repeats", func(t *testing.T) {
		runServicesTest(t, func(c *qt.C, _ *gladewire.Network, k *Cluster) {
			for _, s := range k.Services {
				s.Service.SetFault(gladestandin.ServiceFault{Slow: 500 * time.Millisecond})
			}
			for _, key := range []string{"caller-1", issueKey(c, k.VMs[0])} {
				var g sync.WaitGroup
				for i := range 8 {
					g.Go(func() { c.Check(postCall(c, k.VMs[i%4], CreditsRoute, key, "x").status, qt.Equals, 200) })
				}
				g.Wait()
			}
			c.Assert(k.RunCounter.Total(), qt.Equals, 2)
		})
	})
	t.Run("VM killed during a call, then the platform", func(t *testing.T) {
		runServicesTest(t, func(c *qt.C, n *gladewire.Network, k *Cluster) {
			for _, s := range k.Services {
				s.Service.SetFault(gladestandin.ServiceFault{Slow: time.Second})
			}
			issued := issueKey(c, k.VMs[0])
			for _, key := range []string{"caller-1", issued} {
				go postCall(c, k.VMs[0], CreditsRoute, key, "x")
			}
			time.Sleep(300 * time.Millisecond)
			n.Kill(k.VMs[0].Name) // both calls are running on a service
			c.Check(postCall(c, k.VMs[1], CreditsRoute, "caller-1", "x").ran, qt.Equals, gladeapi.RanUnknown)
			c.Check(postCall(c, k.VMs[1], CreditsRoute, issued, "x").ran, qt.Equals, gladeapi.RanUnknown)
			time.Sleep(10 * time.Second)
			n.Kill("platform")
			c.Check(postCall(c, k.VMs[2], CreditsRoute, "caller-1", "x").ran, qt.Equals, gladeapi.RanUnknown)
		})
	})
	t.Run("platform down", func(t *testing.T) {
		runServicesTest(t, func(c *qt.C, n *gladewire.Network, k *Cluster) {
			n.Kill("platform")
			a := postCall(c, k.VMs[0], CreditsRoute, "caller-1", "x")
			c.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
			c.Check(a.ran, qt.Equals, gladeapi.NotRun)
			c.Check(postCall(c, k.VMs[1], CreditsRoute, issueKey(c, k.VMs[0]), "x").status, qt.Equals, 200)
			c.Check(postCall(c, k.VMs[1], LookupsRoute, "", "x").status, qt.Equals, 200)
		})
	})
	t.Run("failure domain isolated", func(t *testing.T) {
		runServicesTest(t, func(c *qt.C, n *gladewire.Network, k *Cluster) {
			key := issueKey(c, k.VMs[0])
			for _, a := range []string{"shubra-vm-1", "shubra-vm-2", "shubra-service-1", "shubra-service-2"} {
				for _, b := range []string{"helwan-vm-1", "helwan-vm-2", "helwan-service-1", "helwan-service-2", "platform"} {
					n.Cut(a, b)
				}
			}
			time.Sleep(10 * time.Second)
			c.Check(postCall(c, k.VMs[1], CreditsRoute, key, "x").status, qt.Equals, 200)
			c.Check(postCall(c, k.VMs[2], CreditsRoute, key, "x").ran, qt.Equals, gladeapi.RanUnknown)
			// helwan may have run it
			c.Check(postCall(c, k.VMs[0], CreditsRoute, "caller-1", "x").ran, qt.Equals, gladeapi.RanUnknown)
			c.Check(postCall(c, k.VMs[2], CreditsRoute, "caller-1", "x").status, qt.Equals, 200)
			c.Check(postCall(c, k.VMs[0], LookupsRoute, "", "x").status, qt.Equals, 200)
		})
	})
}

func TestStopInterruptsNoCall(t *testing.T) {
	runServicesTest(t, func(c *qt.C, _ *gladewire.Network, k *Cluster) {
		for _, s := range k.Services {
			s.Service.SetFault(gladestandin.ServiceFault{Slow: 500 * time.Millisecond})
		}
		key := issueKey(c, k.VMs[0])
		var g sync.WaitGroup
		for _, x := range []struct {
			vm   *VM
			path string
			key  string
		}{{k.VMs[0], CreditsRoute, "caller-1"}, {k.VMs[1], CreditsRoute, key}, {k.VMs[0], LookupsRoute, ""}} {
			g.Go(func() {
				a := postCall(c, x.vm, x.path, x.key, "x")
				c.Check(a.status, qt.Equals, 200, qt.Commentf("%s %s", x.key, a.body))
			})
		}
		time.Sleep(300 * time.Millisecond)
		k.VMs[0].Stop()
		g.Wait()
	})
}

func TestOrganisationLimitRefusesBeforeRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		note := DefaultNote()
		note.Added.Organisations[0].RequestsPerSecond = 10
		k, closeCluster, err := New(Config{
			Network: &gladewire.Network{}, VMs: 2, Engines: 1, Services: 2, Note: note,
			Settings: func(s *gladeconfig.Settings) { s.Peers.Seeds = []string{"shubra-vm-1:8082"} },
		})
		c.Assert(err, qt.IsNil)
		defer closeCluster()
		answered := 0
		for i := range 1000 { // 50 per second for 20 s, alternating between two VMs
			switch a := postCall(c, k.VMs[i%2], LookupsRoute, "", "x"); a.status {
			case http.StatusOK:
				answered++
			default:
				c.Assert(a.status, qt.Equals, http.StatusTooManyRequests)
				c.Assert(a.ran, qt.Equals, gladeapi.NotRun)
			}
			time.Sleep(20 * time.Millisecond)
		}
		c.Assert(k.RunCounter.Received(), qt.Equals, answered)
		c.Assert(answered >= 170 && answered <= 260, qt.IsTrue, qt.Commentf("%d answered", answered))
	})
}

func TestLoadReportsAreSharedAndTakenOver(t *testing.T) {
	runServicesTest(t, func(c *qt.C, _ *gladewire.Network, k *Cluster) {
		freshReports := func(v *VM) int {
			fresh := 0
			for _, s := range v.Daemon.Kernel().Dump()["routes"].([]gladeroute.Status) {
				if s.FailureDomain == "shubra" && time.Since(s.ReportedAt) < 5*time.Second {
					fresh++
				}
			}
			return fresh
		}
		c.Check(freshReports(k.VMs[0]), qt.Equals, 3) // an engine and two services
		c.Check(freshReports(k.VMs[1]), qt.Equals, 3)
		k.VMs[0].Stop()
		time.Sleep(20 * time.Second)
		c.Check(freshReports(k.VMs[1]), qt.Equals, 3)
	})
}
