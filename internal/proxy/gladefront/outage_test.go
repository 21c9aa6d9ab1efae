package gladefront

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

// The only server of a service is taken away as the reader of the failure domain is lost, so that a new reader's list shows it first.
// It must not be used longer than any other server that leaves, unless its entry may have expired in an outage of the store.
func TestServersMissingFromNewReadersListHaveLeft(t *testing.T) {
	f := newTestFleet(t)
	f.bound = 2 * time.Second
	f.publish(3, "/a/")
	front, _ := f.startVM(1)
	f.eventually("servers known", front.Ready)
	only := gladefleet.Server{ID: "a", Service: "llm", Address: "a:1", FailureDomain: "giza", Started: 1}
	for _, outage := range []bool{false, true} {
		now := time.Now()
		front.replaceServers([]gladefleet.Server{only}, nil, serversSource{}, now)
		if outage {
			front.outage.RecordLost(bootTime().Add(-2 * time.Second))
			front.outage.RecordLost(bootTime())
		}
		_, complete := front.replaceServers(nil, nil, serversSource{}, now)
		f.Assert(complete, qt.Equals, !outage)
		f.Assert(front.fleet.Unavailable("a", now.Add(600*time.Millisecond)), qt.Equals, !outage)
	}
}
