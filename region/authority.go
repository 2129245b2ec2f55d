package region

import (
	"sync"
	"time"
)

// grants tracks until when a keeper may have authority.
type grants struct {
	mu    sync.Mutex
	until time.Time
}

// note records that a message is about to be sent that grants authority until the given time.
func (g *grants) note(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until.After(g.until) {
		g.until = until
	}
}

// left returns how long the granted authority may still last.
func (g *grants) left() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, time.Until(g.until))
}
