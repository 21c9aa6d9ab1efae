package gladefront

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeforward"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
)

// maxQueryBytes bounds the query of an explanation. A prefix of the largest number of parts fits.
const maxQueryBytes = 16 << 10

// serveWhere explains where a request would go now.
func (f *Front) serveWhere(explain func(gladeforward.Query) (*gladeforward.Where, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, err := parseWhere(r.URL)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := explain(q)
		if failure, ok := errors.AsType[*gladeforward.WhereError](err); ok {
			http.Error(w, failure.Reason, failure.Status)
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			f.log.Warn("Cannot write the explanation.", "reason", err)
		}
	}
}

// parseWhere returns the request that a query describes.
func parseWhere(u *url.URL) (gladeforward.Query, error) {
	if len(u.RawQuery) > maxQueryBytes {
		return gladeforward.Query{}, fmt.Errorf("the query exceeds %d bytes", maxQueryBytes)
	}
	v, err := url.ParseQuery(u.RawQuery)
	if err != nil {
		return gladeforward.Query{}, err
	}
	q := gladeforward.Query{Call: gladesend.Call{
		ID: v.Get("id"), Host: v.Get("host"), Target: v.Get("path"), Key: v.Get("key"), LastEvent: gladesend.NoEvent,
	}}
	if q.Call.Host == "" || q.Call.Target == "" {
		return q, errors.New("host and path must be set")
	}
	for name, n := range map[string]*int{"prompt": &q.Call.PromptTokens, "output": &q.Call.OutputTokens} {
		if text := v.Get(name); text != "" {
			if *n, err = strconv.Atoi(text); err != nil || *n < 0 {
				return q, fmt.Errorf("%s is no number of tokens: %q", name, text)
			}
		}
	}
	if text := v.Get("repeat"); text != "" {
		if q.Repeat, err = strconv.ParseBool(text); err != nil {
			return q, fmt.Errorf("repeat is neither true nor false: %q", text)
		}
	}
	gladeplatform.DecodePrefix(&q.Call, v.Get("prefix"))
	return q, nil
}
