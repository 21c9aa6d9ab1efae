package gladeentry

import (
	"bytes"
	"encoding/json"
)

// textPlaceholder marks the position of the text in the marshalled chunk. If the placeholder also occurs elsewhere in
// the chunk, each chunk is marshalled as a whole.
const textPlaceholder = "\uE000"

// chunkEncoder encodes the chunks of one stream. The JSON around the text is the same in most chunks and is marshalled
// only once.
type chunkEncoder struct {
	request        *request
	prefix, suffix []byte
	buffer         bytes.Buffer
	encoder        *json.Encoder
}

func newChunkEncoder(q *request) *chunkEncoder {
	f := &chunkEncoder{request: q}
	f.encoder = json.NewEncoder(&f.buffer)
	sample, err := json.Marshal(q.chunk(&piece{text: textPlaceholder}))
	placeholder, _ := json.Marshal(textPlaceholder)
	if err == nil && bytes.Count(sample, placeholder) == 1 {
		f.prefix, f.suffix, _ = bytes.Cut(sample, placeholder)
	}
	return f
}

// encode returns the JSON chunk that contains one piece. The result is valid until the next call.
func (f *chunkEncoder) encode(p *piece) ([]byte, error) {
	if len(f.prefix) == 0 || p.first || len(p.token.Logprobs) > 0 {
		return json.Marshal(f.request.chunk(p))
	}
	f.buffer.Reset()
	f.buffer.Write(f.prefix)
	if err := f.encoder.Encode(p.text); err != nil {
		return nil, err
	}
	// Encode ends its value with a newline.
	f.buffer.Truncate(f.buffer.Len() - 1)
	f.buffer.Write(f.suffix)
	return f.buffer.Bytes(), nil
}
