package place

import (
	"math"
	"slices"
	"time"

	"plantainwinch/winch"
)

// reservation keeps workers free for a job that waits for running tasks to end.
type reservation struct {
	job           *job
	nodes         map[*node]bool
	forecastStart time.Time // forecastStart is when the job is expected to start.
}

// reserve reserves the workers on which the job can start earliest according to the
// run time forecasts. Smaller work is backfilled there only if it ends before that
// time. Without a reservation, a stream of small tasks would starve a gang.
func (p *Planner) reserve(j *job, now time.Time) {
	type slot struct {
		freeAt time.Time
		node   *node
	}
	var slots []slot
	for _, n := range p.sortedNodes() {
		if !n.reconciled || !n.vm.AcceptsWork() || now.Before(n.quarantinedUntil) || !j.need.Fits(n.vm.Size) {
			continue
		}
		for _, freeAt := range p.slotTimes(n, j.need, now) {
			slots = append(slots, slot{freeAt, n})
		}
	}
	need := 1
	if j.gang() {
		need = len(j.pending)
	}
	if len(slots) < need {
		return
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return a.freeAt.Compare(b.freeAt) })
	r := &reservation{job: j, nodes: make(map[*node]bool), forecastStart: slots[need-1].freeAt}
	for _, s := range slots[:need] {
		r.nodes[s.node] = true
	}
	p.reserved = r
}

// slotTimes returns the times at which the node is forecast to have capacity for one,
// two, … tasks of this need.
func (p *Planner) slotTimes(n *node, need winch.Resources, now time.Time) []time.Time {
	tasks := sortedTasks(n)
	slices.SortStableFunc(tasks, func(a, b *placement) int { return a.forecastEnd.Compare(b.forecastEnd) })
	var out []time.Time
	free := n.free
	addSlots := func(at time.Time) {
		for need.Fits(free) && len(out) < maxSlotTimes {
			free = free.Sub(need)
			out = append(out, at)
		}
	}
	addSlots(now)
	for _, t := range tasks {
		if t.job.rec.Spec.Kind == winch.LongRunning {
			continue
		}
		free = free.Add(t.job.need)
		at := t.forecastEnd
		if at.Before(now) {
			at = now.Add(defaultRunTime / 2) // It has exceeded its forecast, so its remaining run time is unknown.
		}
		addSlots(at)
	}
	return out
}

// maxSlotTimes bounds the tasks of one gang that are forecast on one worker.
const maxSlotTimes = 64

// evict frees capacity for an urgent task by checkpointing the tasks that lose the
// least work. It returns nil if this frees enough capacity on no worker.
func (p *Planner) evict(j *job, now time.Time) []Decision {
	var best []*placement
	bestLoss := time.Duration(math.MaxInt64)
	for _, n := range p.sortedNodes() {
		if !p.usable(n, j, now) || !j.need.Fits(n.vm.Size) {
			continue
		}
		victims, loss, fits := p.victims(n, j, now)
		if fits && loss < bestLoss {
			best, bestLoss = victims, loss
		}
	}
	if best == nil {
		return nil
	}
	var out []Decision
	for _, t := range best {
		t.stopping = true
		p.LostRunTime += now.Sub(t.started)
		p.Evictions++
		out = append(out, Decision{Action: Evict, Task: p.task(t), VM: t.node.vm})
	}
	j.waitReason = "room is being made by checkpointing other work"
	return out
}

// victims returns the tasks to evict from one worker, the run time that is lost and
// whether the job's task fits then. Tasks that are already being stopped count as
// free, so that one urgent task does not cause further evictions while capacity for it
// is being freed.
func (p *Planner) victims(n *node, j *job, now time.Time) (out []*placement, loss time.Duration, fits bool) {
	free := n.free
	var preemptible []*placement
	for _, t := range sortedTasks(n) {
		switch {
		case t.stopping:
			free = free.Add(t.job.need)
		case t.job.class.Preemptible && t.job.class.Repeatable && !t.job.urgent() && !t.job.gang():
			preemptible = append(preemptible, t)
		}
	}
	slices.SortStableFunc(preemptible, func(a, b *placement) int { return b.started.Compare(a.started) })
	for _, t := range preemptible {
		if j.need.Fits(free) {
			break
		}
		free = free.Add(t.job.need)
		loss += now.Sub(t.started)
		out = append(out, t)
	}
	return out, loss, j.need.Fits(free)
}
