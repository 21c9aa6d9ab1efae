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

// statusClientClosed is the customary status for a request whose caller is gone.
const statusClientClosed = 499

// ErrorBody is the JSON of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong and whether the request ran.
type ErrorDetail struct {
	Code      gladeapi.Code `json:"code"`
	Message   string        `json:"message"`
	Field     string        `json:"param,omitempty"`
	RequestID string        `json:"requestId"`
	Ran       gladeapi.Ran  `json:"ran"`
}

// WriteRefusal answers a request with a refusal.
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
	s.meters.refused(f.Code)
	s.config.Record.Add(id, "entry", "refused", "%d %s: %s", f.Status, f.Code, f.Message)
	WriteRefusal(w, id, f)
}

// asRefusal turns what a generation or an admission ended with into what its caller is told.
func asRefusal(err error) *gladeapi.Refusal {
	if errors.Is(err, context.Canceled) {
		return &gladeapi.Refusal{
			Status: statusClientClosed, Code: gladeapi.CodeDeadline, Message: "the caller left", Ran: gladeapi.Unknown,
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
