package gladeshare

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladebudget"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladedatagram"
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
			Bridges: func() map[string]string { return nil },
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
	peers, bridges := map[string][]string{}, map[string]map[string]string{}
	open := func(vm, domain string, own *gladefleet.Table) *Sharer {
		s, closeSharer, err := New(Config{
			VM: vm, FailureDomain: domain, Address: "127.0.0.1:0", Table: own, Budget: budget(), Log: hclog.NewNullLogger(),
			Peers:   func() []string { mutex.Lock(); defer mutex.Unlock(); return peers[vm] },
			Bridges: func() map[string]string { mutex.Lock(); defer mutex.Unlock(); return bridges[vm] },
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
	bridges["giza-1"] = map[string]string{"shubra": addresses[2]}
	bridges["shubra-1"] = map[string]string{"giza": addresses[0]}
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
	c.Assert(s.total("shubra")["a"].Prompt, qt.Equals, 50)
}

// Pattern: many changes a second in a failure domain of thirty VMs, some with links of 10 Mbit/s: between two whole
// datagrams only what has changed is told, and a lost one is made good by the next whole one.
func TestChangesAreToldAlone(t *testing.T) {
	c := qt.New(t)
	before := map[string]gladefleet.Share{"a": {Runs: 1}, "b": {Runs: 2}, "c": {Runs: 3}}
	after := map[string]gladefleet.Share{"a": {Runs: 1}, "b": {Runs: 4}, "d": {Runs: 1}}
	part := changes(before, after)
	c.Assert(part, qt.DeepEquals, map[string]gladefleet.Share{"b": {Runs: 4}, "c": {}, "d": {Runs: 1}})

	s := &Sharer{config: Config{Table: table(), Budget: budget()}, peers: map[string]*peer{}}
	tell := func(began, sequence int64, part bool, shares map[string]gladefleet.Share) {
		s.take(&datagram{VM: "v", Began: began, Sequence: sequence, Part: part, Shares: shares}, time.Now())
	}
	tell(1, 1, false, map[string]gladefleet.Share{"a": {Prompt: 500}})
	tell(1, 2, true, map[string]gladefleet.Share{"b": {Prompt: 100}})
	c.Assert(load(s.config.Table), qt.Equals, 500.0)
	c.Assert(s.peers["v"].shares, qt.DeepEquals, map[string]gladefleet.Share{"a": {Prompt: 500}, "b": {Prompt: 100}})
	c.Assert(s.total("shubra"), qt.DeepEquals, map[string]gladefleet.Share{"a": {Prompt: 500}}) // b is not known
	c.Assert(s.total("giza"), qt.HasLen, 0)
	tell(1, 4, true, map[string]gladefleet.Share{"a": {Prompt: 700}, "b": {}})
	tell(1, 3, true, map[string]gladefleet.Share{"a": {Prompt: 900}}) // late
	c.Assert(load(s.config.Table), qt.Equals, 700.0)
	c.Assert(s.peers["v"].shares, qt.DeepEquals, map[string]gladefleet.Share{"a": {Prompt: 700}})
	tell(1, 5, true, map[string]gladefleet.Share{"a": {}})
	c.Assert(load(s.config.Table), qt.Equals, 0.0)
	tell(2, 1, true, map[string]gladefleet.Share{"a": {Prompt: 50}}) // a new life, whose first whole datagram was lost
	c.Assert(load(s.config.Table), qt.Equals, 50.0)
}

// Pattern: the sum of a large failure domain names a hundred servers; a datagram of several packets does not arrive on a
// full link, so each goes in one packet.
func TestLargeSumsGoInParts(t *testing.T) {
	c := qt.New(t)
	const servers = 100
	wide := func() *gladefleet.Table {
		t := table()
		for i := range servers {
			t.Put(gladefleet.Server{ID: fmt.Sprintf("i-%010d", i), Address: fmt.Sprint(i), Service: "llm", FailureDomain: "shubra", Slots: 12}, time.Now())
		}
		return t
	}
	var sizes []int
	heard := &Sharer{config: Config{Table: wide(), Budget: budget()}, peers: map[string]*peer{}}
	got := make(chan datagram, servers)
	socket, closeSocket, err := gladedatagram.Open(gladedatagram.Config[datagram]{
		Address: "127.0.0.1:0", Log: hclog.NewNullLogger(), OnReceive: func(d datagram) { got <- d },
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(closeSocket)
	s := &Sharer{config: Config{Log: hclog.NewNullLogger()}, socket: socket}
	shares := map[string]gladefleet.Share{}
	for i := range servers {
		shares[fmt.Sprintf("i-%010d", i)] = gladefleet.Share{Runs: 10, Prompt: 10_000, Memory: 40_000, Copies: 40_000}
	}
	last := s.sendParts(datagram{VM: "v", FailureDomain: "giza", Began: 1, Shares: shares}, []string{socket.Address()}, 0)
	for range last {
		d := <-got
		raw, err := json.Marshal(d)
		c.Assert(err, qt.IsNil)
		sizes = append(sizes, len(raw))
		heard.take(&d, time.Now())
	}
	for _, n := range sizes {
		c.Assert(n < 1400, qt.IsTrue, qt.Commentf("%d bytes", n))
	}
	c.Assert(heard.peers["all of giza"].shares, qt.DeepEquals, shares)
	// The next sum begins anew: what is no longer in it is gone.
	next := s.sendParts(datagram{VM: "v", FailureDomain: "giza", Began: 1, Sequence: last, Shares: nil}, []string{socket.Address()}, 0)
	c.Assert(next, qt.Equals, last+1)
	d := <-got
	heard.take(&d, time.Now())
	c.Assert(heard.peers["all of giza"].shares, qt.HasLen, 0)
}
