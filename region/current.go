package region

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/winch"
)

const (
	// defaultConfigBound is Timing.Config if the operator sets none.
	defaultConfigBound = 2 * time.Second
	// maxConfirmWait bounds how long a request waits for the confirmation of the configuration. A slow store
	// takes about 300 ms to answer.
	maxConfirmWait = 300 * time.Millisecond
	// askedPeers is how many peers are asked at once for what the operator has written.
	askedPeers = 2
	// maxAskedPeers bounds the others that are asked before an entry concludes that it reaches nobody. Only the planner and
	// its standby have links to more.
	maxAskedPeers = 16
	// maxStoreDelay is how long the store may take to answer before the other peers are asked. A slow store takes about
	// 300 ms.
	maxStoreDelay = 350 * time.Millisecond
)

// The times below follow from Timing.Config, which bounds the age at which an entry may act by a configuration
// without having been shown that it is the newest. They add up to less than the bound if one call gets no
// response and the store is slow.

// maxAge is the age from which on a request waits for a confirmation. The rest of the bound allows for clocks
// and for the time to handle the request.
func (t Timing) maxAge() time.Duration { return t.Config * 9 / 10 }

// refreshAge is the age from which on an entry asks by itself. It is longer than the planner's reports are apart.
func (t Timing) refreshAge() time.Duration { return t.Config / 2 }

// refreshInterval is the time between two refreshes. The earlier one may still be waiting for an answer.
func (t Timing) refreshInterval() time.Duration { return t.Config / 8 }

// refreshTimeout bounds one refresh.
func (t Timing) refreshTimeout() time.Duration { return t.Config / 2 }

// age returns how long ago this entry was last shown to know all that the operator has written. The age is
// taken on two clocks, like validity.
func (s *settings) age() time.Duration {
	at := s.confirmed.Load()
	if at == nil {
		return math.MaxInt64
	}
	now := time.Now()
	return max(now.Sub(*at), now.Round(0).Sub(at.Round(0)))
}

// confirm records that this entry knows all that the operator had written by asOf.
func (s *settings) confirm(asOf time.Time) {
	s.mu.Lock()
	if at := s.confirmed.Load(); at == nil || asOf.After(*at) {
		s.confirmed.Store(&asOf)
	}
	s.mu.Unlock()
	if s.age() < s.node.Timing.refreshAge() {
		s.unreachable.Store(nil)
	}
	s.changed.send()
}

// confirmAge returns the age to be passed on to another entry, or zero if it is not known. It has to be taken
// before the configuration that it is sent with.
func (s *settings) confirmAge() time.Duration {
	if s.confirmed.Load() == nil {
		return 0
	}
	return max(s.age(), 1)
}

// runRefresh makes the configuration current whenever it has not been confirmed for a while, until ctx ends.
// A refresh that gets no answer does not delay the next one.
func (s *settings) runRefresh(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	timing := s.node.Timing
	due := timing.refreshAge()
	var confirmed *time.Time
	for ctx.Err() == nil {
		if at := s.confirmed.Load(); at != confirmed {
			// One report confirms all entries of a region; they do not ask all at once.
			confirmed, due = at, timing.refreshAge()+rand.N(timing.refreshInterval())
		}
		s.logAge()
		pause := timing.refreshInterval()
		if left := due - s.age(); left > 0 && s.version() >= s.required.Load() {
			pause = min(pause, left)
		} else {
			group.Go(func() { s.refresh(ctx) })
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.storeBack:
			group.Go(func() {
				duty.Sleep(ctx, rand.N(timing.refreshInterval()))
				s.refresh(ctx)
			})
		}
		timer.Stop()
	}
}

// refresh makes the configuration current. If the store has not answered any call meanwhile, and no peer says that it is
// answered or names a newer version, this entry reaches nobody who knows more. A process that was held up cannot tell.
func (s *settings) refresh(ctx context.Context) {
	begin, arrived := time.Now(), s.calls.arrived.Load()
	timing := s.node.Timing
	confirmed := func() bool { return s.age() < timing.refreshAge() && s.version() >= s.required.Load() }
	served := s.obtain(ctx, confirmed)
	switch {
	case confirmed(), served, s.node.health.answeredSince(begin), s.transfers.namedSince(begin):
		s.unreachable.Store(nil)
		return
	case time.Since(begin) > timing.refreshTimeout()+timing.refreshInterval():
		return
	}
	if s.unreachable.Swap(&begin) == nil {
		s.node.Log.Info("neither the store nor a peer confirms the configuration", zap.Uint64("version", s.version()),
			zap.Duration("age", s.age()), zap.Int("linked", len(s.node.Peers.Names())), zap.Int64("arrivedBytes", s.calls.arrived.Load()-arrived),
			zap.Uint64("newest", s.witness.newest()), zap.NamedError("read", s.calls.lastError()))
	}
	s.changed.send()
}

