package gladedaemon

import (
	"net/http"
	"net/http/pprof"
)

// handleProfiles adds Go's profiles to the operators' requests.
func handleProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}
