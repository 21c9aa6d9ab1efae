package gladereplay

import (
	"cmp"

	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
)

// The names of the built-in workloads.
const (
	NileFixer  = "nile-fixer"
	RathuPaara = "rathu-paara"
)

const routeTimeoutMillis = 3000

// workload describes the pools, model and routes of one user. The pool of the engines has the model's name.
type workload struct {
	model, servicePool string
	routes             []gladenote.Route
}

var workloads = map[string]workload{
	NileFixer: {
		model: "glade-llm", servicePool: "returns-app",
		routes: []gladenote.Route{
			{Name: "post-credit"}, {Name: "book-pickup"}, {Name: "drum-status", Idempotent: true},
		},
	},
	RathuPaara: {
		model: "drafting-llm", servicePool: "booking-app",
		routes: []gladenote.Route{
			{Name: "confirm-deposit"}, {Name: "reserve-stock"}, {Name: "availability", Idempotent: true},
		},
	},
}

// idempotentRoutes are the idempotent routes of all workloads.
var idempotentRoutes = map[string]bool{"drum-status": true, "availability": true}

func (w workload) apply(c *gladecluster.Config) {
	c.EnginePool, c.ServicePool = w.model, w.servicePool
	if c.Note != nil {
		return
	}
	note := gladecluster.DefaultNote()
	note.Added.Models[0].Name, note.Added.Models[0].Pool = w.model, w.model
	note.Added.Versions[0].Model = w.model
	for _, r := range w.routes {
		r.Pool, r.TimeoutMillis = w.servicePool, routeTimeoutMillis
		note.Added.Routes = append(note.Added.Routes, r)
	}
	c.Note = note
}

// defaultModel returns the model of requests that name none.
func (r *replayer) defaultModel() string {
	return cmp.Or(workloads[r.trace.Header.Workload].model, gladecluster.ModelName)
}
