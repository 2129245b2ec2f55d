package region

import (
	"context"
	"errors"
	"slices"
	"time"

	"plantainwinch/winch"
)

// simRunner carries the calls of one entry to the workers.
type simRunner struct {
	world *world
	node  *Node
}

// call runs f at a worker, with both locks held, if the worker can be reached.
func (r *simRunner) call(ctx context.Context, vm winch.WorkerVM, f func(x *simWorker) error) error {
	time.Sleep(networkDelay)
	w := r.world
	w.mu.Lock()
	x := w.addresses[vm.Address]
	if x != nil && x.terminated && x.refusesConnections {
		w.mu.Unlock()
		time.Sleep(networkDelay)
		return winch.ErrUnavailable
	}
	if x == nil || x.unresponsive || w.blockedPaths[simPath{r.node.Host, x.vm.Address}] > 0 || w.paused[r.node.Host] != nil ||
		!w.canReach(r.node.Domain, x.vm.Domain) || w.liveNodes()[r.node.Name] == nil {
		w.mu.Unlock()
		<-ctx.Done()
		return winch.ErrUncertain
	}
	if w.late.silent(r.node.Host, vm.Address) {
		w.mu.Unlock()
		<-ctx.Done()
		return winch.ErrUncertain
	}
	x.mu.Lock()
	var err error
	if x.vm.ID != vm.ID || x.vm.Born != vm.Born && !x.unnamed {
		err = winch.ErrOtherBoot
	} else {
		if before := x.onContact; before != nil {
			x.onContact = nil
			before()
		}
		err = f(x)
	}
	responseLost := x.losesResponses || w.blockedPaths[simPath{x.vm.Address, r.node.Host}] > 0
	x.mu.Unlock()
	w.mu.Unlock()
	if responseLost {
		<-ctx.Done()
		return winch.ErrUncertain
	}
	time.Sleep(networkDelay)
	return err
}

// postpone has a call get no response, and carries it out late, at the boot that responds at the address under the same ID
// by then. It reports whether the world's test wants that.
func (r *simRunner) postpone(ctx context.Context, vm winch.WorkerVM, call any, f func(x *simWorker)) bool {
	w := r.world
	w.mu.Lock()
	delay := time.Duration(0)
	sentTo := w.workers[vm.ID]
	if w.callDelay != nil && sentTo != nil && (sentTo.vm.Born == vm.Born || sentTo.unnamed) && !sentTo.terminated {
		delay = w.callDelay(r.node, vm, call)
	}
	w.mu.Unlock()
	if delay == 0 {
		return false
	}
	w.group.Go(func() {
		time.Sleep(delay)
		w.mu.Lock()
		defer w.mu.Unlock()
		if x := w.workers[vm.ID]; x != nil && !x.terminated && w.addresses[vm.Address] == x {
			if w.dropsRefused && x != sentTo && sentTo.refuses(call) {
				return
			}
			x.mu.Lock()
			defer x.mu.Unlock()
			w.log.note("call %T for boot %d of %s is carried out late by boot %d", call, vm.Born, vm.ID, x.vm.Born)
			f(x)
		}
	})
	<-ctx.Done()
	return true
}

// refuses reports whether a boot would refuse a start.
func (x *simWorker) refuses(call any) bool {
	c, start := call.(winch.StartRequest)
	return start && (c.Token < x.token || c.Run <= x.highestRun[c.Task])
}

// hold carries out a hold. Both locks are held.
func (r *simRunner) hold(x *simWorker, c winch.HoldRequest) (out winch.HoldResponse, err error) {
	if err := x.fence(c.Token); err != nil {
		return out, err
	}
	x.updateLease()
	x.extendLease(c.Until)
	x.ended = slices.DeleteFunc(x.ended, func(e winch.Completion) bool {
		if e.Number <= c.Forget && e.Kind == winch.CompletionDone {
			x.checkAcknowledged(r.world, e.Task, e.Run)
			r.world.copyChecks.acknowledged(e.Task)
			r.world.acknowledged[e.Task] = r.world.acknowledged[e.Task] || x.heldLeaseSince(r.world, e.Task, e.Run)
			r.world.log.note("completion of %v of %s at %s is acknowledged by %s", e.Task, e.Task.Job, x.vm.ID, r.node.Name)
		}
		if e.Number <= c.Forget && r.world.onForget != nil {
			r.world.onForget(e)
		}
		return e.Number <= c.Forget
	})
	out = winch.HoldResponse{Clock: x.clock(), Ended: slices.Clone(x.ended)}
	for key := range x.runs {
		running := winch.Running{Task: key.task, Run: key.run, Percent: x.runs[key].percent(), Load: x.load(key)}
		x.runs[key].saves.report(&running)
		out.Running = append(out.Running, running)
	}
	return out, nil
}

