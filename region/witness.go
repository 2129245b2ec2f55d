package region

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/winch"
)

// rememberedRequests is how many of the last requests an entry remembers with the version by which they were handled.
const rememberedRequests = 512

// witness finds requests that were handled by a configuration that had been replaced for longer than the bound. An
// entry notices that when it learns of the newer version, since versions are passed on with the time for which they
// have been known.
type witness struct {
	mu       sync.Mutex
	handled  [rememberedRequests]handledRequest
	next     int
	version  uint64    // version is the newest version that this entry has heard of.
	since    time.Time // since is a time at which some entry knew that version.
	replaced metrics.Counter
}

// handledRequest is a request with the version by which it was handled.
type handledRequest struct {
	id      string
	version uint64
	state   winch.ConfigState
	at      time.Time // at is when the request arrived.
}

// handle remembers a request, and returns how long the version by which it is handled has been replaced.
func (w *witness) handle(r handledRequest) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handled[w.next] = r
	w.next = (w.next + 1) % rememberedRequests
	if r.version >= w.version {
		return 0
	}
	return r.at.Sub(w.since)
}

// learn records that a version was known at a time, and returns the remembered requests that were handled by an older
// one more than bound later. It returns each of them once.
func (w *witness) learn(version uint64, since time.Time, bound time.Duration) (late []handledRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case version < w.version || version == w.version && !since.Before(w.since):
		return nil
	default:
		w.version, w.since = version, since
	}
	for i := range w.handled {
		if r := &w.handled[i]; r.id != "" && r.version < version && r.at.Sub(since) > bound {
			late = append(late, *r)
			r.id = ""
		}
	}
	return late
}

// known returns for how long a version has been known, at least; zero if it is not the newest that was heard of.
func (w *witness) known(version uint64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version != w.version || w.since.IsZero() {
		return 0
	}
	return time.Since(w.since)
}

// noteKnown records that a version has been known for a while.
func (s *settings) noteKnown(version uint64, known time.Duration) {
	since := time.Now().Add(-known)
	for _, r := range s.witness.learn(version, since, s.node.Timing.Config) {
		s.reportReplaced(r, version, r.at.Sub(since))
	}
}

// noteHandled records that a request that arrived at a time is handled.
func (s *settings) noteHandled(id string, version uint64, state winch.ConfigState, at time.Time) {
	if state == winch.ConfigUnconfirmed {
		return // It is refused.
	}
	r := handledRequest{id, version, state, at}
	if late := s.witness.handle(r); late > s.node.Timing.Config {
		s.reportReplaced(r, s.witness.newest(), late)
	}
}

// newest returns the newest version that this entry has heard of.
func (w *witness) newest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (s *settings) reportReplaced(r handledRequest, newer uint64, late time.Duration) {
	s.witness.replaced.Inc(1)
	s.node.Log.Info("request was handled by a replaced configuration", zap.String("request", r.id), zap.Uint64("version", r.version),
		zap.Uint64("newer", newer), zap.Duration("replacedFor", late), zap.Bool("unreachable", r.state == winch.ConfigUnreachable))
}
