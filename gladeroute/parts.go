package gladeroute

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

const (
	// partWindow is the number of bytes before a possible end of a part that decide whether it is one.
	partWindow = 16
	// partMask selects about one byte in 256 as the end of a part.
	partMask = 1<<8 - 1
	// MaxParts is the largest number of leading parts of a prompt that are hashed.
	MaxParts = 512
)

// HashParts returns hashes that are equal for what generations share: the caller's organisation, the target, and the leading parts of
// the prompt but the last. The text itself decides where a part ends, so that a passage of a few hundred bytes has parts with the
// same hashes in any prompt, whatever stands before it.
func HashParts(g *gladeapi.Generation) []uint64 {
	hashes := []uint64{
		xxhash.Sum64String("organisation\x00" + g.Organisation), xxhash.Sum64String("target\x00" + g.Target.String()),
	}
	switch {
	case len(g.PromptTokens) > 0:
		text := make([]byte, 0, 4*len(g.PromptTokens))
		for _, id := range g.PromptTokens {
			text = binary.LittleEndian.AppendUint32(text, uint32(id))
		}
		return appendPartHashes(hashes, text)
	case len(g.Messages) > 0:
		return appendPartHashes(hashes, g.Messages)
	}
	return appendPartHashes(hashes, []byte(g.Prompt))
}

func appendPartHashes(hashes []uint64, text []byte) []uint64 {
	start := 0
	for i := partWindow; i < len(text) && len(hashes) < MaxParts; i++ {
		if xxhash.Sum64(text[i-partWindow:i])&partMask == 0 {
			hashes = append(hashes, xxhash.Sum64(text[start:i]))
			start = i
		}
	}
	return hashes
}
