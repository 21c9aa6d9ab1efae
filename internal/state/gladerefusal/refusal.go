package gladerefusal

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
)

const (
	// Interval is how often a VM imports and publishes refusals.
	Interval = time.Second
	// FactName is the name of the fact in which a VM publishes the requests that it refuses.
	FactName = "poison"
	// maxPublished is the number of refusals in the fact, those that expire last.
	maxPublished = 32
)

// Import adds the refusals that members publish to a tracker.  It skips the facts that cannot be decoded, and returns
// their errors.
func Import(members []gladepeer.Member, tracker *gladesuspect.Tracker) error {
	var undecoded error
	for _, m := range members {
		raw, ok := m.Facts[FactName]
		if !ok {
			continue
		}
		var refused []gladesuspect.Refused
		if err := json.Unmarshal(raw, &refused); err != nil {
			undecoded = errors.Join(undecoded, eris.Wrapf(err, "refused requests of %s", m.Name))
			continue
		}
		tracker.ImportRefused(refused)
	}
	return undecoded
}

// Publish publishes the refusals of a tracker as a fact of this VM.
func Publish(node *gladepeer.Node, tracker *gladesuspect.Tracker) error {
	refused := tracker.Refused()
	if len(refused) == 0 {
		return nil
	}
	return node.Publish(FactName, refused[max(0, len(refused)-maxPublished):])
}
