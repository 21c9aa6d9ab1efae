package gladeroute

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

const (
	// BlockTokens is the number of tokens in a block of a prompt of token identifiers.
	BlockTokens = 64
	// BlockBytes is the number of bytes in a block of a prompt of text.
	BlockBytes = 256
	// MaxBlocks is the largest number of leading blocks that are hashed.
	MaxBlocks = 32
)

// HashBlocks returns the hashes of the leading blocks of a text prompt. Each hash covers the target and the prompt up
// to the end of the block, so that the same prompt has other hashes for another model or version.
func HashBlocks(target, prompt string) []uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(target + "\x00")
	hashes := make([]uint64, 0, min(MaxBlocks, len(prompt)/BlockBytes))
	for len(prompt) >= BlockBytes && len(hashes) < MaxBlocks {
		_, _ = d.WriteString(prompt[:BlockBytes])
		prompt = prompt[BlockBytes:]
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// HashTokenBlocks returns the hashes of the leading blocks of a prompt of token identifiers, as HashBlocks does for
// text.
func HashTokenBlocks(target string, tokens []int32) []uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(target + "\x00")
	hashes := make([]uint64, 0, min(MaxBlocks, len(tokens)/BlockTokens))
	var block [4 * BlockTokens]byte
	for len(tokens) >= BlockTokens && len(hashes) < MaxBlocks {
		for i, id := range tokens[:BlockTokens] {
			binary.LittleEndian.PutUint32(block[4*i:], uint32(id))
		}
		_, _ = d.Write(block[:])
		tokens = tokens[BlockTokens:]
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// HashGenerationBlocks returns the hashes of the leading blocks of a generation's prompt.
func HashGenerationBlocks(g *gladeapi.Generation) []uint64 {
	target := g.Target.String()
	switch {
	case len(g.PromptTokens) > 0:
		return HashTokenBlocks(target, g.PromptTokens)
	case len(g.Messages) > 0:
		return HashBlocks(target, string(g.Messages))
	}
	return HashBlocks(target, g.Prompt)
}
