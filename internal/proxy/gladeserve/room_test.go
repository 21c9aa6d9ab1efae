package gladeserve

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladewire"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

const (
	// roomBody is the largest body that the server of these tests accepts.
	roomBody = 256 << 10
	// roomBytes is its memory: for one body with the buffer of half its size that it grew from, and its header.
	roomBytes = roomBody*3/2 + 4<<10
)

// withRoom runs f in virtual time with a server that has little memory and takes two connections.  A write to a caller that does not
// read blocks at once.
func withRoom(t *testing.T, h func(context.Context, *Exchange), f func(c *qt.C, l *gladememory.Ledger, dial func() *caller)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := &gladewire.Network{}
		listener, err := network.Host("vm").Listen("tcp", "vm:80")
		c.Assert(err, qt.IsNil)
		l := gladememory.New(gladememory.Config{Limits: gladememory.Limits{Large: roomBytes, Small: 64 << 10}})
		_, closeServer := New(Config{
			Listener: listener, Handle: h, OnRefused: func(int, error) {}, Memory: l, MaxConnections: 2,
			Limits: func() gladerelease.Limits {
				return gladerelease.Limits{HeaderBytes: 1 << 10, BodyBytes: roomBody, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
			},
		})
		defer closeServer()
		f(c, l, func() *caller {
			conn, err := network.Host("caller").Dial(t.Context(), "tcp", "vm:80")
			c.Assert(err, qt.IsNil)
			t.Cleanup(func() { _ = conn.Close() })
			synctest.Wait()
			return &caller{C: c, Conn: conn, reader: bufio.NewReader(conn)}
		})
	})
}

func withLength(n int) string { return post + fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

func length(_ context.Context, x *Exchange) {
	x.Reply(http.StatusOK, http.Header{}, []byte(fmt.Sprint(len(x.Body))))
}

// sendBody sends a body in the background: the server may stop to read it.
func (c *caller) sendBody(announced, sent int) {
	go func(conn net.Conn) { _, _ = conn.Write([]byte(withLength(announced) + strings.Repeat("a", sent))) }(c.Conn)
	synctest.Wait()
}

// Guards against stalled bodies that keep others out, and against a refusal that does not say when to come back.
func TestStalledBodyLosesItsPlace(t *testing.T) {
	withRoom(t, length, func(c *qt.C, l *gladememory.Ledger, dial func() *caller) {
		stalled := dial()
		stalled.sendBody(roomBody, roomBody-1)
		c.Assert(l.Stats().Large >= roomBody, qt.IsTrue)
		early := dial()
		early.sendBody(roomBody, roomBody) // the other one may still go on
		r, _, err := early.readResponse()
		c.Assert(err, qt.IsNil)
		c.Assert(r.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(r.Header.Get("Retry-After"), qt.Equals, noRoomRetryAfter)
		c.Assert(r.Close, qt.IsTrue)
		time.Sleep(gladememory.StallTime)
		late := dial()
		late.sendBody(roomBody, roomBody)
		r, body, err := late.readResponse()
		c.Assert(err, qt.IsNil)
		c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(body, qt.Equals, fmt.Sprint(roomBody))
		r, _, err = stalled.readResponse()
		c.Assert(err, qt.IsNil)
		c.Assert(r.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		synctest.Wait()
		c.Assert(l.Stats().Large+l.Stats().Small, qt.Equals, int64(0))
	})
}

// Guards against memory that is taken for what was announced and has not arrived, and against large bodies that keep small ones out.
func TestAnnouncedBodyTakesNoMemory(t *testing.T) {
	withRoom(t, length, func(c *qt.C, l *gladememory.Ledger, dial func() *caller) {
		first := dial()
		first.sendBody(roomBody, 1)
		c.Assert(l.Stats().Small < 4<<10, qt.IsTrue)
		c.Assert(l.Stats().Large, qt.Equals, int64(0))
		hog := l.NewHold(func() {})
		c.Assert(hog.Grow(roomBytes, time.Now()), qt.IsNil)
		small := dial()
		small.sendBody(8<<10, 8<<10)
		_, body, err := small.readResponse()
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, fmt.Sprint(8<<10))
	})
}

// Guards against answers that stay in memory because their callers do not read them.
func TestUnreadAnswerLosesItsPlace(t *testing.T) {
	answer := func(ctx context.Context, x *Exchange) {
		if len(x.Body) > 0 {
			length(ctx, x)
			return
		}
		if x.Hold.Grow(roomBody, time.Now()) == nil {
			x.Reply(http.StatusOK, http.Header{}, make([]byte, roomBody))
		}
	}
	withRoom(t, answer, func(c *qt.C, l *gladememory.Ledger, dial func() *caller) {
		unread := dial()
		unread.send(get)
		time.Sleep(gladememory.StallTime)
		reads := dial()
		reads.sendBody(roomBody, roomBody)
		_, body, err := reads.readResponse()
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, fmt.Sprint(roomBody))
		_, _, err = unread.readResponse()
		c.Assert(err, qt.IsNotNil)
		c.Assert(l.Stats().Evicted[gladememory.Answering], qt.Equals, int64(1))
	})
}

// Guards against connections that use up the descriptors: the one that is idle for longest is closed, and none with a request.
func TestIdleConnectionMakesRoom(t *testing.T) {
	slow := func(ctx context.Context, x *Exchange) { time.Sleep(time.Second); echo(ctx, x) }
	withRoom(t, slow, func(c *qt.C, _ *gladememory.Ledger, dial func() *caller) {
		busy := dial()
		busy.send(get)
		idle := dial()
		time.Sleep(time.Millisecond)
		third := dial()
		_, err := idle.reader.ReadByte()
		c.Assert(err, qt.IsNotNil)
		third.send(get)
		synctest.Wait()
		fourth := dial() // all have requests
		_, err = fourth.reader.ReadByte()
		c.Assert(err, qt.IsNotNil)
		for _, x := range []*caller{busy, third} {
			_, body, err := x.readResponse()
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, "/a ")
		}
	})
}
