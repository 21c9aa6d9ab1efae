package gladerelay

import (
	"encoding/json"

	"github.com/eelgrassglade/eelgrassglade/gladepeer"
)

// LinkFact is the name of the published fact that holds the rate of a VM's link in bytes a second.
const LinkFact = "linkRate"

// PublishLink publishes the rate of a VM's link in bytes a second, unless it is not known.
func PublishLink(n *gladepeer.Node, rate int64) error {
	if rate <= 0 {
		return nil
	}
	return n.Publish(LinkFact, rate)
}

// LinkOf returns the rate of a member's link in bytes a second, zero if the member has published none.
func LinkOf(m gladepeer.Member) int64 {
	var rate int64
	if raw, ok := m.Facts[LinkFact]; !ok || json.Unmarshal(raw, &rate) != nil { // another build may write another value
		return 0
	}
	return max(0, rate)
}

// isFast reports whether a rate is known to be above that of the slowest links. A VM with such a link sends large releases to VMs that
// could read the store.
func isFast(rate int64) bool { return rate > minLinkRate }
