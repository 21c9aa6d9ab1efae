package gladelog

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const logs = `
not a line {"x"
vm-2 {"@level":"info","@message":"Sent.","@timestamp":"2026-10-22T01:09:41.500Z","request":"r1","server":"s2","send":2}
vm-1 {"@level":"info","@message":"Sent.","@timestamp":"2026-10-22T01:09:41.000Z","request":"r1","server":"s1","send":1}
vm-1 {"@level":"info","@message":"Sent.","@timestamp":"2026-10-22T01:09:41.100Z","request":"r2","server":"s1","send":1}
vm-1 {"@level":"warn","@message":"Backend server is down.","@timestamp":"2026-10-22T01:09:41.200Z","server":"s1","reason":"refused"}
vm-1 {"@level":"warn","@message":"Backend server is down.","@timestamp":"2026-10-22T01:09:41.200Z","server":"s9"}
vm-1 {"@level":"warn","@message":"Backend server is down.","@timestamp":"2026-10-22T01:19:41.200Z","server":"s1"}
`

func TestLinesOfOneRequest(t *testing.T) {
	c := qt.New(t)
	lines, err := RequestLines(strings.NewReader(logs), "r1")
	c.Assert(err, qt.IsNil)
	var story []string
	for _, l := range lines {
		story = append(story, l.String())
	}
	c.Assert(story, qt.DeepEquals, []string{
		"01:09:41.000 vm-1 Sent. send=1 server=s1",
		"01:09:41.200 vm-1 Backend server is down. reason=refused server=s1",
		"01:09:41.500 vm-2 Sent. send=2 server=s2",
	})
	lines, err = RequestLines(strings.NewReader(logs), "r3")
	c.Assert(err, qt.IsNil)
	c.Assert(lines, qt.HasLen, 0)
}
