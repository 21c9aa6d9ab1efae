// Package gladelimit enforces the limits of organisations and protects a VM from overload.
//
// A Limiter checks the organisation's rates and concurrency on this VM. A request that cannot run at once waits in a
// bounded queue with weighted fair queueing between organisations, unless the expected wait would exceed its deadline.
// A Sharer divides an organisation's rates over VMs by their demand. A Budget allows retries as a share of requests.
//
// A refused request has not run, and a refusal costs at most two map look-ups. An organisation with few requests is not
// delayed by one with many. Rates over all VMs hold within the error that docs/design/calls.md states; a VM that is cut
// off keeps its last share.
package gladelimit
