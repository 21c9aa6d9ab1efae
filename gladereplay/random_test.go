package gladereplay

import (
	"flag"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The seed and the number of checks are fixed so that every run of CI draws the same traces. Flags override them.
const (
	pinnedSeed   = "20261204"
	pinnedChecks = "10"
)

func TestMain(m *testing.M) {
	flag.Parse()
	pinned := map[string]string{"rapid.seed": pinnedSeed, "rapid.checks": pinnedChecks, "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(pinned, f.Name) })
	for name, value := range pinned {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

func TestRandomTraces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		trace := RandomTrace(rt)
		report := runVirtual(t, trace, Config{})
		if len(report.Failures) == 0 {
			return
		}
		var b strings.Builder
		_ = trace.Write(&b)
		rt.Fatalf("%s\n%s", report.Text(), b.String())
	})
}
