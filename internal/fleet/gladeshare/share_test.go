package gladeshare

import (
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
		})
		c.Assert(err, qt.IsNil)
		c.Cleanup(closeSharer)
		address = s.socket.LocalAddr().String()
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
