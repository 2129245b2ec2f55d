package region

import (
	"cmp"
	"context"
	"iter"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"plantainwinch/coord/fleet"
	"plantainwinch/coord/lanes"
	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// maxOrders bounds the orders that one step of the planner sends.
	maxOrders = 2000
	// maxReported bounds the runs and completions in the part of a keeper's report that one step handles.
	maxReported = 2000
	// pollWait is how long a keeper may wait for an event before it responds.
	pollWait = 250 * time.Millisecond
	// pollTimeout is how long the response may take beyond pollWait. A keeper that does not
	// respond in time is replaced; its workers' runs continue meanwhile.
	pollTimeout = 700 * time.Millisecond
	// sessionRetryDelay is the pause before a keeper whose session broke gets a new one.
	sessionRetryDelay = 200 * time.Millisecond
	// maxImbalance is how many more workers a keeper may have than the least loaded one of its failure
	// domain before one of its workers is moved.
	maxImbalance = 6
	// adviceTimeout is how long a response of the advice service may take beyond the cost
	// that the queue's configuration states: other requests of the lane come first.
	adviceTimeout = 800 * time.Millisecond
)

// proxy is the planner's side of one session with a keeper.
type proxy struct {
	leadership *leadership
	name       string
	session    proto.Session
	stamp      time.Duration // stamp is that of the keeper's last response.
	granted    grants
	// firstGrant is the authority in the session's first message, which the keeper counts from its arrival.
	firstGrant time.Duration
	messages   atomic.Uint64 // messages counts the messages sent to the keeper.
	local      bool          // local is set if the keeper is the planner's own entry.
	ctx        context.Context
	cancel     context.CancelFunc
}

// sendAssignments sends a keeper the workers assigned to it. It begins a session if there is
// none.
func (l *leadership) sendAssignments(name string) {
	p := l.proxies[name]
	fresh := p == nil
	if fresh {
		l.sessions++
		p = &proxy{leadership: l, name: name, local: name == l.node.Name, session: proto.Session{Term: l.term, Number: l.sessions}, firstGrant: l.grantable()}
		l.proxies[name] = p
		p.granted.add(p.firstGrant)
		p.ctx, p.cancel = context.WithCancel(l.ctx)
	}
	set := proto.AssignmentSet{Session: p.session, Authority: p.firstGrant}
	for id := range l.workersOf[name] {
		a := l.assignments[id]
		a.Left = l.expiries.remaining(id)
		set.Workers = append(set.Workers, a)
	}
	p.send(proto.KindAssignmentSet, set)
	if fresh {
		l.group.Go(p.poll)
	}
}

// send sends a message to the keeper and ends the session if that fails.
func (p *proxy) send(kind winch.Kind, body any) {
	n := p.leadership.node
	if p.local {
		switch m := body.(type) {
		case proto.AssignmentSet:
			n.keeper.SetAssignments(m)
		case proto.KeeperOrders:
			n.keeper.QueueOrders(m)
		}
		return
	}
	if n.Peers.Notify(p.name, kind, body) != nil {
		p.cancel() // A lost message would leave planner and keeper with different views.
	}
	p.messages.Add(1) // Counted once it is queued, so that a poll that names it is sent later.
}

// poll fetches the keeper's events until the session ends, and then takes its workers away.
func (p *proxy) poll() {
	l, ctx := p.leadership, p.ctx
	for ctx.Err() == nil {
		report, err := p.pollOnce(ctx)
		if ctx.Err() != nil {
			break
		}
		if err == nil && report.Term > l.term {
			// A planner of a later term has taken over. This one has not learned that from
			// the store, so it is partitioned from it, and its orders have no effect any more.
			l.node.Log.Info("planner of a later term has taken over; ending this term", zap.String("keeper", p.name), zap.Uint64("term", report.Term))
			l.cancel()
			return
		}
		if err != nil || report.Session != p.session {
			l.node.Log.Info("session with keeper ended unexpectedly", zap.String("keeper", p.name), zap.Uint64("session", p.session.Number), zap.Error(err))
			break
		}
		if p.stamp == 0 {
			p.granted.add(p.firstGrant) // The first message has arrived by now.
		}
		p.stamp = report.Stamp
		for events := range splitEvents(report.Events, maxReported) {
			l.post(func() { l.handleEvents(p, events) })
		}
	}
	l.post(func() {
		if l.proxies[p.name] == p {
			l.dropKeeper(p)
			l.backOff(p.name)
			l.reassignSoon()
		}
	})
}

// backOff gives a keeper no new session for sessionRetryDelay after one broke, so that a
// keeper that refuses every session does not keep the planner busy.
func (l *leadership) backOff(name string) {
	l.keeperBackoff[name] = true
	l.group.Go(func() {
		duty.Sleep(l.ctx, sessionRetryDelay)
		l.post(func() {
			delete(l.keeperBackoff, name)
			l.reassignSoon()
		})
	})
}

