package keep

import (
	"time"

	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// answered takes the lists of a worker.
func (h *holder) answered(sent time.Time, answer winch.Holding) {
	for _, e := range h.compareAll(sent, answer) {
		h.emit(e)
	}
}

// compareAll returns what the lists tell. Events are not emitted here: the
// keeper's lock is never taken while the holder's is held.
func (h *holder) compareAll(sent time.Time, answer winch.Holding) []proto.KeepEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listed && h.outdated(answer) {
		return nil
	}
	h.listsAt = max(h.listsAt, answer.Clock)
	back := h.silent
	h.silent = false
	now := time.Now()
	blind := time.Duration(0)
	if back || h.doubted {
		blind = now.Sub(h.heard)
	}
	h.doubted = false
	h.heard = now
	if back {
		h.keeper.Log.Info("worker answers again", zap.String("worker", h.vm.ID), zap.Uint64("token", h.token))
	}
	var fresh []winch.Ended
	h.told = answer.Ended
	for _, e := range answer.Ended {
		if e.Number > h.lastEnd {
			h.lastEnd = e.Number
			fresh = append(fresh, e)
		}
		delete(h.runs, runKey{e.Task, e.Run})
	}
	if !h.listed {
		return []proto.KeepEvent{h.first(answer, fresh)}
	}
	var out []proto.KeepEvent
	if back {
		out = append(out, proto.KeepEvent{Kind: proto.EventBack, Spell: h.spell})
	}
	if len(fresh) > 0 {
		out = append(out, proto.KeepEvent{Kind: proto.EventEnded, Ended: fresh, Blind: blind})
	}
	out = append(out, h.compare(sent, answer)...)
	return append(out, h.look(answer.Running)...)
}

// outdated reports whether newer lists have been taken: answers overtake each other.
// The mutex is held.
func (h *holder) outdated(answer winch.Holding) bool {
	last := uint64(0)
	for _, e := range answer.Ended {
		last = max(last, e.Number)
	}
	return answer.Clock > 0 && (answer.Clock < h.listsAt || answer.Clock == h.listsAt && last < h.lastEnd)
}

// first tells the first lists whole.
func (h *holder) first(answer winch.Holding, ends []winch.Ended) proto.KeepEvent {
	h.listed = true
	// Earlier holdings are fenced off from here on; what they renewed last ends after
	// a whole lease.
	if until := time.Now().Add(Surely(h.keeper.Lease)); until.Before(h.prior) {
		h.prior = until
	}
	for _, r := range answer.Running {
		h.runs[runKey{r.Task, r.Run}] = &known{acked: h.began}
	}
	return proto.KeepEvent{Kind: proto.EventListed, Running: answer.Running, Ended: ends, Spell: h.spell}
}

// compare finds runs that the worker does not have any more, or has against
// what is known. Only orders that were confirmed before the hold was sent count:
// answers on different connections overtake each other.
func (h *holder) compare(sent time.Time, answer winch.Holding) []proto.KeepEvent {
	var out []proto.KeepEvent
	running := make(map[runKey]bool, len(answer.Running))
	var found []winch.Running
	for _, r := range answer.Running {
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
	if len(answer.Ended) >= mostListed {
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

// look tells how the runs go, not too often: all of them while the planner paces them, and
// else those that have changed or stand still before their end.
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

// news reports whether the state of a run tells the planner something.
func (r *known) news(x winch.Running) bool {
	return !r.told || x.Percent < 100 || x.Percent != r.percent || x.Checkpoint != r.checkpoint
}
