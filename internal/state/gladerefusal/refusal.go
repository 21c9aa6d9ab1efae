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
	// HeldFactName is the name of the fact in which a VM publishes the sets of prompt parts that it refuses.
	HeldFactName = "poisonParts"
	// maxPublished is the number of refusals in a fact, those that expire last.
	maxPublished = 32
)

// Import adds the refusals that members publish to a tracker.  It skips the facts that cannot be decoded, and returns
// their errors.
func Import(members []gladepeer.Member, tracker *gladesuspect.Tracker) error {
	return errors.Join(
		importFact(members, FactName, tracker.ImportRefused), importFact(members, HeldFactName, tracker.ImportHeld),
	)
}

func importFact[T any](members []gladepeer.Member, name string, add func([]T)) error {
	var undecoded error
	for _, m := range members {
		raw, ok := m.Facts[name]
		if !ok {
			continue
		}
		var values []T
		if err := json.Unmarshal(raw, &values); err != nil {
			undecoded = errors.Join(undecoded, eris.Wrapf(err, "refused requests of %s", m.Name))
			continue
		}
		add(values)
	}
	return undecoded
}

// Publish publishes the refusals of a tracker as facts of this VM.
func Publish(node *gladepeer.Node, tracker *gladesuspect.Tracker) error {
	return errors.Join(publishFact(node, FactName, tracker.Refused()), publishFact(node, HeldFactName, tracker.Held()))
}

// publishFact publishes values, those that expire last. A fact that was never published is not published empty.
func publishFact[T any](node *gladepeer.Node, name string, values []T) error {
	if _, published := node.Self().Facts[name]; !published && len(values) == 0 {
		return nil
	}
	return node.Publish(name, values[max(0, len(values)-maxPublished):])
}
