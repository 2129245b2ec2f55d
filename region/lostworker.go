package region

import (
	"context"
	"time"

	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// lostWorkerTimeout bounds the planner's own call to a worker that its keeper does not reach. A worker within reach answers
// in a few milliseconds, and lasting tasks of the worker are down meanwhile.
const lostWorkerTimeout = 150 * time.Millisecond

// checkLost asks a worker for its lists that its keeper reports as lost since its lease has expired, before what it ran is
// started again. The worker may be within reach of other entries, and have completed tasks since the keeper last reached it.
// It reports whether the event is handled later.
func (l *leadership) checkLost(p *proxy, e proto.KeeperEvent) bool {
	if e.Kind != proto.EventLost || e.Result == winch.StartOtherBoot || p.local || len(l.planner.RunsAt(e.Worker)) == 0 {
		return false
	}
	if l.checkedLost[e.Worker] == e.Token {
		delete(l.checkedLost, e.Worker)
		return false
	}
	l.checkedLost[e.Worker] = e.Token
	vm, token := l.assignments[e.Worker].VM, l.nextToken()
	l.group.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, lostWorkerTimeout)
		defer cancel()
		response, err := l.node.Runner.Hold(ctx, vm, winch.HoldRequest{Token: token})
		l.node.Runner.Disconnect(vm)
		l.post(func() { l.applyCheck(p, e, response, err) })
	})
	return true
}

// applyCheck applies the lists of a worker that its keeper has reported as lost. Without them it counts as lost.
func (l *leadership) applyCheck(p *proxy, e proto.KeeperEvent, response winch.HoldResponse, err error) {
	if l.proxies[p.name] != p || l.keepers[e.Worker] != p.name || l.assignments[e.Worker].Token != e.Token {
		return // It has been assigned again, with all that may run there.
	}
	if err != nil || l.validity.Load().remaining() <= 0 {
		l.handleEvents(p, []proto.KeeperEvent{e})
		return
	}
	delete(l.checkedLost, e.Worker)
	l.node.Log.Info("worker responds to the planner, not to its keeper", zap.String("worker", e.Worker), zap.String("keeper", p.name))
	listed := proto.KeeperEvent{Kind: proto.EventListed, Worker: e.Worker, Running: response.Running, Ended: response.Ended}
	l.logEvent(listed)
	l.planner.HandleEvent(listed)
	l.planner.SetUnready([]string{e.Worker})
	l.unassignLost(e.Worker, 0)
	l.expiriesChanged = true
	l.sendExpiries()
	l.signalSave()
	l.decideSoon()
}

// nextToken returns a fencing token that is higher than those before.
func (l *leadership) nextToken() uint64 {
	l.tokens++
	return l.revision*tokensPerOffice + l.tokens
}
