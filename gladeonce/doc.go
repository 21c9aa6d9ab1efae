// Package gladeonce runs calls at most once, under idempotency keys that callers or VMs make.
//
// A Once runs calls under keys that callers make. A key is claimed on the platform by conditional create before its call
// is sent. Only the VM whose nonce is in the claim may send the call. No VM sends a call whose claim another VM holds,
// whether that VM is dead, paused or cut off. A VM takes over a claim only after its holder has reported that it did not
// and will not send under the old nonce.
//
// The call of a key is sent at most once while its claim is kept. Repeats receive the kept outcome, or a refusal that
// says that it is unknown. It is not guaranteed that the call runs or that its outcome survives the VM. Nothing is
// guaranteed for a key that is used again after the retention time.
//
// An Issuer makes keys that name a VM and its incarnation, and runs calls under them. Only that incarnation runs them,
// so they do not depend on the platform. Once it is gone, the outcome of its calls is unknown.
package gladeonce
