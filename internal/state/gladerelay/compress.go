package gladerelay

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"encoding/json"
	"io"
	"runtime"
	"slices"

	"github.com/rotisserie/eris"
)

const (
	// compressBytes is the size from which an answer is compressed; smaller ones fit into one packet.
	compressBytes = 1200
	// maxRatio is more than the ratio by which a release is compressed, which is about 5.5 with base64: an answer that is that many times too
	// large need not be compressed.
	maxRatio = 8
	// maxExpandedBytes bounds an answer after it is expanded. It is four times a release of 3,000 routes; a VM has 120 MB of memory.
	maxExpandedBytes = 4 << 20
	// compressPartBytes is the number of bytes that are compressed between two yields of the processor.
	compressPartBytes = 32 << 10
)

// errExpanded means that a compressed answer is larger than maxExpandedBytes.
var errExpanded = eris.New("the expanded answer is too large")

// compress returns the compressed JSON of a value. gzip.BestSpeed costs a VM with a tenth of a core least, and gives up to a fifth.
func compress(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "encoding an answer")
	}
	if len(raw) > maxExpandedBytes {
		return nil, eris.Wrapf(errExpanded, "%d bytes", len(raw))
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compressing an answer")
	}
	for part := range slices.Chunk(raw, compressPartBytes) {
		if _, err := w.Write(part); err != nil {
			return nil, eris.Wrap(err, "compressing an answer")
		}
		runtime.Gosched() // requests on a VM with one processor wait for less time
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compressing an answer")
	}
	return b.Bytes(), nil
}

// expand decodes what compress returned; the error is errExpanded if the value is larger than maxExpandedBytes.
func expand(compressed []byte, v any) error {
	z, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return eris.Wrap(err, "expanding an answer")
	}
	raw, err := io.ReadAll(io.LimitReader(z, maxExpandedBytes+1))
	if err != nil {
		return eris.Wrap(err, "expanding an answer")
	}
	if len(raw) > maxExpandedBytes {
		return errExpanded
	}
	return eris.Wrap(json.Unmarshal(raw, v), "decoding an answer")
}

// sentSize returns the bytes that a compressed answer takes in a message, in base64.
func sentSize(compressed []byte) int { return base64.StdEncoding.EncodedLen(len(compressed)) }