// pollOnce sends one poll request to the keeper.
func (p *proxy) pollOnce(ctx context.Context) (proto.KeeperPollResponse, error) {
	request := proto.KeeperPollRequest{Session: p.session, Authority: p.leadership.grantable(), Wait: pollWait, Stamp: p.stamp}
	if !p.granted.add(request.Authority) {
		return proto.KeeperPollResponse{}, context.Canceled
	}
	if !p.local {
		request.Messages = p.messages.Load()
	}
	if p.local {
		return p.leadership.node.keeper.Poll(ctx, request), nil
	}
	ctx, cancel := duty.WithTimeout(ctx, pollWait+pollTimeout)
	defer cancel()
	var report proto.KeeperPollResponse
	err := p.leadership.node.Peers.Request(ctx, p.name, proto.KindKeeperPoll, request, &report)
	return report, err
}

// dropKeeper ends a keeper's session and takes all its workers away. They are assigned to
// another keeper, or to the same one in a new session, with higher fencing tokens.
func (l *leadership) dropKeeper(p *proxy) {
	p.cancel()
	delete(l.proxies, p.name)
	granted := p.granted.end()
	l.node.Log.Info("keeper's assignments ended", zap.String("keeper", p.name), zap.Uint64("session", p.session.Number),
		zap.Int("workers", len(l.workersOf[p.name])), zap.Duration("granted", time.Duration(granted)))
	var ids []string
	for id := range l.workersOf[p.name] {
		ids = append(ids, id)
		l.expiries.endAssignment(id, p.name, l.assignments[id].Token, granted)
		l.removeAssignment(id)
	}
	l.expiriesChanged = true
	l.planner.SetUnready(ids)
}

// splitEvents splits a report into parts that name at most limit runs and completions, except for first lists, which
// must be handled as a whole.
func splitEvents(events []proto.KeeperEvent, limit int) iter.Seq[[]proto.KeeperEvent] {
	return func(yield func([]proto.KeeperEvent) bool) {
		var part []proto.KeeperEvent
		left := limit
		for _, e := range events {
			for {
				x := e
				if n := max(1, left); e.Kind == proto.EventStatus || e.Kind == proto.EventEnded {
					x.Running, x.Ended = e.Running[:min(n, len(e.Running))], e.Ended[:min(n, len(e.Ended))]
				}
				part = append(part, x)
				left -= 1 + len(x.Running) + len(x.Ended)
				if left <= 0 {
					if !yield(part) {
						return
					}
					part, left = nil, limit
				}
				e.Running, e.Ended = e.Running[len(x.Running):], e.Ended[len(x.Ended):]
				if len(e.Running)+len(e.Ended) == 0 {
					break
				}
			}
		}
		if len(part) > 0 {
			yield(part)
		}
	}
}

// handleEvents handles what a keeper has reported. Reports of an ended session are stale and
// dropped.
func (l *leadership) handleEvents(p *proxy, events []proto.KeeperEvent) {
	if l.proxies[p.name] != p {
		return
	}
	changed := false
	reports := make(earlierReports)
	for _, e := range events {
		if e.Worker == "" {
			e.Worker = l.byToken[e.Token]
		}
		switch e.Kind {
		case proto.EventKnownRuns:
			reports.add(l.handleKnown(p.name, e), e)
			continue
		case proto.EventReleased:
			l.releaseAssignment(p.name, e)
			continue
		}
		if l.keepers[e.Worker] != p.name || l.assignments[e.Worker].Token != e.Token {
			continue // The event is of an earlier assignment of the worker.
		}
		if l.checkLost(p, e) {
			continue
		}
		l.logEvent(e)
		if e.Kind == proto.EventLost && e.Result != winch.StartOtherBoot && l.validity.Load().remaining() <= 0 {
			// The office's lease has expired: another planner may have assigned the worker, and
			// its runs may continue.
			l.planner.SetUnready([]string{e.Worker})
			l.unassignLost(e.Worker, 0)
			l.expiries.markLostInDoubt(e.Worker)
			l.expiriesChanged = true
			continue
		}
		l.applyExpiryEvent(e)
		l.planner.HandleEvent(e)
		switch e.Kind {
		case proto.EventFenced:
			l.node.Log.Info("worker knows a higher fencing token; ending this term", zap.String("worker", e.Worker))
			l.cancel()
			return
		case proto.EventListed:
			l.noteListed(e.Worker)
		case proto.EventLost:
			l.unassignLost(e.Worker, e.Left)
			if e.Result == winch.StartOtherBoot {
				l.planner.SetNextBoot(e.Worker) // The list may never name another boot.
				l.workerReplaced(e.Worker)
			}
		}
		switch e.Kind {
		case proto.EventUnresponsive, proto.EventResponsive, proto.EventListed:
			unresponsive, _ := l.planner.Unresponsive(e.Worker)
			changed = changed || unresponsive || len(l.roster[e.Worker].Earlier) > 0
		}
	}
	l.logEarlierReports(p.name, reports)
	l.sendExpiries()
	l.signalSave()
	if changed {
		l.reassignSoon()
	}
	if time.Since(l.mirroredAt) > heartbeatInterval {
		l.sendQueued() // Many reports may be handled before the next decision.
	}
	l.decideSoon()
}

