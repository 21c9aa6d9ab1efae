package gladestandin

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	defaultCacheBlocks = 4096
	// BlockTokens is the number of tokens in one block of an engine's prefix cache.
	BlockTokens = 16
)

// prefixCache holds the hashes of the token blocks that an engine has computed and evicts the least recently used.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	size   int
}

func newPrefixCache(blocks int) *prefixCache {
	l, err := simplelru.NewLRU[uint64, struct{}](blocks, nil)
	if err != nil {
		panic(err)
	}
	return &prefixCache{blocks: l, size: blocks}
}

// cachedTokens returns the number of leading tokens that need no prefill. The last token always needs prefill.
func (c *prefixCache) cachedTokens(target string, tokens []int32) int {
	n := 0
	for _, hash := range blockHashes(target, tokens) {
		if _, ok := c.blocks.Get(hash); !ok {
			break
		}
		n += BlockTokens
	}
	return max(0, min(n, len(tokens)-1))
}

func (c *prefixCache) add(target string, tokens []int32) {
	for _, hash := range blockHashes(target, tokens) {
		c.blocks.Add(hash, struct{}{})
	}
}

func (c *prefixCache) usedShare() float64 {
	return float64(c.blocks.Len()) / float64(c.size)
}

func blockHashes(target string, tokens []int32) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(target)
	hashes := make([]uint64, 0, len(tokens)/BlockTokens)
	var b [4]byte
	for i, id := range tokens {
		binary.LittleEndian.PutUint32(b[:], uint32(id))
		_, _ = digest.Write(b[:])
		if (i+1)%BlockTokens == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}
