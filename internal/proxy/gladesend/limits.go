package gladesend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
)

// ErrLimit accompanies ErrBroken if a server sent more than the limit that the message names.
var ErrLimit = eris.New("answer exceeds a limit")

const (
	// maxHeadBytes is the maximum size of an answer's status line and headers; it is also the maximum size of the
	// trailers, which have to fit into the read buffer.
	maxHeadBytes = 8 << 10
	// maxHeaderBytes is the maximum size of the status line and of each header line.
	maxHeaderBytes = 4 << 10
	// maxHeaders is the maximum number of header lines.
	maxHeaders = 100
	// maxInterimAnswers is the maximum number of 1xx answers before the final one.
	maxInterimAnswers = 4
	// maxStaleAnswers is the number of late answers to earlier requests that are skipped on one connection.
	maxStaleAnswers = 3
	// maxStaleBytes is the maximum size of the body of a skipped answer.
	maxStaleBytes = 64 << 10
	// MaxBodyBytes is the maximum size of a body that ReadBody returns.
	MaxBodyBytes = 8 << 20
	// bodyPartBytes is the size of the parts in which a large body is read, and up to which a body does not count towards
	// maxBufferedBytes.
	bodyPartBytes = 64 << 10
	// maxBufferedBytes is the memory that all larger bodies may occupy together while they are read, if their calls have no hold.  The
	// copy that joins a body's parts is included.
	maxBufferedBytes = 16 << 20
	// firstBufferBytes is the size of the first buffer for a body.
	firstBufferBytes = 2 << 10
	// roomWait is how long an answer waits for memory.  Its request has run, so that it cannot be refused; callers that read nothing
	// lose theirs within that time.
	roomWait = 2 * time.Second
	// roomCheckInterval is how often it looks for memory.
	roomCheckInterval = 20 * time.Millisecond
)

// NewLimitError returns the error of an answer that exceeds the named limit; it is both ErrBroken and ErrLimit.
func NewLimitError(name string, limit int, unit string) error {
	return fmt.Errorf("%w: %w: %s over %d %s", ErrBroken, ErrLimit, name, limit, unit)
}

// bufferBudget limits the memory that large bodies occupy together.
type bufferBudget struct {
	used atomic.Int64
}

// reserve reserves n bytes, unless the limit would be exceeded.
func (b *bufferBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) <= maxBufferedBytes {
		return true
	}
	b.used.Add(int64(-n))
	return false
}

func (b *bufferBudget) release(n int) { b.used.Add(int64(-n)) }

// waitHead waits until the buffer of r holds a complete head, and returns an error as soon as it exceeds a limit.
func waitHead(r *bufio.Reader, address string) error {
	var h headScanner
	for {
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return eris.Wrapf(ErrBroken, "%s: %v", address, err)
		}
		complete, err := h.scan(b)
		switch {
		case err != nil:
			return eris.Wrap(err, address)
		case complete:
			return nil
		case len(b) >= maxHeadBytes:
			return eris.Wrap(NewLimitError("head", maxHeadBytes, "bytes"), address)
		}
		if _, err := r.Peek(len(b) + 1); err != nil {
			return eris.Wrapf(ErrBroken, "%s: %v", address, err)
		}
	}
}

// headScanner looks for the end of a head that arrives in pieces.
type headScanner struct {
	// lines is the number of complete lines.
	lines int
	// lineStart is the offset of the current line, and scanned the offset up to which it has no line end.
	lineStart, scanned int
}

// scan continues with the bytes received so far and reports whether the head is complete.
func (h *headScanner) scan(b []byte) (complete bool, err error) {
	for {
		i := bytes.IndexByte(b[h.scanned:], '\n')
		if i < 0 {
			h.scanned = len(b)
			return false, h.checkLine(len(b))
		}
		h.scanned += i + 1
		if len(bytes.TrimRight(b[h.lineStart:h.scanned], "\r\n")) == 0 {
			return true, nil
		}
		if err := h.checkLine(h.scanned); err != nil {
			return false, err
		}
		if h.lines++; h.lines > maxHeaders+1 {
			return false, NewLimitError("headers", maxHeaders, "lines")
		}
		h.lineStart = h.scanned
	}
}

// checkLine checks the length of the current line, which reaches at least up to the offset end.
func (h *headScanner) checkLine(end int) error {
	if end-h.lineStart > maxHeaderBytes {
		return NewLimitError("header line", maxHeaderBytes, "bytes")
	}
	return nil
}

// skipBody reads the body of an answer to an earlier request.
func skipBody(body io.Reader, address string) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStaleBytes+1))
	if err != nil {
		return eris.Wrapf(ErrBroken, "%s: %v", address, err)
	}
	if n > maxStaleBytes {
		return eris.Wrap(NewLimitError("body of an earlier answer", maxStaleBytes, "bytes"), address)
	}
	return nil
}

