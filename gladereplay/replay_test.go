package gladereplay

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

// virtualRunLimit is the real time after which a run in virtual time panics.
const virtualRunLimit = time.Minute

func runVirtual(t *testing.T, trace *Trace, c Config) *Report {
	t.Helper()
	if os.Getenv("GLADE_LOG") != "" {
		c.Log = hclog.New(&hclog.LoggerOptions{Level: hclog.Debug})
	}
	var report *Report
	var text strings.Builder
	_ = trace.Write(&text)
	guard := time.AfterFunc(virtualRunLimit, func() { panic("run in virtual time did not finish:\n" + text.String()) })
	defer guard.Stop()
	synctest.Test(t, func(t *testing.T) {
		var err error
		report, err = Run(t.Context(), trace, c)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(SettleTime)
	})
	return report
}

func TestTraces(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(paths) >= 12, qt.IsTrue, qt.Commentf("%d traces", len(paths)))
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".jsonl"), func(t *testing.T) {
			trace, err := Load(path)
			qt.Assert(t, err, qt.IsNil)
			report := runVirtual(t, trace, Config{})
			t.Log(report.Text())
			for _, f := range report.Failures {
				t.Error(f)
			}
		})
	}
}

var red = flag.Bool("red", false, "run the traces of testdata/red, which KNOWN-RED.txt lists")

func TestKnownRedTraces(t *testing.T) {
	paths, err := filepath.Glob("testdata/red/*.jsonl")
	qt.Assert(t, err, qt.IsNil)
	for _, path := range paths {
		list, err := os.ReadFile("../KNOWN-RED.txt")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(list), qt.Contains, filepath.Base(path))
		t.Log("known red:", path)
		if !*red {
			continue
		}
		trace, err := Load(path)
		qt.Assert(t, err, qt.IsNil)
		for _, f := range runVirtual(t, trace, Config{}).Failures {
			t.Error(path, f)
		}
	}
}

func TestParseErrorsIncludeLines(t *testing.T) {
	header := `{"trace":1,"name":"t","seed":1,"cluster":{"failureDomains":["a"],"vms":1,"engines":1}}` + "\n"
	cases := []struct {
		name, text string
		want       []string
	}{
		{"empty", "", []string{"line 0: no header"}},
		{"malformed JSON", "{\n", []string{"line 1: unexpected EOF"}},
		{"unsupported version", strings.Replace(header, `"trace":1`, `"trace":9`, 1), []string{"line 1: trace version 9, want 1"}},
		{"missing cluster", `{"trace":1}`, []string{"line 1: cluster: want failureDomains"}},
		{"unknown field", header + `{"at":"1s","genrate":{}}`, []string{`line 2: json: unknown field "genrate"`}},
		{"invalid duration", header + `{"at":"1 second","stop":{"vm":"a"}}`, []string{"line 2: ", "1 second"}},
		{"two actions", header + "\n" + `{"stop":{"vm":"a"},"fault":{"kind":"pause"}}`, []string{"line 3: 2 of generate"}},
		{"no action", header + `{"at":"1s"}`, []string{"line 2: 0 of generate"}},
		{"errors on several lines", header + `{"fault":{"kind":"flood"}}` + "\n" + `{"fault":{"kind":"pause"}}` + "\n" +
			`{"expect":{"id":"x","outcome":["eaten"]}}`, []string{
			`line 2: fault: unknown kind "flood"`, "line 3: fault: pause needs a target", `line 3: fault: pause needs "for"`,
			`line 4: expect: no request has the id "x"`, `line 4: expect: unknown outcome "eaten"`,
		}},
		{"duplicate id", header + strings.Repeat(`{"generate":{"id":"g","prompt":"p","maxTokens":1}}`+"\n", 2),
			[]string{`line 3: id "g" is empty or used twice`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse(strings.NewReader(c.text))
			qt.Assert(t, err, qt.ErrorIs, ErrInvalid)
			for _, want := range c.want {
				qt.Assert(t, err.Error(), qt.Contains, want)
			}
		})
	}
}

func TestTraceRoundTrip(t *testing.T) {
	paths, _ := filepath.Glob("testdata/*.jsonl")
	for _, path := range paths {
		trace, err := Load(path)
		qt.Assert(t, err, qt.IsNil)
		var b strings.Builder
		qt.Assert(t, trace.Write(&b), qt.IsNil)
		again, err := Parse(strings.NewReader(b.String()))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.Header, qt.DeepEquals, trace.Header)
		qt.Assert(t, len(again.Events), qt.Equals, len(trace.Events))
	}
}
