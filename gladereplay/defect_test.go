package gladereplay

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladecluster"
)

// Each defect disables one mechanism, or imitates the result of its failure; the named invariant must be reported
// as broken.
var defects = []struct {
	name, trace string
	wrap        func(host string, h http.Handler) http.Handler
	change      func(*gladecluster.Config)
	want        gladecheck.Invariant
}{
	{
		name: "token omitted", trace: "nile-fixer-engine-pauses", want: gladecheck.TokensOnce,
		wrap: wrapCallers(func(w http.ResponseWriter, p []byte) []byte { return replaceEvent(p, "10-", nil) }),
	},
	{
		name: "token of an earlier attempt delivered again", trace: "nile-fixer-engine-pauses", want: gladecheck.TokensOnce,
		wrap: wrapCallers(func(w http.ResponseWriter, p []byte) []byte {
			return replaceEvent(p, "10-", append(bytes.Clone(p), p...))
		}),
	},
	{
		name: "token of another generation delivered", trace: "nile-fixer-engine-pauses", want: gladecheck.OneGeneration,
		wrap: wrapCallers(func(w http.ResponseWriter, p []byte) []byte {
			return replaceEvent(p, "10-", bytes.Replace(p, []byte(`"text":" w`), []byte(`"text":" w9`), 1))
		}),
	},
	{
		name: "wrong prefix hash", trace: "nile-fixer-engine-pauses", want: gladecheck.OneGeneration,
		wrap: wrapCallers(func(w http.ResponseWriter, p []byte) []byte {
			return replaceEvent(p, "10-", bytes.Replace(p, []byte("id: 10-"), []byte("id: 10-f"), 1))
		}),
	},
	{
		name: "answer of another call", trace: "rathu-paara-deposit", want: gladecheck.OwnAnswer,
		wrap: wrapCallers(func(w http.ResponseWriter, p []byte) []byte {
			return bytes.Replace(p, []byte("deposit 100"), []byte("deposit 999"), 1)
		}),
	},
	{
		name: "refusal says not run after a run", trace: "nile-fixer-credit-answer-lost", want: gladecheck.NotRunTrue,
		wrap: wrapCallers(func(w http.ResponseWriter, p []byte) []byte {
			return bytes.Replace(p, []byte(`"ran":"unknown"`), []byte(`"ran":"notRun"`), 1)
		}),
	},
	{
		name: "non-idempotent call repeated", trace: "rathu-paara-deposit", want: gladecheck.AtMostOnce,
		change: func(c *gladecluster.Config) {
			for i := range c.Note.Added.Routes {
				c.Note.Added.Routes[i].Idempotent = true
			}
		},
	},
	{
		name: "claim preconditions ignored", trace: "nile-fixer-credit-twice-at-once", want: gladecheck.AtMostOnce,
		wrap: wrapPlatform(dropClaimPreconditions),
	},
	{
		name: "leaving not announced", trace: "rathu-paara-engine-leaves", want: gladecheck.LeavingGetsNoWork,
		wrap: wrapPlatform(hideLeaving),
	},
	{
		name: "stop closes connections", trace: "rathu-paara-rolling-replacement", want: gladecheck.StopCutsNothing,
		change: func(c *gladecluster.Config) { c.OnVM = func(v *gladecluster.VM) { v.Stop = v.Kill } },
	},
}

func TestDefectsAreDetected(t *testing.T) {
	for _, d := range defects {
		t.Run(d.name, func(t *testing.T) {
			trace, err := Load("testdata/" + d.trace + ".jsonl")
			qt.Assert(t, err, qt.IsNil)
			report := runVirtual(t, trace, Config{Cluster: func(c *gladecluster.Config) {
				c.Wrap = d.wrap
				if d.change != nil {
					d.change(c)
				}
			}})
			caught := slices.ContainsFunc(report.Failures, func(f Failure) bool { return f.Invariant == d.want })
			qt.Assert(t, caught, qt.IsTrue, qt.Commentf("%s", report.Text()))
		})
	}
}

func TestWrongResumePrefixIsNotDelivered(t *testing.T) {
	trace, err := Load("testdata/nile-fixer-engine-restarts.jsonl")
	qt.Assert(t, err, qt.IsNil)
	report := runVirtual(t, trace, Config{Cluster: func(c *gladecluster.Config) { c.Wrap = wrapEngines(dropLastPromptToken) }})
	for _, f := range report.Failures {
		qt.Check(t, f.Invariant, qt.Equals, gladecheck.Invariant(""), qt.Commentf("%s", f))
	}
}

func TestNoteRevertIsDetected(t *testing.T) {
	r := &replayer{notes: map[string]*noteHistory{}}
	for _, number := range []int64{1, 2, 1} {
		r.recordNote("shubra-vm-1", number)
	}
	qt.Assert(t, r.report.Failures, qt.HasLen, 1)
	qt.Assert(t, r.report.Failures[0].Invariant, qt.Equals, gladecheck.NoteNeverReverts)
}

// replaceEvent returns by instead of p if p is the event whose identifier begins with id.
func replaceEvent(p []byte, id string, by []byte) []byte {
	if bytes.HasPrefix(p, []byte("id: "+id)) {
		return by
	}
	return p
}

func wrapCallers(change func(http.ResponseWriter, []byte) []byte) func(string, http.Handler) http.Handler {
	return wrapHosts("-vm-", func(h http.Handler, w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&rewritingWriter{ResponseWriter: w, change: change}, r)
	})
}

func wrapPlatform(serve func(http.Handler, http.ResponseWriter, *http.Request)) func(string, http.Handler) http.Handler {
	return wrapHosts(gladecluster.PlatformHost, serve)
}

func wrapEngines(serve func(http.Handler, http.ResponseWriter, *http.Request)) func(string, http.Handler) http.Handler {
	return wrapHosts("-engine-", serve)
}

func wrapHosts(part string, serve func(http.Handler, http.ResponseWriter, *http.Request)) func(string, http.Handler) http.Handler {
	return func(host string, h http.Handler) http.Handler {
		if !strings.Contains(host, part) {
			return h
		}
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(h, w, r) })
	}
}

type rewritingWriter struct {
	http.ResponseWriter
	change func(http.ResponseWriter, []byte) []byte
}

func (w *rewritingWriter) Write(p []byte) (int, error) {
	if _, err := w.ResponseWriter.Write(w.change(w.ResponseWriter, p)); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (w *rewritingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// dropLastPromptToken removes the last token of a resumed prompt, as an engine that lost it would.
func dropLastPromptToken(h http.Handler, w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	var q map[string]json.RawMessage
	var ids []int32
	if json.Unmarshal(raw, &q) == nil && json.Unmarshal(q["prompt"], &ids) == nil && len(ids) > 20 {
		q["prompt"], _ = json.Marshal(ids[:len(ids)-1])
		raw, _ = json.Marshal(q)
	}
	r.Body = io.NopCloser(bytes.NewReader(raw))
	h.ServeHTTP(w, r)
}

func dropClaimPreconditions(h http.Handler, w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "/claims/") {
		r.Header.Del("If-None-Match")
		r.Header.Del("If-Match")
	}
	h.ServeHTTP(w, r)
}

func hideLeaving(h http.Handler, w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/vms") {
		h.ServeHTTP(w, r)
		return
	}
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, r)
	_, _ = w.Write(bytes.ReplaceAll(recorder.Body.Bytes(), []byte(`"leaving":true`), []byte(`"leaving":false`)))
}
