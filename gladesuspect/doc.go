// Package gladesuspect finds the requests that crash the backend servers that run them.
//
// A Tracker records which requests run on which server and which servers die. A request is refused as poison once the
// set number of servers has died under it, one after another, without other suspects on them and with little progress
// on each. It stays refused until the memory expires, also when it is sent again. Servers that are lost together with
// much of their failure domain count against no request.
//
// The first death does not show which of the server's requests caused it. Deaths under requests that only other VMs run
// are not seen unless ServerDiedElsewhere reports them.
package gladesuspect
