package gladeserve

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// Errors of refused requests; each has its own status, and the connection is closed after the answer.
var (
	ErrMalformed          = eris.New("malformed request")
	ErrHeaderTooLarge     = eris.New("request header too large")
	ErrBodyTooLarge       = eris.New("request body too large")
	ErrUnsupportedVersion = eris.New("unsupported protocol version")
	ErrRequestTimeout     = eris.New("request took too long to arrive")
)

// statusOf returns the HTTP status for an error.
func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrUnsupportedVersion):
		return http.StatusHTTPVersionNotSupported
	case errors.Is(err, ErrRequestTimeout):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrStopping), isNoRoom(err):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// readHead reads up to and including the empty line that ends the header.
func readHead(r *bufio.Reader, head []byte, limit int) ([]byte, error) {
	for {
		line, err := r.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case len(head) > limit:
			return head, ErrHeaderTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return head, err
		case !bytes.HasSuffix(head, []byte("\r\n")):
			return head, eris.Wrap(ErrMalformed, "header line ends without CR")
		case bytes.Equal(head, []byte("\r\n")): // an empty line before the request is allowed
			head = head[:0]
		case bytes.HasSuffix(head, []byte("\r\n\r\n")):
			return head, nil
		}
	}
}

// framing tells how the body of a request is delimited.
type framing struct {
	chunked bool
	length  int64
}

// checkHead accepts only a header that every HTTP parser reads in the same way, and returns the body's framing.
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
			return f, eris.Wrapf(ErrMalformed, "invalid header name %q", name)
		}
		value = strings.Trim(value, " \t")
		if !httpguts.ValidHeaderFieldValue(value) {
			return f, eris.Wrapf(ErrMalformed, "invalid value of header %q", name)
		}
		name = strings.ToLower(name)
		seen[name]++
		if err := f.parseField(name, value); err != nil {
			return f, err
		}
	}
	if seen["host"] != 1 || seen["content-length"] > 1 || seen["transfer-encoding"] > 1 {
		return f, eris.Wrap(ErrMalformed, "Host is missing, or Host, Content-Length or Transfer-Encoding is repeated")
	}
	if seen["content-length"]+seen["transfer-encoding"] > 1 {
		return f, eris.Wrap(ErrMalformed, "both Content-Length and Transfer-Encoding")
	}
	return f, nil
}

func checkRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !httpguts.ValidHeaderFieldName(parts[0]) || !strings.HasPrefix(parts[1], "/") {
		return eris.Wrap(ErrMalformed, "invalid request line")
	}
	for _, b := range []byte(parts[1]) {
		if b <= ' ' || b >= 0x7f || b == '#' {
			return eris.Wrap(ErrMalformed, "invalid request target")
		}
	}
	if parts[2] != "HTTP/1.1" {
		return eris.Wrap(ErrUnsupportedVersion, parts[2])
	}
	return nil
}

func (f *framing) parseField(name, value string) error {
	switch name {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 62)
		if err != nil || strings.HasPrefix(value, "+") {
			return eris.Wrapf(ErrMalformed, "invalid content length %q", value)
		}
		f.length = int64(n)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return eris.Wrapf(ErrMalformed, "unsupported transfer encoding %q", value)
		}
		f.chunked = true
	}
	return nil
}
