package gladedaemon

import (
	"encoding/json"
	"net/http"

	"github.com/rcrowley/go-metrics"
)

func (d *Daemon) addOperators() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.kernel.Dump()) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(d.metrics, w)
	})
	mux.HandleFunc("GET /explain/{request}", d.serveExplain)
	if err := d.handleNotes(mux); err != nil {
		return err
	}
	address, _, err := d.serve(d.settings.Operators.Listen, mux)
	d.operatorsAddress = address
	return err
}

func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	record, ok := d.record.Get(r.PathValue("request"))
	if !ok {
		http.Error(w, "no record of this request on this VM", http.StatusNotFound)
		return
	}
	writeJSON(w, record)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}
