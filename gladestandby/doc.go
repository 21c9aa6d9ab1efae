// Package gladestandby lets another VM go on with a generation whose VM was lost.
//
// The VM that owns a run replicates its journal and placement to a standby VM of its failure domain,
// chosen by rendezvous hash, and notes the idempotency key at home VMs that any VM can work out.
// Recover finds the run of a key: it follows the owner while that lives, else it takes the journal over
// from the standby with a higher epoch, which from then on refuses the former owner.
//
// It promises that a run is only continued from tokens that are equal to the caller's by prefix hash,
// that of several successors one gets each epoch of a standby's journal, and that a former owner which
// reaches its standby again ends its run without a finish.  It does not promise that a run survives the loss of
// its owner and all its standbys together, nor that there is one owner on each side of a network partition.
// Runs without an idempotency key are not replicated, because no caller could ask for them.
package gladestandby
