package gladedaemon

import (
	"net/http"
	"net/http/pprof"
)

// handleProfiles registers the routes of Go's pprof.
func handleProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}
