package gladesend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

const okAnswer = "HTTP/1.1 200 OK\r\nId: %\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"

const notRunAnswer = "HTTP/1.1 503 Service Unavailable\r\nId: %\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

// scriptedServer answers each request with the next of its answers, in which "%" stands for the identifier of the
// request.
type scriptedServer struct {
	answers []string
	// late is sent before the answer to each request but the first on a connection; "%" stands for the identifier of the request before it.
	late string
	// closeAtEnd makes the server close the connection after the last answer.
	closeAtEnd bool
	// conns counts the accepted connections.
	conns int
	// requests are the requests received, in order.
	requests []*http.Request
}

// runWithServer calls f in virtual time with a client that can reach s at "server:1".
func runWithServer(t *testing.T, s *scriptedServer, f func(c *qt.C, client *Client)) {
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
			Encode: func(h http.Header, s *SendParams) { h.Set("Server", s.Server) },
			Decode: func(h http.Header) AnswerInfo {
				return AnswerInfo{ID: h.Get("Id"), Signed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != ""}
			},
		})
		closePool()
		_ = l.Close()
		network.Kill("server")
		synctest.Wait()
	})
}

func (s *scriptedServer) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.conns++
		go s.answer(conn)
	}
}

func (s *scriptedServer) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	late := ""
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
		if _, err := io.WriteString(conn, late+strings.ReplaceAll(text, "%", request.Header.Get("Id"))); err != nil {
			return
		}
		late = strings.ReplaceAll(s.late, "%", request.Header.Get("Id"))
		if s.closeAtEnd && len(s.answers) == 0 {
			return
		}
	}
}

// sendAndRead sends one call and returns the complete body of its answer.
func sendAndRead(client *Client, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	call := &Call{ID: id, Method: http.MethodPost, Target: "/p?q=%2f", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body")}
	x, err := client.Do(ctx, call, &SendParams{Server: "s1", Address: "server:1"})
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	return string(body), err
}

func TestConnectionReusedAfterCompleteAnswer(t *testing.T) {
	s := &scriptedServer{answers: []string{okAnswer, okAnswer, okAnswer}}
	runWithServer(t, s, func(c *qt.C, client *Client) {
		for _, id := range []string{"1", "2"} {
			body, err := sendAndRead(client, id)
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, "ok")
		}
		c.Assert(s.conns, qt.Equals, 1)
		c.Assert(s.requests[0].RequestURI, qt.Equals, "/p?q=%2f")
		c.Assert(s.requests[0].Header.Get("Server"), qt.Equals, "s1")
		time.Sleep(defaultIdleTimeout) // the connection expires
		_, err := sendAndRead(client, "3")
		c.Assert(err, qt.IsNil)
		c.Assert(s.conns, qt.Equals, 2)
	})
}

// A late second answer to an earlier request must not be returned as the answer to the next request on the connection.
func TestStaleAnswersSkipped(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nId: 0\r\nSeal: s\r\nContent-Length: 4\r\n\r\nlate"
	s := &scriptedServer{answers: []string{late + okAnswer}}
	runWithServer(t, s, func(c *qt.C, client *Client) {
		body, err := sendAndRead(client, "1")
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
	})
	s = &scriptedServer{answers: []string{late + late + late + late + okAnswer}}
	runWithServer(t, s, func(c *qt.C, client *Client) {
		_, err := sendAndRead(client, "1")
		c.Assert(err, qt.ErrorIs, ErrWrongAnswer)
	})
}

// Guards against a late second answer to a request that is taken for the answer to the next send of that request.
func TestRequestIsSentOncePerConnection(t *testing.T) {
	s := &scriptedServer{late: notRunAnswer, answers: []string{notRunAnswer, okAnswer, okAnswer, okAnswer, okAnswer}}
	runWithServer(t, s, func(c *qt.C, client *Client) {
		for i, x := range []struct {
			id, body string
			conns    int
		}{
			{"1", "", 1},
			{"1", "ok", 2}, // the late rejection would be its answer on the first connection
			{"2", "ok", 2},
			{"1", "ok", 3},
			{"2", "ok", 3},
		} {
			body, err := sendAndRead(client, x.id)
			c.Check(err, qt.IsNil)
			c.Check(body, qt.Equals, x.body, qt.Commentf("send %d", i))
			c.Check(s.conns, qt.Equals, x.conns, qt.Commentf("send %d", i))
		}
	})
}

