package region

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// peerFetchDelay is how long an entry that learns of a newer configuration waits for the
	// store to send it. The store notifies all entries within a few milliseconds, and copies
	// from peers to each of them would saturate the links of small VMs.
	peerFetchDelay = 150 * time.Millisecond
	// maxNeighbourFetches is how many random peers are asked before the one that announced the version,
	// which is mostly the planner: all entries learn of it from the planner at the same time.
	maxNeighbourFetches = 2
	// peerPollInterval is how often an entry that the store does not answer asks a peer for a
	// newer configuration. A withdrawn key has to stop working there within two seconds, too.
	peerPollInterval = 300 * time.Millisecond
	// settingsTimeout bounds one request to a peer.
	settingsTimeout = 500 * time.Millisecond
)

// settings holds the operator's configuration, and follows all that the operator writes into the
// store. Each entry reads it from the store. An entry that the store does not answer asks its peers,
// so that it is current if it reaches either. The version never decreases during a boot, and the
// configuration stays in force while the store is unresponsive.
type settings struct {
	node   *Node
	mu     sync.Mutex
	data   []byte
	config atomic.Pointer[winch.RegionConfig]
	// newerPeer holds the name of a peer that has a newer version than this entry.
	newerPeer chan string
	// watchFailed says that the store did not answer the last call of the watch.
	watchFailed atomic.Bool
	// watchedAt is when the last answered call of the watch was sent.
	watchedAt atomic.Pointer[time.Time]
}

func (s *settings) prepare(n *Node) {
	s.node = n
	s.newerPeer = make(chan string, 1)
}

// registerGauges registers the metrics of the configuration.
func (s *settings) registerGauges(registry metrics.Registry) {
	_ = registry.Register("Settings.Version", metrics.NewFunctionalGauge(func() int64 { return int64(s.version()) }))
	_ = registry.Register("Settings.WatchAgeMillis", metrics.NewFunctionalGauge(func() int64 { return s.watchAge().Milliseconds() }))
}

// watchAge returns how long ago the last answered call of the watch was sent; zero if none was answered yet.
func (s *settings) watchAge() time.Duration {
	if at := s.watchedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// run watches what the operator writes into the store, the configuration and the evacuated failure
// domains, until ctx ends.
func (s *settings) run(ctx context.Context) {
	codec := s.node.Codec
	options := watchOptions{
		wait: s.node.watchWait, onResponse: func(ok bool) { s.watchFailed.Store(!ok) },
		onSuccess: func(at time.Time) { s.watchedAt.Store(&at) },
	}
	s.node.watch(ctx, codec.OperatorPrefix(), options, func(values []winch.Value, asOf uint64) {
		s.node.applyEvacuations(readEvacuations(codec.EvacuationPrefix(), values, asOf), "store")
		for _, v := range values {
			s.apply(v.Key, v.Data, "store")
		}
	}, func(events []winch.Event, asOf uint64) {
		s.node.applyEvacuations(s.node.evacuations.changed(codec.EvacuationPrefix(), events, asOf), "store")
		for _, e := range events {
			if !e.Deleted {
				s.apply(e.Key, e.Data, "store")
			}
		}
	})
}

// needsPeers reports whether the entry has to ask its peers for the configuration: the store is
// unresponsive, or it answers other calls but not the watch of the configuration.
func (s *settings) needsPeers() bool {
	return s.watchFailed.Load() || !s.node.storeResponsive()
}

// runPeerFetch fetches the configuration from peers if the store has not sent it, until ctx ends.
func (s *settings) runPeerFetch(ctx context.Context) {
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-s.newerPeer:
			s.fetchNewer(ctx, name)
		case <-ticker.C:
			if names := s.node.Peers.Names(); s.needsPeers() && len(names) > 0 {
				s.fetch(ctx, names[rand.IntN(len(names))])
			}
		}
	}
}

// fetchNewer gets the newer configuration that a peer has announced: from the store if it answers, whose
// notification may have been lost, else from a peer.
func (s *settings) fetchNewer(ctx context.Context, announcer string) {
	before := s.version()
	s.node.renewWatches()
	s.waitForStore(ctx)
	names := s.node.Peers.Names()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range append(names[:min(len(names), maxNeighbourFetches)], announcer) {
		if s.version() > before {
			return
		}
		s.fetch(ctx, name)
	}
}

// waitForStore gives the store time to send the configuration, unless the entry has none yet.
func (s *settings) waitForStore(ctx context.Context) {
	if s.config.Load() == nil {
		return
	}
	timer := time.NewTimer(peerFetchDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// fetch asks a peer for what the operator has written, as far as it is newer than what this entry has.
func (s *settings) fetch(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	var response proto.Settings
	if s.node.Peers.Request(ctx, name, proto.KindSettingsRequest, s.request(), &response) != nil {
		return
	}
	s.node.applyReceived(response.Evacuations, name)
	if len(response.Data) > 0 {
		s.apply(s.node.Codec.ConfigKey(), response.Data, name)
	}
}

// request asks for what is newer than what this entry has.
func (s *settings) request() proto.SettingsRequest {
	return proto.SettingsRequest{Have: s.version(), EvacuationsAsOf: s.node.evacuations.load().AsOf}
}

// noteVersion records which version a peer has.
func (s *settings) noteVersion(name string, version uint64) {
	have := s.version()
	if version <= have {
		return
	}
	s.node.Log.Info("newer configuration announced", zap.String("from", name), zap.Uint64("version", version),
		zap.Uint64("have", have), zap.Duration("watchAge", s.watchAge()))
	select {
	case s.newerPeer <- name:
	default: // Another peer with a newer version is about to be asked.
	}
}

// respond answers a peer's request with what is newer than the peer's.
func (s *settings) respond(request proto.SettingsRequest) proto.Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := proto.Settings{Unserved: !s.node.storeResponsive()}
	if e := s.node.knownEvacuations(); e != nil && e.AsOf > request.EvacuationsAsOf {
		out.Evacuations = e
	}
	if c := s.config.Load(); c != nil && c.Version > request.Have {
		out.Version, out.Data = c.Version, s.data
	}
	return out
}

// version returns the version of the configuration in force, or zero if there is none.
func (s *settings) version() uint64 {
	if c := s.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// apply puts a configuration in force if it is newer than the present one.
func (s *settings) apply(key string, data []byte, from string) {
	if key != s.node.Codec.ConfigKey() {
		return
	}
	config, err := s.node.Codec.Config(data)
	if err != nil {
		s.node.Log.Error("configuration cannot be decoded; keeping the present one", zap.String("from", from), zap.Error(err))
		return
	}
	if !s.replace(config, data) {
		return
	}
	s.node.Log.Info("configuration applied", zap.Uint64("version", config.Version), zap.String("from", from),
		zap.Int("queues", len(config.Queues)), zap.Int("teams", len(config.Teams)))
	if l := s.node.leadership.Load(); l != nil {
		l.post(func() { l.planner.SetConfig(config); l.decideSoon() })
	}
}

// replace stores a configuration and reports whether it is newer than the present one.
func (s *settings) replace(config *winch.RegionConfig, data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.config.Load(); present != nil && present.Version >= config.Version {
		return false
	}
	s.data = data
	s.config.Store(config)
	return true
}
