package config

import (
	"sync"
	"sync/atomic"

	"plantainwinch/winch"
)

// Latest holds the newest configuration document that an entry has received, and
// by which it acts. Reading the document takes no lock.
type Held struct {
	cur  atomic.Pointer[winch.Document]
	mu   sync.Mutex
	wake chan struct{}
	// Outdated counts documents that were rejected because they were older.
	Behind atomic.Int64
}

// Get returns the current document, or nil if there is none yet. The caller must
// not modify it.
func (h *Held) Get() *winch.Document {
	return h.cur.Load()
}

// Version returns the version of the current document, or zero if there is none.
func (h *Held) Version() uint64 {
	if doc := h.cur.Load(); doc != nil {
		return doc.Version
	}
	return 0
}

// Offer replaces the current document if the given one is newer, and reports
// whether it did. An older document comes from a delayed message or from a store
// restored from an old copy; adopting it would make withdrawn keys valid again,
// so that calls succeed that must fail.
func (h *Held) Offer(doc *winch.Document) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.Version()
	if doc.Version <= current {
		if doc.Version < current {
			h.Behind.Add(1)
		}
		return false
	}
	h.cur.Store(doc)
	if h.wake != nil {
		close(h.wake)
		h.wake = nil
	}
	return true
}

// Changed returns a channel that is closed when a newer document is adopted.
func (h *Held) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.wake == nil {
		h.wake = make(chan struct{})
	}
	return h.wake
}