// obtain asks peers, the store, and the other peers that this entry is linked to, until a condition on the settings holds.
// It reports whether the store answers one of them.
func (s *settings) obtain(ctx context.Context, done func() bool) (served bool) {
	ctx, cancel := context.WithTimeout(ctx, s.node.Timing.refreshTimeout())
	defer cancel()
	var group conc.WaitGroup
	var peerServed atomic.Bool
	ask := func(names []string) {
		for _, name := range names {
			group.Go(func() {
				if s.ask(ctx, name) {
					peerServed.Store(true)
				}
			})
		}
	}
	asked := s.peersToAsk()
	ask(asked)
	current := s.await(ctx, probeTimeout, done)
	if !current && s.node.storeResponsive() {
		duty.Signal(s.calls.wanted)
		current = s.await(ctx, maxStoreDelay, done)
	}
	if !current && s.mayAskAll() {
		ask(s.otherPeers(asked))
	}
	group.Wait()
	return peerServed.Load()
}

// isUnreachable reports whether this entry reaches neither the store nor a peer that the store answers, as far as it
// knows. An answer of the store ends that, to whatever call, as does a peer that names a newer version.
func (s *settings) isUnreachable() bool {
	since := s.unreachable.Load()
	return since != nil && !s.node.health.answeredSince(*since) && !s.transfers.namedSince(*since)
}

// mayGoOn reports whether requests may be handled by the present version though it is not confirmed.
func (s *settings) mayGoOn() bool { return s.isUnreachable() && s.version() >= s.required.Load() }

// awaitRequested waits until a condition that a request needs holds, and reports whether it does in time.
func (s *settings) awaitRequested(ctx context.Context, condition func() bool) bool {
	s.requests.Add(1)
	defer s.requests.Add(-1)
	s.changed.send()
	return s.await(ctx, maxConfirmWait, condition)
}

// require makes requests wait for a version, since this entry is about to act by it.
func (s *settings) require(from string, version uint64) {
	for {
		required := s.required.Load()
		if version <= required || version <= s.version() {
			break
		}
		if s.required.CompareAndSwap(required, version) {
			break
		}
	}
	s.noteVersion(from, version)
}

// mayAskAll reports whether all linked peers may be asked now. While none of them knew more the last time, that is done
// less often than a refresh.
func (s *settings) mayAskAll() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isUnreachable() && time.Since(s.askedAllAt) < s.node.Timing.refreshTimeout() {
		return false
	}
	s.askedAllAt = time.Now()
	return true
}

// otherPeers returns the linked peers beside those that were asked, at most maxAskedPeers.
func (s *settings) otherPeers(asked []string) []string {
	names := slices.DeleteFunc(s.node.Peers.Names(), func(name string) bool { return slices.Contains(asked, name) })
	return sample(names, maxAskedPeers)
}

// await waits until a condition on the settings holds, and reports whether it does within the limit.
func (s *settings) await(ctx context.Context, limit time.Duration, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		changed := s.changed.wait()
		if condition() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// logAge logs when the configuration has not been confirmed within the bound, and when it is again.
func (s *settings) logAge() {
	age := s.age()
	if late := min(age, time.Since(s.node.started)) > s.node.Timing.Config; late != s.late {
		s.late = late
		message := "configuration is confirmed again"
		if late {
			message = "configuration has not been confirmed in time"
		}
		s.node.Log.Info(message, zap.Uint64("version", s.version()), zap.Duration("age", age),
			zap.Bool("storeAnswers", s.node.storeResponsive()), zap.Bool("unreachable", s.isUnreachable()))
	}
}

// CurrentConfig implements winch.Region.
func (n *Node) CurrentConfig(ctx context.Context, request string) (*winch.RegionConfig, winch.ConfigState) {
	s := &n.settings
	if s.config.Load() == nil {
		return nil, winch.ConfigUnreachable
	}
	arrived := time.Now()
	current := func() bool { return s.age() <= n.Timing.maxAge() && s.version() >= s.required.Load() }
	state := winch.ConfigCurrent
	switch {
	case current():
	case !s.awaitRequested(ctx, func() bool { return current() || s.mayGoOn() }):
		state = winch.ConfigUnconfirmed
	case !current():
		state = winch.ConfigUnreachable
	}
	config := s.config.Load()
	s.noteHandled(request, config.Version, state, arrived)
	return config, state
}
