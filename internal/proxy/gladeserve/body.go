package gladeserve

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
)

const (
	maxChunkLineBytes = 1024
	maxTrailerBytes   = 8 << 10
	// firstBufferBytes is the size of the first buffer of a body of unknown length.
	firstBufferBytes = 2 << 10
	// progressBytes is the number of bytes after which progress is recorded.
	progressBytes = 4 << 10
)

// bodyBuffer is the buffer of a body that arrives.  It grows with what has arrived, whatever length is announced.
type bodyBuffer struct {
	bytes []byte
	hold  *gladememory.Hold
	// limit is the largest length.
	limit int64
	// unrecorded is the number of bytes since the last record of progress.
	unrecorded int
}

// readBody reads a whole body of at most limit bytes and counts its memory in hold.
func readBody(r *bufio.Reader, f framing, limit int64, hold *gladememory.Hold) ([]byte, error) {
	b := bodyBuffer{hold: hold, limit: limit}
	var err error
	switch {
	case f.chunked:
		err = b.readChunks(r)
	case f.length > limit:
		err = ErrBodyTooLarge
	default:
		b.limit = f.length
		err = b.read(r, f.length)
	}
	if err != nil {
		gladememory.Recycle(b.bytes)
		return nil, err
	}
	return b.bytes, nil
}

// read reads n bytes.
func (b *bodyBuffer) read(r *bufio.Reader, n int64) error {
	for n > 0 {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(n); err != nil {
				return err
			}
		}
		room := b.bytes[len(b.bytes):cap(b.bytes)]
		got, err := r.Read(room[:min(n, int64(len(room)))])
		b.bytes = b.bytes[:len(b.bytes)+got]
		n -= int64(got)
		b.record(got)
		if n > 0 && err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// record records progress from time to time, as a read may be of a single byte.
func (b *bodyBuffer) record(n int) {
	if b.unrecorded += n; b.unrecorded >= progressBytes {
		b.hold.Moved(b.unrecorded, time.Now())
		b.unrecorded = 0
	}
}

// grow enlarges the buffer before a read of n bytes.  Small bodies get their length at once.
func (b *bodyBuffer) grow(n int64) error {
	size := int64(max(firstBufferBytes, 2*cap(b.bytes)))
	if whole := int64(len(b.bytes)) + n; whole <= gladememory.SmallBytes/4 {
		size = max(size, whole)
	}
	size = min(size, b.limit)
	if err := b.hold.Grow(int(size), time.Now()); err != nil {
		return err
	}
	old := b.bytes
	b.bytes = append(gladememory.NewBuffer(int(size)), old...)
	gladememory.Recycle(old)
	b.hold.Shrink(cap(old))
	return nil
}

// readChunks reads a chunked body and discards its extensions and trailers.
func (b *bodyBuffer) readChunks(r *bufio.Reader) error {
	for {
		n, err := readChunkSize(r)
		if err != nil {
			return err
		}
		if n == 0 {
			return skipTrailer(r)
		}
		if int64(len(b.bytes))+n > b.limit {
			return ErrBodyTooLarge
		}
		if err := b.read(r, n); err != nil {
			return err
		}
		end, err := r.Peek(2)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		if string(end) != "\r\n" {
			return eris.Wrapf(ErrMalformed, "chunk of %d bytes is followed by %q", n, end)
		}
		_, _ = r.Discard(len(end)) // cannot fail: the bytes are buffered
	}
}

// readChunkSize reads the line before a chunk.  It allocates no memory: a body may have millions of chunks.
func readChunkSize(r *bufio.Reader) (int64, error) {
	line, err := readChunkLine(r)
	if err != nil {
		return 0, err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 31)
	if err != nil {
		return 0, eris.Wrapf(ErrMalformed, "invalid chunk size %q", size)
	}
	return int64(n), nil
}

// readChunkLine returns a line without its end, which is valid until the next read.
func readChunkLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	switch {
	case err != nil && !errors.Is(err, bufio.ErrBufferFull):
		return nil, err
	case err != nil || len(line) > maxChunkLineBytes || !bytes.HasSuffix(line, []byte("\r\n")):
		return nil, eris.Wrap(ErrMalformed, "chunk line is too long or ends without CR LF")
	}
	return line[:len(line)-2], nil
}

func skipTrailer(r *bufio.Reader) error {
	for read := 0; ; {
		line, err := readChunkLine(r)
		if err != nil || len(line) == 0 {
			return err
		}
		if read += len(line); read > maxTrailerBytes {
			return ErrHeaderTooLarge
		}
	}
}
