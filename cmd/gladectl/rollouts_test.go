package main

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladefront"
)

// Guards against a command that prints nothing because the fields of the dump have other names.
func TestRolloutsArePrinted(t *testing.T) {
	c := qt.New(t)
	printed := func(dump string) string {
		var d rolloutsDump
		c.Assert(json.Unmarshal([]byte(dump), &d), qt.IsNil)
		var b strings.Builder
		c.Assert(printRollouts(&b, d), qt.IsNil)
		return b.String()
	}
	c.Assert(printed(`{"vm":"vm-1"}`), qt.Equals, "vm-1 knows no roll-outs\n")
	var full gladefront.Dump
	c.Assert(json.Unmarshal([]byte(`{"vm":"vm-1","rollouts":[{"service":"llm","target":"v2","limitSeconds":12,"elapsedSeconds":3.5,
		"current":true,"status":{"state":"in_progress","target":"v2","share":0.08,"routeShares":{"g":0.5},"decider":"vm-1","term":2},
		"order":{"deciding":true,"reason":"budget","reports":4,"targetServers":4,"oldServers":8,"oldRuns":9,"oldRunsWithoutCopy":1,
		"requests":{"v1":{"begun":100,"failed":1},"v2":{"begun":8,"failed":4}}}}]}`), &full), qt.IsNil)
	raw, err := json.Marshal(full)
	c.Assert(err, qt.IsNil)
	c.Assert(printed(string(raw)), qt.Equals, `llm to v2: in_progress, share 0.08, route g 0.5; decider vm-1, term 2; 3.5 s of 12 s
  last step: budget
  servers: 4 of the target, 8 others; runs on others: 9, without copy 1
  v1: 100 requests, 1 failed (reports of 4 VMs)
  v2: 8 requests, 4 failed (reports of 4 VMs)
`)
	text := printed(`{"vm":"vm-2","rollouts":[{"service":"llm","target":"v2","status":{},"order":{"reason":"budget"},"seen":{"v1":{"begun":3}}}]}`)
	c.Assert(text, qt.Equals, `llm to v2: not claimed, share 0; decider , term 0; not confirmed lately
  last step: budget
  v1: 3 requests, 0 failed (vm-2 alone, the decider knows the rest)
`)
}
