package gladedatagram

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

type value struct {
	Text string `json:"text"`
}

func open(c *qt.C) (*Socket[value], <-chan value) {
	got := make(chan value, 8)
	s, closeSocket, err := Open(Config[value]{Address: "127.0.0.1:0", OnReceive: func(v value) { got <- v }, Log: hclog.NewNullLogger()})
	c.Assert(err, qt.IsNil)
	c.Cleanup(closeSocket)
	return s, got
}

func TestValuesReachTheirAddresses(t *testing.T) {
	c := qt.New(t)
	a, _ := open(c)
	b, got := open(c)
	c.Assert(a.Send(value{Text: "x"}, []string{"no address", "127.0.0.1:1", b.Address()}), qt.IsNil)
	c.Assert(<-got, qt.Equals, value{Text: "x"})
	// Datagrams that are not valid JSON are ignored.
	_, err := a.conn.WriteTo([]byte("{"), b.conn.LocalAddr())
	c.Assert(err, qt.IsNil)
	c.Assert(a.Send(value{Text: "y"}, []string{b.Address()}), qt.IsNil)
	c.Assert(<-got, qt.Equals, value{Text: "y"})
}

// A reader with a link of 10 Mbit/s sends each change of a hundred servers to forty VMs, several times.
func TestLargeValuesAreCompressed(t *testing.T) {
	c := qt.New(t)
	a, _ := open(c)
	b, got := open(c)
	large := value{Text: strings.Repeat("a backend server ", 2000)}
	for range 2 { // the writer is used again
		c.Assert(a.Send(large, []string{b.Address()}), qt.IsNil)
		c.Assert(<-got, qt.Equals, large)
	}
	raw, err := a.packer.compress([]byte(large.Text))
	c.Assert(err, qt.IsNil)
	c.Assert(len(raw) < len(large.Text)/5, qt.IsTrue)
	small := []byte(`{"text":"x"}`)
	raw, err = a.packer.compress(small)
	c.Assert(err, qt.IsNil)
	c.Assert(raw, qt.DeepEquals, small)
}

// A datagram of some kilobytes may expand to gigabytes.
func TestExpandedSizeIsBounded(t *testing.T) {
	c := qt.New(t)
	var p compressor
	raw, err := p.compress(make([]byte, 100*MaxBytes))
	c.Assert(err, qt.IsNil)
	_, err = decompress(raw)
	c.Assert(err, qt.ErrorIs, ErrTooLarge)
	_, err = decompress(raw[:len(raw)/2])
	c.Assert(err, qt.IsNotNil)
	_, err = decompress([]byte{gzipMagic})
	c.Assert(err, qt.IsNotNil)
}

func TestSendRejectsLargeValues(t *testing.T) {
	c := qt.New(t)
	a, _ := open(c)
	c.Assert(a.Send(value{Text: strings.Repeat("x", MaxBytes)}, nil), qt.ErrorIs, ErrTooLarge)
}

func TestOpenFailsIfAddressIsInUse(t *testing.T) {
	c := qt.New(t)
	a, _ := open(c)
	_, _, err := Open(Config[value]{Address: a.Address(), Log: hclog.NewNullLogger()})
	c.Assert(err, qt.IsNotNil)
}
