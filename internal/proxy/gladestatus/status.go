package gladestatus

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/rotisserie/eris"
)

// ErrInvalid means that a response has a status that no server may answer with.  Whether the request was executed is not known.
var ErrInvalid = eris.New("invalid status")

// minStatus and maxStatus are the least and the largest status of HTTP; those below 200 are interim responses.
const minStatus, maxStatus = 100, 599

// invalidStatus is the error of a status that no server may answer with.  It wraps ErrInvalid.
type invalidStatus int

// Error returns the reason.
func (s invalidStatus) Error() string {
	if s == http.StatusSwitchingProtocols {
		return fmt.Sprintf("status %d was not asked for", int(s))
	}
	return fmt.Sprintf("status %03d is outside %d to %d", int(s), minStatus, maxStatus)
}

// Unwrap returns ErrInvalid.
func (invalidStatus) Unwrap() error { return ErrInvalid }

// Check returns an error that wraps ErrInvalid for a status outside 100 to 599, and for 101, as no request of this project asks for
// another protocol.
func Check(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return invalidStatus(status)
	}
	return nil
}

// Do sends a request through a client and returns the response.  A status that Check rejects is an error at once, and the connection is
// closed.
//
// After 101 with an Upgrade header net/http returns the connection in place of the body, a read of which does not end with the request's
// context.  It returns a connection to its pool if a response of any other status has no body.
func Do(client *http.Client, request *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { conn = i.Conn }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := client.Do(request) //nolint:gosec // G704: the request is one that the calling package has built, not one that was received
	if err != nil {
		return nil, err
	}
	if err := Check(response.StatusCode); err != nil {
		if conn != nil && response.ProtoMajor == 1 { // connections of later versions are shared between requests
			_ = conn.Close()
		}
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
