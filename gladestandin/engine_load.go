package gladestandin

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

const maxLoadHistory = 64

// loadHistory holds the reports that a lagging engine has taken and not yet shown.
type loadHistory struct {
	reports []gladeapi.LoadReport
	random  *rand.Rand
}

// serveLoad answers with the newest report that is older than the lag, or with an error where one is dropped.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	targets := e.Targets()
	e.mu.Lock()
	report, ok := e.laggingReport(e.report(targets))
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no report", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, report)
}

// report returns the load now; e.mu is held.
func (e *Engine) report(targets []string) gladeapi.LoadReport {
	return gladeapi.LoadReport{
		Backend:     e.config.ID,
		Incarnation: e.config.Incarnation,
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		CacheUsed:   e.cache.used(),
		Targets:     targets,
		Taken:       time.Now(),
	}
}

// laggingReport takes a report and returns the one to show, if there is any; e.mu is held.
func (e *Engine) laggingReport(now gladeapi.LoadReport) (gladeapi.LoadReport, bool) {
	h := &e.loads
	if e.config.LoadDrop > 0 {
		if h.random == nil {
			h.random = rand.New(rand.NewPCG(e.config.LoadSeed, 0))
		}
		if h.random.Float64() < e.config.LoadDrop {
			return now, false
		}
	}
	if e.config.LoadLag == 0 {
		return now, true
	}
	h.reports = append(h.reports, now)
	if len(h.reports) > maxLoadHistory {
		h.reports = h.reports[1:]
	}
	for i := len(h.reports) - 1; i >= 0; i-- {
		if now.Taken.Sub(h.reports[i].Taken) >= e.config.LoadLag {
			return h.reports[i], true
		}
	}
	return now, false
}
