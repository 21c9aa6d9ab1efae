package gladefront

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeforward"
)

// Guards against an endpoint that callers reach, that sends the request, or that does not tell a wrong query from an unknown route.
func TestWhereIsServedToOperators(t *testing.T) {
	f := newTestFleet(t)
	f.startVM(1)
	f.eventually("metrics address", func() bool { status, _, _ := f.get(1, 9464, "/metrics"); return status == http.StatusOK })
	status, _, body := f.get(1, 9464, "/where?host=h&path=/a/x")
	f.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	f.Assert(body, qt.Equals, "this VM has no release that it can use\n")
	f.publish(1, "/a/")
	f.eventually("served", func() bool { return f.serves(1, "/a/x") })
	runs := f.runs.Load()
	status, _, body = f.get(1, 9464, "/where?host=h&path=/a/x&prompt=5000&output=10&prefix=1f:200,2a:4800&repeat=true")
	f.Assert(status, qt.Equals, http.StatusOK)
	var w gladeforward.Where
	f.Assert(json.Unmarshal([]byte(body), &w), qt.IsNil)
	f.Assert([]string{w.Decision, w.Route, w.Service, w.Servers[0].ID}, qt.DeepEquals, []string{gladeforward.WhereSend, "r", "app", "i-1"})
	for query, want := range map[string]int{
		"host=h": http.StatusBadRequest, "host=h&path=/a/x&prompt=-1": http.StatusBadRequest, "host=h&path=/a/x&repeat=2": http.StatusBadRequest,
		"host=h&path=/a/x&prefix=" + strings.Repeat("a", maxQueryBytes): http.StatusBadRequest, "host=h&path=/b/x": http.StatusNotFound,
	} {
		status, _, _ = f.get(1, 9464, "/where?"+query)
		f.Assert(status, qt.Equals, want, qt.Commentf("%.40s", query))
	}
	status, _, _ = f.get(1, 8000, "/where?host=h&path=/a/x")
	f.Assert(status, qt.Equals, http.StatusNotFound)
	f.Assert(f.runs.Load(), qt.Equals, runs)
}
