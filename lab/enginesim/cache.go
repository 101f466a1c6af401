package enginesim

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the granularity of the prefix cache, in prompt bytes.
const blockBytes = 64

// prefixCache keeps the blocks of recent prompts. A block is named by the hash
// of the prompt up to its end, so that equal prefixes share blocks.
type prefixCache struct {
	capacity int // blocks
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(bytes int) *prefixCache {
	return &prefixCache{
		capacity: bytes / blockBytes,
		order:    list.New(),
		blocks:   make(map[uint64]*list.Element),
	}
}

// use returns the number of leading prompt bytes that were held, and then
// holds the whole prompt, evicting the least recently used blocks.
func (c *prefixCache) use(prompt string) int {
	held, prefix := 0, true
	d := xxhash.New()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = d.WriteString(prompt[end-blockBytes : end]) // never fails
		known := c.touch(d.Sum64())
		prefix = prefix && known
		if prefix {
			held = end
		}
	}
	return held
}

func (c *prefixCache) touch(block uint64) bool {
	if e := c.blocks[block]; e != nil {
		c.order.MoveToFront(e)
		return true
	}
	c.blocks[block] = c.order.PushFront(block)
	if c.order.Len() > c.capacity {
		last := c.order.Back()
		c.order.Remove(last)
		delete(c.blocks, last.Value.(uint64))
	}
	return false
}
