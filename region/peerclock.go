package region

import (
	"context"
	"math/rand/v2"
	"time"

	"plantainwinch/duty"
	"plantainwinch/proto"
)

// maxPeerClocks bounds the peers whose clocks are known. Only planners send reports that are dated.
const maxPeerClocks = 4

// peerClock relates the time of a peer, which is for how long its process has run, to that of this entry. The peer has
// read its clock after this entry sent a request, so the relation is a bound: what the peer dates is never taken for
// younger than it is, however long a message waits on its way.
type peerClock struct {
	offset time.Duration // offset is the least that this entry's time may be ahead of the peer's, as of at.
	at     time.Duration
}

// lowest returns the least that this entry's time may be ahead of the peer's, since both clocks may drift.
func (c peerClock) lowest(now time.Duration) time.Duration {
	return c.offset - c.slack(now)
}

// slack returns by how much the clocks may have drifted apart since they were compared.
func (c peerClock) slack(now time.Duration) time.Duration {
	return time.Duration(maxClockDrift * float64(now-c.at))
}

// report is a planner's report that the sender's configuration was current.
type report struct {
	from    string
	version uint64
	asOf    time.Duration // asOf is the time of the sender as of which it was.
}

// maxClockSlack is how far the clocks of this entry and the planner may have drifted apart before they are compared
// again.
func (t Timing) maxClockSlack() time.Duration { return t.Config / 20 }

// uptime returns for how long this process has run.
func (n *Node) uptime() time.Duration { return time.Since(n.started) }

// noteReport takes the planner's report as a confirmation, unless the planner has a newer configuration.
func (s *settings) noteReport(from string, m proto.WaitingJobs) {
	s.noteVersion(from, m.Settings)
	s.noteKnown(m.Settings, m.SettingsKnown)
	s.node.applyReceived(m.Evacuations, from)
	s.passAsOf(m.SettingsAsOf, m.Settings)
	if m.SettingsAge == 0 {
		return
	}
	s.mu.Lock()
	s.lastReport = report{from: from, version: m.Settings, asOf: m.SentAt - m.SettingsAge}
	clock, known := s.clocks[from]
	s.mu.Unlock()
	s.confirmByReport()
	if !known || clock.slack(s.node.uptime()) > s.node.Timing.maxClockSlack() {
		duty.Signal(s.clockWanted)
	}
}

// confirmByReport takes the last report as a confirmation if the clock of its sender is known.
func (s *settings) confirmByReport() {
	s.mu.Lock()
	last := s.lastReport
	clock, known := s.clocks[last.from]
	s.mu.Unlock()
	if known && s.version() >= last.version {
		s.confirm(s.node.started.Add(last.asOf + clock.lowest(s.node.uptime())))
	}
}

// runClocks compares clocks with the planner when its reports ask for that, until ctx ends. All entries get the first
// report of a planner at once; they ask at random times.
func (s *settings) runClocks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.clockWanted:
		}
		duty.Sleep(ctx, rand.N(s.node.Timing.refreshInterval()))
		s.mu.Lock()
		name := s.lastReport.from
		s.mu.Unlock()
		s.compareClock(ctx, name)
	}
}

// compareClock relates the time of a peer to that of this entry.
func (s *settings) compareClock(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	sent := s.node.uptime()
	var response proto.Clock
	if s.node.Peers.Request(ctx, name, proto.KindClock, proto.ClockRequest{}, &response) != nil || response.Uptime == 0 {
		return
	}
	next := peerClock{offset: sent - response.Uptime, at: sent}
	s.mu.Lock()
	if old, known := s.clocks[name]; known && old.lowest(sent) > next.offset {
		next.offset = old.lowest(sent)
	}
	if len(s.clocks) >= maxPeerClocks {
		clear(s.clocks)
	}
	s.clocks[name] = next
	s.mu.Unlock()
	s.confirmByReport()
}
