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
	vocabulary = 50_000
	eosOneIn   = 5_000
	// One in silentOneIn tokens has no text, and one in halfOneIn is the first half of a character.
	silentOneIn = 13
	halfOneIn   = 7
	halfRest    = "é"
	wordPrefix  = "w"
)

// Tokenize returns the stand-in's tokens of a text, one for each word.
func Tokenize(text string) []int32 {
	words := strings.Fields(text)
	ids := make([]int32, len(words))
	for i, w := range words {
		ids[i] = wordToken(w)
	}
	return ids
}

// wordToken gives a generated token's text the token's own identifier.
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

// OddTokenText returns the text of a token after another where some have no text and some are half a character.
func OddTokenText(before, id int32) string {
	var text string
	if isHalf(before) {
		text = halfRest
	}
	if isHalf(id) || id%silentOneIn == 0 {
		return text
	}
	return text + TokenText(id)
}

func isHalf(id int32) bool {
	return id%halfOneIn == 1
}

// Sequence yields the tokens that a target gives after a prompt.
type Sequence struct {
	digest xxhash.Digest
}

// NewSequence returns the sequence for a target, a seed and all tokens so far.
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
		return nil, fmt.Errorf("prompt: %w", err)
	}
	return Tokenize(text), nil
}
