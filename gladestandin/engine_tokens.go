package gladestandin

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// vocabulary is the number of token identifiers.
	vocabulary = 50_000
	// On average one in eosOneIn tokens ends the text.
	eosOneIn = 5_000
	// With PartialText, one in textlessOneIn tokens has no text and one in partialOneIn is the first half of a
	// character.
	textlessOneIn    = 13
	partialOneIn     = 7
	partialCharacter = "é"
	wordPrefix       = "w"
)

// Tokenize returns the engine's tokens of a text, one for each word.
func Tokenize(text string) []int32 {
	words := strings.Fields(text)
	ids := make([]int32, len(words))
	for i, w := range words {
		ids[i] = wordToken(w)
	}
	return ids
}

// wordToken returns the token of a word: a generated token for its own text, else a hash of the word.
func wordToken(word string) int32 {
	if digits, ok := strings.CutPrefix(word, wordPrefix); ok {
		if id, err := strconv.ParseInt(digits, 10, 32); err == nil && id >= 0 && id < vocabulary {
			return int32(id)
		}
	}
	return int32(xxhash.Sum64String(word) % vocabulary)
}

// TokenText returns the text of a generated token.
func TokenText(id int32) string {
	return " " + wordPrefix + strconv.Itoa(int(id))
}

// PartialTokenText returns the text of token id after token before. Some tokens have no text; the text of others is
// half a character, which becomes visible with the next token.
func PartialTokenText(before, id int32) string {
	var text string
	if isPartial(before) {
		text = partialCharacter
	}
	if isPartial(id) || id%textlessOneIn == 0 {
		return text
	}
	return text + TokenText(id)
}

func isPartial(id int32) bool {
	return id%partialOneIn == 1
}

// Sequence generates the tokens of a target after a prompt.
type Sequence struct {
	digest xxhash.Digest
}

// NewSequence returns the sequence for a target, a seed and all earlier tokens, those of the prompt included.
func NewSequence(target string, seed int64, before []int32) *Sequence {
	s := &Sequence{}
	s.digest.Reset()
	_, _ = fmt.Fprintf(&s.digest, "%s/%d/", target, seed)
	for _, id := range before {
		s.add(id)
	}
	return s
}

// Next returns the next token and whether it ends the text.
func (s *Sequence) Next() (int32, bool) {
	h := s.digest.Sum64()
	id := int32(h % vocabulary)
	s.add(id)
	return id, (h>>32)%eosOneIn == 0
}

func (s *Sequence) add(id int32) {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], uint32(id))
	_, _ = s.digest.Write(b[:])
}

func promptTokens(raw json.RawMessage) ([]int32, error) {
	var ids []int32
	if err := json.Unmarshal(raw, &ids); err == nil {
		return ids, nil
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return nil, fmt.Errorf("prompt %.100s is neither token identifiers nor text: %w", raw, err)
	}
	return Tokenize(text), nil
}
