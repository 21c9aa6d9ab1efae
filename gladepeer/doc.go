// Package gladepeer maintains the membership of the entry VMs by gossip and carries typed calls between them.
//
// In each interval, every VM exchanges digests with a few random members of its failure domain, and a few VMs
// of each failure domain exchange digests with the other domains. While both sides know the same members, a
// digest holds two bytes for each member. Complete member records are sent only where the two sides differ.
// Calls use JSON-RPC 2.0 over TCP connections that both sides share.
//
// Guarantees:
//   - All other VMs eventually know a live, reachable VM and its facts.
//   - An incarnation that is leaving never returns to the active state.
//   - An empty list of VMs removes no member.
//   - A call that fails with ErrUnreachable was not sent.
//
// Not guaranteed:
//   - Two VMs may hold different views of the membership at any moment.
//   - A VM that is listed as live may be dead.
//   - A call that fails with ErrNoAnswer may have been executed.
package gladepeer
