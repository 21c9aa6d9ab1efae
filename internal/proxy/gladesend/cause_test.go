package gladesend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against connections that are counted under the wrong cause, or counted although an idle one was reused.
func TestConnectionsAreCountedByCause(t *testing.T) {
	s := &scriptedServer{answers: []string{okAnswer, okAnswer, okAnswer}}
	runWithServer(t, s, func(c *qt.C, client *Client) {
		opened := map[Cause]int{}
		client.Pool.onOpened = func(cause Cause) { opened[cause]++ }
		_, err := sendAndRead(client, "1")
		c.Assert(err, qt.IsNil)
		_, err = sendAndRead(client, "2") // reuses the connection of the first
		c.Assert(err, qt.IsNil)
		_, err = client.Do(c.Context(), &Call{Header: map[string][]string{}}, &SendParams{Address: "server:1", NewConnection: true, Repeat: true})
		c.Check(err, qt.IsNotNil) // the scripted answer names another request
		c.Assert(client.Pool.Probe(c.Context(), "server:1"), qt.IsNil)
		c.Assert(client.Pool.Probe(c.Context(), "nobody:1"), qt.IsNotNil) // no connection, so nothing is counted
		c.Assert(opened, qt.DeepEquals, map[Cause]int{CauseRequest: 1, CauseRetry: 1, CauseProbe: 1})
	})
}

// Guards against an engine call on a connection that a request was sent on, where a late second answer to that may follow, and against
// two connections for one check.
func TestOnlyUnusedConnectionsAreTaken(t *testing.T) {
	s := &scriptedServer{answers: []string{okAnswer, okAnswer}}
	runWithServer(t, s, func(c *qt.C, client *Client) {
		c.Assert(client.Pool.TakeUnused("server:1"), qt.IsNil)
		_, err := sendAndRead(client, "1")
		c.Assert(err, qt.IsNil)
		c.Assert(client.Pool.TakeUnused("server:1"), qt.IsNil)
		c.Assert(client.Pool.Probe(c.Context(), "server:1"), qt.IsNil)
		conn := client.Pool.TakeUnused("server:1")
		c.Assert(conn, qt.IsNotNil)
		_ = conn.Close()
		c.Assert(client.Pool.TakeUnused("server:1"), qt.IsNil)
		c.Assert(client.Pool.Probe(c.Context(), "server:1"), qt.IsNil)
		time.Sleep(defaultIdleTimeout)
		c.Assert(client.Pool.TakeUnused("server:1"), qt.IsNil) // the server may have closed it
		_, err = sendAndRead(client, "2")
		c.Assert(err, qt.IsNil)
	})
}
