// Package gladelimit holds organisations to their limits and keeps a VM from being overloaded.
//
// A Limiter admits requests: by the organisation's rates and concurrency on this VM, then through a
// bounded queue that serves organisations by weight, and only if the expected wait leaves time before
// the deadline.  A Sharer divides an organisation's rates over VMs by their demand.  A Budget allows
// retries as a share of requests.
//
// It promises that a refused request has not run and costs no more than a look at two tables, and that an
// organisation with few requests is not held up by one with many.  Over all VMs it promises rates only
// within an error, which docs/design/calls.md states; a VM that is cut off keeps its last share.
package gladelimit
