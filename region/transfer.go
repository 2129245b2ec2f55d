package region

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/state/delta"
)

// maxPushedBytes is the encoded size up to which a change of the configuration is sent along with its announcement.
const maxPushedBytes = 2 << 10

// transfers holds what this entry knows of newer configurations at other entries. They are obtained by one transfer at a
// time, part by part, so that what else is sent on the links waits for one part at most.
type transfers struct {
	mu sync.Mutex
	// holders holds the entries that have named a newer version, with the last one that they have named.
	holders map[string]uint64
	newest  uint64 // newest is the newest version that was named.
	// namedAt is when a newer version than this entry has was last named.
	namedAt time.Time
	wake    chan struct{}
	// arrived and size are the bytes that have arrived of the last transfer, and those that it has.
	arrived, size atomic.Int64
}

func (t *transfers) setProgress(arrived, size int) {
	t.arrived.Store(int64(arrived))
	t.size.Store(int64(size))
}

// note records that a peer has a version, and reports whether that is a newer one than was known.
func (t *transfers) note(peer string, version uint64) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.namedAt = time.Now()
	if t.holders == nil {
		t.holders = make(map[string]uint64)
	}
	isNew = version > t.newest
	t.holders[peer], t.newest = version, max(t.newest, version)
	return isNew
}

// forget removes a peer that does not send what it has named.
func (t *transfers) forget(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.holders, peer)
}

// named returns the version that a peer has named last.
func (t *transfers) named(peer string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holders[peer]
}

// wanted returns the newest version that was named.
func (t *transfers) wanted() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}

// namedSince reports whether a newer version than this entry has was named after a time.
func (t *transfers) namedSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.namedAt.After(at)
}

// sources returns the peers that have a newer version than the given one, in random order.
func (t *transfers) sources(have uint64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, version := range t.holders {
		if version > have {
			out = append(out, name)
		} else {
			delete(t.holders, name)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// noteVersion records which version a peer has.
func (s *settings) noteVersion(name string, version uint64) {
	have := s.version()
	if version <= have {
		return
	}
	if s.transfers.note(name, version) {
		s.node.Log.Info("newer configuration announced", zap.String("from", name), zap.Uint64("version", version),
			zap.Uint64("have", have), zap.Duration("age", s.age()))
	}
	duty.Signal(s.transfers.wake)
}

// behind reports whether this entry lacks a version that a peer has named or that it needs.
func (s *settings) behind() bool {
	return s.version() < max(s.transfers.wanted(), s.required.Load())
}

// runTransfers obtains newer configurations until ctx ends. All entries learn of one at the same time. They begin at random
// times, so that most can get it from a neighbour, unless a request waits.
func (s *settings) runTransfers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.transfers.wake:
		}
		if s.config.Load() != nil && s.node.leadership.Load() == nil {
			s.await(ctx, rand.N(s.node.Timing.refreshInterval()), func() bool { return !s.behind() || s.requests.Load() > 0 })
		}
		for ctx.Err() == nil && s.behind() {
			if !s.obtainNewer(ctx) {
				s.await(ctx, s.node.Timing.refreshInterval(), func() bool { return !s.behind() })
			}
		}
	}
}

// obtainNewer gets a newer configuration from the first source that sends it: a neighbour, another entry that has named it,
// or the store. It reports whether there is one.
func (s *settings) obtainNewer(ctx context.Context) bool {
	have := s.version()
	if s.node.needsMembers() {
		s.node.renewWatches() // The store has not reported it.
	}
	neighbours := s.peersToAsk()
	s.askStatus(ctx, neighbours)
	sources := s.transfers.sources(have)
	slices.SortStableFunc(sources, func(a, b string) int {
		return slices.Index(neighbours, b) - slices.Index(neighbours, a) // Those that are no neighbours come last.
	})
	for _, name := range sources {
		if s.version() > have || s.pull(ctx, name) {
			return true
		}
		s.transfers.forget(name)
	}
	if s.node.storeResponsive() {
		duty.Signal(s.calls.wanted)
		s.await(ctx, maxStoreDelay, func() bool { return s.version() > have })
	}
	return s.version() > have
}

// askStatus asks peers which version they have, and waits a short time for their answers.
func (s *settings) askStatus(ctx context.Context, names []string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var group conc.WaitGroup
	for _, name := range names {
		group.Go(func() { s.ask(ctx, name) })
	}
	group.Wait()
}

