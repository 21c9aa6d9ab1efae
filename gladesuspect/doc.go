// Package gladesuspect finds the requests that crash the backend servers that run them.
//
// A Tracker records which requests run on which server and which servers die. A request is refused as poison once the
// set number of servers has died under it, one after another, with little progress on each, and without another request
// that explains as many deaths. It stays refused until the memory expires, also when it is sent again. Servers that are lost
// together with others of their failure domain, on which the request did not run, count against no request, and a success
// clears the earlier deaths.
//
// Requests that are not alike may share what crashes servers, such as a part of their prompts. A part is held once three servers have
// died under at least two requests with it, at three moments, and no request with it was answered since the first of these deaths. Servers
// that are lost together with others of their failure domain, on which no request with the part ran, do not count here either. A part
// that was answered within a minute before is held after five deaths, 2.5 s after its last answer at the earliest. Parts that
// were together in all of these deaths are held together: a request is refused if it has all of them, until an answer to a request with
// one of them shows that it is another one. A held part is released by an answer that begins after the last death. If
// nothing else does, a single request is sent as a trial after 6 s, 24 s, 96 s and so on, and the memory expires.
//
// The first death does not show which of the server's requests caused it. Deaths, successes, answers and refusals at other VMs are
// known only as far as ServerDiedElsewhere, ClearElsewhere, PartsAnsweredElsewhere, ImportRefused and ImportHeld report them.
package gladesuspect
