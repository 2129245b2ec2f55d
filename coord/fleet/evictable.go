package fleet

import (
	"time"

	"plantainwinch/coord/evict"
	"plantainwinch/winch"
)

// timeLeft returns how long a run is expected to take from now, and whether that is known. It is not
// known for a run that has exceeded its estimate without reporting progress.
func (r *run) timeLeft(now time.Time) (time.Duration, bool) {
	if r.stopping {
		return max(0, r.workedUntil.Add(r.worker.planner.stopTime.Expected()).Sub(now)), true
	}
	if r.task == nil || r.task.phase.spec.Lasting {
		return 0, false
	}
	if progress := r.percent - r.basePercent; progress > 0 && !r.baseAt.IsZero() && r.progressedAt.After(r.baseAt) {
		left := time.Duration(float64(r.progressedAt.Sub(r.baseAt)) * (100 - r.percent) / progress)
		return max(0, left-now.Sub(r.progressedAt)), true
	}
	full := float64(r.task.phase.taskTime()) * r.worker.planner.factor(r.worker)
	left := time.Duration(full*(100-max(r.percent, r.task.resumesAt))/100) - now.Sub(r.since)
	return left, left > 0
}

// evictionCandidate returns what decides whether a run is stopped, and whether it may be stopped at
// all.
func (r *run) evictionCandidate(now time.Time) (evict.Run, bool) {
	t := r.task
	s := t.phase
	j := s.job
	left, known := r.timeLeft(now)
	if !known || !r.started || len(t.runs) > 1 || r.probe != nil || t.suspicion().suspected() || j.queue == nil || j.queue.Priority == 0 || j.cancelled || j.state.Final() {
		return evict.Run{}, false
	}
	return evict.Run{
		Worker: r.worker.index, Frees: r.charge, Remaining: left, Unsaved: now.Sub(later(r.since, r.savedAt)),
		Slack: s.slackOf(left, now), Ticket: j.queue.turnaround, Stops: t.stops,
	}, true
}

// noSlackLimit is the slack of work that its caller no longer waits for.
const noSlackLimit = time.Duration(1<<63 - 1)

// slackOf returns how much later a run of the phase that takes the given time may end. The deadline
// is the job's objective or, if it cannot be met in any case, the time until which the caller waits.
func (s *phase) slackOf(left time.Duration, now time.Time) time.Duration {
	after := time.Duration(newChainFactor * float64(s.pathAfter()))
	needs := left + after
	if s.waiting > 0 {
		needs = max(needs, s.taskTime()+after)
	}
	objective := s.objective()
	for _, deadline := range []time.Time{objective, s.callerDeadline(objective)} {
		if !now.Add(needs).After(deadline) {
			return deadline.Sub(now) - left - after
		}
	}
	return noSlackLimit
}

// isEvictable reports whether runs of the phase may be stopped for urgent work, as far as that
// depends on the phase alone.
func isEvictable(spec *winch.Phase) bool {
	return spec.Checkpoints && !spec.Gang && !spec.Lasting && !spec.Fills
}
