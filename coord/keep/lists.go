package keep

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// handleResponse applies the lists in a worker's response and reports the resulting events.
func (h *holder) handleResponse(sent time.Time, resp winch.HoldResponse) {
	h.mu.Lock()
	wasUnresponsive := h.unresponsive
	h.addEvents(h.applyLists(sent, resp)...)
	back := wasUnresponsive && !h.unresponsive
	h.mu.Unlock()
	h.keeper.collectEvents(h)
	if back {
		h.keeper.notifyDomainBack(h.vm.Domain)
	}
}

// applyLists applies a worker's lists and returns the resulting events. The caller holds the mutex.
func (h *holder) applyLists(sent time.Time, resp winch.HoldResponse) []proto.KeeperEvent {
	if h.listed && h.outdated(resp) {
		return nil
	}
	h.listsClock = max(h.listsClock, resp.Clock)
	wasUnresponsive := h.unresponsive
	h.unresponsive = false
	now := time.Now()
	sinceContact := time.Duration(0)
	if wasUnresponsive || h.retrying {
		sinceContact = now.Sub(h.lastContact)
	}
	h.retrying = false
	h.lastContact = now
	if wasUnresponsive {
		h.keeper.Log.Info("worker responsive again", zap.String("worker", h.vm.ID), zap.Uint64("token", h.token))
	}
	var completed []winch.Completion
	slices.SortFunc(resp.Ended, func(a, b winch.Completion) int { return cmp.Compare(a.Number, b.Number) })
	h.listedCompletions = resp.Ended
	for _, e := range resp.Ended {
		if e.Number > h.lastCompletion {
			h.lastCompletion = e.Number
			completed = append(completed, e)
		}
		delete(h.runs, runKey{e.Task, e.Run})
	}
	var out []proto.KeeperEvent
	if !h.listed && len(resp.Ended) >= maxListed {
		// Some completions may be missing. They are listed once these are recorded and forgotten.
		if len(completed) > 0 {
			out = append(out, proto.KeeperEvent{Kind: proto.EventEnded, Ended: completed})
		}
		return out
	}
	if !h.listed {
		return append(out, h.firstLists(resp, completed))
	}
	if wasUnresponsive {
		out = append(out, proto.KeeperEvent{Kind: proto.EventResponsive, Spell: h.unresponsivePeriods})
	}
	if len(completed) > 0 {
		out = append(out, proto.KeeperEvent{Kind: proto.EventEnded, Ended: completed, Blind: sinceContact})
	}
	out = append(out, h.compareRuns(sent, resp)...)
	return append(out, h.statusEvents(resp.Running)...)
}

// outdated reports whether newer lists were already applied: responses can arrive out of
// order. The caller holds the mutex.
func (h *holder) outdated(resp winch.HoldResponse) bool {
	last := uint64(0)
	for _, e := range resp.Ended {
		last = max(last, e.Number)
	}
	return resp.Clock > 0 && (resp.Clock < h.listsClock || resp.Clock == h.listsClock && last < h.lastCompletion)
}

// firstLists returns the event that reports the initial lists in full.
func (h *holder) firstLists(resp winch.HoldResponse, completed []winch.Completion) proto.KeeperEvent {
	h.listed = true
	// Earlier assignments are fenced off from now on, so a lease they renewed last expires
	// after one full lease at the latest.
	lease := h.keeper.Lease
	if h.nextBoot {
		// A call for the earlier boot that was carried out late named a time on the clock of that boot.
		lease = max(lease, h.keeper.WorkerLease)
	}
	until := time.Now().Add(ExpiryBound(lease))
	if h.nextBoot || until.Before(h.priorExpiry) {
		h.priorExpiry = until
	}
	for _, r := range resp.Running {
		h.runs[runKey{r.Task, r.Run}] = &runState{confirmedAt: h.began, listed: true}
	}
	return proto.KeeperEvent{Kind: proto.EventListed, Running: resp.Running, Ended: completed, Spell: h.unresponsivePeriods}
}

// compareRuns returns events for the runs that the worker no longer has, and for those that
// it unexpectedly has. Only orders confirmed before the hold was sent count, since responses
// on different connections can arrive out of order.
func (h *holder) compareRuns(sent time.Time, resp winch.HoldResponse) []proto.KeeperEvent {
	var out []proto.KeeperEvent
	running := make(map[runKey]bool, len(resp.Running))
	var found []winch.Running
	for _, r := range resp.Running {
		key := runKey{r.Task, r.Run}
		running[key] = true
		if h.runs[key] == nil {
			h.runs[key] = &runState{confirmedAt: sent}
			found = append(found, r)
		}
		h.runs[key].listed = true
	}
	if len(found) > 0 {
		out = append(out, proto.KeeperEvent{Kind: proto.EventFound, Running: found})
	}
	if len(resp.Ended) >= maxListed {
		return out
	}
	for key, r := range h.runs {
		if running[key] || r.confirmedAt.IsZero() || r.confirmedAt.After(sent) {
			continue
		}
		delete(h.runs, key)
		if r.startUncertain {
			out = append(out, proto.KeeperEvent{Kind: proto.EventNotStarted, Task: key.task, Run: key.run, Result: winch.StartUncertain})
			continue
		}
		h.keeper.count("Keep.Vanished")
		out = append(out, proto.KeeperEvent{Kind: proto.EventVanished, Task: key.task, Run: key.run})
	}
	return out
}

// statusEvents returns the status of the runs, at limited intervals: of all runs while the
// planner asks for frequent reports, and otherwise of those that have changed or are below
// 100 percent.
func (h *holder) statusEvents(running []winch.Running) []proto.KeeperEvent {
	now := time.Now()
	every := statusInterval
	if h.reportOften {
		every = frequentStatusInterval
	}
	if now.Sub(h.lastStatus) < every {
		return nil
	}
	var out []winch.Running
	for _, x := range running {
		if r := h.runs[runKey{x.Task, x.Run}]; r != nil && (h.reportOften || r.needsReport(x)) {
			r.reported, r.percent, r.checkpoint = true, x.Percent, x.Checkpoint
			out = append(out, x)
		}
	}
	if len(out) == 0 {
		return nil
	}
	h.lastStatus = now
	return []proto.KeeperEvent{{Kind: proto.EventStatus, Running: out}}
}

// needsReport reports whether the status of a run is to be sent to the planner.
func (r *runState) needsReport(x winch.Running) bool {
	return !r.reported || x.Percent < 100 || x.Percent != r.percent || x.Checkpoint != r.checkpoint
}
