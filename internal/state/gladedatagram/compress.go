package gladedatagram

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// compressBytes is the size from which a value is compressed: smaller ones fit into one packet.  A list of backend servers becomes
	// about five times smaller.  Sent uncompressed to forty VMs in each heartbeat, it filled a link of 10 Mbit/s for seconds, and the
	// sender's own callers received their events late.
	compressBytes = 1200
	// gzipMagic is the first byte of a compressed value; JSON never begins with it.
	gzipMagic = 0x1f
)

// compressor compresses values; its writer is kept, because a new one allocates hundreds of kilobytes.
type compressor struct {
	mu     sync.Mutex
	writer *gzip.Writer
}

// compress returns a value in the form in which it is sent.
func (c *compressor) compress(raw []byte) ([]byte, error) {
	if len(raw) < compressBytes {
		return raw, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var b bytes.Buffer
	if c.writer == nil {
		w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
		if err != nil {
			return nil, eris.Wrap(err, "compressing a datagram")
		}
		c.writer = w
	} else {
		c.writer.Reset(&b)
	}
	if _, err := c.writer.Write(raw); err != nil {
		return nil, eris.Wrap(err, "compressing a datagram")
	}
	if err := c.writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compressing a datagram")
	}
	return b.Bytes(), nil
}

// decompress returns the value of a datagram; one that is larger than MaxBytes is rejected.
func decompress(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != gzipMagic {
		return b, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, eris.Wrap(err, "decompressing a datagram")
	}
	raw, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompressing a datagram")
	}
	if len(raw) > MaxBytes {
		return nil, eris.Wrap(ErrTooLarge, "decompressing a datagram")
	}
	return raw, nil
}
