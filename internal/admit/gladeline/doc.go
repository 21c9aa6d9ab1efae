// Package gladeline queues the requests that wait for room on backend servers.
//
// The lowest rank goes first. Within a rank, organisations share the room fairly by tokens, so that one with many
// requests delays only itself. Requests of one organisation are served in the order of their arrival. The package has
// no clock and no background tasks.
package gladeline
