package gladefront

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// What a server says of its load must reach the choice of servers and must not reach the caller.
func TestReportedLoadReachesTheFleet(t *testing.T) {
	f := newTestFleet(t)
	f.publish(1, "/a/")
	f.listenAt(f.address(202, 8000), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", "seal")
		w.Header().Set("Server-Load", "2,0,6,170")
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	f.store.put("servers", "i-1", strings.ReplaceAll(
		`{"service":"app","addr":"ADDR","zone":"shubra","slots":6,"state":"ready","born":1}`, "ADDR", f.address(202, 8000)))
	front, _ := f.startVM(1)
	f.eventually("served", func() bool { return f.serves(1, "/a/x") })
	_, header, _ := f.get(1, 8000, "/a/x")
	f.Assert(header.Get("Server-Load"), qt.Equals, "")
	f.Assert(front.Dump().Servers[0].WorkPercent, qt.Equals, 170.0)
	_, _, text := f.get(1, 9464, "/metrics")
	f.Assert(strings.Contains(text, "gauge servers.reporting\n  value:               1"), qt.IsTrue, qt.Commentf("%s", text))
}
