package gladeentry

import (
	"bytes"
	"encoding/json"
)

// textMark stands for the text while a frame is made; a chunk that holds it elsewhere too is marshalled whole.
const textMark = "\uE000"

// framer marshals the chunks of one stream around a constant frame.
type framer struct {
	request       *request
	before, after []byte
	text          bytes.Buffer
	encoder       *json.Encoder
}

func newFramer(q *request) *framer {
	f := &framer{request: q}
	f.encoder = json.NewEncoder(&f.text)
	frame, err := json.Marshal(q.chunk(&piece{text: textMark}))
	mark, _ := json.Marshal(textMark)
	if err == nil && bytes.Count(frame, mark) == 1 {
		f.before, f.after, _ = bytes.Cut(frame, mark)
	}
	return f
}

// chunk returns the JSON of one piece, which is valid until the next call.
func (f *framer) chunk(p *piece) ([]byte, error) {
	if len(f.before) == 0 || p.first || len(p.token.Logprobs) > 0 {
		return json.Marshal(f.request.chunk(p))
	}
	f.text.Reset()
	f.text.Write(f.before)
	if err := f.encoder.Encode(p.text); err != nil {
		return nil, err
	}
	// Encode ends its value with a newline.
	f.text.Truncate(f.text.Len() - 1)
	f.text.Write(f.after)
	return f.text.Bytes(), nil
}
