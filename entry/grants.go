package entry

import (
	"sync"
	"time"

	"plantainwinch/proto"
)

// grantBook lists the slots that this entry uses, its own and others'.
type grantBook struct {
	mu   sync.Mutex
	held map[string]*heldGrant
}

type heldGrant struct {
	home     string
	executor string
	team     string
	until    time.Time
}

func (b *grantBook) add(id string, g heldGrant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held == nil {
		b.held = make(map[string]*heldGrant)
	}
	b.held[id] = &g
}

// remove drops a grant and returns its present home.
func (b *grantBook) remove(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.held[id]
	if g == nil {
		return ""
	}
	delete(b.held, id)
	return g.home
}

// of lists the grants of one home.
func (b *grantBook) of(home string) []proto.HeldSlot {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []proto.HeldSlot
	for id, g := range b.held {
		if g.home == home {
			out = append(out, g.message(id))
		}
	}
	return out
}

func (g *heldGrant) message(id string) proto.HeldSlot {
	return proto.HeldSlot{Grant: id, Executor: g.executor, Team: g.team, Left: time.Until(g.until)}
}

// moved changes the home of grants whose executor has a new one and returns
// them by that home.
func (b *grantBook) moved(home func(executor string) string) map[string][]proto.HeldSlot {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string][]proto.HeldSlot)
	for id, g := range b.held {
		now := home(g.executor)
		if now == "" || now == g.home {
			continue
		}
		g.home = now
		out[now] = append(out[now], g.message(id))
	}
	return out
}
