package region

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"plantainwinch/winch"
)

// evacuations holds the failure domains that the platform's operator has evacuated, as far as this
// entry knows. The entry learns of changes from the store, from a planner's reports and, while the
// store does not answer it, from peers. A state never replaces one as of a later revision of the store,
// so an evacuation is not forgotten because a peer knows less.
type evacuations struct {
	mu      sync.Mutex
	current atomic.Pointer[winch.Evacuations]
}

// load returns what is known.
func (e *evacuations) load() winch.Evacuations {
	if known := e.current.Load(); known != nil {
		return *known
	}
	return winch.Evacuations{}
}

// replace stores a state if it is newer than the present one, and reports whether it is.
func (e *evacuations) replace(next winch.Evacuations) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if next.AsOf <= e.load().AsOf {
		return false
	}
	e.current.Store(&next)
	return true
}

// changed returns the state after changes of operator keys, as of the given revision.
func (e *evacuations) changed(prefix string, events []winch.Event, asOf uint64) winch.Evacuations {
	domains := slices.Clone(e.load().Domains)
	for _, x := range events {
		domain, ok := strings.CutPrefix(x.Key, prefix)
		if !ok {
			continue
		}
		at, known := slices.BinarySearch(domains, domain)
		switch {
		case known && x.Deleted:
			domains = slices.Delete(domains, at, at+1)
		case !known && !x.Deleted:
			domains = slices.Insert(domains, at, domain)
		}
	}
	return winch.Evacuations{Domains: domains, AsOf: asOf}
}

// readEvacuations returns the state that the values of all operator keys show, as of the given
// revision.
func readEvacuations(prefix string, values []winch.Value, asOf uint64) winch.Evacuations {
	out := winch.Evacuations{AsOf: asOf}
	for _, v := range values {
		if domain, ok := strings.CutPrefix(v.Key, prefix); ok {
			out.Domains = append(out.Domains, domain)
		}
	}
	slices.Sort(out.Domains)
	return out
}

// applyEvacuations puts a state in force if it is newer than the present one.
func (n *Node) applyEvacuations(next winch.Evacuations, from string) {
	before := n.evacuations.load()
	if !n.evacuations.replace(next) || slices.Equal(before.Domains, next.Domains) {
		return
	}
	n.Log.Info("evacuated failure domains changed", zap.Strings("evacuated", next.Domains),
		zap.Strings("before", before.Domains), zap.Uint64("revision", next.AsOf), zap.String("from", from))
	if l := n.leadership.Load(); l != nil {
		l.post(l.applyEvacuations)
	}
}

// applyReceived puts in force what another entry knows.
func (n *Node) applyReceived(next *winch.Evacuations, from string) {
	if next != nil {
		n.applyEvacuations(*next, from)
	}
}

// knownEvacuations returns what this entry knows, to be sent to another one; nil if it knows nothing.
func (n *Node) knownEvacuations() *winch.Evacuations {
	return n.evacuations.current.Load()
}

// applyOperatorState passes what the operator may have changed while the records were read to the
// planner's decisions.
func (l *leadership) applyOperatorState() {
	l.applyConfig()
	l.applyEvacuations()
}

// applyConfig has the planner decide by the newest configuration. Versions arrive by several ways at once, so the one
// whose arrival caused the call need not be the newest.
func (l *leadership) applyConfig() {
	config := l.node.Config()
	l.planner.SetConfig(config)
	l.decideSoon()
	l.node.Log.Info("planner decides by a configuration", zap.Uint64("version", config.Version))
}

// applyEvacuations passes what is known to the planner's decisions.
func (l *leadership) applyEvacuations() {
	l.planner.SetEvacuated(l.node.evacuations.load().Domains)
	l.decideSoon()
}
