// Package gladestandby lets another VM continue a generation whose VM was lost.
//
// The VM that owns a run replicates its journal and placement to a standby VM in its failure domain, chosen by
// rendezvous hashing. It records the idempotency key at home VMs, which any VM can compute from the key.
// Recover finds the run of a key. While the owner is alive, it follows the owner. Otherwise it takes the journal
// over from the standby with a higher epoch, and the standby refuses the former owner from then on.
//
// The package guarantees:
//   - A run continues only from tokens that match the caller's by prefix hash.
//   - Of several successors, only one gets each epoch of a standby's journal.
//   - A former owner that reaches its standby again ends its run without a finish reason.
//
// A run may be lost if its owner and all its standbys fail together, and each side of a network partition may have
// an owner. Runs without an idempotency key are not replicated, because no caller could ask for them.
package gladestandby
