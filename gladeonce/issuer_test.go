package gladeonce

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

func issuedCall(key string) Call {
	return Call{Organisation: "nile-fixer", Route: "returns", Key: key, Body: "b"}
}

func TestIssuedKeyRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		i := NewIssuer(IssuerConfig{VM: "shubra.vm-1", Incarnation: "1"})
		call := issuedCall(i.Issue("nile-fixer", "returns"))
		runs := 0
		send := func(context.Context) (*Outcome, error) {
			runs++
			time.Sleep(time.Second)
			return &Outcome{Status: 200}, nil
		}
		cancelled, cancel := context.WithCancel(t.Context())
		cancel() // a disconnected caller does not abort the call
		var g sync.WaitGroup
		for _, ctx := range []context.Context{cancelled, t.Context(), t.Context()} {
			g.Go(func() { _, _ = i.Do(ctx, call, send) })
			time.Sleep(time.Millisecond)
		}
		g.Wait()
		o, err := i.Do(t.Context(), call, send)
		c.Assert(err, qt.IsNil)
		c.Assert(o.Status, qt.Equals, 200)
		time.Sleep(defaultKeyLifetime)
		for range 3 { // removed, but not run again
			_, err = i.Do(t.Context(), call, send)
			c.Assert(ran(err), qt.Equals, gladeapi.RanUnknown)
			i.hasRoom("")
			time.Sleep(2 * time.Second)
		}
		c.Assert(i.used, qt.HasLen, 0)
		c.Assert(runs, qt.Equals, 1)
	})
}

func TestIssuedKeyOfOtherIssuerOrOrganisation(t *testing.T) {
	c := qt.New(t)
	a := NewIssuer(IssuerConfig{VM: "a", Incarnation: "1"})
	key := a.Issue("nile-fixer", "returns")
	other := issuedCall(a.Issue("rathu-paara", "returns"))
	for _, x := range []struct {
		name   string
		issuer *Issuer
		call   Call
		ran    gladeapi.Ran
	}{
		{"later incarnation", NewIssuer(IssuerConfig{VM: "a", Incarnation: "2"}), issuedCall(key), gladeapi.RanUnknown},
		{"same name and incarnation, other process", NewIssuer(IssuerConfig{VM: "a", Incarnation: "1"}), issuedCall(key), gladeapi.NotRun},
		{"another organisation's", a, other, gladeapi.NotRun},
		{"caller-made", a, issuedCall("k"), gladeapi.RanUnknown},
	} {
		c.Run(x.name, func(c *qt.C) {
			_, err := x.issuer.Do(c.Context(), x.call, func(context.Context) (*Outcome, error) {
				c.Error("sent")
				return nil, nil
			})
			c.Assert(ran(err), qt.Equals, x.ran)
		})
	}
}

func TestIssuerIsBounded(t *testing.T) {
	c := qt.New(t)
	i := NewIssuer(IssuerConfig{VM: "a", Incarnation: "1", MaxKeys: 2})
	ok := func(context.Context) (*Outcome, error) { return &Outcome{Status: 200}, nil }
	for n := range 3 {
		_, err := i.Do(t.Context(), issuedCall(i.Issue("nile-fixer", "returns")), ok)
		c.Assert(err == nil, qt.Equals, n < 2)
	}
}
