package enginesim

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the block size of the prefix cache, in prompt bytes.
const blockBytes = 64

// prefixCache is an LRU cache of prompt blocks. The key of a block is the hash
// of the prompt up to the end of the block, so that prompts with equal
// prefixes share blocks.
type prefixCache struct {
	capacity int // blocks
	recency  *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(bytes int) *prefixCache {
	return &prefixCache{
		capacity: bytes / blockBytes,
		recency:  list.New(),
		blocks:   make(map[uint64]*list.Element),
	}
}

// lookupAndAdd returns the number of leading prompt bytes that were cached,
// and then caches the whole blocks of the prompt, evicting the least recently
// used blocks.
func (c *prefixCache) lookupAndAdd(prompt string) int {
	cachedBytes, prefix := 0, true
	d := xxhash.New()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = d.WriteString(prompt[end-blockBytes : end]) // never fails
		cached := c.touch(d.Sum64())
		prefix = prefix && cached
		if prefix {
			cachedBytes = end
		}
	}
	return cachedBytes
}

func (c *prefixCache) touch(block uint64) bool {
	if e := c.blocks[block]; e != nil {
		c.recency.MoveToFront(e)
		return true
	}
	c.blocks[block] = c.recency.PushFront(block)
	if c.recency.Len() > c.capacity {
		last := c.recency.Back()
		c.recency.Remove(last)
		delete(c.blocks, last.Value.(uint64))
	}
	return false
}
