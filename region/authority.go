package region

import (
	"sync"
	"time"
)

// Times that remain are bounds, since clocks run at different speeds, may be set, and stand still while a VM is
// suspended. What this entry may still do depends on the least that may remain, see validity. What another
// entry may still do depends on the most that it was granted, whatever would be granted now, see grants.

// atMost is the most that may remain of what another entry was granted.
type atMost time.Duration

// grants tracks until when a keeper may have the authority that it was granted in a session.
type grants struct {
	mu    sync.Mutex
	until time.Time
	ended bool
}

// add records that authority is about to be granted, and reports whether it may be.
func (g *grants) add(authority time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until := time.Now().Add(authority); !g.ended && until.After(g.until) {
		g.until = until
	}
	return !g.ended
}

// left returns how long the keeper may still have authority.
func (g *grants) left() atMost {
	g.mu.Lock()
	defer g.mu.Unlock()
	return atMost(max(0, time.Until(g.until)))
}

// end ends the grants of the session, and returns how long the keeper may still have authority.
func (g *grants) end() atMost {
	g.mu.Lock()
	g.ended = true
	g.mu.Unlock()
	return g.left()
}

// grantedTo returns how long a keeper may still have authority.
func (l *leadership) grantedTo(keeper string) atMost {
	if p := l.proxies[keeper]; p != nil {
		return p.granted.left()
	}
	return atMost(officeTTL + keeperGrace)
}