// ReadBody reads the whole body.  It returns ErrLimit as soon as the body exceeds MaxBodyBytes, or all bodies
// together exceed maxBufferedBytes.  If the call has a hold, the body's memory is counted in it instead, until the caller gives it back,
// and ReadBody returns gladememory.ErrNoRoom or ErrEvicted if there is none.
func (x *Exchange) ReadBody() ([]byte, error) {
	if x.contentLength > MaxBodyBytes {
		return nil, eris.Wrap(NewLimitError("body", MaxBodyBytes, "bytes"), x.conn.address)
	}
	b := bodyReader{exchange: x}
	body, err := b.read()
	x.pool.buffers.release(b.reserved)
	if err != nil {
		x.hold.Shrink(b.held)
	}
	return body, err
}

// bodyReader reads a body.
type bodyReader struct {
	exchange *Exchange
	// first is a buffer that grows up to bodyPartBytes, and parts are what follows it.
	first []byte
	parts [][]byte
	// size is the number of bytes read.
	size int
	// held is the number of bytes counted in the hold of the call, and reserved those reserved in the pool's budget.
	held, reserved int
}

// read reads the whole body.
func (b *bodyReader) read() ([]byte, error) {
	defer b.returnParts()
	for {
		current := &b.first
		if len(b.parts) > 0 {
			current = &b.parts[len(b.parts)-1]
		}
		if len(*current) == cap(*current) {
			if err := b.grow(); err != nil {
				return nil, err
			}
			continue
		}
		free := (*current)[len(*current):cap(*current)]
		n, err := b.exchange.Read(free[:min(len(free), MaxBodyBytes+1-b.size)])
		*current, b.size = (*current)[:len(*current)+n], b.size+n
		switch {
		case b.size > MaxBodyBytes: // before the end, which may arrive with the last bytes
			return nil, eris.Wrap(NewLimitError("body", MaxBodyBytes, "bytes"), b.exchange.conn.address)
		case errors.Is(err, io.EOF):
			return b.join()
		case err != nil:
			return nil, err
		}
	}
}

// grow doubles the first buffer, or adds a part once it is as large as one.
func (b *bodyReader) grow() error {
	if cap(b.first) >= bodyPartBytes {
		if err := b.occupyLarge(bodyPartBytes); err != nil {
			return err
		}
		b.parts = append(b.parts, b.exchange.pool.parts.take())
		return nil
	}
	size := min(max(firstBufferBytes, 2*cap(b.first)), bodyPartBytes)
	if length := b.exchange.contentLength; length >= 0 {
		size = max(cap(b.first)+1, min(size, int(length)+1))
	}
	if err := b.occupy(size); err != nil {
		return err
	}
	outgrown := cap(b.first)
	b.first = append(make([]byte, 0, size), b.first...)
	b.vacate(outgrown)
	return nil
}

// join returns the body in one piece.
func (b *bodyReader) join() ([]byte, error) {
	if len(b.parts) == 0 {
		return b.first, nil
	}
	if err := b.occupyLarge(b.size); err != nil {
		return nil, err
	}
	body := append(make([]byte, 0, b.size), b.first...)
	for _, p := range b.parts {
		body = append(body, p...)
	}
	b.vacate(b.held - b.size)
	return body, nil
}

// occupyLarge is occupy for memory beyond the first buffer.  Without a hold it reserves the memory in the budget of the pool.
func (b *bodyReader) occupyLarge(size int) error {
	if err := b.occupy(size); err != nil || b.exchange.hold != nil {
		return err
	}
	if !b.exchange.pool.buffers.reserve(size) {
		return eris.Wrap(NewLimitError("all large bodies", maxBufferedBytes, "bytes"), b.exchange.conn.address)
	}
	b.reserved += size
	return nil
}

// occupy counts size further bytes in the hold of the call.  It waits for room for at most roomWait.
func (b *bodyReader) occupy(size int) error {
	x := b.exchange
	began := time.Now()
	for now := began; ; now = time.Now() {
		err := x.hold.Grow(size, now)
		if err == nil {
			b.held += size
		}
		if !errors.Is(err, gladememory.ErrNoRoom) || now.Sub(began) >= roomWait {
			return err
		}
		select {
		case <-x.done:
			return err
		case <-time.After(roomCheckInterval):
		}
	}
}

// vacate gives size bytes back to the hold of the call.
func (b *bodyReader) vacate(size int) {
	b.exchange.hold.Shrink(size)
	b.held -= size
}

func (b *bodyReader) returnParts() {
	for _, p := range b.parts {
		b.exchange.pool.parts.put(p)
	}
}
