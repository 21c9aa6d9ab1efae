// Package gladewire is an in-memory network for tests. Its hosts can be killed, paused and partitioned.
//
// Connections are based on net.Pipe, so that daemons with net/http and jsonrpc2 run in virtual time (testing/synctest).
package gladewire
