package gladesend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

const ok = "HTTP/1.1 200 OK\r\nId: %\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"

// scripted is a server that answers each request on a connection with the next text; "%" stands for the request's id.
type scripted struct {
	answers []string
	// closing ends the connection after the last answer.
	closing bool
	// conns counts the connections, requests what arrived.
	conns    int
	requests []*http.Request
}

// exchange calls f in virtual time with a client of a scripted server.
func exchange(t *testing.T, s *scripted, f func(c *qt.C, client *Client)) {
	synctest.Test(t, func(t *testing.T) {
		network := &gladewire.Network{}
		l, err := network.Host("server").Listen("tcp", "server:1")
		qt.Assert(t, err, qt.IsNil)
		go s.serve(l)
		vm := network.Host("vm")
		pool, closePool := NewPool(PoolConfig{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return vm.Dial(ctx, "tcp", address)
		}})
		f(qt.New(t), &Client{
			Pool:   pool,
			Encode: func(h http.Header, s *Send) { h.Set("Server", s.Server) },
			Decode: func(h http.Header) Mark {
				return Mark{ID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != ""}
			},
		})
		closePool()
		_ = l.Close()
		network.Kill("server")
		synctest.Wait()
	})
}

func (s *scripted) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.conns++
		go s.answer(conn)
	}
}

func (s *scripted) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests = append(s.requests, request)
		if len(s.answers) == 0 {
			return
		}
		text := s.answers[0]
		s.answers = s.answers[1:]
		if _, err := io.WriteString(conn, strings.ReplaceAll(text, "%", request.Header.Get("Id"))); err != nil {
			return
		}
		if s.closing && len(s.answers) == 0 {
			return
		}
	}
}

// get sends one call and returns the whole body.
func get(client *Client, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	call := &Call{ID: id, Method: http.MethodPost, Target: "/p?q=%2f", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body")}
	x, err := client.Do(ctx, call, &Send{Server: "s1", Address: "server:1"})
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	return string(body), err
}

func TestConnectionIsKeptAfterAWholeAnswer(t *testing.T) {
	s := &scripted{answers: []string{ok, ok, ok}}
	exchange(t, s, func(c *qt.C, client *Client) {
		for _, id := range []string{"1", "2"} {
			body, err := get(client, id)
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, "ok")
		}
		c.Assert(s.conns, qt.Equals, 1)
		c.Assert(s.requests[0].RequestURI, qt.Equals, "/p?q=%2f")
		c.Assert(s.requests[0].Header.Get("Server"), qt.Equals, "s1")
		time.Sleep(defaultKeep) // too old to be used again
		_, err := get(client, "3")
		c.Assert(err, qt.IsNil)
		c.Assert(s.conns, qt.Equals, 2)
	})
}

// An answer that comes late, where the next one is due, belongs to no other request.
func TestLateSecondAnswerIsPassedOver(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nId: 0\r\nSeal: s\r\nContent-Length: 4\r\n\r\nlate"
	s := &scripted{answers: []string{late + ok}}
	exchange(t, s, func(c *qt.C, client *Client) {
		body, err := get(client, "1")
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
	})
	s = &scripted{answers: []string{late + late + late + late + ok}}
	exchange(t, s, func(c *qt.C, client *Client) {
		_, err := get(client, "1")
		c.Assert(err, qt.ErrorIs, ErrOther)
	})
}

// Bytes beyond an answer make the connection useless for the next request.
func TestConnectionWithExtraBytesIsNotKept(t *testing.T) {
	s := &scripted{answers: []string{ok + "HTTP/1.1 200 OK\r\n", ok}}
	exchange(t, s, func(c *qt.C, client *Client) {
		for _, id := range []string{"1", "2"} {
			body, err := get(client, id)
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, "ok")
		}
		c.Assert(s.conns, qt.Equals, 2)
	})
}

func TestAnswersThatAreNone(t *testing.T) {
	tests := map[string]struct {
		answer string
		want   error
	}{
		"garbage":       {"garbage\r\n\r\n", ErrBroken},
		"cut header":    {"HTTP/1.1 200 OK\r\nId: %\r\n", ErrBroken},
		"cut body":      {"HTTP/1.1 200 OK\r\nId: %\r\nContent-Length: 9\r\n\r\nhalf", ErrBroken},
		"cut chunks":    {"HTTP/1.1 200 OK\r\nId: %\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", ErrBroken},
		"no identifier": {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ErrOther},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			exchange(t, &scripted{answers: []string{x.answer}, closing: true}, func(c *qt.C, client *Client) {
				_, err := get(client, "1")
				c.Assert(err, qt.ErrorIs, x.want)
				c.Assert(errors.Is(err, ErrNotSent), qt.IsFalse)
			})
		})
	}
}

func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	s := &scripted{answers: []string{"HTTP/1.1 200 OK\r\nId: %\r\nSeal: s\r\n\r\nwhole"}, closing: true}
	exchange(t, s, func(c *qt.C, client *Client) {
		body, err := get(client, "1")
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "whole")
	})
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	exchange(t, &scripted{}, func(c *qt.C, client *Client) {
		_, err := client.Do(c.Context(), &Call{Header: http.Header{}}, &Send{Address: "nobody:1"})
		c.Assert(err, qt.ErrorIs, ErrNotSent)
		c.Assert(client.Pool.Probe(c.Context(), "nobody:1"), qt.ErrorIs, ErrNotSent)
		c.Assert(client.Pool.Probe(c.Context(), "server:1"), qt.IsNil)
	})
}

func TestHopHeadersGoNoFurther(t *testing.T) {
	h := http.Header{"Connection": {"close, X-Own"}, "X-Own": {"1"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"}, "X-Kept": {"1"}}
	StripHop(h)
	qt.Assert(t, h, qt.DeepEquals, http.Header{"X-Kept": {"1"}})
}
