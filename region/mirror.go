package region

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"plantainwinch/coord/speed"
	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// mirrorTimeout bounds the standby's response. Starts wait for it, so a slow standby is dropped
	// early.
	mirrorTimeout = 400 * time.Millisecond
	// mirrorTimeoutPerRun is added to the timeout for each run in a message: the copy of all runs
	// takes time on a slow link.
	mirrorTimeoutPerRun = 300 * time.Microsecond
	// standbyRetryDelay is how long an entry that failed as standby is not tried again.
	standbyRetryDelay = time.Second
	// lastHolderBackoff is how long the planner before is not chosen as standby: it may be lost, and its
	// record in the store lasts a few seconds longer than it.
	lastHolderBackoff = 5 * time.Second
	// standbyCheckInterval is how often the standby is compared with other entries.
	standbyCheckInterval = 500 * time.Millisecond
	// expiriesLifetime is how long after the planner's last message a standby may use the expiries that
	// it was sent: longer than it takes to replace a lost planner. expiriesMargin is what the planner
	// adds before it assumes that the standby no longer uses them.
	expiriesLifetime = 2100 * time.Millisecond
	expiriesMargin   = 100 * time.Millisecond
	// ownExpiriesLifetime is how long an entry uses the expiries of its own last term: longer than any lease.
	ownExpiriesLifetime = time.Minute
	// heartbeatInterval is how often the planner sends its standby a message if there is nothing to
	// report: a little less than idleInterval, so that each idle decision sends one.
	heartbeatInterval = 90 * time.Millisecond
	// maxMirrored bounds the ended and the listed runs that one message names, as no other is sent until it is
	// acknowledged, and the standby must not take the planner for lost meanwhile.
	maxMirrored = 2000
)

// mirror is the copy that an entry holds as standby of the planner: all runs that may exist at the
// workers. The planner starts nothing before its standby has acknowledged it, so a standby that takes
// the office over knows what may run at workers that it cannot reach, and need not wait until their
// leases have expired.
type mirror struct {
	mu      sync.Mutex
	term    uint64
	session uint64
	runs    map[proto.MirrorRun]bool
	// unlisted holds those of the runs whose starts may be on their way.
	unlisted map[proto.MirrorRun]bool
	saved    map[winch.RunID]string // saved holds the checkpoints of stopped tasks.
	// expiries holds the assignments under which leases may run at unresponsive workers.
	expiries map[string][]assignment
	// lastContact is when the planner's last message was accepted, yields whether it asked this entry to
	// take over.
	lastContact time.Time
	yields      bool
	// stampBase is the time that stamp zero stands for; expiriesUntil is until when expiries may be used.
	stampBase     time.Time
	expiriesUntil time.Time
	// speeds holds the workers and kinds of unusual speed as of speedsAt.
	speeds   map[speedKey]speed.Entry
	speedsAt time.Time
}

// mirrorCopy is what a standby knows when it takes the office over: the runs of each worker, and until
// when those at unresponsive workers may continue.
type mirrorCopy struct {
	runs     map[string][]winch.Running
	saved    map[winch.RunID]string
	expiries map[string][]assignment
	// speeds holds the workers and kinds of unusual speed as of speedsAt.
	speeds   []speed.Entry
	speedsAt time.Time
}

// respond applies a message and returns the acknowledgement.
func (m *mirror) respond(msg proto.Mirror) proto.MirrorAck {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stampBase.IsZero() {
		m.stampBase = time.Now().Add(-time.Millisecond) // No stamp may be zero.
	}
	return proto.MirrorAck{OK: m.apply(msg), Stamp: time.Since(m.stampBase)}
}

// apply applies a message and reports whether it was accepted. The caller holds the mutex.
func (m *mirror) apply(msg proto.Mirror) bool {
	if msg.Term < m.term || msg.Term == m.term && msg.Session < m.session {
		return false
	}
	if msg.Full {
		m.term, m.session = msg.Term, msg.Session
		m.runs, m.saved = make(map[proto.MirrorRun]bool, len(msg.Add)), make(map[winch.RunID]string)
		m.unlisted = make(map[proto.MirrorRun]bool)
		m.speeds = make(map[speedKey]speed.Entry, len(msg.Speeds))
	}
	if msg.Term != m.term || msg.Session != m.session || m.runs == nil {
		return false
	}
	m.lastContact, m.yields = time.Now(), msg.Yield
	for _, r := range msg.Remove {
		delete(m.runs, r)
		delete(m.unlisted, r)
	}
	for _, r := range msg.Add { // A refused start of a gang member may be removed and ordered again under its number.
		m.runs[r] = true
		if msg.NamesStarted {
			m.unlisted[r] = true
		}
	}
	for _, r := range msg.Started {
		delete(m.unlisted, r)
	}
	m.applySpeeds(msg.Speeds)
	m.speedsAt = m.lastContact
	for _, x := range msg.Saved {
		m.saved[x.Task] = x.Checkpoint
		if x.Checkpoint == "" {
			delete(m.saved, x.Task)
		}
	}
	if !msg.ExpiriesUnchanged {
		m.expiries = make(map[string][]assignment, len(msg.LeaseExpiries))
	}
	for _, e := range msg.LeaseExpiries {
		m.expiries[e.Worker] = append(m.expiries[e.Worker], assignment{keeper: e.Keeper, expiry: time.Now().Add(e.Left)})
	}
	m.expiriesUntil = time.Time{}
	if msg.Stamp > 0 {
		m.expiriesUntil = m.stampBase.Add(msg.Stamp + expiriesLifetime)
	}
	return true
}

