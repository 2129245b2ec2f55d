package keep

import "sync"

// Limits of the command cache: the number of commands and their total size in bytes.
const (
	maxCommands     = 4096
	maxCommandBytes = 4 << 20
)

// Commands caches the commands of the most recently added jobs. The zero value is ready
// for use.
type Commands struct {
	mu    sync.Mutex
	texts map[string]string
	order []string
	bytes int
}

// Add caches the command of a job and evicts the oldest ones beyond the limits.
func (c *Commands) Add(job, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.texts == nil {
		c.texts = make(map[string]string)
	}
	if _, known := c.texts[job]; known {
		return
	}
	c.texts[job] = text
	c.order = append(c.order, job)
	c.bytes += len(text)
	for len(c.order) > 1 && (len(c.order) > maxCommands || c.bytes > maxCommandBytes) {
		c.bytes -= len(c.texts[c.order[0]])
		delete(c.texts, c.order[0])
		c.order = c.order[1:]
	}
}

// Get returns the command of a job, and whether it is in the cache.
func (c *Commands) Get(job string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, known := c.texts[job]
	return text, known
}
