package gladefeed

import (
	"cmp"

	"github.com/eelgrassglade/eelgrassglade/gladepeer"
)

// ReaderKey is the key of the rendezvous hash that orders VMs with equal links as readers of the store.
const ReaderKey = "reader"

// Candidate is a VM that may read the store for its failure domain.
type Candidate struct {
	VM string
	// Link is the rate of its link in bytes a second, zero if it is not known.
	Link int64
}

// Precedes reports whether c should read the store rather than o: the one with the faster link, and of equal ones the one with the
// larger hash. A link that is not known counts as the slowest. The rates are compared exactly, because an order with a tolerance
// has cycles, in which each VM waits for another one. A VM that knows the links of only some others still defers only to VMs that
// precede it when all are known.
func (c Candidate) Precedes(o Candidate) bool {
	return cmp.Or(cmp.Compare(max(0, o.Link), max(0, c.Link)),
		cmp.Compare(gladepeer.RendezvousWeight(ReaderKey, o.VM), gladepeer.RendezvousWeight(ReaderKey, c.VM))) < 0
}
