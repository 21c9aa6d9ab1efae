package gladeserve

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// The errors of requests that are not served; each is answered with its own status and the connection is closed.
var (
	ErrMalformed   = eris.New("malformed request")
	ErrHeaderLarge = eris.New("request header too large")
	ErrBodyLarge   = eris.New("request body too large")
	ErrVersion     = eris.New("unsupported protocol version")
	ErrSlow        = eris.New("request took too long to arrive")
)

// statusOf returns the status that answers an error.
func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrHeaderLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrBodyLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrVersion):
		return http.StatusHTTPVersionNotSupported
	case errors.Is(err, ErrSlow):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// readHead returns the bytes up to and with the empty line that ends the header.
func readHead(r *bufio.Reader, head []byte, limit int) ([]byte, error) {
	for {
		line, err := r.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case len(head) > limit:
			return head, ErrHeaderLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return head, err
		case !bytes.HasSuffix(head, []byte("\r\n")):
			return head, eris.Wrap(ErrMalformed, "line ends without CR")
		case bytes.Equal(head, []byte("\r\n")): // an empty line before the request is allowed
			head = head[:0]
		case bytes.HasSuffix(head, []byte("\r\n\r\n")):
			return head, nil
		}
	}
}

// framing is how the body of a request is delimited.
type framing struct {
	chunked bool
	length  int64
}

// checkHead accepts a header that every reader takes in the same way and returns the body's framing.
func checkHead(head []byte) (framing, error) {
	var f framing
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n")
	if err := checkRequestLine(lines[0]); err != nil {
		return f, err
	}
	seen := map[string]int{}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !httpguts.ValidHeaderFieldName(name) {
			return f, eris.Wrapf(ErrMalformed, "header name %q", name)
		}
		value = strings.Trim(value, " \t")
		if !httpguts.ValidHeaderFieldValue(value) {
			return f, eris.Wrapf(ErrMalformed, "value of header %q", name)
		}
		name = strings.ToLower(name)
		seen[name]++
		if err := f.learn(name, value); err != nil {
			return f, err
		}
	}
	if seen["host"] != 1 || seen["content-length"] > 1 || seen["transfer-encoding"] > 1 {
		return f, eris.Wrap(ErrMalformed, "host or framing is missing or stands twice")
	}
	if seen["content-length"]+seen["transfer-encoding"] > 1 {
		return f, eris.Wrap(ErrMalformed, "body framed in two ways")
	}
	return f, nil
}

func checkRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !httpguts.ValidHeaderFieldName(parts[0]) || !strings.HasPrefix(parts[1], "/") {
		return eris.Wrap(ErrMalformed, "request line")
	}
	for _, b := range []byte(parts[1]) {
		if b <= ' ' || b >= 0x7f || b == '#' {
			return eris.Wrap(ErrMalformed, "request target")
		}
	}
	if parts[2] != "HTTP/1.1" {
		return eris.Wrap(ErrVersion, parts[2])
	}
	return nil
}

func (f *framing) learn(name, value string) error {
	switch name {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 62)
		if err != nil || strings.HasPrefix(value, "+") {
			return eris.Wrap(ErrMalformed, "content length")
		}
		f.length = int64(n)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return eris.Wrap(ErrMalformed, "transfer encoding")
		}
		f.chunked = true
	}
	return nil
}

// readBody returns a whole body of at most limit bytes.
func readBody(r *bufio.Reader, f framing, limit int64) ([]byte, error) {
	if f.chunked {
		return readChunks(r, limit)
	}
	if f.length > limit {
		return nil, ErrBodyLarge
	}
	if f.length == 0 {
		return nil, nil
	}
	body := make([]byte, f.length)
	_, err := io.ReadFull(r, body)
	return body, err
}

const (
	maxChunkLine = 1024
	maxTrailer   = 8 << 10
)

// readChunks reads a chunked body; extensions and trailers are passed over.
func readChunks(r *bufio.Reader, limit int64) ([]byte, error) {
	var body []byte
	for {
		line, err := chunkLine(r)
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 31)
		if err != nil {
			return nil, eris.Wrap(ErrMalformed, "chunk size")
		}
		if n == 0 {
			return body, skipTrailer(r)
		}
		if int64(len(body))+int64(n) > limit {
			return nil, ErrBodyLarge
		}
		at := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(r, body[at:]); err != nil {
			return nil, err
		}
		var end [2]byte
		if _, err := io.ReadFull(r, end[:]); err != nil {
			return nil, err
		}
		if string(end[:]) != "\r\n" {
			return nil, eris.Wrap(ErrMalformed, "end of chunk")
		}
	}
}

func chunkLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	switch {
	case err != nil && !errors.Is(err, bufio.ErrBufferFull):
		return "", err
	case err != nil || len(line) > maxChunkLine || !bytes.HasSuffix(line, []byte("\r\n")):
		return "", eris.Wrap(ErrMalformed, "chunk line")
	}
	return string(line[:len(line)-2]), nil
}

func skipTrailer(r *bufio.Reader) error {
	for read := 0; ; {
		line, err := chunkLine(r)
		if err != nil || line == "" {
			return err
		}
		if read += len(line); read > maxTrailer {
			return ErrHeaderLarge
		}
	}
}
