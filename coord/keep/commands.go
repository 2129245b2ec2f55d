package keep

import "sync"

// Limits of the command cache: the number of commands and their total size in bytes.
const (
	mostCommands     = 4096
	mostCommandBytes = 4 << 20
)

// Commands caches the commands of the most recently added jobs. The zero value is ready
// for use.
type Commands struct {
	mu    sync.Mutex
	text  map[string]string
	order []string
	bytes int
}

// Add caches the command of a job and evicts the oldest ones beyond the limits.
func (c *Commands) Add(job, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.text == nil {
		c.text = make(map[string]string)
	}
	if _, known := c.text[job]; known {
		return
	}
	c.text[job] = text
	c.order = append(c.order, job)
	c.bytes += len(text)
	for len(c.order) > 1 && (len(c.order) > mostCommands || c.bytes > mostCommandBytes) {
		c.bytes -= len(c.text[c.order[0]])
		delete(c.text, c.order[0])
		c.order = c.order[1:]
	}
}

// Get returns the command of a job, and whether it is in the cache.
func (c *Commands) Get(job string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, known := c.text[job]
	return text, known
}
