package gladestandin

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// maxLoadHistory is the number of load reports kept for LoadLag.
const maxLoadHistory = 64

// loadHistory holds the last maxLoadHistory load reports of an engine with LoadLag.
type loadHistory struct {
	reports []gladeapi.LoadReport
	random  *rand.Rand
}

// serveLoad writes the newest report that is at least LoadLag old, or an error if there is none or it is dropped.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	targets := e.Targets()
	e.mu.Lock()
	report, ok := e.delayedReport(e.currentLoad(targets))
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no report", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, report)
}

// currentLoad returns a report of the current load. The caller holds e.mu.
func (e *Engine) currentLoad(targets []string) gladeapi.LoadReport {
	return gladeapi.LoadReport{
		Backend:     e.config.ID,
		Incarnation: e.config.Incarnation,
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		CacheUsed:   e.cache.usedShare(),
		Targets:     targets,
		Taken:       time.Now(),
	}
}

// delayedReport stores the current report and returns the report to send, if there is one. The caller holds e.mu.
func (e *Engine) delayedReport(now gladeapi.LoadReport) (gladeapi.LoadReport, bool) {
	h := &e.loadHistory
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