// Guards against a request that a server runs and that counts as rejected, because a late answer without an identifier, to an earlier request,
// is taken for the answer to it.
func TestAnswerWithoutIdentifierIsNoAnswerToLaterRequest(t *testing.T) {
	unnamed := strings.ReplaceAll(notRunAnswer, "Id: %\r\n", "")
	s := &scriptedServer{late: unnamed, answers: []string{okAnswer, okAnswer}}
	runWithServer(t, s, func(c *qt.C, client *Client) {
		_, err := sendAndRead(client, "1")
		c.Assert(err, qt.IsNil)
		_, err = sendAndRead(client, "2")
		c.Assert(err, qt.ErrorIs, ErrWrongAnswer)
	})
	s = &scriptedServer{late: unnamed, answers: []string{unnamed, okAnswer}}
	runWithServer(t, s, func(c *qt.C, client *Client) {
		_, err := sendAndRead(client, "1")
		c.Assert(err, qt.IsNil)
		body, err := sendAndRead(client, "2")
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
		c.Assert(s.conns, qt.Equals, 2)
	})
}

// Guards against connections whose memory of the requests sent on them grows without a limit.
func TestConnectionIsReplacedAfterManyRequests(t *testing.T) {
	s := &scriptedServer{}
	for range maxConnectionRequests + 1 {
		s.answers = append(s.answers, okAnswer)
	}
	runWithServer(t, s, func(c *qt.C, client *Client) {
		for i := range maxConnectionRequests + 1 {
			_, err := sendAndRead(client, strconv.Itoa(i))
			c.Assert(err, qt.IsNil)
			c.Assert(s.conns, qt.Equals, 1+i/maxConnectionRequests)
		}
	})
}

// Bytes beyond an answer would be read as the start of the next one, so the connection must not be reused.
func TestConnectionWithExtraBytesNotReused(t *testing.T) {
	s := &scriptedServer{answers: []string{okAnswer + "HTTP/1.1 200 OK\r\n", okAnswer}}
	runWithServer(t, s, func(c *qt.C, client *Client) {
		for _, id := range []string{"1", "2"} {
			body, err := sendAndRead(client, id)
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, "ok")
		}
		c.Assert(s.conns, qt.Equals, 2)
	})
}

func TestInvalidAnswers(t *testing.T) {
	tests := map[string]struct {
		answer string
		want   error
	}{
		"garbage":       {"garbage\r\n\r\n", ErrBroken},
		"cut header":    {"HTTP/1.1 200 OK\r\nId: %\r\n", ErrBroken},
		"cut body":      {"HTTP/1.1 200 OK\r\nId: %\r\nContent-Length: 9\r\n\r\nhalf", ErrBroken},
		"cut chunks":    {"HTTP/1.1 200 OK\r\nId: %\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", ErrBroken},
		"no identifier": {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ErrWrongAnswer},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			runWithServer(t, &scriptedServer{answers: []string{x.answer}, closeAtEnd: true}, func(c *qt.C, client *Client) {
				_, err := sendAndRead(client, "1")
				c.Assert(err, qt.ErrorIs, x.want)
				c.Assert(errors.Is(err, ErrNotSent), qt.IsFalse)
			})
		})
	}
}

func TestAnswerDelimitedByConnectionClose(t *testing.T) {
	s := &scriptedServer{answers: []string{"HTTP/1.1 200 OK\r\nId: %\r\nSeal: s\r\n\r\nwhole"}, closeAtEnd: true}
	runWithServer(t, s, func(c *qt.C, client *Client) {
		body, err := sendAndRead(client, "1")
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "whole")
	})
}

func TestRefusedConnectionReportsNotSent(t *testing.T) {
	runWithServer(t, &scriptedServer{}, func(c *qt.C, client *Client) {
		_, err := client.Do(c.Context(), &Call{Header: http.Header{}}, &SendParams{Address: "nobody:1"})
		c.Assert(err, qt.ErrorIs, ErrNotSent)
		c.Assert(client.Pool.Probe(c.Context(), "nobody:1"), qt.ErrorIs, ErrNotSent)
		c.Assert(client.Pool.Probe(c.Context(), "server:1"), qt.IsNil)
	})
}

func TestConnectionHeadersRemoved(t *testing.T) {
	h := http.Header{"Connection": {"close, X-Own"}, "X-Own": {"1"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"}, "X-Kept": {"1"}}
	StripHopHeaders(h)
	qt.Assert(t, h, qt.DeepEquals, http.Header{"X-Kept": {"1"}})
}
