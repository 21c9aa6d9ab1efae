package gladerefusal

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
)

// A VM of another build publishes refused requests in a form that this one cannot decode.  Those of the other VMs must be
// refused all the same.
func TestUndecodableFactDoesNotHideOthers(t *testing.T) {
	c := qt.New(t)
	raw, err := json.Marshal([]gladesuspect.Refused{{Fingerprint: 7, Until: time.Now().Add(time.Minute)}})
	c.Assert(err, qt.IsNil)
	member := func(name string, fact string) gladepeer.Member {
		return gladepeer.Member{EntryVM: gladeapi.EntryVM{Name: name}, Facts: map[string]json.RawMessage{FactName: json.RawMessage(fact)}}
	}
	tracker := gladesuspect.New(gladesuspect.Config{})
	err = Import([]gladepeer.Member{member("other-build", `{"v":2}`), member("same-build", string(raw))}, tracker)
	c.Assert(err, qt.ErrorMatches, "refused requests of other-build: .*")
	c.Assert(tracker.Refused(), qt.HasLen, 1)
}
