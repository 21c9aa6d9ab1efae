package gladerefusal

import (
	"errors"
	"time"

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
		gladepeer.EachFact(members, FactName, "refused requests", tracker.ImportRefused), gladepeer.EachFact(members, HeldFactName, "refused requests", tracker.ImportHeld),
	)
}

// Publish publishes the refusals of a tracker as facts of this VM.
func Publish(node *gladepeer.Node, tracker *gladesuspect.Tracker) error {
	return errors.Join(publishFact(node, FactName, tracker.Refused()), publishFact(node, HeldFactName, tracker.Held()))
}

// publishFact publishes values, those that expire last.
func publishFact[T any](node *gladepeer.Node, name string, values []T) error {
	return gladepeer.PublishValues(node, name, values[max(0, len(values)-maxPublished):])
}
