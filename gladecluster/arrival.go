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

// Arrival is a request that reached a backend server.
type Arrival struct {
	Backend     string
	Incarnation string
	// RequestID identifies the caller's request, without the number and nonce of an attempt.
	RequestID string
	// Key is the idempotency key, if any.
	Key string
	At  time.Time
}

// reportArrivals calls OnArrival with each request to a backend server before the server handles it.
func (k *Cluster) reportArrivals(s *Server, h http.Handler) http.Handler {
	if k.config.OnArrival == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := Arrival{Backend: s.Backend.ID, Incarnation: s.Backend.Incarnation, At: time.Now()}
		a.Key = r.Header.Get(gladeentry.HeaderIdempotencyKey)
		a.RequestID = r.Header.Get(gladeentry.HeaderRequestID)
		if r.URL.Path == "/v1/completions" {
			a.RequestID = callerRequestID(r)
		}
		if a.RequestID != "" {
			k.config.OnArrival(a)
		}
		h.ServeHTTP(w, r)
	})
}

func callerRequestID(r *http.Request) string {
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
