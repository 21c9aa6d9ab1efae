// Package gladesuspect finds the requests that crash the backend servers that run them.
//
// A Tracker records which requests run on which server and which servers die. A request is refused as poison once the
// set number of servers has died under it, one after another, with little progress on each, and without another request
// that explains as many deaths. It stays refused until the memory expires, also when it is sent again. Servers that are lost
// together with others of their failure domain, on which the request did not run, count against no request, and a success
// clears the earlier deaths.
//
// The first death does not show which of the server's requests caused it. Deaths, successes and refusals at other VMs are
// known only as far as ServerDiedElsewhere, ClearElsewhere and ImportRefused report them.
package gladesuspect