// unassignLost ends the assignment of a lost worker. The worker is assigned again if it is
// still listed. The time left is how long starts without a response may run at its next boot; zero if that is not known.
func (l *leadership) unassignLost(id string, left time.Duration) {
	l.expiries.forget(id)
	l.expectLateStarts(id, left)
	l.removeAssignment(id)
	l.reassignSoon()
}

// expectLateStarts has a next boot that does not respond count as lost only after the lease that a start which is on its way
// to it may be given: after the time left or, if that is zero, after NextBootTimeout.
func (l *leadership) expectLateStarts(id string, left time.Duration) {
	if len(l.planner.RunsAt(id)) > 0 || !l.planner.RunsKnown(id) {
		l.expiries.add(id, assignment{expiry: time.Now().Add(cmp.Or(left, fleet.NextBootTimeout))})
	}
}

// recordAssignment records that a worker is assigned to a keeper under a fencing token.
func (l *leadership) recordAssignment(id, keeper string, a proto.Assignment) {
	l.removeAssignment(id)
	l.keepers[id], l.assignments[id], l.byToken[a.Token] = keeper, a, id
	if l.workersOf[keeper] == nil {
		l.workersOf[keeper] = make(map[string]bool)
	}
	l.workersOf[keeper][id] = true
	if w := l.desired[id]; w.Generation == a.Generation {
		w.Used = true
		l.desired[id] = w
	}
}

// removeAssignment records that a worker is assigned to no keeper.
func (l *leadership) removeAssignment(id string) {
	delete(l.byToken, l.assignments[id].Token)
	if keeper, assigned := l.keepers[id]; assigned {
		delete(l.workersOf[keeper], id)
		if len(l.workersOf[keeper]) == 0 {
			delete(l.workersOf, keeper)
		}
	}
	delete(l.keepers, id)
	delete(l.assignments, id)
}

// dispatch sends the planner's orders to the keepers: starts once the standby has acknowledged
// them, and most others at once. A worker that forgets a completion forgets its checkpoint, so while
// checkpoints are kept, the standby is sent them first.
//
// Many orders are sent in parts. An order whose worker is assigned anew before its turn has no effect, like one that was
// sent before.
func (l *leadership) dispatch() {
	for _, o := range l.planner.Orders() {
		o.Token = l.assignments[o.Worker].Token
		l.collected = append(l.collected, o)
	}
	var now []proto.Order
	part := l.collected[:min(len(l.collected), maxOrders)]
	if l.collected = l.collected[len(part):]; len(l.collected) > 0 {
		l.decideSoon()
	}
	for _, o := range part {
		if o.Kind == proto.OrderStart || o.Kind == proto.OrderForget && l.planner.KeepsCheckpoints() {
			l.queuedOrders = append(l.queuedOrders, o)
		} else {
			now = append(now, o)
		}
	}
	l.sendOrders(now)
	if len(l.queuedOrders) > 0 {
		l.sendQueued()
	}
}

// sendOrders sends orders to the keepers of their workers.
func (l *leadership) sendOrders(orders []proto.Order) {
	byKeeper := make(map[string]*proto.KeeperOrders)
	for _, o := range orders {
		name := l.keepers[o.Worker]
		p := l.proxies[name]
		if p == nil || o.Token != l.assignments[o.Worker].Token {
			l.handleUnsent(o)
			continue
		}
		msg := byKeeper[name]
		if msg == nil {
			msg = &proto.KeeperOrders{Session: p.session, Origins: make(map[string]string)}
			byKeeper[name] = msg
		}
		if o.Kind == proto.OrderStart {
			msg.Origins[o.Task.Job], msg.Settings = l.planner.Origin(o.Task.Job), l.planner.SettingsVersion()
		}
		l.logOrder(o)
		msg.Orders = append(msg.Orders, o)
	}
	for name, msg := range byKeeper {
		msg.Addresses = l.originAddresses(msg.Origins)
		l.proxies[name].send(proto.KindKeeperOrders, *msg)
	}
}

