package main

import (
	"net"
	"sync"
	"time"
)

// link paces what passes a VM's link in one direction, so that no packet waits for it.
type link struct {
	mu   sync.Mutex
	rate float64 // bytes a second
	free time.Time
}

func newLink(mbps float64) *link { return &link{rate: mbps * 1e6 / 8} }

// wait waits until a number of bytes may pass.
func (l *link) wait(bytes int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	at := l.free
	l.free = l.free.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

// linkStep is how much passes at a time.
const linkStep = 32 << 10

// write writes to a connection over the link.
func (l *link) write(c net.Conn, b []byte) error {
	for len(b) > 0 {
		n := min(len(b), linkStep)
		l.wait(n)
		if _, err := c.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
