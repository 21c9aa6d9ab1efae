package gladestream_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeroute"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// maxEnginesLost is the number of engines that may crash on a passage: two under each of three generations.
const maxEnginesLost = 6

func document(name string, sentences int) string {
	var b strings.Builder
	for i := range sentences {
		_, _ = fmt.Fprintf(&b, "sentence %d of %s differs from the rest . ", i, name)
	}
	return b.String()
}

// Generations share a passage on which engines crash, and no two of them are alike. They must be refused after a few crashes, and those of
// the same caller with all other passages must be served.
func TestPassageThatCrashesEnginesIsRefused(t *testing.T) {
	runPool(t, gladestandin.EngineConfig{}, []int{10, 10, 10}, func(p *pool) {
		p.config.Parts = gladeroute.HashParts
		p.runner = gladestream.NewRunner(p.config)
		for _, e := range p.engines {
			e.SetFaults(gladestandin.Faults{Poison: "crash here"})
		}
		manual := document("the manual", 40)
		passage := document("the passage", 20) + "crash here " + document("its end", 20)
		for i := range 12 {
			own := document(fmt.Sprint("request ", i), 6)
			r := readAll(p.runner.Start(generation(fmt.Sprint("crash", i), own+manual+passage+own, 20)))
			p.Check(refusal(p, r).Code, qt.Equals, gladeapi.CodePoison)
			sound := own + manual + own
			p.checkOutput(readAll(p.runner.Start(generation(fmt.Sprint("sound", i), sound, 20))), sound, 20)
			time.Sleep(300 * time.Millisecond)
		}
		lost := 0
		for _, e := range p.engines {
			if e.Dead() {
				lost++
			}
		}
		p.Assert(lost <= maxEnginesLost, qt.IsTrue, qt.Commentf("%d engines lost", lost))
	})
}
