package region

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// peerFetchDelay is how long an entry that learns of a newer configuration waits for the
	// store to send it. The store notifies all entries within a few milliseconds, and copies
	// from peers to each of them would saturate the links of small VMs.
	peerFetchDelay = 150 * time.Millisecond
	// settingsTimeout bounds one request to a peer.
	settingsTimeout = 500 * time.Millisecond
	// loggedCopyTime is how long a call for the configuration may take without being logged.
	loggedCopyTime = 200 * time.Millisecond
)

// settings holds the operator's configuration, and follows all that the operator writes into the
// store. Each entry watches the store. Since a call that waits for changes can hang without an error, it also
// keeps as of when it was shown that it knows the newest configuration: by a read of the store, by the planner,
// which reads the store and reports to all entries, or by another peer. The version never decreases during a boot,
// and the configuration stays in force while neither the store nor a peer that it answers is reached.
type settings struct {
	node   *Node
	mu     sync.Mutex
	data   []byte
	config atomic.Pointer[winch.RegionConfig]
	// confirmed is a time as of which this entry was shown to know all that the operator had written.
	confirmed atomic.Pointer[time.Time]
	// unreachable is when the last refresh began in which neither the store nor a peer that it answers was reached;
	// nil if one was reached since.
	unreachable atomic.Pointer[time.Time]
	// required is the version that this entry needs at least, requests counts the requests that wait for a confirmation.
	required   atomic.Uint64
	requests   atomic.Int64
	askedAllAt time.Time // askedAllAt is when all linked peers were last asked. It is guarded by mu.
	// changed is sent after each new version, each confirmation and each refresh without one.
	changed   broadcast
	storeBack chan struct{} // storeBack is signalled when the store answers again.
	// lastReport is the last report of a planner, clocks relates the times of planners to this entry's. Both are guarded by
	// mu. clockWanted is signalled when the clock of the last report's sender is to be compared.
	lastReport  report
	clocks      map[string]peerClock
	clockWanted chan struct{}
	arrived     atomic.Int64 // arrived counts the bytes of the store's responses, complete or not.
	late        bool         // late says that the log shows the configuration as not confirmed in time.
	// newer holds the last announcement of a newer version than this entry has.
	newer   chan announcement
	witness witness
}

// announcement says that a peer has a version of the configuration.
type announcement struct {
	peer    string
	version uint64
}

func (s *settings) prepare(n *Node) {
	s.node = n
	s.newer = make(chan announcement, 1)
	s.storeBack, s.clockWanted = make(chan struct{}, 1), make(chan struct{}, 1)
	s.clocks = make(map[string]peerClock)
	s.witness.replaced = metrics.GetOrRegisterCounter("Settings.HandledReplaced", n.Metrics)
}

// registerGauges registers the metrics of the configuration.
func (s *settings) registerGauges(registry metrics.Registry) {
	_ = registry.Register("Settings.Version", metrics.NewFunctionalGauge(func() int64 { return int64(s.version()) }))
	_ = registry.Register("Settings.Unreachable", metrics.NewFunctionalGauge(func() int64 {
		if s.isUnreachable() {
			return 1
		}
		return 0
	}))
	_ = registry.Register("Settings.AgeMillis", metrics.NewFunctionalGauge(func() int64 { return s.age().Milliseconds() }))
}

// run watches what the operator writes into the store, the configuration and the evacuated failure
// domains, until ctx ends.
func (s *settings) run(ctx context.Context) {
	codec := s.node.Codec
	s.node.watch(ctx, codec.OperatorPrefix(), watchOptions{wait: s.node.watchWait, onRead: s.confirm}, func(values []winch.Value, asOf uint64) {
		s.applyValues(values, asOf)
	}, func(events []winch.Event, asOf uint64) {
		s.node.applyEvacuations(s.node.evacuations.changed(codec.EvacuationPrefix(), events, asOf), "store")
		for _, e := range events {
			if !e.Deleted {
				s.apply(e.Key, e.Data, "store")
			}
		}
	})
}

// applyValues puts in force what was read from the store.
func (s *settings) applyValues(values []winch.Value, asOf uint64) {
	s.node.applyEvacuations(readEvacuations(s.node.Codec.EvacuationPrefix(), values, asOf), "store")
	for _, v := range values {
		s.apply(v.Key, v.Data, "store")
	}
}

// runAnnouncements gets the newer configurations that peers announce until ctx ends. A call that gets no answer does not
// delay the next announcement.
func (s *settings) runAnnouncements(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-s.newer:
			s.fetchNewer(ctx, a, &group)
		}
	}
}

