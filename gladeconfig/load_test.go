package gladeconfig

import (
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const valid = `profile = "rathu-paara"
[vm]
name = "lk-west-a-1"
failureDomain = "lk-west-a"
[platform]
address = "http://127.0.0.1:9000"
[entry]
lameDuck = "3s"
`

func TestParseOverridesProfile(t *testing.T) {
	c := qt.New(t)
	s, err := Parse(valid)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Entry.LameDuck.D(), qt.Equals, 3*time.Second)
	c.Assert(s.Standby.ReleaseAtOnce, qt.IsTrue)
	c.Assert(s.VM.Name, qt.Equals, "lk-west-a-1")
}

func TestParseReportsAllErrorsWithLines(t *testing.T) {
	c := qt.New(t)
	_, err := Parse(`profile = "no-such"
[vm]
name = 7
[entry]
listen = "nowhere"
maxBodyBytes = "many"
lameDuck = "3 parsecs"
colour = "green"
[log]
level = "loud"
`)
	c.Assert(errors.Is(err, ErrInvalid), qt.IsTrue)
	lines := strings.Split(err.Error(), "\n")
	for _, want := range []string{
		"platform.address: must be set",
		"vm.failureDomain: must be set",
		"line 1: profile: ",
		"line 3: vm.name: ",
		"line 5: entry.listen: ",
		"line 6: entry.maxBodyBytes: ",
		"line 7: entry.lameDuck: ",
		"line 8: entry.colour: unknown key",
		"line 10: log.level: ",
	} {
		found := false
		for _, line := range lines {
			found = found || strings.HasPrefix(line, want)
		}
		c.Check(found, qt.IsTrue, qt.Commentf("%q not in\n%v", want, err))
	}
}

func TestParseSyntaxErrorHasLine(t *testing.T) {
	c := qt.New(t)
	_, err := Parse("[vm]\nname = \n")
	var e *SettingError
	c.Assert(err, qt.ErrorAs, &e)
	c.Assert(e.Line, qt.Equals, 2)
}

func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add("[entry]\nlameDuck = 3\n[[vm]]\nname = \"a\"\n")
	f.Add("vm = 1\nentry.lameDuck = \"1h\"")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err != nil {
			qt.Assert(t, errors.Is(err, ErrInvalid), qt.IsTrue)
			return
		}
		qt.Assert(t, s.VM.Name, qt.Not(qt.Equals), "")
	})
}
