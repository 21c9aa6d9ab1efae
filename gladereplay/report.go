package gladereplay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// SettleTime is the time after which no timer of a closed cluster is pending; a synctest bubble must wait for it.
const SettleTime = 20 * time.Minute

// Text returns the report as human-readable lines.
func (r *Report) Text() string {
	var b strings.Builder
	verdict := "passed"
	if len(r.Failures) > 0 {
		verdict = "FAILED"
	}
	_, _ = fmt.Fprintf(&b, "%s: %s in %s, seed %d\n", r.Name, verdict, r.Took, r.Seed)
	for _, id := range slices.Sorted(maps.Keys(r.Generations)) {
		g := r.Generations[id]
		_, _ = fmt.Fprintf(&b, "  %s: %s %s, %d tokens in %d tries, first after %s, longest gap %s\n",
			id, g.Outcome, g.Code, g.Tokens, g.Tries, g.FirstToken.D(), g.LongestGap.D())
	}
	for _, id := range slices.Sorted(maps.Keys(r.Calls)) {
		c := r.Calls[id]
		_, _ = fmt.Fprintf(&b, "  %s: %s %s %s in %d tries, %s\n", id, c.Outcome, c.Code, c.Ran, c.Tries, c.Took.D())
	}
	for _, s := range r.Skipped {
		_, _ = fmt.Fprintf(&b, "  skipped: %s\n", s)
	}
	for _, f := range r.Failures {
		_, _ = fmt.Fprintf(&b, "  FAILED %s\n", f)
	}
	return b.String()
}

// String returns the failure on one line.
func (f Failure) String() string {
	name := string(f.Invariant)
	if name == "" {
		name = "outcome"
	}
	if f.Request != "" {
		name += " of " + f.Request
	}
	return name + ": " + f.Detail
}
