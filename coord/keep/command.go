package keep

import "sync"

// Bounds of the commands that are remembered: so many, and so many bytes in all.
const (
	mostCommands     = 4096
	mostCommandBytes = 4 << 20
)

// Commands remembers the commands of the jobs that were added last. The zero value is
// ready for use.
type Commands struct {
	mu    sync.Mutex
	text  map[string]string
	order []string
	bytes int
}

// Add remembers the command of a job.
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

// Get returns the command of a job, and whether it is known.
func (c *Commands) Get(job string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, known := c.text[job]
	return text, known
}