// fetchNewer gets the newer configuration that a peer has announced: from the store if it sends it, whose
// notification may have been lost, else from a neighbour, and if none has it from the store again. All entries learn
// of it from the planner at the same time: they ask at random times, and the planner only if the store does not answer.
// If a request waits for it, neighbours and the store are asked at once.
func (s *settings) fetchNewer(ctx context.Context, a announcement, group *conc.WaitGroup) {
	known := func() bool { return s.version() >= a.version }
	read := func() (wait time.Duration) {
		if !s.node.storeResponsive() {
			return 0
		}
		group.Go(func() { _ = s.read(ctx) }) // The next report announces the version again.
		return maxStoreDelay
	}
	s.node.renewWatches()
	delay := peerFetchDelay
	if s.config.Load() != nil && s.node.leadership.Load() == nil {
		delay += rand.N(s.node.Timing.refreshInterval())
	}
	if s.await(ctx, delay, func() bool { return known() || s.requests.Load() > 0 }) && !known() {
		read()
	}
	s.askInTurn(ctx, s.peersToAsk(), known, group)
	if !known() {
		s.await(ctx, read(), known)
	}
	if !known() {
		s.fetch(ctx, a.peer)
	}
}

// askInTurn asks peers one after the other, so that not several of them send a copy, until a condition holds. It does not
// wait for one that takes long. It reports whether the store answers one of them.
func (s *settings) askInTurn(ctx context.Context, names []string, done func() bool, group *conc.WaitGroup) (served bool) {
	for _, name := range names {
		if done() {
			break
		}
		answered := make(chan bool, 1)
		group.Go(func() { answered <- s.fetch(ctx, name) })
		timer := time.NewTimer(probeTimeout)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case one := <-answered:
			served = served || one
		}
		timer.Stop()
	}
	return served
}

// peersToAsk returns random peers to ask for the configuration: neighbours if there are any, since all entries are
// linked to the planner and its standby.
func (s *settings) peersToAsk() []string {
	names, planner := s.node.Peers.Names(), s.node.cell.holder()
	neighbours := s.node.contacts.linkedNeighbours(names)
	neighbours = slices.DeleteFunc(neighbours, func(name string) bool { return name == planner })
	if len(neighbours) > 0 {
		names = neighbours
	}
	return sample(names, askedPeers)
}

// fetch asks a peer for what the operator has written, as far as it is newer than what this entry has. It reports
// whether the peer says that the store answers it.
func (s *settings) fetch(ctx context.Context, name string) (served bool) {
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	sent := time.Now()
	var response proto.Settings
	err := s.node.Peers.Request(ctx, name, proto.KindSettingsRequest, s.request(), &response)
	s.noteCopy(name, len(response.Data), sent, err)
	if err != nil {
		return false
	}
	s.node.applyReceived(response.Evacuations, name)
	s.noteKnown(response.Version, response.Known)
	if len(response.Data) > 0 {
		s.apply(s.node.Codec.ConfigKey(), response.Data, name)
	}
	if response.Age > 0 && s.version() >= response.Version {
		s.confirm(sent.Add(-response.Age))
	}
	if response.Term > s.node.cell.currentTerm().Term {
		s.node.readOffice(ctx)
	}
	return !response.Unserved
}

// noteCopy logs the end of a call for the configuration that has taken long or returned none that could be used.
func (s *settings) noteCopy(from string, size int, sent time.Time, err error) {
	took := time.Since(sent)
	metrics.GetOrRegisterCounter("Settings.CopiedBytes", s.node.Metrics).Inc(int64(size))
	if err != nil {
		metrics.GetOrRegisterCounter("Settings.CopiesAbandoned", s.node.Metrics).Inc(1)
	}
	if took < loggedCopyTime || size == 0 && err == nil {
		return
	}
	s.node.Log.Info("call for the configuration ended", zap.String("from", from), zap.Int("bytes", size),
		zap.Duration("took", took), zap.Uint64("have", s.version()), zap.Uint64("newest", s.witness.newest()), zap.NamedError("cause", err))
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
	select {
	case s.newer <- announcement{name, version}:
		s.node.Log.Info("newer configuration announced", zap.String("from", name), zap.Uint64("version", version),
			zap.Uint64("have", have), zap.Duration("age", s.age()))
	default: // Another peer with a newer version is about to be asked.
	}
}

// respond answers a peer's request with what is newer than the peer's.
func (s *settings) respond(request proto.SettingsRequest) proto.Settings {
	out := proto.Settings{Unserved: !s.node.storeResponsive(), Age: s.confirmAge(), Term: s.node.cell.currentTerm().Term}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.node.knownEvacuations(); e != nil && e.AsOf > request.EvacuationsAsOf {
		out.Evacuations = e
	}
	if c := s.config.Load(); c != nil && c.Version > request.Have {
		out.Version, out.Data, out.Known = c.Version, s.data, s.witness.known(c.Version)
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
	if s.has(data) {
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
	s.noteKnown(config.Version, 0)
	s.node.Log.Info("configuration applied", zap.Uint64("version", config.Version), zap.String("from", from),
		zap.Int("queues", len(config.Queues)), zap.Int("teams", len(config.Teams)))
	if l := s.node.leadership.Load(); l != nil {
		l.post(l.applyConfig)
	}
}

// has reports whether the configuration in force was decoded from the same data.
func (s *settings) has(data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data != nil && bytes.Equal(s.data, data)
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
	s.changed.send()
	return true
}