func (r *simRunner) Hold(ctx context.Context, vm winch.WorkerVM, c winch.HoldRequest) (out winch.HoldResponse, err error) {
	if r.postpone(ctx, vm, c, func(x *simWorker) { _, _ = r.hold(x, c) }) { // Nobody learns the result.
		return out, winch.ErrUncertain
	}
	result := callLate(ctx, r.world, r.node.Host, vm.Address, func() (v holdResult) {
		v.response, v.err = r.holdWithWait(ctx, vm, c, time.Now())
		return v
	}, holdResult{err: winch.ErrUncertain})
	return result.response, result.err
}

// holdResult is the result of a hold.
type holdResult struct {
	response winch.HoldResponse
	err      error
}

// holdWithWait carries out a hold that has arrived at the worker, until something ends there or its wait is over.
func (r *simRunner) holdWithWait(ctx context.Context, vm winch.WorkerVM, c winch.HoldRequest, begin time.Time) (out winch.HoldResponse, err error) {
	for {
		err = r.call(ctx, vm, func(x *simWorker) (err error) {
			out, err = r.hold(x, c)
			return err
		})
		if err != nil || len(out.Ended) > 0 || time.Since(begin) >= c.Wait || ctx.Err() != nil {
			return out, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// order carries out a start. Both locks are held.
func (r *simRunner) order(x *simWorker, c winch.StartRequest) winch.StartResult {
	key := runKey{c.Task, c.Run}
	switch {
	case x.fence(c.Token) != nil:
		return winch.StartFenced
	case x.clock() > c.Until:
		return winch.StartLate
	case x.runs[key] != nil:
	case c.Run <= x.highestRun[c.Task]:
		return winch.StartOutdated
	default:
		x.extendLease(c.Until)
		r.world.checkEvacuated(x, key, r.node)
		if r.world.onStart != nil {
			r.world.onStart(r.node)
		}
		x.startRun(r.world, key, c)
	}
	return winch.StartOK
}

func (r *simRunner) Start(ctx context.Context, vm winch.WorkerVM, c winch.StartRequest) (winch.StartResult, time.Duration) {
	if r.postpone(ctx, vm, c, func(x *simWorker) { r.order(x, c) }) {
		return winch.StartUncertain, 0
	}
	type outcome struct {
		result winch.StartResult
		clock  time.Duration
		err    error
	}
	v := callLate(ctx, r.world, r.node.Host, vm.Address, func() (v outcome) {
		v.err = r.call(ctx, vm, func(x *simWorker) error {
			v.result, v.clock = r.order(x, c), x.clock()
			return nil
		})
		return v
	}, outcome{err: winch.ErrUncertain})
	result, clock, err := v.result, v.clock, v.err
	switch {
	case errors.Is(err, winch.ErrOtherBoot):
		return winch.StartOtherBoot, 0
	case errors.Is(err, winch.ErrUnavailable):
		return winch.StartRefused, 0
	case err != nil:
		return winch.StartUncertain, 0
	}
	return result, clock
}

func (r *simRunner) Stop(ctx context.Context, vm winch.WorkerVM, token uint64, task winch.RunID, run uint64) error {
	return r.send(ctx, vm, func(x *simWorker) error {
		if err := x.fence(token); err != nil {
			return err
		}
		x.highestRun[task] = max(x.highestRun[task], run)
		if active := x.runs[runKey{task, run}]; active != nil && active.saves != nil {
			active.saves.stop(r.world)
		} else if active != nil {
			x.endRun(r.world, runKey{task, run}, winch.CompletionStopped)
		}
		return nil
	})
}

func (r *simRunner) Throttle(ctx context.Context, vm winch.WorkerVM, token uint64, _ winch.RunID, _ uint64, _ int) error {
	return r.send(ctx, vm, func(x *simWorker) error { return x.fence(token) })
}

// send carries out an order at a worker, however late it arrives there.
func (r *simRunner) send(ctx context.Context, vm winch.WorkerVM, f func(x *simWorker) error) error {
	return callLate(ctx, r.world, r.node.Host, vm.Address, func() error { return r.call(ctx, vm, f) }, winch.ErrUncertain)
}

func (r *simRunner) Disconnect(winch.WorkerVM) {}
