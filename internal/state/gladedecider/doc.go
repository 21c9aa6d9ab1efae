// Package gladedecider follows the orders to roll out a server version and lets one VM decide on each of them.
//
// A Registry holds the roll-outs that a VM knows, from the store or from other VMs. A Decider runs at the VMs that read the store for
// their failure domain. One of them claims an order by a conditional write of its status, which names it and a term; the others
// hear its heartbeats and take over with the next term when these stop. The decider adds up what all VMs report, asks
// gladerollout.Decide and writes the status. A Reporter sends this VM's evidence to the decider. The package guarantees:
//   - A status is written only at the revision that the decision was based on. A VM whose write is refused, or that was paused,
//     reads the store's state before it writes again.
//   - A version that is found bad is stopped by a notice to all VMs without a wait for the store.
package gladedecider
