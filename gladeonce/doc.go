// Package gladeonce runs calls at most once, under keys that callers or VMs make.
//
// A Once serves keys that callers make.  A key is claimed on the platform by conditional create
// before its call is sent.  Only the VM whose nonce the claim bears may send, and nobody sends a
// call whose claim another VM holds, whether that VM is dead, paused or cut off.  A claim passes on
// only after its holder has said that it did not and will not send under the old nonce.
// It promises that a key's call is sent at most once while its claim is kept, and that repeats get
// the kept outcome or are told that it is unknown.  It does not promise that the call runs, that an
// outcome survives its VM, or anything about a key that is used again after the retention time.
//
// An Issuer makes and serves keys that name a VM and its incarnation.  Only that incarnation runs
// them, so no platform is needed, and what ran is unknown once it is gone.
package gladeonce