// keepOwn stores what this entry knew as planner when its term ended. If it takes the office again and no
// other entry has held it meanwhile, it uses this like a standby. The expiries are those of leases that
// nobody could renew any more without an order of the ended term, so they do not become outdated.
func (m *mirror) keepOwn(term uint64, runs, started []proto.MirrorRun, expiries map[string][]assignment, saved map[winch.RunID]string, speeds []proto.MirrorSpeed) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term != term || m.runs != nil {
		return // A later planner has sent its runs.
	}
	m.runs = make(map[proto.MirrorRun]bool, len(runs))
	m.unlisted = make(map[proto.MirrorRun]bool)
	for _, r := range runs {
		m.runs[r], m.unlisted[r] = true, true
	}
	for _, r := range started {
		delete(m.unlisted, r)
	}
	m.expiries, m.expiriesUntil = expiries, time.Now().Add(ownExpiriesLifetime)
	m.lastContact, m.yields = time.Time{}, false
	m.saved = saved
	m.speeds, m.speedsAt = make(map[speedKey]speed.Entry, len(speeds)), time.Now()
	m.applySpeeds(speeds)
}

// holds reports whether this entry has a copy of the runs of a term.
func (m *mirror) holds(term uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term == term && m.runs != nil
}

// active reports whether this entry is the standby of a planner that has lately sent a message.
func (m *mirror) active() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs != nil && time.Since(m.lastContact) < prefetchTimeout
}

// claim ends the copying because this entry has taken the office for a term, and returns the runs by
// worker if the copy is of the previous term. No message of an earlier planner is accepted any more,
// so that planner can start nothing that this entry does not know of.
func (m *mirror) claim(term uint64) (mirrorCopy, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	complete := m.runs != nil && m.term+1 == term
	out := mirrorCopy{runs: make(map[string][]winch.Running), speeds: m.listSpeeds(), speedsAt: m.speedsAt}
	if time.Now().Before(m.expiriesUntil) {
		out.expiries = m.expiries
	}
	if complete {
		out.saved = m.saved
		for r := range m.runs {
			x := winch.Running{Task: r.Task, Run: r.Run}
			if m.unlisted[r] {
				x.Percent = winch.PercentUnlisted
			}
			out.runs[r.Worker] = append(out.runs[r.Worker], x)
		}
	}
	m.term, m.session, m.runs, m.unlisted, m.saved, m.expiries, m.speeds = term, 0, nil, nil, nil, nil, nil
	return out, complete
}

// releasable reports whether starts that the standby has acknowledged may be sent: the store names no
// other entry that could take over as standby without them.
func (l *leadership) releasable() bool {
	harmless := func(name string) bool {
		return name == "" || l.standby != nil && l.standby.synced && name == l.standby.name
	}
	for name := range l.maybeNamed {
		if !harmless(name) {
			return false
		}
	}
	return harmless(l.namedStandby)
}

// release sends the orders that the standby has acknowledged, if they are releasable. Expiries that
// earlier standbys were sent no longer matter then.
func (l *leadership) release() {
	if !l.releasable() {
		return
	}
	if !l.mirrorPending {
		l.standbyExpiries = make(map[string]bool, len(l.ackedExpiries))
		maps.Copy(l.standbyExpiries, l.ackedExpiries)
	}
	if len(l.mirroredOrders) == 0 {
		return
	}
	starts := l.mirroredOrders
	l.mirroredOrders = nil
	l.sendOrders(starts)
}

