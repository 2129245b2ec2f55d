package region

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// hearWait is how long an entry that hears of a newer configuration waits for
	// the store to tell it: the store tells all entries within some milliseconds,
	// and a copy for each from its peers would fill the small VMs' links.
	hearWait = 150 * time.Millisecond
	// blindGap is how often an entry that the store does not serve asks a peer. A
	// withdrawn key has to stop working there within two seconds as well.
	blindGap = 300 * time.Millisecond
	// settingsTime bounds one question to a peer.
	settingsTime = 500 * time.Millisecond
)

// settings holds the operator's configuration. Each entry reads it from the
// store; one that the store does not serve asks its peers, so that one which
// reaches either is current. It never goes back in a boot, and stays in force
// while the store is away.
type settings struct {
	node   *Node
	mu     sync.Mutex
	data   []byte
	config atomic.Pointer[winch.RegionConfig]
	// heard holds the last peer that has a newer version than this entry.
	heard chan string
	// missed says that the store did not answer the last call of the watch.
	missed atomic.Bool
}

func (s *settings) prepare(n *Node) {
	s.node = n
	s.heard = make(chan string, 1)
}

func (s *settings) run(ctx context.Context) {
	s.node.follow(ctx, s.node.Codec.ConfigKey(), pacing{wait: followWait, answered: func(ok bool) { s.missed.Store(!ok) }}, func(values []winch.Value) {
		for _, v := range values {
			s.take(v.Key, v.Data, "store")
		}
	}, func(events []winch.Event) {
		for _, e := range events {
			if !e.Deleted {
				s.take(e.Key, e.Data, "store")
			}
		}
	})
}

// blind reports whether the store answers nothing, or other calls but not the
// watch.
func (s *settings) blind() bool {
	return s.missed.Load() || !s.node.healthy()
}

// runAsk asks peers for what the store has not told.
func (s *settings) runAsk(ctx context.Context) {
	ticker := time.NewTicker(blindGap)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-s.heard:
			s.wait(ctx)
			s.ask(ctx, name)
		case <-ticker.C:
			if names := s.node.Peers.Names(); s.blind() && len(names) > 0 {
				s.ask(ctx, names[rand.IntN(len(names))])
			}
		}
	}
}

// wait leaves the store time to tell by itself, unless there is nothing to go on with.
func (s *settings) wait(ctx context.Context) {
	if s.config.Load() == nil {
		return
	}
	timer := time.NewTimer(hearWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (s *settings) ask(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, settingsTime)
	defer cancel()
	var give proto.Settings
	if s.node.Peers.Ask(ctx, name, proto.KindSettingAsk, proto.SettingsAsk{Have: s.version()}, &give) == nil && len(give.Data) > 0 {
		s.take(s.node.Codec.ConfigKey(), give.Data, name)
	}
}

// hear notes that a peer has a version.
func (s *settings) hear(name string, version uint64) {
	if version <= s.version() {
		return
	}
	select {
	case s.heard <- name:
	default: // Another peer that has a newer one is asked already.
	}
}

// give answers a peer's question.
func (s *settings) give(ask proto.SettingsAsk) proto.Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.config.Load()
	if c == nil || c.Version <= ask.Have {
		return proto.Settings{}
	}
	return proto.Settings{Version: c.Version, Data: s.data}
}

// version returns the version in force, zero if there is none.
func (s *settings) version() uint64 {
	if c := s.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// take puts a configuration in force if it is newer.
func (s *settings) take(key string, data []byte, from string) {
	if key != s.node.Codec.ConfigKey() {
		return
	}
	config, err := s.node.Codec.Config(data)
	if err != nil {
		s.node.Log.Error("configuration refused", zap.String("from", from), zap.Error(err))
		return
	}
	if !s.replace(config, data) {
		return
	}
	s.node.Log.Info("configuration in force", zap.Uint64("version", config.Version), zap.String("from", from),
		zap.Int("queues", len(config.Queues)), zap.Int("teams", len(config.Teams)))
	if l := s.node.lead.Load(); l != nil {
		l.post(func() { l.planner.SetConfig(config); l.wake() })
	}
}

func (s *settings) replace(config *winch.RegionConfig, data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.config.Load(); now != nil && now.Version >= config.Version {
		return false
	}
	s.data = data
	s.config.Store(config)
	return true
}
