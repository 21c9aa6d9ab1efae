// Package gladequota holds all VMs together to the rates of requests that backend servers name.
//
// For each server that names a limit, one VM is the coordinator and grants its requests from a token bucket. A VM that
// wants to send a request to the server asks the coordinator first; a denial says when to ask again. Servers that name no
// limit cost one map look-up, and nothing is sent for them.
//
// The package guarantees:
//   - While the VMs agree on a coordinator, at most the limit's rate plus a burst of half a second (two requests at least) is
//     granted in any time, and two more for requests that resume.
//   - VMs that reach no coordinator send half of the limit at most, all of them together.
//   - A limit ends, or is raised, only with an answer whose request was sent after the limit was last received.
//
// While VMs disagree on the coordinator, each of the coordinators grants the whole rate; one that takes over begins with an
// empty bucket. A VM that does not know a limit yet does not keep it.
package gladequota
