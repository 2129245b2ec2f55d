package keep

import (
	"time"

	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// handleResponse applies the lists in a worker's response and emits the resulting events.
func (h *holder) answered(sent time.Time, resp winch.Holding) {
	for _, e := range h.compareAll(sent, resp) {
		h.emit(e)
	}
}

// applyLists applies a worker's lists and returns the resulting events. It doesn't emit
// them itself: the keeper's lock is never acquired while the holder's is held.
func (h *holder) compareAll(sent time.Time, resp winch.Holding) []proto.KeepEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listed && h.outdated(resp) {
		return nil
	}
	h.listsAt = max(h.listsAt, resp.Clock)
	wasUnresponsive := h.silent
	h.silent = false
	now := time.Now()
	sinceContact := time.Duration(0)
	if wasUnresponsive || h.doubted {
		sinceContact = now.Sub(h.heard)
	}
	h.doubted = false
	h.heard = now
	if wasUnresponsive {
		h.keeper.Log.Info("worker responsive again", zap.String("worker", h.vm.ID), zap.Uint64("token", h.token))
	}
	var completed []winch.Ended
	h.told = resp.Ended
	for _, e := range resp.Ended {
		if e.Number > h.lastEnd {
			h.lastEnd = e.Number
			completed = append(completed, e)
		}
		delete(h.runs, runKey{e.Task, e.Run})
	}
	if !h.listed {
		return []proto.KeepEvent{h.first(resp, completed)}
	}
	var out []proto.KeepEvent
	if wasUnresponsive {
		out = append(out, proto.KeepEvent{Kind: proto.EventBack, Spell: h.spell})
	}
	if len(completed) > 0 {
		out = append(out, proto.KeepEvent{Kind: proto.EventEnded, Ended: completed, Blind: sinceContact})
	}
	out = append(out, h.compare(sent, resp)...)
	return append(out, h.look(resp.Running)...)
}

// outdated reports whether newer lists were already applied: responses can arrive out of
// order. The caller holds the mutex.
func (h *holder) outdated(resp winch.Holding) bool {
	last := uint64(0)
	for _, e := range resp.Ended {
		last = max(last, e.Number)
	}
	return resp.Clock > 0 && (resp.Clock < h.listsAt || resp.Clock == h.listsAt && last < h.lastEnd)
}

// firstLists returns the event that reports the initial lists in full.
func (h *holder) first(resp winch.Holding, completed []winch.Ended) proto.KeepEvent {
	h.listed = true
	// Earlier assignments are fenced off from now on, so a lease they renewed last expires
	// after one full lease at the latest.
	if until := time.Now().Add(Surely(h.keeper.Lease)); until.Before(h.prior) {
		h.prior = until
	}
	for _, r := range resp.Running {
		h.runs[runKey{r.Task, r.Run}] = &known{acked: h.began}
	}
	return proto.KeepEvent{Kind: proto.EventListed, Running: resp.Running, Ended: completed, Spell: h.spell}
}

// compareRuns returns events for the runs that the worker no longer has, and for those that
// it unexpectedly has. Only orders confirmed before the hold was sent count, since responses
// on different connections can arrive out of order.
func (h *holder) compare(sent time.Time, resp winch.Holding) []proto.KeepEvent {
	var out []proto.KeepEvent
	running := make(map[runKey]bool, len(resp.Running))
	var found []winch.Running
	for _, r := range resp.Running {
		key := runKey{r.Task, r.Run}
		running[key] = true
		if h.runs[key] == nil {
			h.runs[key] = &known{acked: sent}
			found = append(found, r)
		}
	}
	if len(found) > 0 {
		out = append(out, proto.KeepEvent{Kind: proto.EventFound, Running: found})
	}
	if len(resp.Ended) >= mostListed {
		return out
	}
	for key, r := range h.runs {
		if running[key] || r.acked.IsZero() || r.acked.After(sent) {
			continue
		}
		delete(h.runs, key)
		if r.doubt {
			out = append(out, proto.KeepEvent{Kind: proto.EventNotStarted, Task: key.task, Run: key.run, Result: winch.StartUncertain})
			continue
		}
		h.keeper.count("Keep.Vanished")
		out = append(out, proto.KeepEvent{Kind: proto.EventVanished, Task: key.task, Run: key.run})
	}
	return out
}

// statusEvents returns the status of the runs, at limited intervals: of all runs while the
// planner asks for frequent reports, and otherwise of those that have changed or are below
// 100 percent.
func (h *holder) look(running []winch.Running) []proto.KeepEvent {
	now := time.Now()
	every := statusEvery
	if h.closely {
		every = closeEvery
	}
	if now.Sub(h.statusAt) < every {
		return nil
	}
	var out []winch.Running
	for _, x := range running {
		if r := h.runs[runKey{x.Task, x.Run}]; r != nil && (h.closely || r.news(x)) {
			r.told, r.percent, r.checkpoint = true, x.Percent, x.Checkpoint
			out = append(out, x)
		}
	}
	if len(out) == 0 {
		return nil
	}
	h.statusAt = now
	return []proto.KeepEvent{{Kind: proto.EventStatus, Running: out}}
}

// needsReport reports whether the status of a run is to be sent to the planner.
func (r *known) news(x winch.Running) bool {
	return !r.told || x.Percent < 100 || x.Percent != r.percent || x.Checkpoint != r.checkpoint
}