// handleUnsent reports a start that was not sent to the planner as not started. The worker is being
// assigned to a keeper again and will list its runs; a start sent now could take effect after that
// list and yet be considered never started.
func (l *leadership) handleUnsent(o proto.Order) {
	if o.Kind == proto.OrderStart {
		l.planner.HandleEvent(proto.KeeperEvent{
			Kind: proto.EventNotStarted, Worker: o.Worker, Task: o.Task, Run: o.Run, Result: winch.StartRefused,
		})
	}
}

// adviceQuota returns how many requests to the advice service may be made now. There are no more
// than free lanes, so that each request is based on what is known when a lane takes it.
func (l *leadership) adviceQuota() fleet.RequestQuota {
	urgent, normal := l.lanes.Available(time.Now())
	return fleet.RequestQuota{Urgent: urgent, Normal: normal}
}

// requestAdvice distributes the planner's requests to the advice service over the lanes.
func (l *leadership) requestAdvice() {
	for _, a := range l.planner.AdviceRequests() {
		l.lanes.Add(lanes.Request[fleet.AdviceRequest]{Body: a, Urgent: a.Urgent, Rank: a.Rank})
	}
	for {
		name, r, ok := l.lanes.Next(time.Now())
		if !ok {
			return
		}
		l.group.Go(func() { l.callAdvice(name, r.Body) })
	}
}

// callAdvice sends one request to the advice service through a lane and passes the response to
// the planner.
func (l *leadership) callAdvice(lane string, a fleet.AdviceRequest) {
	sent := time.Now()
	ctx, cancel := duty.WithTimeout(l.ctx, a.Cost+adviceTimeout)
	defer cancel()
	request := proto.AdviseRequest{Phase: a.Phase, Workers: a.Workers}
	var response proto.AdviseResponse
	var err error
	if lane == l.node.Name {
		response = l.node.advise(ctx, request)
	} else {
		err = l.node.Peers.Request(ctx, lane, proto.KindAdvise, request, &response)
	}
	ok := err == nil && response.Failed == ""
	if !ok {
		l.node.Log.Info("advice request failed", zap.String("lane", lane), zap.String("job", a.Phase.Job), zap.String("failed", response.Failed), zap.Error(err))
	}
	l.node.Log.Info("advice request finished", zap.String("job", a.Phase.Job), zap.Int("phase", a.Phase.Phase), zap.String("lane", lane), zap.Int("asked", len(a.Workers)),
		zap.Int("allowed", len(response.Tickets)), zap.Duration("took", time.Since(sent)), zap.Duration("waited", sent.Sub(a.Created)))
	l.post(func() {
		l.lanes.Done(lane, ok, time.Now())
		if ok {
			l.planner.AdviceReceived(a, response.Tickets, response.Valid, sent)
		} else {
			l.planner.AdviceFailed(a)
		}
		l.decideSoon()
	})
}

func (l *leadership) logOrder(o proto.Order) {
	switch o.Kind {
	case proto.OrderStart:
		previous, _ := l.planner.PreviousRun(o.Task)
		l.node.Log.Info("run start ordered", zap.String("job", o.Task.Job), zap.Int("phase", o.Task.Phase), zap.Int("index", o.Task.Index),
			zap.Uint64("run", o.Run), zap.String("worker", o.Worker), zap.Int64("born", l.assignments[o.Worker].VM.Born), previousRun(previous))
	case proto.OrderStop:
		l.node.Log.Info("run stop ordered", zap.String("job", o.Task.Job), zap.Int("phase", o.Task.Phase), zap.Int("index", o.Task.Index),
			zap.Uint64("run", o.Run), zap.String("worker", o.Worker))
	case proto.OrderThrottle:
		l.node.Log.Info("run throttle ordered", zap.String("job", o.Task.Job), zap.Uint64("run", o.Run), zap.String("worker", o.Worker), zap.Int("percent", o.Percent))
	}
}

func (l *leadership) logEvent(e proto.KeeperEvent) {
	switch e.Kind {
	case proto.EventListed:
		l.node.Log.Info("worker listed its runs", zap.String("worker", e.Worker), zap.Int("running", len(e.Running)), zap.Int("ended", len(e.Ended)))
	case proto.EventLost:
		l.node.Log.Info("worker reported as lost", zap.String("worker", e.Worker))
	case proto.EventNotStarted, proto.EventVanished:
		l.node.Log.Info("run not started or no longer at its worker", zap.String("job", e.Task.Job), zap.Uint64("run", e.Run), zap.String("worker", e.Worker), zap.Stringer("result", e.Result))
	}
	for _, x := range e.Ended {
		l.node.Log.Info("run ended", zap.String("job", x.Task.Job), zap.Int("phase", x.Task.Phase), zap.Int("index", x.Task.Index),
			zap.Uint64("run", x.Run), zap.Uint64("number", x.Number), zap.String("worker", e.Worker), zap.String("kind", string(x.Kind)))
	}
}