// pull gets the configuration that a peer has named, part by part, and reports whether this entry has a newer one then.
func (s *settings) pull(ctx context.Context, name string) bool {
	have, base := s.stored()
	want := s.transfers.named(name)
	begin, e := time.Now(), new(encodedConfig)
	for s.version() < want {
		response, err := s.requestPart(ctx, name, proto.SettingsRequest{Have: have, Parts: true, Want: want, Offset: len(e.data)})
		switch {
		case err != nil:
			s.noteCopy(name, len(e.data), begin, err)
			return false
		case len(response.Data) > 0: // The build before sends it in one piece.
			s.apply(s.node.Codec.ConfigKey(), response.Data, name)
			return s.version() > have
		case !e.append(response.Part, have):
			return false // The peer has a newer version meanwhile, which it has announced.
		}
		s.transfers.setProgress(len(e.data), response.Part.Size)
		if len(e.data) == response.Part.Size {
			s.noteCopy(name, len(e.data), begin, nil)
			s.applyEncoded(e, base, name)
			s.passAsOf(response.AsOf, response.Version)
			break
		}
	}
	return s.version() > have
}

// requestPart asks a peer for one part of a configuration.
func (s *settings) requestPart(ctx context.Context, name string, request proto.SettingsRequest) (response proto.Settings, err error) {
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	return response, s.node.Peers.Request(ctx, name, proto.KindSettingsRequest, request, &response)
}

// append adds the next part, and reports whether it is that.
func (e *encodedConfig) append(part *proto.SettingsPart, have uint64) bool {
	switch {
	case part == nil || len(part.Data) == 0 || part.Offset != len(e.data) || len(part.Digest) != len(e.digest):
		return false
	case part.Base != 0 && part.Base != have, part.Size > delta.MaxSize, len(e.data)+len(part.Data) > part.Size:
		return false
	case len(e.data) > 0 && (part.Version != e.version || part.Base != e.base || !bytes.Equal(part.Digest, e.digest[:])):
		return false
	}
	e.version, e.base, e.digest = part.Version, part.Base, delta.Digest(part.Digest)
	e.data = append(e.data, part.Data...)
	return true
}

// applyEncoded puts a configuration in force that was received in encoded form. Base is the one that this entry has.
func (s *settings) applyEncoded(e *encodedConfig, base []byte, from string) {
	if e.base == 0 {
		base = nil
	}
	data, err := delta.Decode(base, e.data, e.digest)
	if err != nil {
		s.node.Log.Error("received configuration cannot be decoded", zap.String("from", from), zap.Uint64("version", e.version),
			zap.Uint64("base", e.base), zap.Int("bytes", len(e.data)), zap.Error(err))
		return
	}
	s.apply(s.node.Codec.ConfigKey(), data, from)
	s.history.keep(e)
}

// noteAnnouncement handles a peer's announcement of its version, which may bring along what has changed.
func (s *settings) noteAnnouncement(from string, m proto.Settings) {
	s.node.applyReceived(m.Evacuations, from)
	if have, base := s.stored(); m.Part != nil && m.Part.Base == have && have != 0 {
		if e := new(encodedConfig); e.append(m.Part, have) && len(e.data) == m.Part.Size {
			s.applyEncoded(e, base, from)
		}
	}
	s.noteKnown(m.Version, m.Known)
	s.noteVersion(from, m.Version)
}

// runAnnouncements tells all linked entries of each new version until ctx ends, while this entry is the planner or its
// standby: these two follow the configuration in the store, and are linked to all. The planner sends a small change along.
func (s *settings) runAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.applied:
		}
		if !s.node.needsMembers() {
			continue
		}
		version := s.version()
		m := proto.Settings{Version: version, Known: s.witness.known(version)}
		if base := s.history.previous(); base != 0 && s.node.leadership.Load() != nil {
			if e := s.history.encoded(version, base); e != nil && e.base == base && len(e.data) <= maxPushedBytes {
				m.Part = s.history.part(version, base, 0)
			}
		}
		for _, name := range s.node.Peers.Names() {
			_ = s.node.Peers.Notify(name, proto.KindSettings, m) // The next report names the version, too.
		}
	}
}
