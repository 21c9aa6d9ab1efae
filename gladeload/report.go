package gladeload

import (
	"fmt"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Text returns the result as human-readable lines.
func (r *Result) Text() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s: %d requests (%.0f/s), %d whole, %d cut, %d wrong, refused %v; %d tokens (%.0f/s), %d streams at the peak\n",
		r.Name, r.Requests, r.RequestsPerSecond, r.Whole, r.Cut, r.Wrong, r.Refused, r.Tokens, r.TokensPerSecond, r.PeakStreams)
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"first token", r.FirstToken}, {"token gap", r.TokenGap}, {"longest gap", r.LongestGap}} {
		_, _ = fmt.Fprintf(&b, "  %-12s p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms\n",
			row.name, row.q.P50, row.q.P95, row.q.P99, row.q.Max)
	}
	if p := r.Process; p != nil {
		_, _ = fmt.Fprintf(&b, "  process %d: %.2f cores, %.0f us per request, %.1f us per token, %.1f MiB at the start, %.1f MiB at the peak\n",
			p.PID, p.Cores, p.MicrosRequest, p.MicrosToken, p.StartMiB, p.PeakMiB)
	}
	return b.String()
}

// Plot writes the cumulative distributions of the first token and the token gap of all results to a file. The
// extension of the path sets the format.
func Plot(path string, results []*Result) error {
	p := plot.New()
	p.Title.Text = "Time to the first token and between tokens"
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share of samples"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, r := range results {
		lines = append(lines, r.Name+" first token", cumulativePoints(r.firstToken), r.Name+" token gap", cumulativePoints(r.tokenGap))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return eris.Wrap(err, "add the lines of the plot")
	}
	return eris.Wrapf(p.Save(plotWidth, plotHeight, path), "save the plot %s", path)
}

func cumulativePoints(h *hdrhistogram.Histogram) plotter.XYs {
	var xys plotter.XYs
	for _, b := range h.CumulativeDistribution() {
		xys = append(xys, plotter.XY{X: float64(max(b.ValueAt, 1)) / 1000, Y: b.Quantile / 100})
	}
	return xys
}
