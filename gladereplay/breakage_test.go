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

// Each breakage takes one mechanism away, or does what would happen without it, and must be caught.
var breakages = []struct {
	name, trace string
	wrap        func(host string, h http.Handler) http.Handler
	change      func(*gladecluster.Config)
	want        gladecheck.Invariant
}{
	{
		name: "token left out", trace: "nile-fixer-engine-pauses", want: gladecheck.TokensOnce,
		wrap: atCallers(func(w http.ResponseWriter, p []byte) []byte { return onEvent(p, "10-", nil) }),
	},
	{
		name: "token of an old attempt let through", trace: "nile-fixer-engine-pauses", want: gladecheck.TokensOnce,
		wrap: atCallers(func(w http.ResponseWriter, p []byte) []byte { return onEvent(p, "10-", append(bytes.Clone(p), p...)) }),
	},
	{
		name: "other generation's token let through", trace: "nile-fixer-engine-pauses", want: gladecheck.OneGeneration,
		wrap: atCallers(func(w http.ResponseWriter, p []byte) []byte {
			return onEvent(p, "10-", bytes.Replace(p, []byte(`"text":" w`), []byte(`"text":" w9`), 1))
		}),
	},
	{
		name: "prefix hash not of the tokens", trace: "nile-fixer-engine-pauses", want: gladecheck.OneGeneration,
		wrap: atCallers(func(w http.ResponseWriter, p []byte) []byte {
			return onEvent(p, "10-", bytes.Replace(p, []byte("id: 10-"), []byte("id: 10-f"), 1))
		}),
	},
	{
		name: "another's answer", trace: "rathu-paara-deposit", want: gladecheck.OwnAnswer,
		wrap: atCallers(func(w http.ResponseWriter, p []byte) []byte {
			return bytes.Replace(p, []byte("deposit 100"), []byte("deposit 999"), 1)
		}),
	},
	{
		name: "refused as not run though it ran", trace: "nile-fixer-credit-answer-lost", want: gladecheck.NotRunTrue,
		wrap: atCallers(func(w http.ResponseWriter, p []byte) []byte {
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
		name: "claim skipped", trace: "nile-fixer-credit-twice-at-once", want: gladecheck.AtMostOnce,
		wrap: atPlatform(everyClaimSucceeds),
	},
	{
		name: "leaving not told", trace: "rathu-paara-engine-leaves", want: gladecheck.LeavingGetsNoWork,
		wrap: atPlatform(hideLeaving),
	},
	{
		name: "stop cuts", trace: "rathu-paara-rolling-replacement", want: gladecheck.StopCutsNothing,
		change: func(c *gladecluster.Config) { c.OnVM = func(v *gladecluster.VM) { v.Stop = v.Kill } },
	},
}

func TestBreakagesAreCaught(t *testing.T) {
	for _, b := range breakages {
		t.Run(b.name, func(t *testing.T) {
			trace, err := Load("testdata/" + b.trace + ".jsonl")
			qt.Assert(t, err, qt.IsNil)
			report := virtually(t, trace, Config{Cluster: func(c *gladecluster.Config) {
				c.Wrap = b.wrap
				if b.change != nil {
					b.change(c)
				}
			}})
			caught := slices.ContainsFunc(report.Failures, func(f Failure) bool { return f.Invariant == b.want })
			qt.Assert(t, caught, qt.IsTrue, qt.Commentf("%s", report.Text()))
		})
	}
}

func TestResumeFromAWrongPrefixReachesNoCaller(t *testing.T) {
	trace, err := Load("testdata/nile-fixer-engine-restarts.jsonl")
	qt.Assert(t, err, qt.IsNil)
	report := virtually(t, trace, Config{Cluster: func(c *gladecluster.Config) { c.Wrap = atEngines(forgetDelivered) }})
	for _, f := range report.Failures {
		qt.Check(t, f.Invariant, qt.Equals, gladecheck.Invariant(""), qt.Commentf("%s", f))
	}
}

func TestNoteAppliedBackwardsIsCaught(t *testing.T) {
	r := &run{notes: map[string]*seen{}}
	for _, number := range []int64{1, 2, 1} {
		r.saw("shubra-vm-1", number)
	}
	qt.Assert(t, r.report.Failures, qt.HasLen, 1)
	qt.Assert(t, r.report.Failures[0].Invariant, qt.Equals, gladecheck.NoteNeverReverts)
}

// onEvent replaces the write that bears the event whose identifier begins so.
func onEvent(p []byte, id string, by []byte) []byte {
	if bytes.HasPrefix(p, []byte("id: "+id)) {
		return by
	}
	return p
}

func atCallers(change func(http.ResponseWriter, []byte) []byte) func(string, http.Handler) http.Handler {
	return at("-vm-", func(h http.Handler, w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&changedWriter{ResponseWriter: w, change: change}, r)
	})
}

func atPlatform(serve func(http.Handler, http.ResponseWriter, *http.Request)) func(string, http.Handler) http.Handler {
	return at(gladecluster.PlatformHost, serve)
}

func atEngines(serve func(http.Handler, http.ResponseWriter, *http.Request)) func(string, http.Handler) http.Handler {
	return at("-engine-", serve)
}

func at(part string, serve func(http.Handler, http.ResponseWriter, *http.Request)) func(string, http.Handler) http.Handler {
	return func(host string, h http.Handler) http.Handler {
		if !strings.Contains(host, part) {
			return h
		}
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(h, w, r) })
	}
}

type changedWriter struct {
	http.ResponseWriter
	change func(http.ResponseWriter, []byte) []byte
}

func (w *changedWriter) Write(p []byte) (int, error) {
	if _, err := w.ResponseWriter.Write(w.change(w.ResponseWriter, p)); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (w *changedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// forgetDelivered shortens a resumed prompt, as an engine that lost a token of it would.
func forgetDelivered(h http.Handler, w http.ResponseWriter, r *http.Request) {
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

func everyClaimSucceeds(h http.Handler, w http.ResponseWriter, r *http.Request) {
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
