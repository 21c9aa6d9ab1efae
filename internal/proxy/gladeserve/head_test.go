package gladeserve

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const post = "POST /a/b HTTP/1.1\r\nHost: h\r\n"

func TestAmbiguousFramingIsRefused(t *testing.T) {
	tests := map[string]string{
		"length and chunks":      post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"two lengths":            post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n",
		"two encodings":          post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"list of encodings":      post + "Transfer-Encoding: gzip, chunked\r\n\r\n",
		"odd encoding":           post + "Transfer-Encoding: xchunked\r\n\r\n",
		"signed length":          post + "Content-Length: +3\r\n\r\n",
		"list of lengths":        post + "Content-Length: 3, 3\r\n\r\n",
		"negative length":        post + "Content-Length: -3\r\n\r\n",
		"space before the colon": post + "Content-Length : 3\r\n\r\n",
		"folded line":            post + "X: a\r\n b\r\n\r\n",
		"line without CR":        post + "X: a\nY: b\r\n\r\n",
		"bare CR":                post + "X: a\rY: b\r\n\r\n",
		"no colon":               post + "Content-Length\r\n\r\n",
		"zero byte":              post + "X: a\x00b\r\n\r\n",
		"no host":                "GET / HTTP/1.1\r\n\r\n",
		"two hosts":              "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"absolute target":        "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"space in target":        "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
		"control in target":      "GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n",
	}
	for name, head := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			raw, err := readHead(bufio.NewReader(strings.NewReader(head)), nil, 1<<10)
			if err == nil {
				_, err = checkHead(raw)
			}
			c.Assert(err, qt.ErrorIs, ErrMalformed)
			c.Assert(statusOf(err), qt.Equals, http.StatusBadRequest)
		})
	}
}

func TestHeadLimits(t *testing.T) {
	c := qt.New(t)
	_, err := readHead(bufio.NewReaderSize(strings.NewReader(post+strings.Repeat("X: a\r\n", 5000)), 64), nil, 1<<10)
	c.Assert(err, qt.ErrorIs, ErrHeaderTooLarge)
	_, err = checkHead([]byte("GET / HTTP/1.0\r\nHost: h\r\n\r\n"))
	c.Assert(err, qt.ErrorIs, ErrUnsupportedVersion)
	head, err := readHead(bufio.NewReader(strings.NewReader("\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\nrest")), nil, 1<<10)
	c.Assert(err, qt.IsNil)
	c.Assert(string(head), qt.Equals, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
}

func TestBodies(t *testing.T) {
	tests := []struct {
		name, in, body string
		framing        framing
		err            error
	}{
		{"length", "abcrest", "abc", framing{length: 3}, nil},
		{"chunks", "2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: v\r\n\r\nrest", "abc", framing{chunked: true}, nil},
		{"truncated", "ab", "", framing{length: 3}, io.ErrUnexpectedEOF},
		{"truncated chunks", "2\r\nab\r\n", "", framing{chunked: true}, io.EOF},
		{"too long", "abcd", "", framing{length: 1000}, ErrBodyTooLarge},
		{"chunks too long", "ffff\r\n", "", framing{chunked: true}, ErrBodyTooLarge},
		{"chunk size", "x\r\n", "", framing{chunked: true}, ErrMalformed},
		{"chunk end", "1\r\nabc", "", framing{chunked: true}, ErrMalformed},
		{"chunk line without CR", "1\na\r\n", "", framing{chunked: true}, ErrMalformed},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			r := bufio.NewReader(strings.NewReader(x.in))
			body, err := readBody(r, x.framing, 100, nil)
			if x.err != nil {
				c.Assert(err, qt.ErrorIs, x.err)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(string(body), qt.Equals, x.body)
			rest, err := io.ReadAll(r)
			c.Assert(err, qt.IsNil)
			c.Assert(string(rest), qt.Equals, "rest")
		})
	}
}

// FuzzHead searches for heads whose body framing checkHead and the standard library read differently.
func FuzzHead(f *testing.F) {
	f.Add([]byte(post + "Content-Length: 3\r\n\r\n"))
	f.Add([]byte(post + "Transfer-Encoding: chunked\r\n\r\n"))
	f.Add([]byte("GET /%zz HTTP/1.1\r\nHost: h\r\nX:\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		head, err := readHead(bufio.NewReader(bytes.NewReader(in)), nil, 4<<10)
		if err != nil {
			return
		}
		own, err := checkHead(head)
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			return
		}
		if own.chunked != (len(r.TransferEncoding) > 0) || !own.chunked && own.length != r.ContentLength {
			t.Fatalf("framing %+v, but net/http reads transfer encoding %v and length %d", own, r.TransferEncoding, r.ContentLength)
		}
		if errors.Is(err, io.EOF) || strings.ContainsAny(r.RequestURI, " \r\n") {
			t.Fatalf("accepted target %q", r.RequestURI)
		}
	})
}
