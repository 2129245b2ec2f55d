package region

import (
	"context"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// settings holds the operator's configuration. Entries read it from the store
// and pass it on, so that one which reaches either is current. It never goes
// back in a boot, and stays in force while the store is away.
type settings struct {
	node   *Node
	mu     sync.Mutex
	data   []byte
	config atomic.Pointer[winch.RegionConfig]
}

func (s *settings) run(ctx context.Context) {
	s.node.follow(ctx, s.node.Codec.ConfigKey(), pacing{wait: followWait}, func(values []winch.Value) {
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

// take puts a configuration in force if it is newer, and passes it on.
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
	for _, name := range s.node.Peers.Names() {
		_ = s.node.Peers.Tell(name, proto.KindSettings, s.message()) // A peer that is not told reads it from the store.
	}
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

func (s *settings) message() proto.Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := proto.Settings{Data: s.data}
	if c := s.config.Load(); c != nil {
		out.Version = c.Version
	}
	return out
}
