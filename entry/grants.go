package entry

import (
	"sync"
	"time"

	"plantainwinch/proto"
)

// grantTable holds the slots that this entry uses or has requested, including those of executors whose home is another
// entry.
type grantTable struct {
	mu   sync.Mutex
	held map[string]*heldGrant
}

// heldGrant is a slot that this entry uses or has requested.
type heldGrant struct {
	home     string
	executor string // executor is empty until the slot is known to be granted.
	team     string
	expires  time.Time
}

func (t *grantTable) add(id string, g heldGrant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held == nil {
		t.held = make(map[string]*heldGrant)
	}
	t.held[id] = &g
}

// remove removes a grant and returns its home, or an empty string if there is no such grant.
func (t *grantTable) remove(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.held[id]
	if g == nil {
		return ""
	}
	delete(t.held, id)
	return g.home
}

// grantsOf returns the grants of one home.
func (t *grantTable) grantsOf(home string) []proto.HeldSlot {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []proto.HeldSlot
	for id, g := range t.held {
		if g.home == home {
			out = append(out, g.message(id))
		}
	}
	return out
}

func (g *heldGrant) message(id string) proto.HeldSlot {
	return proto.HeldSlot{Grant: id, Executor: g.executor, Team: g.team, Left: time.Until(g.expires)}
}

// rehome sets the home of grants whose executor has a new one and returns these grants by home.
func (t *grantTable) rehome(home func(executor string) string) map[string][]proto.HeldSlot {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string][]proto.HeldSlot)
	for id, g := range t.held {
		present := home(g.executor)
		if present == "" || present == g.home {
			continue
		}
		g.home = present
		out[present] = append(out[present], g.message(id))
	}
	return out
}
