package gladefront

import (
	"context"
	"net"
	"time"
)

const (
	// storeCheckInterval is how often the reader checks whether the store accepts connections.
	storeCheckInterval = 300 * time.Millisecond
	// storeCheckTimeout is the time limit of such a check.
	storeCheckTimeout = 250 * time.Millisecond
)

// checkStoreConnection keeps storeRefused up to date until the context ends.
//
// A watch on a link that has been cut stays silent until it times out, which takes most of the time within which a leaving
// server must get no new requests.
func (f *Front) checkStoreConnection(ctx context.Context) {
	d := net.Dialer{Timeout: storeCheckTimeout, KeepAlive: -1}
	connect := func() error {
		conn, err := d.DialContext(ctx, "tcp", f.config.Settings.StoreAddress)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}
	checkConnections(ctx, connect, func(err error) {
		f.mu.Lock()
		changed := f.storeRefused != (err != nil)
		f.storeRefused = err != nil
		f.mu.Unlock()
		if changed {
			f.log.Info("Connection to the store checked.", "refused", err != nil, "reason", err)
			f.announceState()
		}
	})
}

// checkConnections reports, until the context ends, whether connections can be made: nil, or the error of two attempts in a row.
func checkConnections(ctx context.Context, connect func() error, report func(error)) {
	ticker := time.NewTicker(storeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := failsTwice(connect); ctx.Err() == nil {
			report(err)
		}
	}
}

// failsTwice returns the error of the second of two attempts if both fail.  One alone may have failed because this VM got no processor time:
// if it then gave up reading, another VM would read the store, and everything in it, at a time of load.
func failsTwice(attempt func() error) error {
	if attempt() == nil {
		return nil
	}
	return attempt()
}
