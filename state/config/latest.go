package config

import (
	"sync"
	"sync/atomic"

	"plantainwinch/winch"
)

// Latest holds the newest configuration document that an entry has received, and
// by which it acts. Reading the document takes no lock.
type Latest struct {
	document atomic.Pointer[winch.Document]
	mu       sync.Mutex
	changed  chan struct{}
	// Outdated counts documents that were rejected because they were older.
	Outdated atomic.Int64
}

// Get returns the current document, or nil if there is none yet. The caller must
// not modify it.
func (l *Latest) Get() *winch.Document {
	return l.document.Load()
}

// Version returns the version of the current document, or zero if there is none.
func (l *Latest) Version() uint64 {
	if doc := l.document.Load(); doc != nil {
		return doc.Version
	}
	return 0
}

// Offer replaces the current document if the given one is newer, and reports
// whether it did. An older document comes from a delayed message or from a store
// restored from an old copy; adopting it would make withdrawn keys valid again,
// so that calls succeed that must fail.
func (l *Latest) Offer(doc *winch.Document) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.Version()
	if doc.Version <= current {
		if doc.Version < current {
			l.Outdated.Add(1)
		}
		return false
	}
	l.document.Store(doc)
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
	return true
}

// Changed returns a channel that is closed when a newer document is adopted.
func (l *Latest) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}
