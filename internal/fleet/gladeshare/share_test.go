package gladeshare

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladebudget"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

func table() *gladefleet.Table {
	t := gladefleet.New(gladefleet.Config{FailureDomain: "shubra"})
	t.Put(gladefleet.Server{ID: "a", Service: "llm", FailureDomain: "shubra", Slots: 12}, time.Now())
	return t
}

func budget() *gladebudget.Budget {
	return gladebudget.New(gladebudget.Config{Share: 1, Window: time.Minute, VMs: func() int { return 2 }})
}

func load(t *gladefleet.Table) float64 { return t.Statuses()[0].Load }

// Datagrams cross, repeat and get lost, and their sender restarts: only the newest counts.
func TestNewestDatagramCounts(t *testing.T) {
	c := qt.New(t)
	s := &Sharer{config: Config{Table: table(), Budget: budget()}, peers: map[string]*peer{}}
	now := time.Now()
	tell := func(began, sequence int64, prompt int) {
		s.take(&datagram{VM: "b", Began: began, Sequence: sequence, Shares: map[string]gladefleet.Share{"a": {Prompt: prompt}}}, now)
	}
	tell(1, 2, 500)
	tell(1, 1, 900) // late
	tell(1, 2, 900) // twice
	c.Assert(load(s.config.Table), qt.Equals, 500.0)
	tell(2, 1, 700) // a new life begins at 1
	tell(1, 3, 900)
	c.Assert(load(s.config.Table), qt.Equals, 700.0)
	s.forget(now.Add(forgetAfter))
	c.Assert(load(s.config.Table), qt.Equals, 700.0)
	s.forget(now.Add(forgetAfter + time.Millisecond))
	c.Assert(load(s.config.Table), qt.Equals, 0.0)
}

func TestSharesReachThePeer(t *testing.T) {
	c := qt.New(t)
	heard := table()
	var address string
	open := func(vm string, own *gladefleet.Table, peers ...string) *Sharer {
		s, closeSharer, err := New(Config{
			VM: vm, Address: "127.0.0.1:0", Table: own, Budget: budget(), Log: hclog.NewNullLogger(), Peers: func() []string { return peers },
			Bridges: func() []string { return nil },
		})
		c.Assert(err, qt.IsNil)
		c.Cleanup(closeSharer)
		address = s.socket.Address()
		return s
	}
	open("b", heard)
	own := table()
	s := open("a", own, address)
	_, err := own.Choose(gladefleet.Need{Service: "llm", Prompt: 5000}, time.Now())
	c.Assert(err, qt.IsNil)
	for i := 0; load(heard) == 0 && i < 1000; i++ {
		s.Changed()
		time.Sleep(settle)
	}
	c.Assert(load(heard), qt.Equals, load(own))
}

// Pattern: a fleet so large that VMs hear only those of their own failure domain.  What the others place on its servers,
// copies above all, has to count there too.
func TestOtherDomainsCountByTheirSum(t *testing.T) {
	c := qt.New(t)
	var addresses []string
	var mutex sync.Mutex
	peers, bridges := map[string][]string{}, map[string][]string{}
	of := func(m map[string][]string, vm string) []string {
		mutex.Lock()
		defer mutex.Unlock()
		return m[vm]
	}
	open := func(vm, domain string, own *gladefleet.Table) *Sharer {
		s, closeSharer, err := New(Config{
			VM: vm, FailureDomain: domain, Address: "127.0.0.1:0", Table: own, Budget: budget(), Log: hclog.NewNullLogger(),
			Peers: func() []string { return of(peers, vm) }, Bridges: func() []string { return of(bridges, vm) },
		})
		c.Assert(err, qt.IsNil)
		c.Cleanup(closeSharer)
		addresses = append(addresses, s.socket.Address())
		return s
	}
	tables := map[string]*gladefleet.Table{}
	sharers := map[string]*Sharer{}
	for _, vm := range []string{"giza-1", "giza-2", "shubra-1", "shubra-2"} {
		tables[vm] = table()
		sharers[vm] = open(vm, vm[:len(vm)-2], tables[vm])
	}
	mutex.Lock()
	peers["giza-1"], peers["giza-2"] = addresses[1:2], addresses[0:1]
	peers["shubra-1"], peers["shubra-2"] = addresses[3:4], addresses[2:3]
	bridges["giza-1"], bridges["shubra-1"] = addresses[2:3], addresses[0:1]
	mutex.Unlock()
	for _, vm := range []string{"giza-1", "giza-2"} {
		_, err := tables[vm].Choose(gladefleet.Need{Service: "llm", Prompt: 5000}, time.Now())
		c.Assert(err, qt.IsNil)
	}
	want := 2 * load(tables["giza-1"])
	for i := 0; load(tables["shubra-2"]) != want && i < 300; i++ {
		sharers["giza-2"].Changed()
		time.Sleep(settle)
	}
	c.Assert(load(tables["shubra-2"]), qt.Equals, want)
	c.Assert(load(tables["giza-1"]), qt.Equals, want) // nothing comes back
}

// Failure domains change the VM that tells their sum; the sum counts once.
func TestSumsOfOneDomainReplaceEachOther(t *testing.T) {
	c := qt.New(t)
	s := &Sharer{config: Config{FailureDomain: "shubra", Table: table(), Budget: budget()}, peers: map[string]*peer{}}
	tell := func(vm, domain string, began int64, prompt int) bool {
		return s.take(&datagram{VM: vm, FailureDomain: domain, Began: began, Sequence: 1, Shares: map[string]gladefleet.Share{"a": {Prompt: prompt}}}, time.Now())
	}
	c.Assert(tell("g1", "giza", 5, 500), qt.IsTrue)
	c.Assert(tell("g2", "giza", 3, 600), qt.IsTrue)
	c.Assert(tell("s2", "shubra", 9, 900), qt.IsFalse)
	c.Assert(load(s.config.Table), qt.Equals, 600.0)
	tell("s3", "", 1, 50)
	c.Assert(s.total()["a"].Prompt, qt.Equals, 50)
}
