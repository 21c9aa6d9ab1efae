package gladeentry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// statusClientClosed is the non-standard status that nginx uses for a request whose client has disconnected.
const statusClientClosed = 499

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and whether the request ran.
type ErrorDetail struct {
	Code      gladeapi.Code `json:"code"`
	Message   string        `json:"message"`
	Field     string        `json:"param,omitempty"`
	RequestID string        `json:"requestId"`
	Ran       gladeapi.Ran  `json:"ran"`
}

// WriteRefusal writes a refusal as the response to the request with the given identifier.
func WriteRefusal(w http.ResponseWriter, id string, f *gladeapi.Refusal) {
	if f.RetryAfter > 0 {
		seconds := int((f.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Status)
	_ = json.NewEncoder(w).Encode(errorBody(id, f))
}

func errorBody(id string, f *gladeapi.Refusal) ErrorBody {
	return ErrorBody{Error: ErrorDetail{Code: f.Code, Message: f.Message, Field: f.Field, RequestID: id, Ran: f.Ran}}
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, err error) {
	f := asRefusal(err)
	id := requestID(r)
	s.meters.countRefusal(f.Code)
	s.config.Record.Add(id, "entry", "refused", "%d %s: %s", f.Status, f.Code, f.Message)
	WriteRefusal(w, id, f)
}

// asRefusal returns the refusal that reports the error of a generation or an admission to the caller.
func asRefusal(err error) *gladeapi.Refusal {
	if errors.Is(err, context.Canceled) {
		return &gladeapi.Refusal{
			Status: statusClientClosed, Code: gladeapi.CodeDeadline, Message: "the caller left", Ran: gladeapi.RanUnknown,
		}
	}
	return gladeapi.AsRefusal(err)
}

func newInstance() string {
	return rand.Text()[:6]
}

func (s *Server) newRequestID() string {
	return s.config.VM + "-" + s.instance + "-" + strconv.FormatUint(s.sequence.Add(1), 36)
}
