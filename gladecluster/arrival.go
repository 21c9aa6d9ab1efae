package gladecluster

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeengine"
	"github.com/eelgrassglade/eelgrassglade/gladeentry"
)

// Arrival is work that reached a backend server.
type Arrival struct {
	Backend     string
	Incarnation string
	// RequestID is the caller's request, without the number and nonce of an attempt.
	RequestID string
	Key       string
	At        time.Time
}

// observe reports the work that reaches a backend server before the server sees it.
func (k *Cluster) observe(s *Server, h http.Handler) http.Handler {
	if k.config.OnArrival == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := Arrival{Backend: s.Backend.ID, Incarnation: s.Backend.Incarnation, At: time.Now()}
		a.Key = r.Header.Get(gladeentry.HeaderIdempotencyKey)
		a.RequestID = r.Header.Get(gladeentry.HeaderRequestID)
		if r.URL.Path == "/v1/completions" {
			a.RequestID = attemptOf(r)
		}
		if a.RequestID != "" {
			k.config.OnArrival(a)
		}
		h.ServeHTTP(w, r)
	})
}

func attemptOf(r *http.Request) string {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return ""
	}
	r.Body = io.NopCloser(bytes.NewReader(raw))
	var q gladeengine.CompletionRequest
	if err := json.Unmarshal(raw, &q); err != nil {
		return ""
	}
	id, _, _ := strings.Cut(q.RequestID, ".")
	return id
}