// sendQueued has queued orders sent: after the standby's acknowledgement, or directly if the store is
// known to name no standby.
func (l *leadership) sendQueued() {
	if l.mirrorPending {
		return
	}
	if l.standby == nil {
		l.ackedExpiries = nil // The next standby is sent all expiries again.
		l.planner.ClosedRuns()
		l.planner.ListedRuns(math.MaxInt)
		l.planner.SavedCheckpoints(false)
		l.mirroredOrders, l.queuedOrders = append(l.mirroredOrders, l.queuedOrders...), nil
		l.release()
		return
	}
	s := l.standby
	for _, g := range l.planner.ClosedRuns() {
		l.removedRuns.add(proto.MirrorRun{Worker: g.Worker, Task: g.Task, Run: g.Run})
	}
	if s.synced && len(l.queuedOrders) == 0 && !l.expiriesChanged && time.Since(l.mirroredAt) < heartbeatInterval {
		return // Runs that ended are sent with the next message.
	}
	msg := proto.Mirror{
		Term: l.term, Session: s.session, Full: !s.synced,
		ExpiriesUnchanged: s.synced && !l.expiriesChanged, Stamp: s.stamp, Yield: !l.node.storeResponsive(), NamesStarted: true,
	}
	for _, r := range l.planner.ListedRuns(maxMirrored) {
		msg.Started = append(msg.Started, proto.MirrorRun{Worker: r.Worker, Task: r.Task, Run: r.Run})
	}
	if !msg.ExpiriesUnchanged {
		msg.LeaseExpiries = l.expiries.mirrorUpdate(l.keepers, l.closed)
	}
	for _, x := range l.planner.SavedCheckpoints(msg.Full) {
		msg.Saved = append(msg.Saved, proto.MirrorSaved{Task: x.Task, Checkpoint: x.Checkpoint})
	}
	if msg.Full {
		msg.Add, msg.Started = l.allRuns()
		l.removedRuns = removals{}
	} else {
		for _, o := range l.queuedOrders {
			if o.Kind == proto.OrderStart {
				msg.Add = append(msg.Add, proto.MirrorRun{Worker: o.Worker, Task: o.Task, Run: o.Run})
			}
		}
	}
	msg.Remove = l.removedRuns.take(msg.Add)
	msg.Speeds = l.changedSpeeds(msg.Full)
	for _, x := range msg.LeaseExpiries {
		l.standbyExpiries[x.Worker] = true
	}
	starts := l.queuedOrders
	l.queuedOrders, l.mirrorPending, l.expiriesChanged, l.mirroredAt = nil, true, false, time.Now()
	l.group.Go(func() { l.sendMirror(s, msg, starts) })
}

// removals holds ended runs that the standby's copy still has, in the order of their ends.
type removals struct {
	order   []proto.MirrorRun
	pending map[proto.MirrorRun]bool
}

func (x *removals) add(r proto.MirrorRun) {
	if x.pending == nil {
		x.pending = make(map[proto.MirrorRun]bool)
	}
	if !x.pending[r] {
		x.pending[r] = true
		x.order = append(x.order, r)
	}
}

// take returns the runs that the next message removes: at most maxMirrored, and those that it adds again, since they must
// not be removed after it.
func (x *removals) take(added []proto.MirrorRun) (out []proto.MirrorRun) {
	for _, r := range added {
		if x.pending[r] {
			delete(x.pending, r)
			out = append(out, r)
		}
	}
	n := 0
	for ; n < len(x.order) && len(out) < maxMirrored; n++ {
		if r := x.order[n]; x.pending[r] {
			delete(x.pending, r)
			out = append(out, r)
		}
	}
	if x.order = x.order[n:]; len(x.order) == 0 {
		*x = removals{}
	}
	return out
}

func (l *leadership) sendMirror(s *standby, msg proto.Mirror, starts []proto.Order) {
	ctx, cancel := duty.WithTimeout(l.ctx, mirrorTimeout+time.Duration(len(msg.Add))*mirrorTimeoutPerRun)
	defer cancel()
	var ack proto.MirrorAck
	sent := time.Now()
	err := l.node.Peers.Request(ctx, s.name, proto.KindMirror, msg, &ack)
	took := time.Since(sent)
	// No message is sent until the response is handled, and the standby must not wait for that as long as the events do.
	l.postUrgent(func() {
		l.mirrorPending, l.mirrorRoundTrip = false, took
		if err == nil {
			l.standbyAnsweredAt, s.stamp = time.Now(), ack.Stamp
		}
		if err != nil || !ack.OK || l.standby != s {
			l.queuedOrders = append(starts, l.queuedOrders...)
			if l.standby == s {
				l.dropStandby()
			}
			l.sendQueued()
			return
		}
		if !s.synced {
			s.synced = true
			duty.Signal(l.standbyCh)
		}
		if !msg.ExpiriesUnchanged {
			l.ackedExpiries = make(map[string]bool, len(msg.LeaseExpiries))
		}
		for _, x := range msg.LeaseExpiries {
			l.ackedExpiries[x.Worker] = true
		}
		l.mirroredOrders = append(l.mirroredOrders, starts...)
		l.release()
		l.sendQueued()
	})
}

// allRuns returns all runs that may exist, including those of queued starts, and those of them that their boots have listed.
func (l *leadership) allRuns() (all, started []proto.MirrorRun) {
	for _, id := range l.planner.WorkerIDs() {
		for _, r := range l.planner.RunsAt(id) {
			x := proto.MirrorRun{Worker: id, Task: r.Task, Run: r.Run}
			all = append(all, x)
			if !r.Unlisted() {
				started = append(started, x)
			}
		}
	}
	for _, g := range l.planner.UnrecordedCrashes() {
		x := proto.MirrorRun{Worker: g.Worker, Task: g.Task, Run: g.Run}
		// A run that the crashed boot has not listed may reach the next one.
		if !slices.ContainsFunc(l.planner.RunsAt(g.Worker), func(r winch.Running) bool { return r.Task == g.Task && r.Run == g.Run }) {
			all, started = append(all, x), append(started, x)
		}
	}
	return all, started
}
