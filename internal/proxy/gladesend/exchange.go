package gladesend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// inlineBytes is the largest body that is written before the answer is read; it fits a small send window.
const inlineBytes = 8 << 10

// maxStale bounds the late answers to earlier requests that are passed over before the one that is due.
const maxStale = 3

// Client sends calls.
type Client struct {
	Pool *Pool
	// Encode adds the headers of a send, Decode reads the answer's; both are the platform's.
	Encode func(http.Header, *Send)
	Decode func(http.Header) Mark
}

// Exchange is one send whose answer has begun; Close must be called.
type Exchange struct {
	Status int
	Header http.Header
	Mark   Mark

	pool     *Pool
	conn     *conn
	body     io.ReadCloser
	whole    bool
	closing  bool
	written  chan error
	stop     func() bool
	closeOne sync.Once
}

// Do sends a call and returns when the answer's header has arrived.
//
// It fails with ErrNotSent if the server did not get it, with ErrBroken or ErrOther if that is not known.
func (c *Client) Do(ctx context.Context, call *Call, s *Send) (*Exchange, error) {
	conn, err := c.Pool.get(ctx, s.Address, s.Fresh)
	if err != nil {
		return nil, err
	}
	x := &Exchange{pool: c.Pool, conn: conn, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	head := c.head(call, s)
	if len(call.Body) <= inlineBytes {
		_, err = conn.Write(append(head, call.Body...))
		x.written <- err
	} else {
		go func() {
			_, err := conn.Write(head)
			if err == nil {
				_, err = conn.Write(call.Body)
			}
			x.written <- err
		}()
	}
	// A write error alone says little: a server may answer before it has read a long body.
	if err := c.read(x, call); err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

func (c *Client) head(call *Call, s *Send) []byte {
	h := call.Header.Clone()
	c.Encode(h, s)
	var b bytes.Buffer
	b.Grow(1024 + len(call.Body))
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	_ = h.Write(&b) // a buffer takes all
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func (c *Client) read(x *Exchange, call *Call) error {
	stale := 0
	for {
		r, err := http.ReadResponse(x.conn.reader, &http.Request{Method: call.Method})
		if err != nil {
			return eris.Wrapf(ErrBroken, "%s: %v", x.conn.address, err)
		}
		if r.StatusCode < http.StatusOK {
			_ = r.Body.Close()
			continue
		}
		x.Status, x.Header, x.body = r.StatusCode, r.Header, r.Body
		x.closing = r.Close || r.ContentLength < 0 && len(r.TransferEncoding) == 0
		x.conn.keepFor(r.Header.Get("Keep-Alive"))
		x.Mark = c.Decode(r.Header)
		if x.Mark.ID != "" && x.Mark.ID != call.ID {
			// A late second answer to an earlier request comes before the one that is due.
			if stale++; stale > maxStale || x.closing {
				return eris.Wrapf(ErrOther, "%s answered %s", x.conn.address, x.Mark.ID)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return eris.Wrapf(ErrBroken, "%s: %v", x.conn.address, err)
			}
			continue
		}
		if x.Mark.ID == "" && r.StatusCode < http.StatusMultipleChoices {
			return eris.Wrapf(ErrOther, "%s answered without an identifier", x.conn.address)
		}
		StripHop(x.Header)
		return nil
	}
}

// Read reads the answer's body; io.EOF tells that it is whole, ErrBroken that it is not.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.body.Read(b)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		x.whole = true
		return n, io.EOF
	default:
		err = eris.Wrapf(ErrBroken, "%s: %v", x.conn.address, err)
	}
	return n, err
}

// Close ends the exchange; unless the answer was whole, the server sees its connection closed.
func (x *Exchange) Close() {
	x.closeOne.Do(func() {
		stopped := x.stop()
		if x.whole && !x.closing && stopped {
			select {
			case err := <-x.written:
				if err == nil {
					x.pool.put(x.conn)
					return
				}
			default: // the server answered before it had read the body
			}
		}
		_ = x.conn.Close()
	})
}

// StripHop removes the headers that concern one connection only.
func StripHop(h http.Header) {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range [...]string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	} {
		h.Del(name)
	}
}
