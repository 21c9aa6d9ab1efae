package gladepeer

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"
)

// EachFact calls f with a fact of each of the members that publish it. It skips facts that cannot be decoded, and returns
// their errors, which say what the fact holds.
func EachFact[T any](members []Member, name, what string, f func(T)) error {
	var undecoded error
	for _, m := range members {
		raw, ok := m.Facts[name]
		if !ok {
			continue
		}
		var value T
		if err := json.Unmarshal(raw, &value); err != nil {
			undecoded = errors.Join(undecoded, eris.Wrapf(err, "%s of %s", what, m.Name))
			continue
		}
		f(value)
	}
	return undecoded
}

// PublishValues publishes values as a fact. A fact that was never published is not published empty.
func PublishValues[T any](n *Node, fact string, values []T) error {
	if _, published := n.Self().Facts[fact]; !published && len(values) == 0 {
		return nil
	}
	return n.Publish(fact, values)
}
