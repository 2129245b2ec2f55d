package region

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// settingsTimeout bounds one request to a peer.
	settingsTimeout = 500 * time.Millisecond
	// loggedCopyTime is how long a call for the configuration may take without being logged.
	loggedCopyTime = 200 * time.Millisecond
)

// settings holds the operator's configuration, and follows all that the operator writes into the
// store. The planner and its standby watch the configuration in the store and announce each version; the others get it
// from peers, as what differs from the one that they have, since copies in the store's form would fill thin links. Since a
// call that waits for changes can hang without an error, and an announcement can be lost, each entry also keeps as of when
// it was shown that it knows the newest configuration: by the store, by the planner, which asks the store and reports to
// all entries, or by another peer. The version never decreases during a boot, and the configuration stays in force while
// neither the store nor a peer that it answers is reached.
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
	late        bool          // late says that the log shows the configuration as not confirmed in time.
	applied     chan struct{} // applied is signalled when there is a new version.
	calls       storeCalls
	transfers   transfers
	history     history
	witness     witness
}

func (s *settings) prepare(n *Node) {
	s.node = n
	s.storeBack, s.clockWanted = make(chan struct{}, 1), make(chan struct{}, 1)
	s.applied, s.calls.wanted, s.transfers.wake = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
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
	_ = registry.Register("Settings.Wanted", metrics.NewFunctionalGauge(func() int64 { return int64(s.transfers.wanted()) }))
	_ = registry.Register("Settings.TransferArrived", metrics.NewFunctionalGauge(s.transfers.arrived.Load))
	_ = registry.Register("Settings.TransferSize", metrics.NewFunctionalGauge(s.transfers.size.Load))
	_ = registry.Register("Settings.AgeMillis", metrics.NewFunctionalGauge(func() int64 { return s.age().Milliseconds() }))
}

// run reads all that the operator has written, and then watches it in the store until ctx ends: the configuration only
// while this entry is the planner or its standby.
func (s *settings) run(ctx context.Context) {
	for ctx.Err() == nil && s.calls.asOf.Load() == 0 {
		duty.Signal(s.calls.wanted)
		s.await(ctx, retryDelay, func() bool { return s.calls.asOf.Load() > 0 })
	}
	s.node.runByRole(ctx, func(ctx context.Context, member bool) {
		if member {
			s.watchAll(ctx)
		} else {
			s.watchEvacuations(ctx)
		}
	})
}

// watchAll follows all that the operator writes. Changes that were written while a response took long to arrive are not
// asked for, since each brings a whole configuration; all is read again, which brings the last one.
func (s *settings) watchAll(ctx context.Context) {
	slow := false
	options := watchOptions{
		wait: s.node.watchWait, after: s.calls.asOf.Load(), onRead: s.confirm,
		underWay: s.calls.watched.underWay, readAgain: func() bool { return slow },
	}
	ctx = winch.WithProgress(ctx, func(bytes int) {
		s.calls.arrived.Add(int64(bytes))
		s.calls.watched.note(bytes)
	})
	s.node.watch(ctx, s.node.Codec.OperatorPrefix(), options, func(values []winch.Value, asOf uint64) {
		s.calls.watched.end()
		s.applyValues(values, asOf)
	}, func(events []winch.Event, asOf uint64) {
		slow = s.calls.watched.end() > maxStall
		s.applyEvents(events, asOf)
	})
}

// watchEvacuations follows the evacuations.
func (s *settings) watchEvacuations(ctx context.Context) {
	prefix := s.node.Codec.EvacuationPrefix()
	options := watchOptions{wait: s.node.watchWait, after: s.calls.asOf.Load()}
	s.node.watch(ctx, prefix, options, func(values []winch.Value, asOf uint64) {
		s.node.applyEvacuations(readEvacuations(prefix, values, asOf), "store")
	}, s.applyEvacuationEvents)
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

// ask asks a peer which version it has and whether that is the newest. It reports whether the peer says that the store
// answers it.
func (s *settings) ask(ctx context.Context, name string) (served bool) {
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	sent := time.Now()
	var response proto.Settings
	if s.node.Peers.Request(ctx, name, proto.KindSettingsRequest, s.request(), &response) != nil {
		return false
	}
	s.node.applyReceived(response.Evacuations, name)
	s.noteKnown(response.Version, response.Known)
	if len(response.Data) > 0 { // The build before sends it without being asked to.
		s.apply(s.node.Codec.ConfigKey(), response.Data, name)
	}
	s.noteVersion(name, response.Version)
	s.passAsOf(response.AsOf, response.Version)
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

// request asks which version a peer has, without a copy.
func (s *settings) request() proto.SettingsRequest {
	return proto.SettingsRequest{Have: s.version(), EvacuationsAsOf: s.node.evacuations.load().AsOf, Parts: true}
}

// respond answers a peer's request with what is newer than the peer's.
func (s *settings) respond(request proto.SettingsRequest) proto.Settings {
	out := proto.Settings{
		Unserved: !s.node.storeResponsive(), AsOf: s.calls.asOf.Load(), Age: s.confirmAge(), Term: s.node.cell.currentTerm().Term,
	}
	if e := s.node.knownEvacuations(); e != nil && e.AsOf > request.EvacuationsAsOf {
		out.Evacuations = e
	}
	version, data := s.stored()
	if version > request.Have {
		out.Version, out.Known = version, s.witness.known(version)
	}
	switch {
	case request.Want > request.Have:
		out.Part = s.history.part(request.Want, request.Have, request.Offset)
	case !request.Parts && out.Version != 0:
		out.Data = data
	}
	return out
}

// stored returns the version in force and the configuration as stored; zero if there is none.
func (s *settings) stored() (version uint64, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version(), s.data
}

// size returns the length of the configuration as stored.
func (s *settings) size() int {
	_, data := s.stored()
	return len(data)
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
	s.history.add(config.Version, data)
	s.changed.send()
	duty.Signal(s.applied)
	return true
}
